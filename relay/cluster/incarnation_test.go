package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// plainCodec writes the incarnation only.
type plainCodec struct{ Codec }

func (plainCodec) DecodeMember(value []byte) (MemberRecord, error) {
	if len(value) != 1 {
		return MemberRecord{}, store.ErrInvalid
	}
	return MemberRecord{Instance: ident.Instance{Host: "a", Incarnation: ident.Incarnation(value[0])}}, nil
}

// oneKey is a store with one registration.
type oneKey struct {
	store.Store

	value []byte
	err   error
}

func (o oneKey) Get(context.Context, string) (store.Entry, bool, error) {
	return store.Entry{Value: o.value}, o.value != nil, o.err
}

// Guards against a host that is refused for good because its clock jumped back before it started again.
func TestIncarnationGrowsWhenTheClockJumpsBack(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		store oneKey
		want  ident.Incarnation
		fails bool
	}{
		"first start":      {oneKey{}, 100, false},
		"clock goes on":    {oneKey{value: []byte{90}}, 100, false},
		"clock jumps back": {oneKey{value: []byte{200}}, 201, false},
		"same moment":      {oneKey{value: []byte{100}}, 101, false},
		"store down":       {oneKey{err: store.ErrUnavailable}, 100, true},
		"unreadable":       {oneKey{value: []byte("xx")}, 100, true},
	} {
		got, err := NextIncarnation(ctx, c.store, plainCodec{}, "a", time.Unix(0, 100))
		require.Equal(t, c.fails, err != nil, name)
		require.Equal(t, c.want, got, name)
	}
}

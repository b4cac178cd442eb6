package cluster

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
)

// incarnationCodec decodes records that consist of the incarnation only.
type incarnationCodec struct{ Codec }

func (incarnationCodec) DecodeMember(value []byte) (MemberRecord, error) {
	if len(value) != 1 {
		return MemberRecord{}, store.ErrInvalid
	}
	return MemberRecord{Instance: ident.Instance{Host: "a", Incarnation: ident.Incarnation(value[0])}}, nil
}

// singleKeyStore is a store with one registration.
type singleKeyStore struct {
	store.Store

	value []byte
	err   error
}

func (o singleKeyStore) Get(context.Context, string) (store.Entry, bool, error) {
	return store.Entry{Value: o.value}, o.value != nil, o.err
}

// Guards against a host that is refused for good because its clock jumped back before a restart.
func TestIncarnationGrowsWhenTheClockJumpsBack(t *testing.T) {
	ctx := context.Background()
	for name, c := range map[string]struct {
		store singleKeyStore
		want  ident.Incarnation
		fails bool
	}{
		"first start":      {singleKeyStore{}, 100, false},
		"clock goes on":    {singleKeyStore{value: []byte{90}}, 100, false},
		"clock jumps back": {singleKeyStore{value: []byte{200}}, 201, false},
		"same moment":      {singleKeyStore{value: []byte{100}}, 101, false},
		"store down":       {singleKeyStore{err: store.ErrUnavailable}, 100, true},
		"unreadable":       {singleKeyStore{value: []byte("xx")}, 100, true},
	} {
		got, err := NextIncarnation(ctx, c.store, incarnationCodec{}, "a", time.Unix(0, 100))
		require.Equal(t, c.fails, err != nil, name)
		require.Equal(t, c.want, got, name)
	}
}

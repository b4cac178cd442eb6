package daemon

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/bulrushrelay/bulrushrelay/adapter/clusterrecord"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// Guards against a host that its peers take for an old process of itself, and that gets no lease, because the clock was
// set back before it started again.
func TestHostStartsAboveItsLastIncarnation(t *testing.T) {
	engine := kv.New(kv.Config{})
	last := ident.Instance{Host: "a1", Incarnation: ident.Incarnation(time.Now().Add(time.Hour).UnixNano())}
	record := clusterrecord.Codec{}.EncodeMember(cluster.MemberRecord{Instance: last, Address: "127.0.0.1:7080"})
	_, err := engine.Client("a").Txn(t.Context(), nil, []store.Op{{Key: "/member-roster/a1", Value: record}})
	require.NoError(t, err)
	listener := bufconn.Listen(1 << 16)
	server := grpc.NewServer()
	kv.Register(server, engine.Client("a1"))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)

	s := validSettings()
	s.PeerAddress = "127.0.0.1:0"
	h, err := New(s, Options{DialStore: func(ctx context.Context, _ string) (net.Conn, error) {
		return listener.DialContext(ctx)
	}}, NewLogger(s, io.Discard))
	require.NoError(t, err)
	require.Equal(t, last.Incarnation+1, h.self.Incarnation)
}

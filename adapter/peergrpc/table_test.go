package peergrpc

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

type fakeTableSource struct {
	receivedDigest config.PeerDigest
	ownDigest      config.PeerDigest
	update         config.Update
}

func (f *fakeTableSource) HandleDigest(theirs config.PeerDigest) config.PeerDigest {
	f.receivedDigest = theirs
	return f.ownDigest
}

func (f *fakeTableSource) HandleFetch(since table.Revision, full bool) (config.Update, error) {
	if full {
		return config.Update{}, context.DeadlineExceeded
	}
	return f.update, nil
}

type fakeNetwork struct{ conn *grpc.ClientConn }

func (f fakeNetwork) Conn(string) (*grpc.ClientConn, error) { return f.conn, nil }

func (f fakeNetwork) Address(host ident.HostID) (string, bool) { return "127.0.0.1:1", host == "b" }

// Guards against digest and update fields that are lost or changed between hosts.
func TestTableRoundTrip(t *testing.T) {
	listener := bufconn.Listen(1 << 16)
	server := grpc.NewServer()
	t.Cleanup(server.Stop)
	row := table.Row{Name: "a", Kind: table.Batch, Tenant: "t", Weight: 1, Rate: 0.125}
	tab := table.New(7, []table.Row{row})
	source := &fakeTableSource{
		ownDigest: config.PeerDigest{
			Instance: ident.Instance{Host: "b", Incarnation: 3}, Loaded: true, Revision: 7, Digest: tab.Digest(),
			InForce: time.Second, StoreContact: -1, KnownStoreContact: 2 * time.Second,
		},
		update: config.Update{
			Records: []table.Record{{
				Revision: 7, Delta: table.Delta{{Name: "a", After: &row}}, Author: "ana", Time: time.UnixMilli(5).UTC(),
				Reason: "r", Marker: table.Marker{Revision: 7, Nonce: "0123456789abcdef"}, Digest: tab.Digest(),
			}},
			Snapshot: &table.Snapshot{Table: tab, Digest: tab.Digest()},
		},
	}
	RegisterTable(server, source)
	go func() { _ = server.Serve(listener) }()
	conn, err := grpc.NewClient("passthrough:///b", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) { return listener.Dial() }))
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	client := NewTableClient(fakeNetwork{conn}, fakeNetwork{conn})

	mine := config.PeerDigest{Instance: ident.Instance{Host: "a", Incarnation: 1}, StoreContact: 0, KnownStoreContact: -1}
	answer, err := client.Digest(t.Context(), "b", mine)
	require.NoError(t, err)
	require.Equal(t, source.ownDigest, answer)
	require.Equal(t, mine, source.receivedDigest)
	update, err := client.Fetch(t.Context(), "b", 6, false)
	require.NoError(t, err)
	require.Equal(t, source.update, update)
	_, err = client.Fetch(t.Context(), "b", 6, true)
	require.Error(t, err)
	_, err = client.Digest(t.Context(), "c", mine)
	require.ErrorContains(t, err, "no known address")
}

// BenchmarkDigest measures the bytes that one exchange of digests takes on its connection in both directions together:
// go test -run '^$' -bench Digest -benchtime 1000x ./adapter/peergrpc.
func BenchmarkDigest(b *testing.B) {
	listener := bufconn.Listen(1 << 16)
	server := grpc.NewServer()
	b.Cleanup(server.Stop)
	digest := config.PeerDigest{
		Instance: ident.Instance{Host: "nelson-3", Incarnation: 1_790_000_000_000}, Loaded: true, Revision: 21_000,
		Digest: table.New(1, nil).Digest(), InForce: time.Hour, StoreContact: time.Second, KnownStoreContact: time.Second,
	}
	RegisterTable(server, &fakeTableSource{ownDigest: digest})
	go func() { _ = server.Serve(listener) }()
	var total atomic.Int64
	conn, err := grpc.NewClient("passthrough:///b", grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(context.Context, string) (net.Conn, error) {
			c, err := listener.Dial()
			return countingConn{c, &total}, err
		}))
	require.NoError(b, err)
	b.Cleanup(func() { _ = conn.Close() })
	client := NewTableClient(fakeNetwork{conn}, fakeNetwork{conn})
	for b.Loop() {
		_, err := client.Digest(b.Context(), "b", digest)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(total.Load())/float64(b.N), "bytes/exchange")
}

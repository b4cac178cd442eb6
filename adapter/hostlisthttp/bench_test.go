package hostlisthttp

import (
	"context"
	"fmt"
	"net"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	standin "github.com/bulrushrelay/bulrushrelay/standin/hostlist"
)

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// BenchmarkRead measures the time and the received bytes of one read of a changed and of an unchanged list. Run it
// with: go test -run '^$' -bench Read -benchtime 20x ./adapter/hostlisthttp
func BenchmarkRead(b *testing.B) {
	for _, n := range []int{100, 1000, 5000, 17_000} {
		for _, changed := range []bool{true, false} {
			b.Run(fmt.Sprintf("hosts=%d/changed=%t", n, changed), func(b *testing.B) { benchRead(b, n, changed) })
		}
	}
}

func benchRead(b *testing.B, n int, changed bool) {
	list, err := standin.Start("127.0.0.1:0", 0)
	require.NoError(b, err)
	b.Cleanup(func() { _ = list.Close() })
	hosts := make([]standin.Host, n)
	for i := range hosts {
		hosts[i] = standin.Host{
			ID: fmt.Sprintf("worker-%05d", i), Address: "192.0.2.17:7000", Kind: "worker", DataCentre: "north-1",
			Rack: fmt.Sprintf("rack-%04d", i/8), State: "live",
		}
	}
	list.Set(hosts)
	var received atomic.Int64
	client := New(list.URL(), func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, "tcp", address)
		return countingConn{c, &received}, err
	})
	b.Cleanup(client.http.CloseIdleConnections)
	_, err = client.Read(b.Context())
	require.NoError(b, err)
	received.Store(0)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if changed {
			list.Set(hosts)
		}
		_, err = client.Read(b.Context())
		require.Equal(b, changed, err == nil)
	}
	b.ReportMetric(float64(received.Load())/float64(b.N), "B/read")
}

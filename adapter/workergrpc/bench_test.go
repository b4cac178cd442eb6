package workergrpc

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	workerv1 "github.com/bulrushrelay/bulrushrelay/api/worker/v1"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// benchWorker serves a worker and returns a client with the number of bytes on its connections in both directions,
// without TCP and IP headers.
func benchWorker(b *testing.B) (*Client, lifecycle.Member, *atomic.Int64) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := grpc.NewServer()
	workerv1.RegisterWorkersServer(server, worker.NewServer(worker.New(worker.Config{
		ID: "w", Capacity: resource.Vector{MilliCPU: 1 << 40, MemoryMB: 1 << 40}, UsageLag: time.Nanosecond,
	})))
	go func() { _ = server.Serve(l) }()
	b.Cleanup(server.Stop)
	var bytes atomic.Int64
	c := New(grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		return countingConn{conn, &bytes}, err
	}))
	b.Cleanup(c.Close)
	return c, lifecycle.Member{ID: "w", Address: l.Addr().String()}, &bytes
}

// BenchmarkSync measures the bytes and the time of one sync with a worker that runs n tasks, all of which are renewed:
// go test -run '^$' -bench Sync -benchtime 2000x ./adapter/workergrpc.
func BenchmarkSync(b *testing.B) {
	for _, n := range []int{0, 12, 50, 200} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c, m, bytes := benchWorker(b)
			claim := c.Claim(b.Context(), m, 1, 7)
			request := lifecycle.SyncRequest{Token: claim.Report.Token}
			for i := range n {
				s := newStartTask(claim.Report.Token)
				s.Task.Index = uint32(i)
				require.Equal(b, lifecycle.Applied, c.Start(b.Context(), m, 7, s).Outcome)
				request.Renewals = append(request.Renewals, s.AttemptID)
			}
			before := bytes.Load()
			b.ResetTimer()
			for range b.N {
				answer := c.Sync(b.Context(), m, 7, request, 0)
				request.Token = answer.Report.Token
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "B/sync")
		})
	}
}

// BenchmarkStart measures the bytes and the time of one start of a task with a command of 16 to 1,024 bytes. All
// starts must end within 10 s, after which the token of the claim expires:
// go test -run '^$' -bench Start -benchtime 200x ./adapter/workergrpc.
func BenchmarkStart(b *testing.B) {
	for _, size := range []int{16, 128, 1024} {
		b.Run(fmt.Sprintf("command=%d", size), func(b *testing.B) {
			c, m, bytes := benchWorker(b)
			s := newStartTask(c.Claim(b.Context(), m, 1, 7).Report.Token)
			s.Command = strings.Repeat("x", size)
			before := bytes.Load()
			b.ResetTimer()
			for i := range b.N {
				s.Task.Index = uint32(i)
				require.Equal(b, lifecycle.Applied, c.Start(b.Context(), m, 7, s).Outcome)
			}
			b.ReportMetric(float64(bytes.Load()-before)/float64(b.N), "B/start")
		})
	}
}

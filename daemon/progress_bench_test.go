package daemon

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bulrushrelay/bulrushrelay/adapter/callerhttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/peergrpc"
	"github.com/bulrushrelay/bulrushrelay/adapter/targethttp"
	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ledger"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/cell"
	"github.com/bulrushrelay/bulrushrelay/relay/entry"
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

type fixedTable struct{ table *table.Table }

func (f fixedTable) InForce() (*table.Table, error) { return f.table, nil }

type noopRecorder struct{}

func (noopRecorder) Request(ident.ClassName, verdict.Verdict, verdict.Code, time.Duration) {}
func (noopRecorder) LateAnswer(ident.ClassName)                                            {}

// remoteCell is a cell that is owned by another host.
type remoteCell struct {
	peers   *peergrpc.RequestClient
	address string
}

func (r remoteCell) Choose(ident.ClassName, int) []ident.CellID { return []ident.CellID{0} }
func (r remoteCell) Local(ident.CellID) bool                    { return true }

func (r remoteCell) Execute(ctx context.Context, c ident.CellID, q request.Request) (request.Answer, error) {
	return r.peers.Execute(ctx, r.address, c, q)
}

// requestPath is the path of requests through an entry host and the owner of a cell to a target, all in one process.
// The target responds when release is closed.
type requestPath struct {
	callerAddress string
	wireBytes     atomic.Int64
	arrived       sync.WaitGroup
	release       chan struct{}
}

func newRequestPath(b *testing.B, answerBytes int) *requestPath {
	p := &requestPath{release: make(chan struct{})}
	rows := table.New(1, []table.Row{{Name: "read", Kind: table.LatencyCritical, Idempotent: true, Weight: 1, Queue: 100_000, Deadline: 5 * time.Minute}})
	body := bytes.Repeat([]byte{'a'}, answerBytes)
	targetAddress := serveHTTP(b, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		p.arrived.Done()
		<-p.release
		w.Header().Set("Bulrush-Request-Id", r.Header.Get("Bulrush-Request-Id"))
		_, _ = w.Write(body)
	}))

	sender := targethttp.New(targethttp.Options{MaxConnsPerTarget: 100_000})
	b.Cleanup(sender.Close)
	cells := cell.New(cell.Options{Cells: 1, Sender: sender, SlotsPerTarget: 100_000, Seed: 1})
	cells.SetTable(rows)
	cells.SetTargets(0, []routing.Target{{ID: "t", Address: targetAddress}})
	cells.SetGrant(ownership.Grant{Epoch: 1, Authority: ownership.Full})
	peerPort, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	peers := grpc.NewServer(peergrpc.ServerOptions(insecure.NewCredentials())...)
	peerv1.RegisterRequestsServer(peers, peergrpc.NewRequestServer(&peerHandler{local: cells}))
	go func() { _ = peers.Serve(peerPort) }()
	b.Cleanup(peers.Stop)

	pool := peergrpc.NewPool(insecure.NewCredentials(), grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return countingConn{c, &p.wireBytes}, err
	}))
	b.Cleanup(pool.Close)
	self := ident.Instance{Host: "relay-1", Incarnation: 1}
	service := entry.New(entry.Options{
		Self: self, Ledgers: ledger.NewSet(ledger.New(self, ledger.Limits{})), Tables: fixedTable{rows}, Recorder: noopRecorder{},
		Cells: remoteCell{peergrpc.NewRequestClient(pool), peerPort.Addr().String()},
	})
	callerPort, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	callers := newHTTPServer(callerPort, newHTTPLimits(100_000, time.Minute), nil)
	callerhttp.Register(callers.echo, service)
	go func() { _ = callers.serve() }()
	b.Cleanup(func() { _ = callers.server.Close() })
	p.callerAddress = callers.listener.Addr().String()
	return p
}

func serveHTTP(b *testing.B, handler http.Handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(listener) }()
	b.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// send writes a request on a new connection without waiting for its answer.
func (p *requestPath) send(b *testing.B, body []byte) net.Conn {
	c, err := net.Dial("tcp", p.callerAddress)
	require.NoError(b, err)
	_, err = fmt.Fprintf(c, "POST /v1/run/read/work HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", len(body))
	require.NoError(b, err)
	_, err = c.Write(body)
	require.NoError(b, err)
	return c
}

// memoryInUse returns the bytes in use by the heap and the stacks after a garbage collection.
func memoryInUse() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc + m.StackInuse
}

// BenchmarkInProgress measures the memory that a request in progress holds in both relay hosts on its path, and the
// bytes that it sends between them. The memory includes the caller's and the target's ends of the connections, which
// are in the same process.
func BenchmarkInProgress(b *testing.B) {
	for _, size := range []int{100, 10_000, 100_000} {
		for _, requests := range []int{250, 500, 1000} {
			b.Run(fmt.Sprintf("body=%d/requests=%d", size, requests), func(b *testing.B) {
				for b.Loop() {
					measureInProgress(b, size, requests)
				}
			})
		}
	}
}

func measureInProgress(b *testing.B, size, requests int) {
	p := newRequestPath(b, size)
	body := bytes.Repeat([]byte{'q'}, size)
	conns := make([]net.Conn, 0, requests)
	before := memoryInUse()
	p.arrived.Add(requests)
	for range requests {
		conns = append(conns, p.send(b, body))
	}
	p.arrived.Wait()
	held := float64(memoryInUse()) - float64(before)
	close(p.release)
	for _, c := range conns {
		answer, err := http.ReadResponse(bufio.NewReader(c), nil)
		require.NoError(b, err)
		n, err := io.Copy(io.Discard, answer.Body)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, answer.StatusCode)
		require.EqualValues(b, size, n)
		_ = c.Close()
	}
	b.ReportMetric(held/float64(requests), "bytes-held/request")
	b.ReportMetric(float64(p.wireBytes.Load())/float64(requests), "bytes-sent/request")
}

package peergrpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"
	"golang.org/x/net/netutil"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/metadata"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// serveOneConnection serves h on a listener that accepts one connection at a time, with timeouts short enough for a
// test.
func serveOneConnection(t *testing.T, h *fakeRequestHandler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(append(ServerOptions(insecure.NewCredentials()),
		grpc.ConnectionTimeout(200*time.Millisecond),
		// gRPC raises shorter intervals to 1 s.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: time.Second, Timeout: 200 * time.Millisecond}))...)
	peerv1.RegisterRequestsServer(server, NewRequestServer(h))
	go func() { _ = server.Serve(netutil.LimitListener(listener, 1)) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// requireServed fails unless a call succeeds, which may have to wait until the listener is free.
func requireServed(t *testing.T, address string) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, err := newRequestClient(t).Execute(t.Context(), address, 1, newRequest())
		return err == nil
	}, time.Minute, 10*time.Millisecond)
}

// newLargeAnswerHandler returns a handler that answers each request with the largest body.
func newLargeAnswerHandler() *fakeRequestHandler {
	return &fakeRequestHandler{execute: func(context.Context, request.Request) (request.Answer, error) {
		return request.Answer{Status: http.StatusOK, Body: make([]byte, request.MaxAnswerBytes)}, nil
	}}
}

// Guards against clients that occupy the connections of the peer port by sending nothing, part of the HTTP/2 preface,
// only the preface, or other data.
func TestConnectionsWithoutHandshakeAreClosed(t *testing.T) {
	address := serveOneConnection(t, newLargeAnswerHandler())
	for _, sent := range []string{"", "GET / HTTP/1.1\r\nHost: a\r\n\r\n", http2.ClientPreface[:20], http2.ClientPreface, strings.Repeat("\xff", 1<<16)} {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, _ = io.WriteString(c, sent)
		_, err = io.Copy(io.Discard, c)
		if err != nil {
			t.Logf("%.20q: %v", sent, err)
		}
		_ = c.Close()
	}
	requireServed(t, address)
}

// stalledConn stops reading once stalled is closed. Until then it reads at most 16 bytes at a time.
type stalledConn struct {
	net.Conn
	stalled   chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
}

func (c *stalledConn) Read(b []byte) (int, error) {
	select {
	case <-c.stalled:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return c.Conn.Read(b[:min(len(b), 16)])
	}
}

func (c *stalledConn) Close() error {
	c.closeOnce.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against a relay host that stops reading and occupies a connection, and the memory of its answers, forever.
func TestStalledPeerIsDisconnected(t *testing.T) {
	received := make(chan struct{}, 100)
	h := newLargeAnswerHandler()
	answer := h.execute
	stalled := make(chan struct{})
	var stallOnce sync.Once
	h.execute = func(ctx context.Context, r request.Request) (request.Answer, error) {
		stallOnce.Do(func() { close(stalled) })
		received <- struct{}{}
		return answer(ctx, r)
	}
	address := serveOneConnection(t, h)
	pool := NewPool(insecure.NewCredentials(), grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return &stalledConn{Conn: c, stalled: stalled, closed: make(chan struct{})}, err
	}))
	t.Cleanup(pool.Close)
	ctx, cancel := context.WithCancel(t.Context())
	var calls sync.WaitGroup
	for range 8 {
		calls.Go(func() { _, _ = NewRequestClient(pool).Execute(ctx, address, 1, newRequest()) })
	}
	<-received
	requireServed(t, address)
	cancel()
	calls.Wait()
}

// Guards against headers and messages above their limits that reach the handler, and against such calls that do not
// fail with a verdict at the sender.
func TestOversizedCallsAreRejected(t *testing.T) {
	h := &fakeRequestHandler{execute: func(context.Context, request.Request) (request.Answer, error) {
		t.Error("the call reached the handler")
		return request.Answer{}, nil
	}}
	address := serveOneConnection(t, h)
	large := newRequest()
	large.Body = make([]byte, MaxMessageBytes+1)
	pool := NewPool(insecure.NewCredentials())
	_, err := NewRequestClient(pool).Execute(t.Context(), address, 1, large)
	require.Error(t, err)
	pool.Close()

	pool = NewPool(insecure.NewCredentials(), grpc.WithDefaultCallOptions(grpc.MaxCallSendMsgSize(2*MaxMessageBytes)))
	_, err = NewRequestClient(pool).Execute(t.Context(), address, 1, large)
	require.Error(t, err)
	require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	ctx := metadata.AppendToOutgoingContext(t.Context(), "x-large", strings.Repeat("a", 2*maxHeaderBytes))
	_, err = NewRequestClient(pool).Execute(ctx, address, 1, newRequest())
	require.Error(t, err)
	pool.Close()

	h.execute = newLargeAnswerHandler().execute
	requireServed(t, address)
}

// Guards against a peer that opens more concurrent calls than the limit, and against calls with incomplete messages
// that block the connection for others.
func TestConcurrentStreamsAreLimited(t *testing.T) {
	address := serveOneConnection(t, newLargeAnswerHandler())
	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, http2.ClientPreface)
	require.NoError(t, err)
	framer := http2.NewFramer(c, c)
	framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil)
	require.NoError(t, framer.WriteSettings())
	var block strings.Builder
	encoder := hpack.NewEncoder(&block)
	for _, h := range [][2]string{
		{":method", "POST"},
		{":scheme", "http"},
		{":path", peerv1.Requests_Execute_FullMethodName},
		{":authority", "a"},
		{"content-type", "application/grpc"},
		{"te", "trailers"},
	} {
		require.NoError(t, encoder.WriteField(hpack.HeaderField{Name: h[0], Value: h[1]}))
	}
	headers := []byte(block.String())
	go func() {
		for i := range uint32(maxStreamsPerConn + 1) {
			id := 2*i + 1
			if framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: headers, EndHeaders: true}) != nil {
				return
			}
			// The start of a message of 1 MB whose rest is never sent.
			if framer.WriteData(id, false, []byte{0, 0, 16, 0, 0, 'a'}) != nil {
				return
			}
		}
	}()
	for {
		frame, err := framer.ReadFrame()
		require.NoError(t, err)
		if reset, ok := frame.(*http2.RSTStreamFrame); ok {
			require.Equal(t, uint32(2*maxStreamsPerConn+1), reset.StreamID)
			require.Equal(t, http2.ErrCodeRefusedStream, reset.ErrCode)
			return
		}
	}
}

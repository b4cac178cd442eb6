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

// limitedPort serves h on a port that holds one connection at a time, with time limits that a test can wait for.
func limitedPort(t *testing.T, h *handler) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(append(ServerOptions(insecure.NewCredentials()),
		grpc.ConnectionTimeout(200*time.Millisecond),
		// The library raises shorter times to 1 s.
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: time.Second, Timeout: 200 * time.Millisecond}))...)
	peerv1.RegisterRequestsServer(server, NewRequestServer(h))
	go func() { _ = server.Serve(netutil.LimitListener(listener, 1)) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

// requireServed fails unless a call is answered, also if it has to wait for a connection.
func requireServed(t *testing.T, address string) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, err := client(t).Execute(t.Context(), address, 1, newRequest())
		return err == nil
	}, time.Minute, 10*time.Millisecond)
}

func answering() *handler {
	return &handler{execute: func(context.Context, request.Request) (request.Answer, error) {
		return request.Answer{Status: http.StatusOK, Body: make([]byte, request.MaxAnswerBytes)}, nil
	}}
}

// Guards against a stranger that holds the connections of the port between relay hosts by sending nothing, a part of the
// preface byte by byte, something else, or only the preface.
func TestStrangersFreeTheirConnections(t *testing.T) {
	address := limitedPort(t, answering())
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

// deafConn stops reading once it is told to.
type deafConn struct {
	net.Conn
	deaf   chan struct{}
	closed chan struct{}
	once   sync.Once
}

func (c *deafConn) Read(b []byte) (int, error) {
	select {
	case <-c.deaf:
		<-c.closed
		return 0, net.ErrClosed
	default:
		return c.Conn.Read(b[:min(len(b), 16)])
	}
}

func (c *deafConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Guards against a relay host that stopped reading and holds a connection and its answers in memory for ever.
func TestPeerThatNeverReadsIsClosed(t *testing.T) {
	received := make(chan struct{}, 100)
	h := answering()
	answer := h.execute
	deaf := make(chan struct{})
	var once sync.Once
	h.execute = func(ctx context.Context, r request.Request) (request.Answer, error) {
		once.Do(func() { close(deaf) })
		received <- struct{}{}
		return answer(ctx, r)
	}
	address := limitedPort(t, h)
	pool := NewPool(insecure.NewCredentials(), grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		c, err := new(net.Dialer).DialContext(ctx, "tcp", address)
		return &deafConn{Conn: c, deaf: deaf, closed: make(chan struct{})}, err
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

// Guards against headers and messages above their limits that reach the handler, and against an outcome of such a call
// that is not known to the sender as an error with a verdict.
func TestLargePeerCallsAreRefused(t *testing.T) {
	h := &handler{execute: func(context.Context, request.Request) (request.Answer, error) {
		t.Error("the call reached the handler")
		return request.Answer{}, nil
	}}
	address := limitedPort(t, h)
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

	h.execute = answering().execute
	requireServed(t, address)
}

// Guards against a peer that opens more calls at once than the limit, and against a call that sends its message byte by
// byte and stops the others on the same connection.
func TestStreamsOfAPeerAreLimited(t *testing.T) {
	address := limitedPort(t, answering())
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
		for i := range uint32(maxStreams + 1) {
			id := 2*i + 1
			if framer.WriteHeaders(http2.HeadersFrameParam{StreamID: id, BlockFragment: headers, EndHeaders: true}) != nil {
				return
			}
			// The start of a message of 1 MB, whose rest never comes.
			if framer.WriteData(id, false, []byte{0, 0, 16, 0, 0, 'a'}) != nil {
				return
			}
		}
	}()
	for {
		frame, err := framer.ReadFrame()
		require.NoError(t, err)
		if reset, ok := frame.(*http2.RSTStreamFrame); ok {
			require.Equal(t, uint32(2*maxStreams+1), reset.StreamID)
			require.Equal(t, http2.ErrCodeRefusedStream, reset.ErrCode)
			return
		}
	}
}

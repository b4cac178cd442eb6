package peergrpc

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/net/http2"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/intake"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// serveGuarded serves h on a port with a guard.
func serveGuarded(t *testing.T, h *fakeRequestHandler, g *Guard, before ...grpc.ServerOption) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := grpc.NewServer(slices.Concat(ServerOptions(insecure.NewCredentials()), before, g.ServerOptions())...)
	peerv1.RegisterRequestsServer(server, NewRequestServer(h))
	go func() { _ = server.Serve(g.Listener(listener)) }()
	t.Cleanup(server.Stop)
	return listener.Addr().String()
}

func okHandler() *fakeRequestHandler {
	return &fakeRequestHandler{execute: func(context.Context, request.Request) (request.Answer, error) {
		return request.Answer{Status: http.StatusOK}, nil
	}}
}

// Guards against a relayed body that is not counted while its request runs, against one for which there is no room and
// whose refusal does not prove that the request did not run, and against memory that stays counted afterwards.
func TestRelayedBodiesCount(t *testing.T) {
	budget := intake.New(intake.Config{Bytes: 1 << 20})
	var refused atomic.Int64
	var held atomic.Int64
	h := &fakeRequestHandler{execute: func(context.Context, request.Request) (request.Answer, error) {
		held.Store(budget.Used())
		return request.Answer{Status: http.StatusOK}, nil
	}}
	address := serveGuarded(t, h, NewGuard(budget, 100, func(intake.Cause) { refused.Add(1) }))
	client := newRequestClient(t)
	r := newRequest()
	r.Body = make([]byte, 300_000)
	for range 20 {
		_, err := client.Execute(t.Context(), address, 1, r)
		require.NoError(t, err)
		require.GreaterOrEqual(t, held.Load(), int64(300_000))
		require.Eventually(t, func() bool { return budget.Used() < 1000 }, time.Minute, time.Millisecond)
	}
	require.Zero(t, refused.Load())
	release, ok := budget.Reserve(time.Now(), 700_000)
	require.True(t, ok)
	r.Body = make([]byte, 340_000)
	h.execute = func(context.Context, request.Request) (request.Answer, error) {
		t.Error("the call reached the handler")
		return request.Answer{}, nil
	}
	release2, ok := budget.Reserve(time.Now(), 200_000)
	require.True(t, ok)
	_, err := client.Execute(t.Context(), address, 1, r)
	require.Error(t, err)
	require.Positive(t, refused.Load())
	release()
	release2()
	h.execute = okHandler().execute
	requireServed(t, address)
}

// Guards against a call without room whose refusal does not prove to its sender that it did not run.
func TestRefusalForMemoryProvesThatTheCallDidNotRun(t *testing.T) {
	const limit = 1 << 20
	budget := intake.New(intake.Config{Bytes: limit})
	var full atomic.Bool
	// The budget fills up between the arrival of the message and the call of its handler.
	fill := grpc.ChainUnaryInterceptor(func(ctx context.Context, m any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
		if full.Load() {
			release, ok := budget.Reserve(time.Now(), limit)
			require.True(t, ok)
			defer release()
		}
		return next(ctx, m)
	})
	address := serveGuarded(t, okHandler(), NewGuard(budget, 100, func(intake.Cause) {}), fill)
	client := newRequestClient(t)
	_, err := client.Execute(t.Context(), address, 1, newRequest())
	require.NoError(t, err)
	full.Store(true)
	_, err = client.Execute(t.Context(), address, 1, newRequest())
	require.Error(t, err)
	require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
}

// Guards against one address that takes all connections of the port, so that other hosts find none.
func TestConnectionsOfOneAddress(t *testing.T) {
	var refused atomic.Int64
	address := serveGuarded(t, okHandler(), NewGuard(intake.New(intake.Config{Bytes: 1 << 20}), minPerAddress, func(c intake.Cause) {
		if c == CauseAddress {
			refused.Add(1)
		}
	}))
	var conns []net.Conn
	for range minPerAddress {
		c, err := net.Dial("tcp", address)
		require.NoError(t, err)
		_, err = io.WriteString(c, http2.ClientPreface)
		require.NoError(t, err)
		conns = append(conns, c)
	}
	extra, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, _ = io.Copy(io.Discard, extra)
	require.EqualValues(t, 1, refused.Load())
	for _, c := range conns {
		_ = c.Close()
	}
	requireServed(t, address)
}

package peergrpc

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"

	"github.com/bulrushrelay/bulrushrelay/core/intake"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
)

const (
	// CauseAddress is the cause of a refusal because of the number of connections of one address.
	CauseAddress intake.Cause = "peer_address"

	refusedForMemory = "memory"
	// callBytes is the memory of a call without its message: its stream, its goroutine and its header.
	callBytes = 8 << 10
	// sparedBytes is what a connection may hold whatever clients do, so that the small calls of other hosts, such as gossip,
	// pass while the memory is used up.
	sparedBytes = 64 << 10
	// One address may hold a quarter of the connections of the peers' port, but always minPerAddress.
	addressDivisor = 4
	minPerAddress  = 8
	addressShards  = 16
)

// Guard bounds what strangers at the peers' port can hold. It counts the bytes that arrive on a connection until the
// messages that they belong to are complete, and each call until its message is complete. It implements stats.Handler.
type Guard struct {
	budget     *intake.Budget
	perAddress int
	onRefused  func(intake.Cause)
	// connections holds the number of open connections by address.
	connections *shard.Map[string, int]
}

// NewGuard returns a guard of a port that accepts a number of connections. onRefused counts the refusals by cause.
func NewGuard(b *intake.Budget, connections int, onRefused func(intake.Cause)) *Guard {
	return &Guard{
		budget: b, perAddress: max(connections/addressDivisor, minPerAddress), onRefused: onRefused,
		connections: shard.NewStringMap[string, int](addressShards),
	}
}

// ServerOptions returns the options of a server whose listener the guard bounds.
func (g *Guard) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{grpc.StatsHandler(g), grpc.ChainUnaryInterceptor(g.reserve)}
}

// reserve counts the message of a call until its handler returns, and refuses the call if there is no room for it.
func (g *Guard) reserve(ctx context.Context, m any, _ *grpc.UnaryServerInfo, next grpc.UnaryHandler) (any, error) {
	message, ok := m.(proto.Message)
	if !ok {
		return next(ctx, m)
	}
	release, ok := g.budget.Reserve(time.Now(), int64(proto.Size(message)))
	if !ok {
		g.onRefused(intake.CauseMemory)
		_ = grpc.SetTrailer(ctx, metadata.Pairs(refusedTrailer, refusedForMemory))
		return nil, status.Error(codes.ResourceExhausted, "the memory for requests is used up")
	}
	defer release()
	return next(ctx, m)
}

// Listener returns a listener whose connections the guard bounds.
func (g *Guard) Listener(l net.Listener) net.Listener {
	return &guardedListener{l, g}
}

type guardedListener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener. Connections above the limit of their address are closed.
func (l *guardedListener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		address := inner.RemoteAddr().String()
		if host, _, err := net.SplitHostPort(address); err == nil {
			address = host
		}
		if !l.guard.admit(address) {
			l.guard.onRefused(CauseAddress)
			_ = inner.Close()
			continue
		}
		c := &guardedConn{Conn: inner, guard: l.guard, address: address}
		c.request = l.guard.budget.Open(address, sparedBytes, c.giveUp)
		return c, nil
	}
}

// admit counts a connection of an address unless it has too many.
func (g *Guard) admit(address string) (ok bool) {
	g.connections.WithShard(address, func(open map[string]int) {
		if ok = open[address] < g.perAddress; ok {
			open[address]++
		}
	})
	return ok
}

func (g *Guard) forget(address string) {
	g.connections.WithShard(address, func(open map[string]int) {
		if open[address]--; open[address] == 0 {
			delete(open, address)
		}
	})
}

// guardedConn is a connection of the peers' port.
type guardedConn struct {
	net.Conn
	guard   *Guard
	address string
	request *intake.Request
	close   sync.Once
	// mu guards unfinished, the number of calls whose message is not complete. Finish is called under it, so that no bytes
	// of a call that has just begun are forgotten.
	mu         sync.Mutex
	unfinished int
}

// Read implements net.Conn.
func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && !c.request.Receive(time.Now(), n) {
		return 0, net.ErrClosed
	}
	return n, err
}

// RemoteAddr implements net.Conn. The address leads the stats of calls back to their connection.
func (c *guardedConn) RemoteAddr() net.Addr { return guardedAddr{c.Conn.RemoteAddr(), c} }

type guardedAddr struct {
	net.Addr
	conn *guardedConn
}

// giveUp closes the connection. Close may wait for the lock of a write in progress, so that it runs in a goroutine.
func (c *guardedConn) giveUp(cause intake.Cause) {
	c.guard.onRefused(cause)
	go func() { _ = c.Close() }()
}

// Close implements net.Conn.
func (c *guardedConn) Close() error {
	c.close.Do(func() {
		c.request.Close()
		c.guard.forget(c.address)
	})
	return c.Conn.Close()
}

func (c *guardedConn) begin() {
	c.mu.Lock()
	c.unfinished++
	c.mu.Unlock()
	c.request.Receive(time.Now(), callBytes)
}

// end states that n bytes of the connection are not held any more, and, if callEnded, that a call has its message. Without
// such calls nothing is held: what is left are frames of the protocol and calls that were broken off.
func (c *guardedConn) end(n int, callEnded bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if callEnded {
		c.unfinished--
	}
	if c.unfinished == 0 {
		c.request.Finish()
		return
	}
	c.request.Release(int64(n))
}

type (
	guardedConnKey struct{}
	guardedCallKey struct{}
)

// guardedCall is a call whose first message may not be complete. Its events come one after the other.
type guardedCall struct {
	conn     *guardedConn
	complete bool
}

// TagConn implements stats.Handler.
func (g *Guard) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	if address, ok := info.RemoteAddr.(guardedAddr); ok {
		return context.WithValue(ctx, guardedConnKey{}, address.conn)
	}
	return ctx
}

// HandleConn implements stats.Handler.
func (g *Guard) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (g *Guard) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	if conn, ok := ctx.Value(guardedConnKey{}).(*guardedConn); ok {
		return context.WithValue(ctx, guardedCallKey{}, &guardedCall{conn: conn})
	}
	return ctx
}

// HandleRPC implements stats.Handler.
func (g *Guard) HandleRPC(ctx context.Context, s stats.RPCStats) {
	call, ok := ctx.Value(guardedCallKey{}).(*guardedCall)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.Begin:
		call.conn.begin()
	case *stats.InPayload:
		first := !call.complete
		call.complete = true
		n := s.WireLength
		if first {
			n += callBytes
		}
		call.conn.end(n, first)
	case *stats.End:
		if !call.complete {
			call.complete = true
			call.conn.end(callBytes, true)
		}
	default:
	}
}

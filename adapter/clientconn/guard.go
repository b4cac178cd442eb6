package clientconn

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/intake"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
)

const (
	// sweepInterval is the time between two looks for slow requests.
	sweepInterval = time.Second
	// sparedBytes is what a request of a client may hold whatever the others do: the head and body of an ordinary small one.
	sparedBytes = 4 << 10
	// fullPatience is how long a port without a free connection waits for the next byte of a request.
	fullPatience = time.Second
	// calmTime is how long nothing must have been refused until that is logged as the end of the refusals.
	calmTime   = 30 * time.Second
	connShards = 16
)

// Guard bounds the clients of the HTTP ports of a process.
type Guard struct {
	budget         *intake.Budget
	maxHeaderLines int
	now            func() time.Time
	// onRefused is called with the cause of each refusal.
	onRefused func(intake.Cause)
	refusals  atomic.Int64
	// mu guards ports, the listeners of the guard.
	mu    sync.Mutex
	ports []*listener
}

// NewGuard returns a guard. onRefused counts the refusals by cause.
func NewGuard(b *intake.Budget, maxHeaderLines int, onRefused func(intake.Cause)) *Guard {
	return &Guard{budget: b, maxHeaderLines: maxHeaderLines, now: time.Now, onRefused: onRefused}
}

// Budget returns the budget of the ports.
func (g *Guard) Budget() *intake.Budget { return g.budget }

// Count counts a refusal.
func (g *Guard) Count(cause intake.Cause) {
	g.refusals.Add(1)
	g.onRefused(cause)
}

// Run gives up slow requests until ctx ends, and logs when refusals begin and when they have ended.
func (g *Guard) Run(ctx context.Context, log logrus.FieldLogger) {
	ticker := time.NewTicker(sweepInterval)
	defer ticker.Stop()
	var (
		seen, atStart int64
		lastRefusal   time.Time
		refusing      bool
	)
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := g.now()
		g.budget.GiveUpSlow(now)
		g.freeConnections(now)
		total := g.refusals.Load()
		switch {
		case total > seen:
			if !refusing {
				log.WithFields(logrus.Fields{"held_bytes": g.budget.Used(), "limit_bytes": g.budget.Limit()}).
					Warn("refusing unfinished requests of clients; see client_requests_refused_total")
				atStart = seen
			}
			refusing, seen, lastRefusal = true, total, now
		case refusing && now.Sub(lastRefusal) > calmTime:
			refusing = false
			log.WithField("refused", total-atStart).Info("no unfinished requests of clients refused any more")
		}
	}
}

// Listener returns a listener whose connections the guard bounds. l accepts at most maxConnections at a time. While all of
// them are in use, those that make the port wait for their requests are closed.
func (g *Guard) Listener(l net.Listener, maxConnections int) net.Listener {
	p := &listener{
		Listener: l, guard: g, maxConnections: maxConnections,
		conns: shard.NewMap[uint64, *conn](connShards, func(number uint64) uint64 { return number }),
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ports = append(g.ports, p)
	return p
}

type listener struct {
	net.Listener
	guard          *Guard
	maxConnections int
	// conns holds the open connections by their numbers. accepted is the last number; only Accept uses it, which the server
	// calls from one goroutine.
	conns    *shard.Map[uint64, *conn]
	accepted uint64
}

func (l *listener) forget(c *conn) { l.conns.Delete(c.number) }

// waiting returns the connections that have made the port wait for patience, if all connections are in use.
func (l *listener) waiting(now time.Time, patience time.Duration) []*conn {
	if l.conns.Len() < l.maxConnections {
		return nil
	}
	var out []*conn
	l.conns.ForEachShard(func(conns map[uint64]*conn) {
		for _, c := range conns {
			if since, ok := c.waitsSince(); ok && now.UnixNano()-since >= int64(patience) {
				out = append(out, c)
			}
		}
	})
	return out
}

// freeConnections closes the connections that keep a full port waiting.
func (g *Guard) freeConnections(now time.Time) {
	g.mu.Lock()
	ports := g.ports
	g.mu.Unlock()
	for _, p := range ports {
		for _, c := range p.waiting(now, fullPatience) {
			c.request.GiveUp(intake.CauseConnections)
		}
	}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted++
	c := &conn{Conn: inner, guard: l.guard, port: l, number: l.accepted}
	c.heard.Store(l.guard.now().UnixNano())
	address := inner.RemoteAddr().String()
	if host, _, err := net.SplitHostPort(address); err == nil {
		address = host
	}
	c.request = l.guard.budget.Open(address, sparedBytes, c.giveUp)
	l.conns.Set(c.number, c)
	return c, nil
}

// Track is the ConnState callback of a server.
func Track(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case http.StateIdle:
		c.awaitHead()
	case http.StateActive:
		c.phase.Store(int32(phaseBody))
	default:
	}
}

type connKey struct{}

// ConnContext stores the connection in the context of its requests, for Handler.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler passes requests on to next and counts them as complete once their bodies have been read.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*conn)
		if !ok {
			next.ServeHTTP(w, r)
			return
		}
		c.request.BeginBody(g.now(), r.ContentLength)
		c.received.Store(r.ContentLength == 0)
		if r.ContentLength != 0 {
			r.Body = &body{r.Body, c}
		}
		defer func() {
			c.phase.Store(int32(phaseRest))
			c.request.Finish()
		}()
		next.ServeHTTP(w, r)
	})
}

// body is the body of a request. Its end completes the request.
type body struct {
	io.ReadCloser
	conn *conn
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF { //nolint:errorlint // io.Reader returns it unwrapped.
		b.conn.request.Complete()
		b.conn.received.Store(true)
	}
	return n, err
}

package targethttp

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http/httptrace"
	"net/textproto"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/routing"
)

// errNotSent is the error of a write that a gatedConn refused.
var errNotSent = errors.New("the attempt is over or has begun on another connection")

// exchange is one attempt of a request. It is bound to one connection at most.
type exchange struct {
	cancel context.CancelFunc
	done   chan routing.AttemptResult
	// deadline is the time from which the exchange must not begin. A timer alone does not ensure this: in a process that
	// resumes after a pause, a write may run before the timer fires, and another host may already use the target's slot.
	deadline time.Time
	now      func() time.Time

	// mu guards the fields below, which the goroutines of the connection and of the caller share.
	mu               sync.Mutex
	conn             *gatedConn
	revoked          bool
	ended            bool
	abandoned        bool
	interimResponses int
	scanner          headerScanner
}

// trace returns hooks that assign the exchange to the connection that the transport picks, and that count interim
// responses.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if e.mayHaveWritten() {
				// The transport is retrying the request. Without the cancellation it would try all idle connections.
				e.cancel()
			}
			if c, ok := info.Conn.(*gatedConn); ok {
				c.exchange.Store(e)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.interimResponses++
			return nil
		},
	}
}

// bind binds the exchange to c if it is not bound yet and may still begin. It reports whether bytes may be written to
// c, and whether they are the first ones.
func (e *exchange) bind(c *gatedConn) (ok, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil && !e.revoked && e.now().Before(e.deadline) {
		e.conn = c
		return true, true
	}
	return e.conn == c, false
}

// unbind releases the exchange from its connection after a write of which no byte was sent.
func (e *exchange) unbind() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = nil
}

// revoke prevents the exchange from beginning. It returns false if the exchange has begun or ended.
func (e *exchange) revoke() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil || e.ended {
		return false
	}
	e.revoked = true
	return true
}

// mayHaveWritten reports whether a byte of the request may have been written.
func (e *exchange) mayHaveWritten() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn != nil
}

// finish delivers the result to the waiting caller, or to late if the caller has abandoned the exchange.
func (e *exchange) finish(a routing.AttemptResult, late func(routing.AttemptResult)) {
	e.mu.Lock()
	e.ended = true
	abandoned := e.abandoned
	e.mu.Unlock()
	if abandoned {
		late(a)
		return
	}
	e.done <- a
}

// markAbandoned records that the caller no longer waits. It returns false if the exchange has ended.
func (e *exchange) markAbandoned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandoned = !e.ended
	return e.abandoned
}

// closeConn closes the connection, so that bytes that still arrive on it are not read as the answer to another
// request.
func (e *exchange) closeConn() {
	e.mu.Lock()
	c := e.conn
	e.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// surplusBytes returns the number of bytes received after a body of the given length, or 0 if it is not known.
func (e *exchange) surplusBytes(length int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.interimResponses >= len(e.scanner.headerEnds) {
		return 0
	}
	return max(0, e.scanner.totalBytes-e.scanner.headerEnds[e.interimResponses]-length)
}

// headerScanner finds the ends of header blocks in the received bytes. A response may follow interim ones, which have
// a header block each.
type headerScanner struct {
	totalBytes int64
	// headerEnds holds the offsets of the first bytes after the header blocks.
	headerEnds []int64
	// tail holds the last bytes, in which the end of a header block may have begun.
	tail []byte
}

const (
	maxHeaderBlocks = 8
	headerEnd       = "\r\n\r\n"
)

func (s *headerScanner) scan(b []byte) {
	start := s.totalBytes - int64(len(s.tail))
	s.totalBytes += int64(len(b))
	if len(s.headerEnds) == maxHeaderBlocks {
		return
	}
	window := slices.Concat(s.tail, b)
	from := 0
	for len(s.headerEnds) < maxHeaderBlocks {
		i := bytes.Index(window[from:], []byte(headerEnd))
		if i < 0 {
			break
		}
		from += i + len(headerEnd)
		s.headerEnds = append(s.headerEnds, start+int64(from))
	}
	keep := min(len(window)-from, len(headerEnd)-1)
	s.tail = bytes.Clone(window[len(window)-keep:])
}

// gatedConn is a connection that sends only bytes of an exchange that is bound to it or can be bound to it.
type gatedConn struct {
	net.Conn
	exchange atomic.Pointer[exchange]
}

// gatedDialer returns a dial function for http.Transport that wraps connections in gatedConn.
func gatedDialer(
	dial func(ctx context.Context, address string) (net.Conn, error), timeout time.Duration,
) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, _, address string) (net.Conn, error) {
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		c, err := dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return &gatedConn{Conn: c}, nil
	}
}

// Write sends bytes of the current exchange, or returns errNotSent.
func (c *gatedConn) Write(b []byte) (int, error) {
	e := c.exchange.Load()
	if e == nil {
		return 0, errNotSent
	}
	ok, first := e.bind(c)
	if !ok {
		return 0, errNotSent
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		e.unbind()
	}
	return n, err
}

// Read receives bytes and passes them to the header scanner of the current exchange.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if e := c.exchange.Load(); e != nil && n > 0 {
		e.mu.Lock()
		e.scanner.scan(b[:n])
		e.mu.Unlock()
	}
	return n, err
}

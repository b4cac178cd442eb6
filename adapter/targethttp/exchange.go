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

// errNotSent is returned for bytes that a connection refused to send.
var errNotSent = errors.New("the attempt is over or has begun on another connection")

// exchange is one attempt of a request. It begins on one connection at most.
type exchange struct {
	cancel context.CancelFunc
	done   chan routing.AttemptResult
	// deadline is when the exchange can no longer begin. Timers alone are not enough: in a process that was stopped and
	// resumes, a write may come before the timer, when another host may already use the target's slot.
	deadline time.Time
	now      func() time.Time

	// mu guards the fields below: the connection's goroutines and the caller's use them at the same time.
	mu        sync.Mutex
	conn      *gatedConn
	revoked   bool
	ended     bool
	abandoned bool
	interim   int
	reader    headerScanner
}

// trace ties the exchange to the connection that the transport picks.
func (e *exchange) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if e.written() {
				// The transport repeats the request by itself. Without this, it would go through its idle connections.
				e.cancel()
			}
			if c, ok := info.Conn.(*gatedConn); ok {
				c.exchange.Store(e)
			}
		},
		Got1xxResponse: func(int, textproto.MIMEHeader) error {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.interim++
			return nil
		},
	}
}

// begin reports whether bytes may be written to c, and ties the exchange to it. first is set for the first bytes.
func (e *exchange) begin(c *gatedConn) (ok, first bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil && !e.revoked && e.now().Before(e.deadline) {
		e.conn = c
		return true, true
	}
	return e.conn == c, false
}

// unbegin unties the exchange after a connection took no byte of it.
func (e *exchange) unbegin() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.conn = nil
}

// revoke prevents the exchange from beginning; false if it has begun.
func (e *exchange) revoke() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil || e.ended {
		return false
	}
	e.revoked = true
	return true
}

// written reports whether a byte may have been written.
func (e *exchange) written() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.conn != nil
}

// finish delivers the end to the waiting caller, or to late if that has gone.
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

// abandon notes that the caller has gone; false if the exchange has ended.
func (e *exchange) abandon() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.abandoned = !e.ended
	return e.abandoned
}

// closeConn closes the connection, so that what follows on it reaches no other request.
func (e *exchange) closeConn() {
	e.mu.Lock()
	c := e.conn
	e.mu.Unlock()
	if c != nil {
		_ = c.Close()
	}
}

// surplus returns the number of bytes received after a body of the given length; 0 if that is not known.
func (e *exchange) surplus(length int64) int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.interim >= len(e.reader.ends) {
		return 0
	}
	return max(0, e.reader.total-e.reader.ends[e.interim]-length)
}

// headerScanner finds where the headers end in the received bytes. A response may be preceded by interim ones.
type headerScanner struct {
	total int64
	ends  []int64
	tail  []byte
}

const (
	maxHeaderBlocks = 8
	headerEnd       = "\r\n\r\n"
)

func (s *headerScanner) add(b []byte) {
	start := s.total - int64(len(s.tail))
	s.total += int64(len(b))
	if len(s.ends) == maxHeaderBlocks {
		return
	}
	window := slices.Concat(s.tail, b)
	from := 0
	for len(s.ends) < maxHeaderBlocks {
		i := bytes.Index(window[from:], []byte(headerEnd))
		if i < 0 {
			break
		}
		from += i + len(headerEnd)
		s.ends = append(s.ends, start+int64(from))
	}
	keep := min(len(window)-from, len(headerEnd)-1)
	s.tail = bytes.Clone(window[len(window)-keep:])
}

// gatedConn sends bytes only for an exchange that may begin or has begun on it.
type gatedConn struct {
	net.Conn
	exchange atomic.Pointer[exchange]
}

func dialGated(
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

// Write sends bytes of the current exchange.
func (c *gatedConn) Write(b []byte) (int, error) {
	e := c.exchange.Load()
	if e == nil {
		return 0, errNotSent
	}
	ok, first := e.begin(c)
	if !ok {
		return 0, errNotSent
	}
	n, err := c.Conn.Write(b)
	if first && n == 0 && err != nil {
		e.unbegin()
	}
	return n, err
}

// Read receives bytes and counts them for the current exchange.
func (c *gatedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if e := c.exchange.Load(); e != nil && n > 0 {
		e.mu.Lock()
		e.reader.add(b[:n])
		e.mu.Unlock()
	}
	return n, err
}

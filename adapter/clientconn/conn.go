// Package clientconn bounds what the clients of an HTTP port can hold: it counts the bytes of unfinished requests as they
// arrive, bounds the lines of a head, and ends the requests that the budget gives up.
package clientconn

import (
	"errors"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/intake"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// CauseHeaderLines is the cause of a refusal because of the number of lines of a head.
const CauseHeaderLines intake.Cause = "header_lines"

const (
	// answerHead is the answer to a head with too many lines, after which the connection is closed. Such a request never
	// runs.
	answerHead = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nBulrush-Verdict: not-run\r\nContent-Length: 0\r\n\r\n"
	// answerTimeout bounds the write of such an answer. The client may not read.
	answerTimeout = 50 * time.Millisecond
	retryAfter    = time.Second
)

// errNotRun is the cause of the error with which the handler of a request that was given up reads its body.
var errNotRun = errors.New("the request was not received completely")

// phase is what the bytes that arrive on a connection belong to.
type phase int32

const (
	phaseHead phase = iota
	phaseBody
	// phaseRest is after the handler has returned: the server discards what is left of the body.
	phaseRest
)

// conn is a connection of a client.
type conn struct {
	net.Conn
	guard   *Guard
	request *intake.Request
	phase   atomic.Int32
	closed  atomic.Bool
	// heard is the time of the last byte, or that of the connection, in nanoseconds since 1970. idle is set while the
	// connection waits for a further request, received once the whole body of the present one has arrived.
	heard          atomic.Int64
	idle, received atomic.Bool
	port           *listener
	// number names the connection at its port.
	number uint64
	// lines counts the lines of the head, lineBytes the bytes of the last one. Only Read uses them, which the server calls
	// from one goroutine at a time.
	lines, lineBytes int
	headEnded        bool
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if cause := c.request.Refused(); cause != "" {
		return 0, c.refusal(cause)
	}
	n, err := c.Conn.Read(p)
	current := phase(c.phase.Load())
	if n > 0 {
		now := c.guard.now()
		c.heard.Store(now.UnixNano())
		c.idle.Store(false)
		if current != phaseRest && !c.request.Receive(now, n) {
			return 0, c.refusal(c.request.Refused())
		}
	}
	if current == phaseHead && !c.countLines(p[:n]) {
		c.guard.Count(CauseHeaderLines)
		c.answer(answerHead)
		return 0, io.EOF
	}
	if err != nil && n == 0 {
		if cause := c.request.Refused(); cause != "" {
			return 0, c.refusal(cause)
		}
	}
	return n, err
}

// refusal returns the error of reading a request that was given up. Its handler answers it. Without a complete head the
// connection closes without an answer: whether an earlier attempt ran under the same key is not known.
func (c *conn) refusal(cause intake.Cause) error {
	if phase(c.phase.Load()) == phaseHead {
		return io.EOF
	}
	message := "the memory for unfinished requests is used up"
	switch cause {
	case intake.CauseSlow:
		message = "the body arrives too slowly"
	case intake.CauseConnections:
		message = "all connections are in use and the body does not arrive"
	default:
	}
	return verdict.Wrap(errNotRun, verdict.NotRun, verdict.CodeUnavailable, "%s", message).WithRetryAfter(retryAfter)
}

// answer writes an answer in place of the server, if the client reads.
func (c *conn) answer(text string) {
	_ = c.SetWriteDeadline(time.Now().Add(answerTimeout))
	_, _ = io.WriteString(c.Conn, text)
}

// countLines counts the lines of the head in b, and returns false if there are too many.
func (c *conn) countLines(b []byte) bool {
	for _, char := range b {
		switch {
		case c.headEnded:
			return true
		case char == '\n' && c.lineBytes == 0 && c.lines > 0:
			c.headEnded = true
		case char == '\n':
			c.lines++
			c.lineBytes = 0
			if c.lines > c.guard.maxHeaderLines {
				return false
			}
		case char != '\r':
			c.lineBytes++
		}
	}
	return true
}

// awaitHead prepares the connection for its next request.
func (c *conn) awaitHead() {
	c.lines, c.lineBytes, c.headEnded = 0, 0, false
	c.request.Finish()
	c.received.Store(false)
	c.phase.Store(int32(phaseHead))
	c.idle.Store(true)
}

// waitsSince returns since when the connection has been waiting for the rest of a request, or for its first; ok is false if
// it is idle after a request or its request is in progress.
func (c *conn) waitsSince() (since int64, ok bool) {
	p := phase(c.phase.Load())
	return c.heard.Load(), p == phaseHead && !c.idle.Load() || p == phaseBody && !c.received.Load()
}

// giveUp ends the request that is arriving: a read that waits returns at once.
func (c *conn) giveUp(cause intake.Cause) {
	c.guard.Count(cause)
	_ = c.SetReadDeadline(time.Now())
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.request.Close()
		c.port.forget(c)
	}
	return c.Conn.Close()
}

// SyscallConn implements syscall.Conn, with which a handler sees that its client has disconnected.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	inner := c.Conn
	if wrapped, ok := inner.(interface{ NetConn() net.Conn }); ok {
		inner = wrapped.NetConn()
	}
	if socket, ok := inner.(syscall.Conn); ok {
		return socket.SyscallConn()
	}
	return nil, errors.ErrUnsupported
}

package load

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
)

// errHostClosed means that the host closed the connection before the request was written.
var errHostClosed = errors.New("the host has closed the connection")

// closeAwareConn is a connection that refuses to write after the host has closed it. The client of net/http notices the
// end of an idle connection a little later than the kernel; a request that it writes in between is lost, although the
// host did nothing wrong.
type closeAwareConn struct {
	net.Conn
	raw     syscall.RawConn
	written atomic.Int64
}

// closeAwareDialer returns a dialer that wraps the connections of dial in closeAwareConn.
func closeAwareDialer(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		out := &closeAwareConn{Conn: c}
		if socket, ok := c.(syscall.Conn); ok {
			// Without access to the socket, raw is nil and the check is skipped.
			out.raw, _ = socket.SyscallConn()
		}
		return out, nil
	}
}

// Write fails without writing if the host has closed the connection.
func (c *closeAwareConn) Write(b []byte) (int, error) {
	if c.closedByHost() {
		return 0, errHostClosed
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func (c *closeAwareConn) closedByHost() bool {
	if c.raw == nil {
		return false
	}
	closed := false
	// RawConn.Control instead of RawConn.Read, because the client's background read holds the read lock.
	err := c.raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// Data that arrives before the request is the host's final message on an idle connection.
		closed = err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return closed || err != nil
}

// connUse is the connection of one request.
type connUse struct {
	conn          *closeAwareConn
	writtenBefore int64
	reused        bool
}

// nothingWritten reports whether the request got a connection but no byte was written to it since.
func (u *connUse) nothingWritten() bool {
	return u != nil && u.conn != nil && u.conn.written.Load() == u.writtenBefore
}

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

// callerConn is a connection that writes nothing after the host has closed it. The client of net/http notices the end
// of an idle connection a little later than the kernel, and a request that it writes meanwhile is lost without any fault
// of the host.
type callerConn struct {
	net.Conn
	raw     syscall.RawConn
	written atomic.Int64
}

// watching returns a dialer whose connections are callerConns.
func watching(dial func(ctx context.Context, network, address string) (net.Conn, error)) func(context.Context, string, string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		out := &callerConn{Conn: c}
		if socket, ok := c.(syscall.Conn); ok {
			// A connection without access to its socket is used without looking at it.
			out.raw, _ = socket.SyscallConn()
		}
		return out, nil
	}
}

// Write fails without writing if the host has closed the connection.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.closedByHost() {
		return 0, errHostClosed
	}
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

func (c *callerConn) closedByHost() bool {
	if c.raw == nil {
		return false
	}
	closed := false
	// Control and not Read: the client's reading in the background holds the lock of Read.
	err := c.raw.Control(func(fd uintptr) {
		var next [1]byte
		_, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		// Data before the request is the last word of the host on an idle connection.
		closed = err == nil || errors.Is(err, syscall.ECONNRESET)
	})
	return closed || err != nil
}

// use is what one request does to a connection.
type use struct {
	conn   *callerConn
	before int64
	open   bool
}

// unwritten reports whether the request got a connection and nothing of it was written.
func (u *use) unwritten() bool {
	return u != nil && u.conn != nil && u.conn.written.Load() == u.before
}

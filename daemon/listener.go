package daemon

import (
	"net"
	"syscall"

	"golang.org/x/net/netutil"
)

func listenTCP(address string) (net.Listener, error) {
	return net.Listen("tcp", address)
}

// limitListener bounds the open connections of l. Unlike those of netutil.LimitListener, its connections give access
// to their sockets, so that a server can detect that a caller has disconnected.
func limitListener(l net.Listener, maxConnections int) net.Listener {
	sockets := &socketListener{Listener: l}
	return &limitedListener{Listener: netutil.LimitListener(sockets, maxConnections), sockets: sockets}
}

// socketListener keeps the connection that it accepted last.
type socketListener struct {
	net.Listener
	last net.Conn
}

func (l *socketListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.last = c
	return c, err
}

// limitedListener pairs a limited connection with the socket accepted last. Accept must be called from one goroutine
// only, as http.Server does; otherwise the socket could be that of another connection.
type limitedListener struct {
	net.Listener
	sockets *socketListener
}

func (l *limitedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	socket, ok := l.sockets.last.(syscall.Conn)
	if !ok {
		return c, nil
	}
	return &socketConn{Conn: c, socket: socket}, nil
}

// socketConn is a limited connection with its socket.
type socketConn struct {
	net.Conn
	socket syscall.Conn
}

// SyscallConn implements syscall.Conn.
func (c *socketConn) SyscallConn() (syscall.RawConn, error) {
	return c.socket.SyscallConn()
}

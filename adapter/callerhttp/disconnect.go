package callerhttp

import (
	"context"
	"errors"
	"net"
	"syscall"
)

type connKey struct{}

// ConnContext stores the connection in the context of the requests on it. It is meant for http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// callerDisconnected reports whether the caller has closed its connection. It peeks at the socket and reads nothing
// from it. The context of a request is also cancelled when the caller disconnects, but only after the server's
// background read has seen the end of the connection: a process that was paused and resumes would otherwise start
// requests that were abandoned during the pause.
func callerDisconnected(ctx context.Context) bool {
	if ctx.Err() != nil {
		return true
	}
	c, ok := ctx.Value(connKey{}).(net.Conn)
	if !ok {
		return false
	}
	if wrapped, isWrapped := c.(interface{ NetConn() net.Conn }); isWrapped {
		c = wrapped.NetConn()
	}
	socket, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	disconnected := false
	// RawConn.Control instead of RawConn.Read, because the server's background read holds the read lock.
	controlErr := raw.Control(func(fd uintptr) {
		var next [1]byte
		n, _, err := syscall.Recvfrom(int(fd), next[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		disconnected = err == nil && n == 0 || errors.Is(err, syscall.ECONNRESET)
	})
	return disconnected || controlErr != nil
}

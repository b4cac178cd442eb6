package network

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"syscall"

	"google.golang.org/grpc/test/bufconn"
)

// memoryBufferBytes is the size of the buffer of an in-memory connection in each direction, which bounds the data under
// way as the buffers of a socket do.
const memoryBufferBytes = 64 << 10

// MemoryTransport connects listeners and dialers within the process, so that whole hosts can run under a fake clock.
type MemoryTransport struct {
	// mu guards listeners.
	mu        sync.Mutex
	listeners map[string]*memoryListener
}

// NewMemoryTransport returns a transport without listeners.
func NewMemoryTransport() *MemoryTransport {
	return &MemoryTransport{listeners: make(map[string]*memoryListener)}
}

type memoryListener struct {
	*bufconn.Listener
	address net.Addr
}

// Addr implements net.Listener.
func (l *memoryListener) Addr() net.Addr { return l.address }

// Listen returns a listener for an address, of the form IP:PORT. It replaces an earlier listener for the address, such
// as that of a host that was killed.
func (m *MemoryTransport) Listen(address string) (net.Listener, error) {
	parsed, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, err
	}
	l := &memoryListener{Listener: bufconn.Listen(memoryBufferBytes), address: net.TCPAddrFromAddrPort(parsed)}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.listeners[address] = l
	return l, nil
}

func (m *MemoryTransport) dial(ctx context.Context, address string) (net.Conn, error) {
	m.mu.Lock()
	l, ok := m.listeners[address]
	m.mu.Unlock()
	if !ok {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: syscall.ECONNREFUSED}
	}
	c, err := l.DialContext(ctx)
	if err != nil {
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: fmt.Errorf("%w: %w", syscall.ECONNREFUSED, err)}
	}
	return c, nil
}

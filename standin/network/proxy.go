package network

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// ProxyState is how a Proxy treats data.
type ProxyState string

// The states of a proxy. Data discarded by a cut is lost, as with a broken route. A connection that lost data is reset
// when the state changes, because TCP does not deliver data after a gap.
const (
	// ProxyUp forwards data without delay.
	ProxyUp ProxyState = "up"
	// ProxySlow delays each read of data by slowDelay.
	ProxySlow ProxyState = "slow"
	// ProxyCutIn discards the data to the server.
	ProxyCutIn ProxyState = "cut-in"
	// ProxyCutOut discards the data from the server.
	ProxyCutOut ProxyState = "cut-out"
	// ProxySilent discards the data in both directions.
	ProxySilent ProxyState = "silent"
	// ProxyReset resets every open connection once. It is only a command: the proxy stays in its previous state.
	ProxyReset ProxyState = "reset"
)

const (
	slowDelay        = 150 * time.Millisecond
	proxyDialTimeout = 5 * time.Second
)

// Proxy forwards TCP connections on loopback to one server. It injects faults between client and server without the
// help of either.
type Proxy struct {
	listener net.Listener
	server   string
	closed   chan struct{}

	// mu guards the fields below. It is held from the check of the state until lostData is set, so that a change of
	// state resets every connection that has lost data under the previous state.
	mu          sync.Mutex
	state       ProxyState
	connections map[*proxiedConn]bool
}

// proxiedConn is one connection through a proxy.
type proxiedConn struct {
	client, server *net.TCPConn
	// lostData is set once data of the connection has been discarded.
	lostData bool
}

// StartProxy starts a proxy for a server address on a free loopback port.
func StartProxy(server string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	p := &Proxy{listener: l, server: server, closed: make(chan struct{}), state: ProxyUp, connections: make(map[*proxiedConn]bool)}
	go p.accept()
	return p, nil
}

// Address returns the address that the proxy listens on.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the state and resets the connections that have lost data. ProxyReset resets all connections and leaves
// the state as it is.
func (p *Proxy) Set(newState ProxyState) error {
	switch newState {
	case ProxyUp, ProxySlow, ProxyCutIn, ProxyCutOut, ProxySilent, ProxyReset:
	default:
		return fmt.Errorf("unknown proxy state %q: want up, slow, cut-in, cut-out, silent or reset", newState)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for pc := range p.connections {
		if pc.lostData || newState == ProxyReset {
			pc.reset()
		}
	}
	if newState != ProxyReset {
		p.state = newState
	}
	return nil
}

// Close ends the proxy and resets its connections.
func (p *Proxy) Close() error {
	close(p.closed)
	return errors.Join(p.listener.Close(), p.Set(ProxyReset))
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		if client, ok := c.(*net.TCPConn); ok {
			go p.forward(client)
		}
	}
}

// forward forwards one connection until both directions have ended. The client is reset if the server accepts no
// connection.
func (p *Proxy) forward(client *net.TCPConn) {
	c, err := net.DialTimeout("tcp", p.server, proxyDialTimeout)
	server, ok := c.(*net.TCPConn)
	if err != nil || !ok {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	pc := &proxiedConn{client: client, server: server}
	p.mu.Lock()
	p.connections[pc] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.copyDirection(pc, client, server, ProxyCutIn) })
	wg.Go(func() { p.copyDirection(pc, server, client, ProxyCutOut) })
	wg.Wait()
	p.mu.Lock()
	delete(p.connections, pc)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// copyDirection copies data in one direction. In the states cutState and ProxySilent it discards the data, and does not
// pass on the end of the stream either: the next change of state then resets the connection.
func (p *Proxy) copyDirection(pc *proxiedConn, from, to *net.TCPConn, cutState ProxyState) {
	buffer := make([]byte, segmentBytes)
	for {
		n, err := from.Read(buffer)
		delay, discarded := p.delayOrDiscard(pc, cutState)
		if discarded && err == nil {
			continue
		}
		if discarded || !p.wait(delay) {
			return
		}
		if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
			err = writeErr
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		default:
			pc.reset()
			return
		}
	}
}

// delayOrDiscard returns by how much data that was just read is to be delayed. If it is to be discarded instead, the
// connection is marked with lostData.
func (p *Proxy) delayOrDiscard(pc *proxiedConn, cutState ProxyState) (delay time.Duration, discard bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == cutState || p.state == ProxySilent {
		pc.lostData = true
		return 0, true
	}
	if p.state == ProxySlow {
		return slowDelay, false
	}
	return 0, false
}

// wait waits for d. It returns false if the proxy is closed first.
func (p *Proxy) wait(d time.Duration) bool {
	if d == 0 {
		return true
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-p.closed:
		return false
	}
}

// reset closes the connections to client and server with a TCP reset: SetLinger(0) discards unsent data.
func (pc *proxiedConn) reset() {
	for _, c := range []*net.TCPConn{pc.client, pc.server} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

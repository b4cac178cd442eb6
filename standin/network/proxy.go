package network

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"
)

// ProxyState is how a Proxy treats the bytes that pass it.
type ProxyState string

// The states. What a cut swallows is lost, as behind a broken route, and a connection that lost bytes is reset when the
// state changes: TCP would not deliver what follows a gap.
const (
	ProxyUp ProxyState = "up"
	// ProxySlow delays each piece of data by proxyDelay.
	ProxySlow ProxyState = "slow"
	// ProxyCutIn swallows what goes to the server, ProxyCutOut what comes from it, ProxySilent both.
	ProxyCutIn  ProxyState = "cut-in"
	ProxyCutOut ProxyState = "cut-out"
	ProxySilent ProxyState = "silent"
	// ProxyReset resets every connection and leaves the state as it is.
	ProxyReset ProxyState = "reset"
)

const (
	proxyDelay       = 150 * time.Millisecond
	proxyDialTimeout = 5 * time.Second
)

// Proxy forwards TCP connections on loopback to one server, and delays, resets, cuts or silences them from outside of
// both ends.
type Proxy struct {
	listener net.Listener
	server   string
	closed   chan struct{}

	// mu guards the fields below. A connection is marked as broken under it, so that none that lost bytes outlives the
	// state in which it lost them.
	mu    sync.Mutex
	state ProxyState
	flows map[*flow]bool
}

// flow is one connection through a proxy.
type flow struct {
	client, server *net.TCPConn
	// broken is set if bytes were lost.
	broken bool
}

// StartProxy forwards a free port of loopback to a server.
func StartProxy(server string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	p := &Proxy{listener: l, server: server, closed: make(chan struct{}), state: ProxyUp, flows: make(map[*flow]bool)}
	go p.accept()
	return p, nil
}

// Address returns the address that stands for the server.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes the state, or resets the open connections.
func (p *Proxy) Set(s ProxyState) error {
	switch s {
	case ProxyUp, ProxySlow, ProxyCutIn, ProxyCutOut, ProxySilent, ProxyReset:
	default:
		return fmt.Errorf("state %q of a proxy: want up, slow, cut-in, cut-out, silent or reset", s)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for f := range p.flows {
		if f.broken || s == ProxyReset {
			f.reset()
		}
	}
	if s != ProxyReset {
		p.state = s
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

// forward serves one connection until both directions have ended. A client whose server takes no connection is reset.
func (p *Proxy) forward(client *net.TCPConn) {
	c, err := net.DialTimeout("tcp", p.server, proxyDialTimeout)
	server, ok := c.(*net.TCPConn)
	if err != nil || !ok {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	f := &flow{client: client, server: server}
	p.mu.Lock()
	p.flows[f] = true
	p.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { p.pump(f, client, server, ProxyCutIn) })
	wg.Go(func() { p.pump(f, server, client, ProxyCutOut) })
	wg.Wait()
	p.mu.Lock()
	delete(p.flows, f)
	p.mu.Unlock()
	_ = client.Close()
	_ = server.Close()
}

// pump copies one direction, which the state cut swallows. A cut hides the end of a direction too, until the connection
// is reset with the next state.
func (p *Proxy) pump(f *flow, from, to *net.TCPConn, cut ProxyState) {
	buffer := make([]byte, segmentBytes)
	for {
		n, err := from.Read(buffer)
		delay, swallowed := p.treat(f, cut)
		if swallowed && err == nil {
			continue
		}
		if swallowed || !p.wait(delay) {
			return
		}
		if _, failed := to.Write(buffer[:n]); failed != nil {
			err = failed
		}
		switch {
		case err == nil:
		case errors.Is(err, io.EOF):
			_ = to.CloseWrite()
			return
		default:
			f.reset()
			return
		}
	}
}

// treat returns the delay of data that has just come, or marks the connection as broken if the data is swallowed.
func (p *Proxy) treat(f *flow, cut ProxyState) (delay time.Duration, swallowed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == cut || p.state == ProxySilent {
		f.broken = true
		return 0, true
	}
	if p.state == ProxySlow {
		return proxyDelay, false
	}
	return 0, false
}

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

// reset ends both sides without a proper close, so that their ends see a reset.
func (f *flow) reset() {
	for _, c := range []*net.TCPConn{f.client, f.server} {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
}

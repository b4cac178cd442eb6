// Package network simulates the network between data centres: its dialers return connections with delays and
// partitions, and its proxies inject faults into real TCP connections.
package network

import (
	"context"
	"fmt"
	"net"
	"sync"
	"time"
)

// Zone is the name of one end of links, such as a data centre or a single host.
type Zone string

// link is one direction between two zones.
type link struct {
	from, to Zone
}

// Network holds the delay of each link and whether it is cut. Links without a setting have no delay and are up. It is
// safe for concurrent use.
type Network struct {
	// mu guards the fields below. Connections read them for each segment; changes are rare.
	mu     sync.RWMutex
	zones  map[string]Zone
	delays map[link]time.Duration
	cut    map[link]bool
	// isolated holds the zones whose links are all cut, including links to zones that are added later.
	isolated map[Zone]bool
	// dial opens the underlying connection.
	dial func(ctx context.Context, address string) (net.Conn, error)
	// changed is closed and replaced on each change of cut or isolated, to wake connections that hold back data.
	changed chan struct{}
}

// New returns a network over TCP.
func New() *Network {
	return &Network{
		zones:    make(map[string]Zone),
		delays:   make(map[link]time.Duration),
		cut:      make(map[link]bool),
		changed:  make(chan struct{}),
		isolated: make(map[Zone]bool),
		dial: func(ctx context.Context, address string) (net.Conn, error) {
			var d net.Dialer
			return d.DialContext(ctx, "tcp", address)
		},
	}
}

// NewInMemory returns a network over the listeners of m.
func NewInMemory(m *MemoryTransport) *Network {
	n := New()
	n.dial = m.dial
	return n
}

// SetZone assigns an address to a zone.
func (n *Network) SetZone(address string, zone Zone) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.zones[address] = zone
}

// SetDelay sets the one-way delay between two zones in both directions.
func (n *Network) SetDelay(a, b Zone, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[link{a, b}] = delay
	n.delays[link{b, a}] = delay
}

// SetCut cuts or restores the links between two zones in both directions. As in a network partition, a cut link holds
// back the data of open connections, and attempts to open new ones get no answer.
func (n *Network) SetCut(a, b Zone, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[link{a, b}] = cut
	n.cut[link{b, a}] = cut
	close(n.changed)
	n.changed = make(chan struct{})
}

// Heal restores all links, including those of isolated zones.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
	clear(n.isolated)
	close(n.changed)
	n.changed = make(chan struct{})
}

// SetIsolated cuts or restores all links of a zone. Links that SetCut has cut stay cut.
func (n *Network) SetIsolated(zone Zone, isolated bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[zone] = isolated
	close(n.changed)
	n.changed = make(chan struct{})
}

func (n *Network) linkState(l link) (delay time.Duration, cut bool, changed <-chan struct{}) {
	n.mu.RLock()
	defer n.mu.RUnlock()
	return n.delays[l], n.cut[l] || n.isolated[l.from] || n.isolated[l.to], n.changed
}

// Dialer returns a function that connects from a zone to an address. An address that SetZone has not assigned to a zone
// is treated as part of the zone from.
func (n *Network) Dialer(from Zone) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		n.mu.RLock()
		to, ok := n.zones[address]
		n.mu.RUnlock()
		if !ok {
			to = from
		}
		if err := n.awaitUp(ctx.Done(), link{from, to}); err != nil {
			return nil, fmt.Errorf("dial %s: %w", address, err)
		}
		conn, err := n.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return newConn(n, conn, link{from, to}), nil
	}
}

// awaitUp waits until the link is up. It returns context.Canceled if done is closed first.
func (n *Network) awaitUp(done <-chan struct{}, l link) error {
	for {
		_, cut, changed := n.linkState(l)
		if !cut {
			return nil
		}
		select {
		case <-changed:
		case <-done:
			return context.Canceled
		}
	}
}

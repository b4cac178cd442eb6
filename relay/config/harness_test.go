package config_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/adapter/tablepb"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

var bg = context.Background()

// fleet is a set of services with one store, connected by in-process calls.
type fleet struct {
	t      testing.TB
	engine *kv.Engine

	mu          sync.Mutex
	hosts       map[ident.HostID]*config.Service
	unreachable map[ident.HostID]bool
	// tamper, if set, changes what is fetched from a peer.
	tamper func(*config.Update)
	// leased holds the member records. onLeased, if set, is called after each read of them.
	leased   []ident.Instance
	onLeased func()
}

func newFleet(t testing.TB, c kv.Config) *fleet {
	return &fleet{
		t: t, engine: kv.New(c),
		hosts: make(map[ident.HostID]*config.Service), unreachable: make(map[ident.HostID]bool),
	}
}

// hostLink connects one host to the fleet. It implements config.Peers and config.Members.
type hostLink struct {
	fleet *fleet
	self  ident.Instance
}

var errUnreachable = errors.New("no connection")

func (l hostLink) peer(host ident.HostID) (*config.Service, error) {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	s, found := l.fleet.hosts[host]
	if !found || l.fleet.unreachable[host] || l.fleet.unreachable[l.self.Host] {
		return nil, errUnreachable
	}
	return s, nil
}

func (l hostLink) Digest(_ context.Context, host ident.HostID, mine config.PeerDigest) (config.PeerDigest, error) {
	s, err := l.peer(host)
	if err != nil {
		return config.PeerDigest{}, err
	}
	return s.HandleDigest(mine), nil
}

func (l hostLink) Fetch(_ context.Context, host ident.HostID, since table.Revision, full bool) (config.Update, error) {
	s, err := l.peer(host)
	if err != nil {
		return config.Update{}, err
	}
	u, err := s.HandleFetch(since, full)
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	if l.fleet.tamper != nil {
		l.fleet.tamper(&u)
	}
	return u, err
}

func (l hostLink) LiveHosts() []ident.HostID {
	l.fleet.mu.Lock()
	defer l.fleet.mu.Unlock()
	var hosts []ident.HostID
	for host := range l.fleet.hosts {
		if host != l.self.Host {
			hosts = append(hosts, host)
		}
	}
	slices.Sort(hosts)
	return hosts
}

func (l hostLink) LeasedMembers(context.Context) ([]ident.Instance, error) {
	l.fleet.mu.Lock()
	leased, f := slices.Clone(l.fleet.leased), l.fleet.onLeased
	l.fleet.mu.Unlock()
	if f != nil {
		f()
	}
	if l.fleet.engine.Fault().Down {
		return nil, store.ErrUnavailable
	}
	return leased, nil
}

// host adds a service without starting it. st, if not nil, replaces the store of the host.
func (f *fleet) host(name string, incarnation ident.Incarnation, st store.Store) *config.Service {
	log := logrus.New()
	log.SetOutput(io.Discard)
	self := ident.Instance{Host: ident.HostID(name), Incarnation: incarnation}
	if st == nil {
		st = f.engine.Client(name)
	}
	l := hostLink{fleet: f, self: self}
	s := config.New(config.Settings{Self: self, Store: st, Codec: tablepb.Codec{}, Peers: l, Members: l, Log: log})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.hosts[self.Host] = s
	f.leased = slices.DeleteFunc(f.leased, func(i ident.Instance) bool { return i.Host == self.Host })
	f.leased = append(f.leased, self)
	return s
}

func (f *fleet) setUnreachable(host ident.HostID, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreachable[host] = down
}

func rows(weights ...int) []table.Row {
	out := make([]table.Row, len(weights))
	for i, w := range weights {
		out[i] = table.Row{
			Name: ident.ClassName(fmt.Sprintf("class-%04d", i)), Kind: table.LatencyCritical, Tenant: "web", Weight: w,
			Deadline: time.Second,
		}
	}
	return out
}

func change(base table.Revision, nonce int, weights ...int) config.Change {
	return config.Change{
		Base: base, Rows: rows(weights...), Author: "ana", Reason: "test", Nonce: fmt.Sprintf("nonce-%016d", nonce),
	}
}

func commit(t testing.TB, s *config.Service, c config.Change) config.CommitResult {
	done, err := s.Commit(bg, c)
	require.NoError(t, err)
	return done
}

// hookStore is a store that calls a function before and after each transaction.
type hookStore struct {
	store.Store
	before, after func()
}

func (h *hookStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	if h.before != nil {
		h.before()
	}
	r, err := h.Store.Txn(ctx, compares, ops)
	if h.after != nil {
		h.after()
	}
	return r, err
}

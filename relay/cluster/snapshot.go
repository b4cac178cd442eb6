package cluster

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// rights is what the request path reads of the ownership shard. Grants are computed from it at the time of the call,
// so that authority lapses on time even if nothing runs that would notice.
type rights struct {
	holdings map[ident.CellID]ownership.Holding
	owners   map[ident.CellID]ident.Instance
	ended    ownership.StoppedInstances
}

// peers is what the request path reads of the view.
type peers struct {
	// members is in order of the hosts.
	members []Member
	// changes is the state of the view that members shows.
	changes uint64
}

// publishRights publishes the ownership shard, whose lock is held.
func (s *Service) publishRights() {
	m := s.owned.machine
	next := &rights{
		holdings: make(map[ident.CellID]ownership.Holding),
		owners:   make(map[ident.CellID]ident.Instance, len(s.cfg.Ownership.Cells)),
		ended:    m.StoppedInstances(),
	}
	for _, c := range s.cfg.Ownership.Cells {
		if h := m.Holding(c.ID); h.Epoch != 0 {
			next.holdings[c.ID] = h
		}
		if i, _, ok := m.Owner(c.ID); ok {
			next.owners[c.ID] = i
		}
	}
	s.rights.Store(next)
}

// publishPeers publishes the view shard, whose lock is held. Reports of others arrive far more often than changes of
// the view.
func (s *Service) publishPeers() {
	v := s.view.members
	if last := s.peers.Load(); last != nil && last.changes == v.ChangeCount() {
		return
	}
	next := &peers{changes: v.ChangeCount(), members: make([]Member, 0, v.Len())}
	for _, m := range v.Members() {
		next.members = append(next.members, Member{Member: m, Address: m.Payload.PeerAddress})
	}
	s.peers.Store(next)
}

// member returns the member that the view shows on a host.
func (s *Service) member(h ident.HostID) (Member, bool) {
	members := s.peers.Load().members
	i, ok := slices.BinarySearchFunc(members, h, func(m Member, h ident.HostID) int {
		return strings.Compare(string(m.Instance.Host), string(h))
	})
	if !ok {
		return Member{}, false
	}
	return members[i], true
}

// addressOf returns the peer address of an instance; "" if it is not known.
func (s *Service) addressOf(i ident.Instance) string {
	if m, ok := s.member(i.Host); ok && m.Instance == i {
		return m.Address
	}
	if r, ok := s.records.Get(i.Host); ok && r.Instance == i {
		return r.Address
	}
	return ""
}

// addressOfHost returns the last known peer address of a host, whichever incarnation.
func (s *Service) addressOfHost(h ident.HostID) string {
	if m, ok := s.member(h); ok && m.Address != "" {
		return m.Address
	}
	r, _ := s.records.Get(h)
	return r.Address
}

// Grant returns this host's right in a cell now.
func (s *Service) Grant(cell ident.CellID) ownership.Grant {
	h, ok := s.rights.Load().holdings[cell]
	if !ok {
		return ownership.Grant{Cell: cell}
	}
	return h.Grant(s.now())
}

// Owner returns the owner of a cell as last read from the store, with its peer address.
func (s *Service) Owner(cell ident.CellID) (ident.Instance, string, bool) {
	i, ok := s.rights.Load().owners[cell]
	if !ok {
		return ident.Instance{}, "", false
	}
	address := s.addressOf(i)
	return i, address, address != ""
}

// Members returns the members, this host included. The caller must not change the result.
func (s *Service) Members() []Member {
	return s.peers.Load().members
}

// Listen registers f for changes of this host's grants. Calls come one at a time; changes that follow each other while
// f runs are joined. It must be called before Start.
func (s *Service) Listen(f func(GrantChange)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// notify calls the listeners after each change.
func (s *Service) notify(ctx context.Context) {
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	old := make(map[ident.CellID]ownership.Grant)
	tick := time.NewTicker(stepEvery)
	defer tick.Stop()
	for {
		select {
		case <-s.changed:
		case <-tick.C:
		case <-ctx.Done():
			return
		}
		for _, c := range s.cfg.Ownership.Cells {
			grant := s.Grant(c.ID)
			was, ok := old[c.ID]
			if !ok {
				was = ownership.Grant{Cell: c.ID}
			}
			if grant.Equivalent(was) {
				continue
			}
			old[c.ID] = grant
			s.count(was, grant)
			for _, f := range listeners {
				f(GrantChange{Old: was, New: grant})
			}
		}
	}
}

func (s *Service) count(was, is ownership.Grant) {
	switch {
	case was.Authority == ownership.None:
		s.counters.claims.Add(1)
	case is.Authority == ownership.None:
		s.counters.losses.Add(1)
	}
	if was.Authority != is.Authority {
		s.log.WithFields(map[string]any{"cell": is.Cell, "epoch": is.Epoch, "authority": is.Authority}).Info("ownership changed")
	}
}

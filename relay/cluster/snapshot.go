package cluster

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// rights is the copy of the ownership shard for the request path. Grants are computed from it at the time of the
// call, so that authority lapses in time even if no goroutine runs that would notice.
type rights struct {
	holdings map[ident.CellID]ownership.Holding
	owners   map[ident.CellID]ident.Instance
	stopped  ownership.StoppedInstances
}

// peers is the copy of the view for the request path.
type peers struct {
	// members is ordered by host.
	members []Member
	// changeCount is the change count of the view at the time of the copy.
	changeCount uint64
}

// publishRights publishes a copy of the ownership shard, which must be locked.
func (s *Service) publishRights() {
	m := s.ownedCells.machine
	next := &rights{
		holdings: make(map[ident.CellID]ownership.Holding),
		owners:   make(map[ident.CellID]ident.Instance, len(s.cfg.Ownership.Cells)),
		stopped:  m.StoppedInstances(),
	}
	for _, c := range s.cfg.Ownership.Cells {
		if h := m.Holding(c.ID); h.Epoch != 0 {
			next.holdings[c.ID] = h
		}
		if i, _, ok := m.Owner(c.ID); ok {
			next.owners[c.ID] = i
		}
	}
	s.publishedRights.Store(next)
}

// publishPeers publishes a copy of the view shard, which must be locked. It copies only after a change of the view,
// because reports of other members arrive far more often.
func (s *Service) publishPeers() {
	v := s.view.members
	if last := s.publishedPeers.Load(); last != nil && last.changeCount == v.ChangeCount() {
		return
	}
	next := &peers{changeCount: v.ChangeCount(), members: make([]Member, 0, v.Len())}
	for _, m := range v.Members() {
		next.members = append(next.members, Member{Member: m, Address: m.Payload.PeerAddress})
	}
	s.publishedPeers.Store(next)
}

// member returns the member that the view shows on a host.
func (s *Service) member(h ident.HostID) (Member, bool) {
	members := s.publishedPeers.Load().members
	i, ok := slices.BinarySearchFunc(members, h, func(m Member, h ident.HostID) int {
		return strings.Compare(string(m.Instance.Host), string(h))
	})
	if !ok {
		return Member{}, false
	}
	return members[i], true
}

// addressOfInstance returns the peer address of an instance; "" if it is unknown.
func (s *Service) addressOfInstance(i ident.Instance) string {
	if m, ok := s.member(i.Host); ok && m.Instance == i {
		return m.Address
	}
	if r, ok := s.records.Get(i.Host); ok && r.Instance == i {
		return r.Address
	}
	return ""
}

// addressOfHost returns the last known peer address of a host, of any incarnation.
func (s *Service) addressOfHost(h ident.HostID) string {
	if m, ok := s.member(h); ok && m.Address != "" {
		return m.Address
	}
	r, _ := s.records.Get(h)
	return r.Address
}

// Grant returns the current grant of this host for a cell.
func (s *Service) Grant(cell ident.CellID) ownership.Grant {
	h, ok := s.publishedRights.Load().holdings[cell]
	if !ok {
		return ownership.Grant{Cell: cell}
	}
	return h.Grant(s.now())
}

// Owner returns the owner of a cell as last read from the store, and its peer address.
func (s *Service) Owner(cell ident.CellID) (ident.Instance, string, bool) {
	i, ok := s.publishedRights.Load().owners[cell]
	if !ok {
		return ident.Instance{}, "", false
	}
	address := s.addressOfInstance(i)
	return i, address, address != ""
}

// Preference returns the position of this host among the members that may own a cell, 0 for the most preferred one;
// ranked is false if this host is not one of them.
func (s *Service) Preference(cell ident.CellID) (position int, ranked bool) {
	s.withMachine(func(m *ownership.Machine, _ time.Time) { position, ranked = m.Preference(cell) })
	return position, ranked
}

// Members returns the members, this host included. The caller must not modify the result.
func (s *Service) Members() []Member {
	return s.publishedPeers.Load().members
}

// Listen registers f for changes of this host's grants. Calls are sequential, and changes during a call are merged
// into one. It must be called before Start.
func (s *Service) Listen(f func(GrantChange)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listeners = append(s.listeners, f)
}

// notifyLoop calls the listeners after each change.
func (s *Service) notifyLoop(ctx context.Context) {
	s.mu.Lock()
	listeners := s.listeners
	s.mu.Unlock()
	old := make(map[ident.CellID]ownership.Grant)
	ticker := time.NewTicker(stepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.changed:
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, c := range s.cfg.Ownership.Cells {
			grant := s.Grant(c.ID)
			previous, ok := old[c.ID]
			if !ok {
				previous = ownership.Grant{Cell: c.ID}
			}
			if grant.Equivalent(previous) {
				continue
			}
			old[c.ID] = grant
			s.recordGrantChange(previous, grant)
			for _, f := range listeners {
				f(GrantChange{Old: previous, New: grant})
			}
		}
	}
}

func (s *Service) recordGrantChange(previous, current ownership.Grant) {
	switch {
	case previous.Authority == ownership.None:
		s.counters.claims.Add(1)
	case current.Authority == ownership.None:
		s.counters.losses.Add(1)
	}
	if previous.Authority != current.Authority {
		s.log.WithFields(map[string]any{"cell": current.Cell, "epoch": current.Epoch, "authority": current.Authority}).Info("ownership changed")
	}
}

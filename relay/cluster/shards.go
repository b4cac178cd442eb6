package cluster

import (
	"slices"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// ownershipShard holds the state that decides about the cells of this host.
type ownershipShard struct {
	// mu makes a change and its publication one step, and also recording a caller and making the report to it. The
	// machine is not safe for concurrent use, a fence must be published before it is answered, and a report must be
	// made after its caller has been recorded.
	mu      sync.Mutex
	machine *ownership.Machine
	// leasedMembers holds the records of the leased members, ordered by key; nil until they have been read.
	leasedMembers []MemberRecord
	// leaving holds the instances that are leaving, as of the view change numbered appliedViewChanges.
	leaving            map[ident.Instance]bool
	appliedViewChanges uint64
	maxDeadline        time.Duration
}

// withMachine calls f with the machine locked, without publishing the result. f may read the machine or make changes
// that affect no grant, as Step and StoreAnswered do.
func (s *Service) withMachine(f func(m *ownership.Machine, now time.Time)) {
	s.ownedCells.mu.Lock()
	defer s.ownedCells.mu.Unlock()
	f(s.ownedCells.machine, s.now())
}

// updateMachine changes the machine and publishes the result. f must not block.
func (s *Service) updateMachine(f func(m *ownership.Machine, now time.Time)) {
	s.withMachine(func(m *ownership.Machine, now time.Time) {
		f(m, now)
		s.publishRights()
	})
	notifyChannel(s.changed)
}

// applyViewUpdate tells the machine which instances exist, have stopped or are leaving. An update that is older than
// the last one applied is skipped, because two goroutines may deliver theirs in the wrong order.
func (o *ownershipShard) applyViewUpdate(update viewUpdate, now time.Time) {
	if update.changeCount <= o.appliedViewChanges {
		return
	}
	o.appliedViewChanges = update.changeCount
	o.leaving = make(map[ident.Instance]bool)
	running := make([]ident.Instance, 0, len(update.members))
	for _, m := range update.members {
		running = append(running, m.Instance)
	}
	o.machine.InstancesRun(running, o.maxDeadline, now)
	for _, m := range update.members {
		if m.Departure == membership.Left {
			o.machine.InstanceStopped(m.Instance, o.maxDeadline, now)
		}
		if m.Departure > membership.Staying {
			o.leaving[m.Instance] = true
		}
	}
	o.setMembers(now)
}

// setMembers passes the leased members to the machine once they have been read. Gossip tells which of them are leaving.
func (o *ownershipShard) setMembers(now time.Time) {
	if o.leasedMembers == nil {
		return
	}
	members := make([]ownership.Member, 0, len(o.leasedMembers))
	for _, r := range o.leasedMembers {
		members = append(members, ownership.Member{
			Instance: r.Instance, DataCentre: r.DataCentre, MilliCPU: r.MilliCPU, Leaving: o.leaving[r.Instance],
		})
	}
	o.machine.SetMembers(members, now)
}

// storeContact is what this host reports about its contact with the store.
type storeContact struct {
	at        time.Time
	inContact bool
	age       time.Duration
}

func (s *Service) storeContact() (c storeContact) {
	s.withMachine(func(m *ownership.Machine, now time.Time) {
		c = storeContact{at: now, inContact: m.InContact(now), age: m.OwnReport(now).ContactAge}
	})
	return c
}

// InContact reports whether the store has answered this host lately.
func (s *Service) InContact() bool { return s.storeContact().inContact }

// viewShard holds the view of the members and what this host reports about itself.
type viewShard struct {
	// mu makes a merge and its publication one step, and also composing the host's own state from its parts. The view
	// is not safe for concurrent use, and an older state of this host must not replace a newer one.
	mu      sync.Mutex
	members *membership.View
	// fixed is the part of the payload that never changes.
	fixed   membership.Payload
	local   LocalState
	contact storeContact
	// reportedDigest is the digest of the view that was last passed to the ownership shard.
	reportedDigest uint64
}

// viewUpdate is what the ownership shard needs to know after a change of the view.
type viewUpdate struct {
	members     []membership.Member
	changeCount uint64
}

// updateView changes the view and publishes it, and then passes the changes to the ownership shard. f must not block.
func (s *Service) updateView(f func(v *membership.View, now time.Time)) {
	update, pendingUpdates := s.updateViewLocked(f)
	notifyChannel(s.changed)
	if pendingUpdates {
		notifyChannel(s.exchangeSoon)
	}
	if update.changeCount > 0 {
		s.updateMachine(func(_ *ownership.Machine, now time.Time) { s.ownedCells.applyViewUpdate(update, now) })
	}
}

func (s *Service) updateViewLocked(f func(v *membership.View, now time.Time)) (update viewUpdate, pendingUpdates bool) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	v := s.view.members
	f(v, s.now())
	if v.Digest() != s.view.reportedDigest {
		s.view.reportedDigest = v.Digest()
		update = viewUpdate{members: v.Members(), changeCount: v.ChangeCount()}
	}
	s.publishPeers()
	return update, v.HasPendingUpdates()
}

// withView calls f with the view locked, without publishing the result. f may read the view or change only what is
// sent of it.
func (s *Service) withView(f func(v *membership.View)) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	f(s.view.members)
}

// setContact stores the contact with the store unless a later one has been stored.
func (v *viewShard) setContact(c storeContact) {
	if !c.at.Before(v.contact.at) {
		v.contact = c
	}
}

func (v *viewShard) payload() membership.Payload {
	p := v.fixed
	p.TableRevision, p.Ledgers = v.local.TableRevision, slices.Clone(v.local.Ledgers)
	p.StoreContact, p.ContactAge = v.contact.inContact, v.contact.age
	return p
}

// platformHosts holds the hosts that the platform lists.
type platformHosts struct {
	// mu makes the comparison with the last list and its replacement one step, so that each dropped host is seen
	// exactly once.
	mu      sync.Mutex
	current map[ident.HostID]bool
}

// replace stores a new list and returns the hosts that are no longer listed.
func (l *platformHosts) replace(hosts []ident.HostID) map[ident.HostID]bool {
	listed := make(map[ident.HostID]bool, len(hosts))
	for _, h := range hosts {
		listed[h] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := make(map[ident.HostID]bool)
	for h := range l.current {
		if !listed[h] {
			dropped[h] = true
		}
	}
	l.current = listed
	return dropped
}

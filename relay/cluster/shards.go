package cluster

import (
	"slices"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// ownershipShard holds what decides over the cells of this host.
type ownershipShard struct {
	// mu makes one step of a change and its publication, and of learning a caller and making the report to it: the
	// machine is not safe for concurrent use, a fence must be published before it is answered, and a report must be
	// made after its caller has been learnt.
	mu      sync.Mutex
	machine *ownership.Machine
	// leased holds the leased members, in order of their keys.
	leased []MemberRecord
	// leaving holds the instances that depart, as of change seen of the view.
	leaving     map[ident.Instance]bool
	seen        uint64
	maxDeadline time.Duration
}

// consult reads the machine, or changes what is not published: Step and Contact change no grant.
func (s *Service) consult(f func(m *ownership.Machine, now time.Time)) {
	s.owned.mu.Lock()
	defer s.owned.mu.Unlock()
	f(s.owned.machine, s.now())
}

// decide changes the machine and publishes the result. f must not block.
func (s *Service) decide(f func(m *ownership.Machine, now time.Time)) {
	s.consult(func(m *ownership.Machine, now time.Time) {
		f(m, now)
		s.publishRights()
	})
	signal(s.changed)
}

// observe takes which instances exist, which have stopped and which leave. News that are older than what has been
// taken already are skipped: two goroutines may pass their news on in the other order than they got them.
func (o *ownershipShard) observe(n news, now time.Time) {
	if n.changes <= o.seen {
		return
	}
	o.seen = n.changes
	known := make(map[ident.HostID][]ident.Instance)
	for _, i := range o.machine.KnownInstances() {
		known[i.Host] = append(known[i.Host], i)
	}
	o.leaving = make(map[ident.Instance]bool)
	for _, m := range n.members {
		for _, i := range known[m.Instance.Host] {
			if i.Incarnation < m.Instance.Incarnation {
				o.machine.InstanceStopped(i, o.maxDeadline, now)
			}
		}
		o.machine.AddInstances(m.Instance)
		if m.Departure == membership.Left {
			o.machine.InstanceStopped(m.Instance, o.maxDeadline, now)
		}
		if m.Departure > membership.Staying {
			o.leaving[m.Instance] = true
		}
	}
	o.setMembers(now)
}

// setMembers passes the leased members on. Whether they leave is told by gossip.
func (o *ownershipShard) setMembers(now time.Time) {
	members := make([]ownership.Member, 0, len(o.leased))
	for _, r := range o.leased {
		members = append(members, ownership.Member{
			Instance: r.Instance, DataCentre: r.DataCentre, MilliCPU: r.MilliCPU, Leaving: o.leaving[r.Instance],
		})
	}
	o.machine.SetMembers(members, now)
}

// contact is what this host tells others of its contact with the store.
type contact struct {
	at  time.Time
	ok  bool
	age time.Duration
}

func (s *Service) contact() (c contact) {
	s.consult(func(m *ownership.Machine, now time.Time) {
		c = contact{at: now, ok: m.InContact(now), age: m.OwnReport(now).ContactAge}
	})
	return c
}

// viewShard holds the view of the members and what this host tells of itself.
type viewShard struct {
	// mu makes one step of a merge and its publication, and of composing this host's own state from its parts: the
	// view is not safe for concurrent use, and an older state of this host must not replace a newer one.
	mu      sync.Mutex
	members *membership.View
	// fixed is the part of the payload that never changes.
	fixed   membership.Payload
	local   LocalState
	contact contact
	// passed is the digest of the view that was last passed on to ownership.
	passed uint64
}

// news is what ownership has to know of the view after a change.
type news struct {
	members []membership.Member
	changes uint64
}

// changeView changes the view and publishes it, and then passes on to ownership what is new. f must not block.
func (s *Service) changeView(f func(v *membership.View, now time.Time)) {
	n, hot := s.lockedChange(f)
	signal(s.changed)
	if hot {
		signal(s.kick)
	}
	if n.changes > 0 {
		s.decide(func(_ *ownership.Machine, now time.Time) { s.owned.observe(n, now) })
	}
}

func (s *Service) lockedChange(f func(v *membership.View, now time.Time)) (n news, hot bool) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	v := s.view.members
	f(v, s.now())
	if v.Digest() != s.view.passed {
		s.view.passed = v.Digest()
		n = news{members: v.Members(), changes: v.ChangeCount()}
	}
	s.publishPeers()
	return n, v.HasPendingUpdates()
}

// readView reads the view, or changes only what is sent of it.
func (s *Service) readView(f func(v *membership.View)) {
	s.view.mu.Lock()
	defer s.view.mu.Unlock()
	f(s.view.members)
}

// take notes the contact with the store unless a later one has been noted.
func (v *viewShard) take(c contact) {
	if !c.at.Before(v.contact.at) {
		v.contact = c
	}
}

func (v *viewShard) payload() membership.Payload {
	p := v.fixed
	p.TableRevision, p.Ledgers = v.local.TableRevision, slices.Clone(v.local.Ledgers)
	p.StoreContact, p.ContactAge = v.contact.ok, v.contact.age
	return p
}

// hostList holds the hosts that the platform lists.
type hostList struct {
	// mu makes one step of the comparison with the last list and its replacement, so that each drop is seen once.
	mu     sync.Mutex
	listed map[ident.HostID]bool
}

// replace takes a new list and returns the hosts that were listed and are no longer.
func (l *hostList) replace(hosts []ident.HostID) map[ident.HostID]bool {
	listed := make(map[ident.HostID]bool, len(hosts))
	for _, h := range hosts {
		listed[h] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	dropped := make(map[ident.HostID]bool)
	for h := range l.listed {
		if !listed[h] {
			dropped[h] = true
		}
	}
	l.listed = listed
	return dropped
}

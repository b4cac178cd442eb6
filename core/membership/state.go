package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

const (
	// MaxUpdateBytes bounds the states in one message.
	MaxUpdateBytes = 4096
	// maxStamps bounds the stamps in one message.
	maxStamps = 64
	// maxLoadBytes bounds the loads in one message. At rest a member sends two messages a second, so that loads take
	// about half of the 2 KB a second.
	maxLoadBytes = 512
	// loadSends is the number of messages in which a member passes a change of loads on.
	loadSends = 3
	// fanout is the number of members that a change is sent to in one round.
	fanout = 3
	// extraRounds is added to the logarithm of the number of members to get the rounds in which a change is sent: with
	// a fanout of 3 a change then reaches all of them but for rare losses, which the comparison of digests repairs.
	extraRounds = 1
)

// Config holds the times of the protocol.
type Config struct {
	Self ident.Instance
	// SuspicionTimeout is how long a suspected member has to refute before it is declared dead.
	SuspicionTimeout time.Duration
	// ForgetAfter is how long a dead or departed member stays in the view.
	ForgetAfter time.Duration
	// HasStopped reports whether an instance has certainly stopped. Only such members are forgotten, because an owner of
	// cells must know of every member that may still run; nil means that none has.
	HasStopped func(ident.Instance) bool
	// LoadPublishInterval and PublishPerMember space the publications of this host's loads, so that the traffic of each member
	// does not grow with the number of members.
	LoadPublishInterval          time.Duration
	LoadPublishIntervalPerMember time.Duration
}

// DefaultConfig returns the times of the design page.
func DefaultConfig(self ident.Instance) Config {
	return Config{
		Self:                         self,
		SuspicionTimeout:             5 * time.Second,
		ForgetAfter:                  10 * time.Minute,
		LoadPublishInterval:          time.Second,
		LoadPublishIntervalPerMember: 100 * time.Millisecond,
	}
}

// View is the view of one host. It is not safe for concurrent use and does no I/O.
type View struct {
	cfg     Config
	members map[ident.HostID]*entry
	// ids lists the hosts of members in order.
	ids    []ident.HostID
	digest uint64
	// changes counts the changes of the view, loads included.
	changes uint64
	// order is the sequence of hosts still to be probed in this round.
	order []ident.HostID
	// cursor is the host after which the next window of stamps starts.
	cursor ident.HostID

	pending     []Load
	waiting     bool
	publishedAt time.Time
}

type entry struct {
	Member
	// rounds is the number of rounds in which the state is still sent.
	rounds int
	// loadSends is the number of messages in which the loads are still sent.
	loadSends int
	// since is when Health last changed in this view.
	since time.Time
	// updated is when the state last changed in this view.
	updated time.Time
}

// New returns the view of a host that knows only itself.
func New(cfg Config, payload Payload, now time.Time) *View {
	s := &View{cfg: cfg, members: make(map[ident.HostID]*entry), publishedAt: now}
	s.put(Member{Instance: cfg.Self, Version: 1, Payload: payload}.clone(), now)
	return s
}

// Self returns the state of this host.
func (s *View) Self() Member {
	return s.members[s.cfg.Self.Host].Member
}

// Get returns the state of a host.
func (s *View) Get(id ident.HostID) (Member, bool) {
	e, ok := s.members[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns the states of all hosts in the view, this one included, by host.
func (s *View) Members() []Member {
	out := make([]Member, 0, len(s.members))
	for _, id := range s.hosts() {
		out = append(out, s.members[id].Member)
	}
	return out
}

// Len returns the number of hosts in the view.
func (s *View) Len() int {
	return len(s.members)
}

// ChangeCount counts the changes of the view, loads included.
func (s *View) ChangeCount() uint64 {
	return s.changes
}

// Digest identifies the content of the view.
func (s *View) Digest() uint64 {
	return s.digest
}

// hosts returns a copy of the hosts in the view, in order.
func (s *View) hosts() []ident.HostID {
	return slices.Clone(s.ids)
}

// put replaces the state of a host and sends it in the next rounds.
func (s *View) put(m Member, now time.Time) {
	s.changes++
	id := m.Instance.Host
	e, ok := s.members[id]
	if !ok {
		e = &entry{since: now}
		s.members[id] = e
		i, _ := slices.BinarySearch(s.ids, id)
		s.ids = slices.Insert(s.ids, i, id)
	} else {
		s.digest ^= e.Stamp().hash()
	}
	if e.Health != m.Health || e.Instance != m.Instance {
		e.since = now
	}
	e.Member = m
	e.updated = now
	e.rounds = bits.Len(uint(len(s.members))) + extraRounds
	s.digest ^= m.Stamp().hash()
}

// Merge takes a state from another member and reports whether the view changed. This host refutes what others wrongly
// say of it.
func (s *View) Merge(m Member, now time.Time) bool {
	if m.Instance.Host == s.cfg.Self.Host {
		return s.refute(m, now)
	}
	e, ok := s.members[m.Instance.Host]
	if !ok {
		if s.over(m) {
			return false
		}
		s.put(m.clone(), now)
		return true
	}
	joined := Merge(e.Member, m)
	if joined.Stamp() == e.Stamp() {
		s.mergeLoads(LoadChange{m.Instance, m.LoadVersion, m.Loads})
		return false
	}
	s.put(joined.clone(), now)
	return true
}

// mergeLoads takes the loads of another member.
func (s *View) mergeLoads(l LoadChange) {
	e, ok := s.members[l.Instance.Host]
	if !ok || l.Instance.Host == s.cfg.Self.Host || e.Instance != l.Instance || l.Version <= e.LoadVersion {
		return
	}
	s.changes++
	e.LoadVersion, e.Loads = l.Version, slices.Clone(l.Loads)
	e.loadSends = loadSends
}

// refute answers a statement about this host: a suspicion is overridden by a higher refutation. A state of an older
// incarnation is overridden by gossip as it is.
func (s *View) refute(m Member, now time.Time) bool {
	self := s.Self()
	if m.Instance.Incarnation != self.Instance.Incarnation || m.Health == Alive || m.Refutation < self.Refutation {
		return false
	}
	self.Refutation = m.Refutation + 1
	s.put(self, now)
	return true
}

// SetPayload replaces this host's payload and publishes it.
func (s *View) SetPayload(p Payload, now time.Time) {
	self := s.Self()
	if equal(self.Payload, p) {
		return
	}
	self.Version++
	self.Payload = p
	s.put(self.clone(), now)
}

// equal compares payloads except for the age of the store contact, which is only told with another change.
func equal(a, b Payload) bool {
	return a.PeerAddress == b.PeerAddress && a.CallerAddress == b.CallerAddress && a.DataCentre == b.DataCentre &&
		a.TableRevision == b.TableRevision && a.StoreContact == b.StoreContact && slices.Equal(a.Ledgers, b.Ledgers)
}

// SetLoads replaces the loads of this host's cells, which Tick publishes after the spacing of publications.
func (s *View) SetLoads(loads []Load) {
	s.pending, s.waiting = slices.Clone(loads), true
}

func (s *View) publishLoads(now time.Time) {
	spacing := s.cfg.LoadPublishInterval + time.Duration(len(s.members))*s.cfg.LoadPublishIntervalPerMember
	if !s.waiting || now.Before(s.publishedAt.Add(spacing)) {
		return
	}
	s.waiting = false
	self := s.members[s.cfg.Self.Host]
	if slices.Equal(self.Loads, s.pending) {
		return
	}
	s.changes++
	self.Loads = s.pending
	self.LoadVersion++
	self.loadSends = loadSends
	s.publishedAt = now
}

// SetDeparture announces a step of this host's departure.
func (s *View) SetDeparture(d Departure, now time.Time) {
	self := s.Self()
	if d <= self.Departure {
		return
	}
	self.Departure = d
	self.Version++
	s.put(self, now)
}

// Tick publishes loads that wait, declares suspects dead and forgets members that are gone. It returns the hosts
// declared dead.
func (s *View) Tick(now time.Time) []ident.Instance {
	s.publishLoads(now)
	var dead []ident.Instance
	for _, id := range s.hosts() {
		e := s.members[id]
		switch {
		case id == s.cfg.Self.Host:
		case e.Health == Suspect && !now.Before(e.since.Add(s.cfg.SuspicionTimeout)):
			m := e.Member
			m.Health = Dead
			s.put(m, now)
			dead = append(dead, m.Instance)
		case s.over(e.Member) && !now.Before(e.updated.Add(s.cfg.ForgetAfter)):
			s.changes++
			s.digest ^= e.Stamp().hash()
			delete(s.members, id)
			i, _ := slices.BinarySearch(s.ids, id)
			s.ids = slices.Delete(s.ids, i, i+1)
		}
	}
	return dead
}

// over reports whether the member has certainly stopped.
func (s *View) over(m Member) bool {
	return m.Departure == Left || m.Health == Dead && s.cfg.HasStopped != nil && s.cfg.HasStopped(m.Instance)
}

// pick returns up to n random members other than this host for which ok holds.
func (s *View) pick(n int, rng *rand.Rand, ok func(e *entry) bool) []Member {
	var found []Member
	for _, id := range s.ids {
		if e := s.members[id]; id != s.cfg.Self.Host && ok(e) {
			found = append(found, e.Member)
		}
	}
	rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(n, len(found))]
}

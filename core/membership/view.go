package membership

import (
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

const (
	// MaxUpdateBytes bounds the encoded size of the member states in one message.
	MaxUpdateBytes = 4096
	// maxStampsPerMessage bounds the number of stamps in one message.
	maxStampsPerMessage = 64
	// maxLoadBytes bounds the encoded size of the load changes in one message. A member without pending updates sends two
	// messages a second, so that loads take about half of the 2 KB/s that its gossip may take.
	maxLoadBytes = 512
	// loadSendsPerChange is the number of messages in which a member forwards a change of loads.
	loadSendsPerChange = 3
	// fanout is the number of members to which a change is sent in one round.
	fanout = 3
	// extraRounds is added to the binary logarithm of the number of members to get the number of rounds in which a change
	// is sent. With a fanout of 3, a change then reaches all members except in rare cases, which the comparison of digests
	// repairs.
	extraRounds = 1
)

// Config holds the settings of the gossip protocol.
type Config struct {
	Self ident.Instance
	// SuspicionTimeout is how long a suspect member has to refute the suspicion before it is declared dead.
	SuspicionTimeout time.Duration
	// ForgetAfter is how long a member that has left or certainly stopped stays in the view after its last change.
	ForgetAfter time.Duration
	// HasStopped reports whether an instance has certainly stopped. A dead member is only forgotten if it has, because an
	// owner of cells must know of every member that may still run. nil means that no instance has certainly stopped.
	HasStopped func(ident.Instance) bool
	// LoadPublishInterval, plus LoadPublishIntervalPerMember for each member, is the shortest time between two
	// publications of this host's loads. It grows with the number of members so that the traffic of each member does not.
	LoadPublishInterval          time.Duration
	LoadPublishIntervalPerMember time.Duration
}

// DefaultConfig returns the settings given on the design page.
func DefaultConfig(self ident.Instance) Config {
	return Config{
		Self:                         self,
		SuspicionTimeout:             5 * time.Second,
		ForgetAfter:                  10 * time.Minute,
		LoadPublishInterval:          time.Second,
		LoadPublishIntervalPerMember: 100 * time.Millisecond,
	}
}

// View is what one host knows of all members. It is not safe for concurrent use and does no I/O.
type View struct {
	cfg     Config
	members map[ident.HostID]*entry
	// ids holds the sorted keys of members.
	ids    []ident.HostID
	digest uint64
	// changes counts the changes of the view, loads included.
	changes uint64
	// probeOrder holds the hosts still to be probed in this round, in order.
	probeOrder []ident.HostID
	// windowCursor is the host after which the next window of stamps starts.
	windowCursor ident.HostID

	// pendingLoads are the loads to publish next if loadsPending is set.
	pendingLoads     []Load
	loadsPending     bool
	loadsPublishedAt time.Time
}

// entry is the state of one member, with what this host needs to gossip it and to forget it.
type entry struct {
	Member
	// roundsLeft is the number of rounds in which the state is still sent.
	roundsLeft int
	// loadSendsLeft is the number of messages in which the loads are still sent.
	loadSendsLeft int
	// healthSince is when Health last changed in this view.
	healthSince time.Time
	// updatedAt is when the state last changed in this view.
	updatedAt time.Time
}

// New returns the view of a host that does not know other members yet.
func New(cfg Config, payload Payload, now time.Time) *View {
	v := &View{cfg: cfg, members: make(map[ident.HostID]*entry), loadsPublishedAt: now}
	v.replace(Member{Instance: cfg.Self, Version: 1, Payload: payload}.clone(), now)
	return v
}

// Self returns the state of this host.
func (v *View) Self() Member {
	return v.members[v.cfg.Self.Host].Member
}

// Get returns the state of a host.
func (v *View) Get(id ident.HostID) (Member, bool) {
	e, ok := v.members[id]
	if !ok {
		return Member{}, false
	}
	return e.Member, true
}

// Members returns the states of all hosts in the view, this one included, sorted by host.
func (v *View) Members() []Member {
	out := make([]Member, 0, len(v.members))
	for _, id := range v.hosts() {
		out = append(out, v.members[id].Member)
	}
	return out
}

// Len returns the number of hosts in the view.
func (v *View) Len() int {
	return len(v.members)
}

// ChangeCount returns the number of changes of the view so far, loads included.
func (v *View) ChangeCount() uint64 {
	return v.changes
}

// Digest identifies the content of the view.
func (v *View) Digest() uint64 {
	return v.digest
}

// hosts returns a copy of the hosts in the view, sorted.
func (v *View) hosts() []ident.HostID {
	return slices.Clone(v.ids)
}

// replace sets the state of a host and schedules it to be sent in the next rounds.
func (v *View) replace(m Member, now time.Time) {
	v.changes++
	id := m.Instance.Host
	e, ok := v.members[id]
	if !ok {
		e = &entry{healthSince: now}
		v.members[id] = e
		i, _ := slices.BinarySearch(v.ids, id)
		v.ids = slices.Insert(v.ids, i, id)
	} else {
		v.digest ^= e.Stamp().hash()
	}
	if e.Health != m.Health || e.Instance != m.Instance {
		e.healthSince = now
	}
	e.Member = m
	e.updatedAt = now
	e.roundsLeft = bits.Len(uint(len(v.members))) + extraRounds
	v.digest ^= m.Stamp().hash()
}

// Merge merges a state received from another member and reports whether the view changed. If this host is said to be
// suspect or dead, it refutes that.
func (v *View) Merge(m Member, now time.Time) bool {
	if m.Instance.Host == v.cfg.Self.Host {
		return v.refute(m, now)
	}
	e, ok := v.members[m.Instance.Host]
	if !ok {
		if v.hasStopped(m) {
			return false
		}
		v.replace(m.clone(), now)
		return true
	}
	merged := Merge(e.Member, m)
	if merged.Stamp() == e.Stamp() {
		v.mergeLoads(LoadChange{m.Instance, m.LoadVersion, m.Loads})
		return false
	}
	v.replace(merged.clone(), now)
	return true
}

// mergeLoads takes over newer loads of another member.
func (v *View) mergeLoads(l LoadChange) {
	e, ok := v.members[l.Instance.Host]
	if !ok || l.Instance.Host == v.cfg.Self.Host || e.Instance != l.Instance || l.Version <= e.LoadVersion {
		return
	}
	v.changes++
	e.LoadVersion, e.Loads = l.Version, slices.Clone(l.Loads)
	e.loadSendsLeft = loadSendsPerChange
}

// refute overrides a suspicion of this host by a higher refutation. A suspicion of an older incarnation needs none,
// because the newer incarnation overrides it.
func (v *View) refute(m Member, now time.Time) bool {
	self := v.Self()
	if m.Instance.Incarnation != self.Instance.Incarnation || m.Health == Alive || m.Refutation < self.Refutation {
		return false
	}
	self.Refutation = m.Refutation + 1
	v.replace(self, now)
	return true
}

// SetPayload replaces this host's payload and publishes it if it changed.
func (v *View) SetPayload(p Payload, now time.Time) {
	self := v.Self()
	if equalPayloads(self.Payload, p) {
		return
	}
	self.Version++
	self.Payload = p
	v.replace(self.clone(), now)
}

// equalPayloads compares payloads without ContactAge, which is published only together with another change.
func equalPayloads(a, b Payload) bool {
	return a.PeerAddress == b.PeerAddress && a.CallerAddress == b.CallerAddress && a.DataCentre == b.DataCentre &&
		a.TableRevision == b.TableRevision && a.StoreContact == b.StoreContact && slices.Equal(a.Ledgers, b.Ledgers)
}

// SetLoads replaces the loads of this host's cells. Tick publishes them once LoadPublishInterval allows it.
func (v *View) SetLoads(loads []Load) {
	v.pendingLoads, v.loadsPending = slices.Clone(loads), true
}

func (v *View) publishLoads(now time.Time) {
	spacing := v.cfg.LoadPublishInterval + time.Duration(len(v.members))*v.cfg.LoadPublishIntervalPerMember
	if !v.loadsPending || now.Before(v.loadsPublishedAt.Add(spacing)) {
		return
	}
	v.loadsPending = false
	self := v.members[v.cfg.Self.Host]
	if slices.Equal(self.Loads, v.pendingLoads) {
		return
	}
	v.changes++
	self.Loads = v.pendingLoads
	self.LoadVersion++
	self.loadSendsLeft = loadSendsPerChange
	v.loadsPublishedAt = now
}

// SetDeparture announces a later step of this host's departure.
func (v *View) SetDeparture(d Departure, now time.Time) {
	self := v.Self()
	if d <= self.Departure {
		return
	}
	self.Departure = d
	self.Version++
	v.replace(self, now)
}

// Tick publishes pending loads, declares suspect members dead after SuspicionTimeout and forgets members after
// ForgetAfter. It returns the members declared dead.
func (v *View) Tick(now time.Time) []ident.Instance {
	v.publishLoads(now)
	var dead []ident.Instance
	for _, id := range v.hosts() {
		e := v.members[id]
		switch {
		case id == v.cfg.Self.Host:
		case e.Health == Suspect && !now.Before(e.healthSince.Add(v.cfg.SuspicionTimeout)):
			m := e.Member
			m.Health = Dead
			v.replace(m, now)
			dead = append(dead, m.Instance)
		case v.hasStopped(e.Member) && !now.Before(e.updatedAt.Add(v.cfg.ForgetAfter)):
			v.changes++
			v.digest ^= e.Stamp().hash()
			delete(v.members, id)
			i, _ := slices.BinarySearch(v.ids, id)
			v.ids = slices.Delete(v.ids, i, i+1)
		}
	}
	return dead
}

// hasStopped reports whether the member has left or has certainly stopped.
func (v *View) hasStopped(m Member) bool {
	return m.Departure == Left || m.Health == Dead && v.cfg.HasStopped != nil && v.cfg.HasStopped(m.Instance)
}

// randomMembers returns up to n random members that match, without this host.
func (v *View) randomMembers(n int, rng *rand.Rand, match func(e *entry) bool) []Member {
	var found []Member
	for _, id := range v.ids {
		if e := v.members[id]; id != v.cfg.Self.Host && match(e) {
			found = append(found, e.Member)
		}
	}
	rng.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(n, len(found))]
}

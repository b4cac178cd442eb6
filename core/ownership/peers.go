package ownership

import (
	"maps"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// driftDivisor bounds how far the clocks of two hosts drift apart: one part in driftDivisor of the elapsed time.
const driftDivisor = 1000

// Report is what a member says of itself in the answer to a call made by this host.
type Report struct {
	From ident.Instance
	// Established says that the member may take over cells of owners that may still be running.
	Established bool
	// Contacts counts the answers that the member has had from the store.
	Contacts uint64
	// ContactAge is the time since the last of them; meaningless if Contacts is 0.
	ContactAge time.Duration
	// KnownDigest identifies the set of instances that the member knows.
	KnownDigest uint64
}

// peer is another process that may claim cells.
type peer struct {
	report Report
	// sent is when the call that the report answers was sent: the report was made later than that.
	sent time.Time
	// quiet says that the member has had no answer from the store since this host's lease can have lapsed, as long
	// as its count of answers stays quietCount.
	quiet      bool
	quietCount uint64
	// unleased is since when the member has had no leased record; zero if it has one, or if that is not known.
	unleased time.Time
	// firstAck is when an established member first acknowledged this host.
	firstAck time.Time
}

// AddInstances adds instances that other members or the store's roster name. Instances proved to have stopped stay removed.
func (m *Machine) AddInstances(instances ...ident.Instance) {
	for _, i := range instances {
		if i == m.cfg.Self || m.gone(i) {
			continue
		}
		if _, ok := m.peers[i]; !ok {
			m.peers[i] = &peer{}
			m.digest = 0
		}
	}
}

// KnownInstances returns the instances that may claim cells, this one included, in order.
func (m *Machine) KnownInstances() []ident.Instance {
	known := make([]ident.Instance, 0, len(m.peers)+1)
	known = append(known, m.cfg.Self)
	for i := range m.peers {
		known = append(known, i)
	}
	slices.SortFunc(known, compareInstances)
	return known
}

// OwnReport returns the report of this host.
func (m *Machine) OwnReport(now time.Time) Report {
	return Report{
		From:        m.cfg.Self,
		Established: m.Established(),
		Contacts:    m.contacts,
		ContactAge:  now.Sub(m.lastContact),
		KnownDigest: m.knownDigest(),
	}
}

func (m *Machine) knownDigest() uint64 {
	if m.digest == 0 {
		h := xxhash.New()
		for _, i := range m.KnownInstances() {
			_, _ = h.WriteString(i.String() + "\n")
		}
		m.digest = h.Sum64()
	}
	return m.digest
}

// ReportReceived takes the answer of a member to a call that this host sent at sent and whose answer arrived at received. The
// member must add the caller to its known instances before it makes the report.
func (m *Machine) ReportReceived(r Report, sent, received time.Time) {
	m.AddInstances(r.From)
	p, ok := m.peers[r.From]
	if !ok || sent.Before(p.sent) {
		return
	}
	p.report = r
	p.sent = sent
	m.judge(p, received)
	m.acknowledge(p, received)
}

// judge decides whether the member has had no answer from the store since this host's lease can have lapsed. Once it
// is quiet, only its count of answers matters, so that clock drift does not add up over a long outage.
func (m *Machine) judge(p *peer, received time.Time) {
	if p.quiet && p.quietCount == p.report.Contacts {
		return
	}
	age := p.report.ContactAge
	latest := received.Add(-age).Add(age / driftDivisor)
	p.quiet = p.report.Contacts == 0 || !latest.After(m.fullUntil)
	p.quietCount = p.report.Contacts
}

// acknowledge establishes this host once the same established member has known it for AckWait: by then every owner
// that relies on that member's reports knows this host too. Only a registered host counts, so that a host which reads
// the roster later knows it even if the member has left by then.
func (m *Machine) acknowledge(p *peer, received time.Time) {
	if m.established || !m.registered || !p.report.Established {
		return
	}
	if p.firstAck.IsZero() {
		p.firstAck = received
		return
	}
	if !p.sent.Before(p.firstAck.Add(m.cfg.AckWait)) {
		m.established = true
	}
}

// Sponsor returns the established member that has known this host for longest, for a host that is not established.
func (m *Machine) Sponsor() (ident.Instance, bool) {
	var (
		best  ident.Instance
		since time.Time
	)
	for i, p := range m.peers {
		if !p.firstAck.IsZero() && (since.IsZero() || p.firstAck.Before(since)) {
			best, since = i, p.firstAck
		}
	}
	return best, !since.IsZero()
}

// Candidate reports whether this host is the first registered of those that may still run, and so the one that can be
// established without an acknowledgement once all others report that they are not.
func (m *Machine) Candidate() bool {
	return m.candidate && !m.established
}

// LeaseUntil returns until when the lease certainly exists.
func (m *Machine) LeaseUntil() time.Time {
	return m.fullUntil
}

// NeedsRoster reports whether the roster should be read from the store.
func (m *Machine) NeedsRoster() bool {
	return m.blind || !m.established
}

// InContact reports whether the store has answered lately.
func (m *Machine) InContact(now time.Time) bool {
	return m.contacts > 0 && now.Sub(m.lastContact) < m.cfg.ContactTimeout
}

// Established reports whether this host may take over cells of owners that may still be running.
func (m *Machine) Established() bool {
	return m.established
}

// RosterEntry is a lasting registration of a host in the store.
type RosterEntry struct {
	Instance ident.Instance
	// Order is the position of the registration in the history of the store.
	Order int64
}

// SetRoster takes the registrations read from the store by a call that started at start.
func (m *Machine) SetRoster(roster []RosterEntry, start, now time.Time) {
	for _, e := range roster {
		m.AddInstances(e.Instance)
	}
	if m.blind && start.After(m.blindSince) {
		m.blind = false
	}
	m.found(roster, now)
}

// found establishes this host without an acknowledgement if no registered instance can be established: each is proved
// to have stopped, or has just said that it is not established and registered later than this host.
func (m *Machine) found(roster []RosterEntry, now time.Time) {
	own := int64(-1)
	for _, e := range roster {
		if e.Instance == m.cfg.Self {
			own = e.Order
			m.registered = true
		}
	}
	if m.established || own < 0 {
		return
	}
	m.candidate = true
	for _, e := range roster {
		if e.Instance == m.cfg.Self || m.gone(e.Instance) {
			continue
		}
		m.candidate = m.candidate && e.Order > own
	}
	for _, e := range roster {
		if e.Instance == m.cfg.Self || m.gone(e.Instance) {
			continue
		}
		p, ok := m.peers[e.Instance]
		if !ok || e.Order < own || !m.fresh(p, now) || p.report.Established {
			return
		}
	}
	m.established = true
}

// noteLeased takes over which members have a leased record. One that was presumed to have stopped and has one again runs.
func (m *Machine) noteLeased(now time.Time) {
	for i, p := range m.peers {
		_, leased := m.firstSeen[i]
		switch {
		case leased:
			p.unleased = time.Time{}
		case p.unleased.IsZero():
			p.unleased = now
		}
	}
	for i := range m.presumed {
		if _, leased := m.firstSeen[i]; leased && m.stopped[i.Host] == i.Incarnation {
			delete(m.presumed, i)
			m.stopped = maps.Clone(m.stopped)
			delete(m.stopped, i.Host)
			m.AddInstances(i)
		}
	}
}

// presumeStopped counts members without a lease as stopped from their end on. One that has a lease again since the host
// last heard from the store has to claim its cells anew.
func (m *Machine) presumeStopped(now time.Time) {
	if !m.InContact(now) {
		return
	}
	for i := range m.peers {
		if end, ok := m.endOf(i); ok && !now.Before(end) {
			m.presumed[i] = struct{}{}
			m.InstanceStopped(i, m.cfg.MaxDeadline, now)
		}
	}
}

// endOf returns when a member without a lease counts as stopped; ok is false if it holds one, or is not known. Time without
// contact to the store does not count, because the host does not know then what is leased; nor does the time after it in
// which a member may renew its lease, or act on reports that nobody reached the store.
func (m *Machine) endOf(i ident.Instance) (end time.Time, ok bool) {
	p, known := m.peers[i]
	if !known || m.cfg.PresumeStoppedAfter == 0 || p.unleased.IsZero() {
		return time.Time{}, false
	}
	contact, wait := m.contactSince.Add(m.cfg.ContactWait), m.cfg.PresumeStoppedAfter
	if !m.established {
		contact, wait = m.contactSince, m.cfg.NewcomerPresumeStoppedAfter
	}
	since := p.unleased
	if contact.After(since) {
		since = contact
	}
	return since.Add(wait), true
}

func (m *Machine) fresh(p *peer, now time.Time) bool {
	return now.Before(p.sent.Add(m.cfg.ReportMaxAge))
}

// InstanceStopped takes the proof that an instance has stopped for good: a newer incarnation answers at its address, it is
// absent from the platform's host list, or it said that it left. busyFor is how long its requests may still run.
//
// A member whose last report is older than AckWait may have acknowledged a new member that this host has not heard of,
// so the reports of the others prove nothing until the roster has been read again.
func (m *Machine) InstanceStopped(i ident.Instance, busyFor time.Duration, now time.Time) {
	if i == m.cfg.Self || m.gone(i) {
		return
	}
	if p, ok := m.peers[i]; ok {
		known := p.quiet && p.report.KnownDigest == m.knownDigest() && now.Before(p.sent.Add(m.cfg.AckWait))
		if !known {
			m.blind = true
			m.blindSince = now
		}
		delete(m.peers, i)
		m.digest = 0
	}
	// Ended hands the map out, so that it is replaced and not changed.
	m.stopped = maps.Clone(m.stopped)
	m.stopped[i.Host] = max(m.stopped[i.Host], i.Incarnation)
	for _, h := range m.held {
		h.confirm(i, now.Add(busyFor))
	}
}

// StoppedInstances tells which instances were proved to have stopped at one moment. It never changes, so that it can be read
// without the lock that guards the Machine.
type StoppedInstances struct {
	self    ident.Instance
	stopped map[ident.HostID]ident.Incarnation
}

// Contains reports whether the instance is proved to have stopped.
func (e StoppedInstances) Contains(i ident.Instance) bool {
	if i.Host == e.self.Host && i.Incarnation < e.self.Incarnation {
		return true
	}
	last, ok := e.stopped[i.Host]
	return ok && i.Incarnation <= last
}

// StoppedInstances returns the instances that are proved to have stopped by now.
func (m *Machine) StoppedInstances() StoppedInstances {
	return StoppedInstances{self: m.cfg.Self, stopped: m.stopped}
}

func (m *Machine) gone(i ident.Instance) bool {
	return m.StoppedInstances().Contains(i)
}

// quietUntil returns until when the reports of all known members prove that nobody can have taken a cell of this host;
// the zero time if they do not. A host that knows no other member needs no report: no member can be established
// without its acknowledgement.
func (m *Machine) quietUntil() time.Time {
	if m.blind || m.lease == 0 {
		return time.Time{}
	}
	until := m.fullUntil.Add(aloneFor)
	for _, p := range m.peers {
		if !p.quiet || p.report.KnownDigest != m.knownDigest() {
			return time.Time{}
		}
		if t := p.sent.Add(m.cfg.ReportMaxAge); t.Before(until) {
			until = t
		}
	}
	return until
}

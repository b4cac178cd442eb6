package ownership

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// clockDriftDivisor bounds the drift between the clocks of two hosts to 1/clockDriftDivisor of the elapsed time.
const clockDriftDivisor = 1000

// Report is the state of a member, which it sends in answer to a call of this host.
type Report struct {
	From ident.Instance
	// Established is set if the member may take over cells of owners that may still be running.
	Established bool
	// Contacts counts the answers that the member has received from the store.
	Contacts uint64
	// ContactAge is the time since the last of them; meaningless if Contacts is 0.
	ContactAge time.Duration
	// KnownDigest identifies the set of instances that the member knows.
	KnownDigest uint64
}

// peer is another process that may claim cells.
type peer struct {
	report Report
	// reportSentAt is when this host sent the call that the report answers. The report was made later.
	reportSentAt time.Time
	// outOfContact is set if the member has had no answer from the store since the lease of this host may have lapsed.
	// It holds as long as the member's count of answers stays contactsAtCheck.
	outOfContact    bool
	contactsAtCheck uint64
	// unleasedSince is since when the member has had no leased record; zero if it has one or if that is not known.
	unleasedSince time.Time
	// firstAckAt is when an established member first acknowledged this host.
	firstAckAt time.Time
}

// AddInstances adds instances named by other members or by the roster in the store. Instances that are proved to have
// stopped are not added again.
func (m *Machine) AddInstances(instances ...ident.Instance) {
	for _, i := range instances {
		if i == m.cfg.Self || m.isStopped(i) {
			continue
		}
		if _, ok := m.peers[i]; !ok {
			m.peers[i] = &peer{}
			m.cachedDigest = 0
		}
	}
}

// KnownInstances returns the instances that may claim cells, including this one, in order.
func (m *Machine) KnownInstances() []ident.Instance {
	known := make([]ident.Instance, 0, len(m.peers)+1)
	known = append(known, m.cfg.Self)
	for i := range m.peers {
		known = append(known, i)
	}
	slices.SortFunc(known, compareInstances)
	return known
}

// OwnReport returns the report of this host about itself.
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
	if m.cachedDigest == 0 {
		h := xxhash.New()
		for _, i := range m.KnownInstances() {
			_, _ = h.WriteString(i.String() + "\n")
		}
		m.cachedDigest = h.Sum64()
	}
	return m.cachedDigest
}

// ReportReceived applies the answer of a member to a call of this host that was sent at sent. The answer arrived at
// received. The member must add the caller to its known instances before it makes the report.
func (m *Machine) ReportReceived(r Report, sent, received time.Time) {
	m.AddInstances(r.From)
	p, ok := m.peers[r.From]
	if !ok || sent.Before(p.reportSentAt) {
		return
	}
	p.report = r
	p.reportSentAt = sent
	m.updateOutOfContact(p, received)
	m.noteAcknowledgement(p, received)
}

// updateOutOfContact determines whether the member has had no answer from the store since the lease of this host may
// have lapsed. Once that is so, only its count of answers matters, so that clock drift does not add up over a long
// outage.
func (m *Machine) updateOutOfContact(p *peer, received time.Time) {
	if p.outOfContact && p.contactsAtCheck == p.report.Contacts {
		return
	}
	age := p.report.ContactAge
	latest := received.Add(-age).Add(age / clockDriftDivisor)
	p.outOfContact = p.report.Contacts == 0 || !latest.After(m.fullUntil)
	p.contactsAtCheck = p.report.Contacts
}

// noteAcknowledgement establishes this host once the same established member has known it for AckWait: by then, every
// owner that relies on reports of that member knows this host too. This host must be registered, so that a host that
// reads the roster later knows of it even if the member has left.
func (m *Machine) noteAcknowledgement(p *peer, received time.Time) {
	if m.established || !m.registered || !p.report.Established {
		return
	}
	if p.firstAckAt.IsZero() {
		p.firstAckAt = received
		return
	}
	if !p.reportSentAt.Before(p.firstAckAt.Add(m.cfg.AckWait)) {
		m.established = true
	}
}

// Sponsor returns the established member that has known this host for the longest time; false if there is none.
func (m *Machine) Sponsor() (ident.Instance, bool) {
	var (
		sponsor ident.Instance
		since   time.Time
	)
	for i, p := range m.peers {
		if !p.firstAckAt.IsZero() && (since.IsZero() || p.firstAckAt.Before(since)) {
			sponsor, since = i, p.firstAckAt
		}
	}
	return sponsor, !since.IsZero()
}

// Candidate reports whether this host registered before all others that may still run, and can thus be established
// without an acknowledgement once all others report that they are not established.
func (m *Machine) Candidate() bool {
	return m.candidate && !m.established
}

// ReportsNeededFrom returns from when this host needs fresh reports of all other members; needed is false if it needs
// none. An owner needs them before its lease can lapse, a candidate at once.
func (m *Machine) ReportsNeededFrom() (from time.Time, needed bool) {
	if m.Candidate() {
		return time.Time{}, true
	}
	return m.fullUntil.Add(-m.cfg.ReportLead), len(m.held) > 0
}

// NeedsRoster reports whether the roster should be read from the store.
func (m *Machine) NeedsRoster() bool {
	return m.rosterStale || !m.established
}

// InContact reports whether the store has answered within ContactTimeout.
func (m *Machine) InContact(now time.Time) bool {
	return m.contacts > 0 && now.Sub(m.lastContact) < m.cfg.ContactTimeout
}

// Established reports whether this host may take over cells of owners that may still be running.
func (m *Machine) Established() bool {
	return m.established
}

// RosterEntry is the lasting registration of a host in the store.
type RosterEntry struct {
	Instance ident.Instance
	// Order is the position of the registration in the history of the store.
	Order int64
}

// SetRoster applies the registrations that were read from the store by a call started at start.
func (m *Machine) SetRoster(roster []RosterEntry, start, now time.Time) {
	for _, e := range roster {
		m.AddInstances(e.Instance)
	}
	if m.rosterStale && start.After(m.rosterStaleSince) {
		m.rosterStale = false
	}
	m.establishFirst(roster, now)
}

// establishFirst establishes this host without an acknowledgement if no registered instance can be established: each
// has certainly stopped, or has just reported that it is not established and registered later than this host.
func (m *Machine) establishFirst(roster []RosterEntry, now time.Time) {
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
		if e.Instance == m.cfg.Self || m.isStopped(e.Instance) {
			continue
		}
		m.candidate = m.candidate && e.Order > own
	}
	for _, e := range roster {
		if e.Instance == m.cfg.Self || m.isStopped(e.Instance) {
			continue
		}
		p, ok := m.peers[e.Instance]
		if !ok || e.Order < own || !m.hasFreshReport(p, now) || p.report.Established {
			return
		}
	}
	m.established = true
}

func (m *Machine) hasFreshReport(p *peer, now time.Time) bool {
	return now.Before(p.reportSentAt.Add(m.cfg.ReportMaxAge))
}

// oldestReport returns when the oldest of the latest reports of the other members was asked for; zero if there are no other
// members.
func (m *Machine) oldestReport() (sentAt time.Time) {
	for _, p := range m.peers {
		if sentAt.IsZero() || p.reportSentAt.Before(sentAt) {
			sentAt = p.reportSentAt
		}
	}
	return sentAt
}

// noTakeoverUntil returns until when the reports of all known members prove that no other host can have taken a cell of
// this one; zero if they do not. A host that knows no other member needs no report, because no member can be
// established without its acknowledgement.
func (m *Machine) noTakeoverUntil() time.Time {
	if m.rosterStale || m.lease == 0 {
		return time.Time{}
	}
	until := m.fullUntil.Add(soleMemberAuthority)
	for _, p := range m.peers {
		if !p.outOfContact || p.report.KnownDigest != m.knownDigest() {
			return time.Time{}
		}
		if t := p.reportSentAt.Add(m.cfg.ReportMaxAge); t.Before(until) {
			until = t
		}
	}
	return until
}

package ownership

import (
	"maps"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// updateLeased updates which members have a leased record. A member that was presumed stopped and has one again is
// running. Each Step repeats it, because a member may become known after the last change of the records.
func (m *Machine) updateLeased(now time.Time) {
	if m.leasedSince == nil {
		return
	}
	for i, p := range m.peers {
		_, leased := m.leasedSince[i]
		switch {
		case leased:
			p.unleasedSince = time.Time{}
		case p.unleasedSince.IsZero():
			p.unleasedSince = now
		}
	}
	for i := range m.presumedStopped {
		if m.stopped[i.Host] != i.Incarnation {
			// A newer incarnation proves that this one has stopped.
			delete(m.presumedStopped, i)
			continue
		}
		if _, leased := m.leasedSince[i]; leased {
			delete(m.presumedStopped, i)
			m.stopped = maps.Clone(m.stopped)
			m.stopped[i.Host] = max(i.Incarnation, 1) - 1
			m.AddInstances(i)
		}
	}
}

// presumeStopped counts the members whose presumedEnd has passed as stopped. If such a member has a new lease of which
// this host has not heard yet, it must claim its cells again.
func (m *Machine) presumeStopped(now time.Time) {
	if !m.InContact(now) {
		return
	}
	for i := range m.peers {
		if end, ok := m.presumedEnd(i); ok && !now.Before(end) {
			m.presumedStopped[i] = struct{}{}
			m.InstanceStopped(i, m.cfg.MaxDeadline, now)
		}
	}
}

// presumedEnd returns when a member without a lease counts as stopped; ok is false if it has a lease or is unknown.
// Time without store contact does not count, because this host does not know then which leases exist. On an established
// host, the ContactWait after it does not count either: the member may renew its lease then, or act on reports that
// nobody reached the store.
func (m *Machine) presumedEnd(i ident.Instance) (end time.Time, ok bool) {
	p, known := m.peers[i]
	if !known || m.cfg.PresumeStoppedAfter == 0 || p.unleasedSince.IsZero() {
		return time.Time{}, false
	}
	countedFrom, wait := m.contactSince.Add(m.cfg.ContactWait), m.cfg.PresumeStoppedAfter
	if !m.established {
		countedFrom, wait = m.contactSince, m.cfg.NewcomerPresumeStoppedAfter
	}
	since := p.unleasedSince
	if countedFrom.After(since) {
		since = countedFrom
	}
	return since.Add(wait), true
}

// PresumedStopped returns the instances that count as stopped only because they have had no lease for long enough, in
// order.
func (m *Machine) PresumedStopped() []ident.Instance {
	if len(m.presumedStopped) == 0 {
		return nil
	}
	return slices.SortedFunc(maps.Keys(m.presumedStopped), compareInstances)
}

// InstanceStopped notes the proof that an instance has stopped for good: a newer incarnation answers at its address, it
// is missing from the host list of the platform, or it reported that it left. busyFor is how long its requests may
// still run.
//
// A member whose last report is older than AckWait may have acknowledged a new member that this host does not know.
// The reports of the others then prove nothing until the roster has been read again.
func (m *Machine) InstanceStopped(i ident.Instance, busyFor time.Duration, now time.Time) {
	if i == m.cfg.Self || m.isStopped(i) {
		return
	}
	if p, ok := m.peers[i]; ok {
		known := p.outOfContact && p.report.KnownDigest == m.knownDigest() && now.Before(p.reportSentAt.Add(m.cfg.AckWait))
		if !known {
			m.rosterStale = true
			m.rosterStaleSince = now
		}
		delete(m.peers, i)
		m.cachedDigest = 0
	}
	// StoppedInstances hands out the map, so it must be replaced instead of changed.
	m.stopped = maps.Clone(m.stopped)
	m.stopped[i.Host] = max(m.stopped[i.Host], i.Incarnation)
	for _, h := range m.held {
		h.confirmStopped(i, now.Add(busyFor))
	}
}

// InstancesRun notes that instances answer at the addresses of their hosts, so that earlier ones of these hosts have
// stopped, also those of which this host hears later. busyFor is how long their requests may still run.
func (m *Machine) InstancesRun(running []ident.Instance, busyFor time.Duration, now time.Time) {
	newest := make(map[ident.HostID]ident.Incarnation, len(running))
	for _, i := range running {
		newest[i.Host] = max(newest[i.Host], i.Incarnation)
	}
	for i := range m.peers {
		if i.Incarnation < newest[i.Host] {
			m.InstanceStopped(i, busyFor, now)
		}
	}
	stopped := maps.Clone(m.stopped)
	for host, incarnation := range newest {
		if host != m.cfg.Self.Host && incarnation > 0 {
			stopped[host] = max(stopped[host], incarnation-1)
		}
	}
	m.stopped = stopped
	m.AddInstances(running...)
}

// StoppedInstances is the set of instances that were proved to have stopped by some time. It is immutable, so it can be
// read without the lock that guards the Machine.
type StoppedInstances struct {
	self    ident.Instance
	stopped map[ident.HostID]ident.Incarnation
}

// Contains reports whether the instance is proved to have stopped.
func (s StoppedInstances) Contains(i ident.Instance) bool {
	if i.Host == s.self.Host && i.Incarnation < s.self.Incarnation {
		return true
	}
	last, ok := s.stopped[i.Host]
	return ok && i.Incarnation <= last
}

// StoppedInstances returns the instances that are proved to have stopped by now.
func (m *Machine) StoppedInstances() StoppedInstances {
	return StoppedInstances{self: m.cfg.Self, stopped: m.stopped}
}

func (m *Machine) isStopped(i ident.Instance) bool {
	return m.StoppedInstances().Contains(i)
}

package config

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// Status is what this host knows of the table on all hosts.
type Status struct {
	Self HostStatus
	// Source is "store" or the peer that the table in force came from.
	Source  string
	Watcher bool
	// StoreFault is the last failure of the store; empty while it answers.
	StoreFault string
	// Divergence says how the store differs from the table in force; empty if it does not.
	Divergence  string
	PeerContact time.Time
	// Hosts lists the other hosts by their last digest, sorted by id. It may be out of date; Everywhere is not.
	Hosts []HostStatus
}

// HostStatus is the state of one host. Times are on the clock of the reporting host.
type HostStatus struct {
	Instance ident.Instance
	Loaded   bool
	Revision table.Revision
	Digest   table.Digest
	// Since is when the revision came into force.
	Since time.Time
	// StoreContact is when the host last reached the store; zero if it has not since its start.
	StoreContact time.Time
	// Seen is when this state was reported.
	Seen time.Time
}

// Status returns what this host knows.
func (s *Service) Status() Status {
	now := time.Now()
	st := Status{Self: hostStatus(s.Digest(), now), Watcher: s.watcher.Load()}
	if f := s.current.Load(); f != nil {
		st.Source = f.source
	}
	s.mu.Lock()
	st.StoreFault, st.Divergence, st.PeerContact = s.contact.fault, s.contact.divergence, s.contact.peer
	s.mu.Unlock()
	s.views.ForEachShard(func(views map[ident.HostID]view) {
		for _, v := range views {
			st.Hosts = append(st.Hosts, hostStatus(v.digest, v.at))
		}
	})
	slices.SortFunc(st.Hosts, func(a, b HostStatus) int { return cmp.Compare(a.Instance.Host, b.Instance.Host) })
	return st
}

func hostStatus(d PeerDigest, at time.Time) HostStatus {
	h := HostStatus{Instance: d.Instance, Loaded: d.Loaded, Revision: d.Revision, Digest: d.Digest, Seen: at}
	if d.Loaded {
		h.Since = at.Add(-d.InForce)
	}
	if d.StoreContact >= 0 {
		h.StoreContact = at.Add(-d.StoreContact)
	}
	return h
}

// RolloutStatus is the answer to whether a revision is in force on every leased member.
type RolloutStatus struct {
	Revision table.Revision
	// InForce is true only if every leased member has confirmed the revision or a newer one.
	InForce   bool
	Members   int
	Confirmed int
	// Missing lists the members that have not confirmed.
	Missing []ident.HostID
	// Reason says why InForce is false; empty if it is true.
	Reason string
}

// CheckRollout asks every leased member. A confirmation counts only for the incarnation that holds the lease, because a
// restarted host starts with what it can load. The members are read again at the end: a change in between would leave
// a new member unasked.
func (s *Service) CheckRollout(ctx context.Context, revision table.Revision) RolloutStatus {
	e := RolloutStatus{Revision: revision}
	before, err := s.leased(ctx)
	if err != nil {
		e.Reason = "the leased members cannot be read: " + err.Error()
		return e
	}
	e.Members = len(before)
	confirmed, err := s.confirmations(ctx, before, revision)
	for _, m := range before {
		if !confirmed[m] {
			e.Missing = append(e.Missing, m.Host)
		}
	}
	e.Confirmed = e.Members - len(e.Missing)
	after, errAfter := s.leased(ctx)
	switch {
	case err != nil:
		e.Reason = err.Error()
	case len(before) == 0:
		e.Reason = "no member holds a lease"
	case len(e.Missing) > 0:
		e.Reason = "some members have not confirmed"
	case errAfter != nil:
		e.Reason = "the leased members cannot be read again: " + errAfter.Error()
	case !slices.Equal(before, after):
		e.Reason = "the members changed while they were asked"
	default:
		e.InForce = true
	}
	return e
}

func (s *Service) leased(ctx context.Context) ([]ident.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, s.CallTimeout)
	defer cancel()
	members, err := s.Members.LeasedMembers(ctx)
	slices.SortFunc(members, func(a, b ident.Instance) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return members, err
}

// confirmations returns the members that have the revision or a newer one. Every member is asked: an earlier report may
// come from a process that has been replaced while its lease lasts. The error is errDiverged if two of them have
// different rows at one revision.
func (s *Service) confirmations(
	ctx context.Context, members []ident.Instance, revision table.Revision,
) (map[ident.Instance]bool, error) {
	var others []ident.HostID
	for _, m := range members {
		if m.Host != s.Self.Host {
			others = append(others, m.Host)
		}
	}
	digests := append(s.exchangeAll(ctx, others), s.Digest())
	confirmed := make(map[ident.Instance]bool, len(digests))
	rows := make(map[table.Revision]table.Digest)
	for _, d := range digests {
		if !d.Loaded || d.Revision < revision {
			continue
		}
		if other, found := rows[d.Revision]; found && other != d.Digest {
			return nil, errDiverged
		}
		rows[d.Revision] = d.Digest
		confirmed[d.Instance] = true
	}
	return confirmed, nil
}

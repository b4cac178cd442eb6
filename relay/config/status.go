package config

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// Status describes the table on all hosts, as far as this host knows.
type Status struct {
	Self HostStatus
	// Source is "store" or the peer from which the table in force came.
	Source  string
	Watcher bool
	// StoreFault is the last failure of the store; empty while the store answers.
	StoreFault string
	// Divergence describes how the store differs from the table in force; empty if it does not.
	Divergence  string
	PeerContact time.Time
	// Hosts lists the other hosts by their last digest, sorted by id. It may be out of date, unlike the result of
	// CheckRollout.
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

// Status returns what this host knows about the table on all hosts.
func (s *Service) Status() Status {
	now := time.Now()
	status := Status{Self: hostStatus(s.Digest(), now), Watcher: s.watcher.Load()}
	if installed := s.current.Load(); installed != nil {
		status.Source = installed.source
	}
	s.mu.Lock()
	status.StoreFault, status.Divergence, status.PeerContact = s.contact.lastFault, s.contact.divergence, s.contact.peerContact
	s.mu.Unlock()
	s.digests.ForEachShard(func(views map[ident.HostID]peerView) {
		for _, v := range views {
			status.Hosts = append(status.Hosts, hostStatus(v.digest, v.at))
		}
	})
	slices.SortFunc(status.Hosts, func(a, b HostStatus) int { return cmp.Compare(a.Instance.Host, b.Instance.Host) })
	return status
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

// RolloutStatus tells whether a revision is in force on every leased member.
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

// CheckRollout asks every leased member for its revision. A confirmation counts only for the incarnation that holds
// the lease, because a restarted host starts with whatever it can load. The members are read again at the end,
// because a member that joined in between has not been asked.
func (s *Service) CheckRollout(ctx context.Context, revision table.Revision) RolloutStatus {
	status := RolloutStatus{Revision: revision}
	before, err := s.sortedLeasedMembers(ctx)
	if err != nil {
		status.Reason = "cannot read the leased members: " + err.Error()
		return status
	}
	status.Members = len(before)
	confirmed, err := s.confirmations(ctx, before, revision)
	for _, m := range before {
		if !confirmed[m] {
			status.Missing = append(status.Missing, m.Host)
		}
	}
	status.Confirmed = status.Members - len(status.Missing)
	after, errAfter := s.sortedLeasedMembers(ctx)
	switch {
	case err != nil:
		status.Reason = err.Error()
	case len(before) == 0:
		status.Reason = "no member holds a lease"
	case len(status.Missing) > 0:
		status.Reason = "some members have not confirmed"
	case errAfter != nil:
		status.Reason = "cannot read the leased members again: " + errAfter.Error()
	case !slices.Equal(before, after):
		status.Reason = "the members changed while they were asked"
	default:
		status.InForce = true
	}
	return status
}

func (s *Service) sortedLeasedMembers(ctx context.Context) ([]ident.Instance, error) {
	ctx, cancel := context.WithTimeout(ctx, s.CallTimeout)
	defer cancel()
	members, err := s.Members.LeasedMembers(ctx)
	slices.SortFunc(members, func(a, b ident.Instance) int {
		return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return members, err
}

// confirmations returns the members that have the revision or a newer one. Every member is asked, because an earlier
// digest may come from a process that has been replaced while its lease lasts. The error is errDiverged if two
// members have different rows at the same revision.
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

package ownership

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Config holds the identity of a host, the fixed set of cells and the times of the ownership rules.
type Config struct {
	Self       ident.Instance
	DataCentre ident.DataCentre
	Cells      []Cell
	// TTL is the time to live of the lease; the authority is Full until TTL - Margin after the start of a renewal.
	TTL    time.Duration
	Margin time.Duration
	// ReportMaxAge is how long a report of another member counts.
	ReportMaxAge time.Duration
	// ContactWait is how long a member that regains store contact claims no cell of an owner that may still run, so
	// that the owner can renew its lease first.
	ContactWait time.Duration
	// ContactTimeout is the time without an answer from the store after which contact counts as lost.
	ContactTimeout time.Duration
	// AckWait is how long an established member must have known a new member.
	AckWait time.Duration
	// SettleWait is how long a claim of a cell whose owner may still run gives no authority: longer than ReportFresh,
	// so that no report made before the claim's answer still counts for that owner.
	SettleWait time.Duration
	// StartWait is how long a host that has just started claims nothing, so that hosts started together share.
	StartWait time.Duration
	// RankStep is how long each less preferred member waits for the more preferred ones to claim a free cell.
	RankStep time.Duration
	// HandOverAfter is how long a more preferred member must have been seen before it is handed a cell.
	HandOverAfter time.Duration
	// HandOverToStrongerAfter is HandOverAfter for a member that is stronger than this host, which may be too weak for the cell.
	HandOverToStrongerAfter time.Duration
	// DoubtLimit is how long an owner renews the leases of tasks after its authority stopped being Full; 0 means without
	// end.
	DoubtLimit time.Duration
	// PresumeStoppedAfter is how long a member may be without a leased record before it counts as stopped; 0 if only proof counts.
	// This host must have heard from the store for ContactWait before. An owner must have ended all its work by then.
	PresumeStoppedAfter time.Duration
	// NewcomerPresumeStoppedAfter is GoneAfter for a host that is not established. Others may not know of it, so that an owner may
	// rely on the reports of the others alone that nobody reaches the store.
	NewcomerPresumeStoppedAfter time.Duration
	// MaxDeadline is the longest time for which a request holds a target slot.
	MaxDeadline time.Duration
}

// DefaultConfig returns the times of the design page. The caller sets the identity, cells and MaxDeadline.
func DefaultConfig() Config {
	return Config{
		TTL:                     9 * time.Second,
		Margin:                  time.Second,
		ReportMaxAge:            time.Second,
		ContactWait:             10 * time.Second,
		ContactTimeout:          4 * time.Second,
		AckWait:                 10 * time.Second,
		SettleWait:              1500 * time.Millisecond,
		StartWait:               2 * time.Second,
		RankStep:                3 * time.Second,
		HandOverAfter:           5 * time.Second,
		HandOverToStrongerAfter: 5 * time.Second,
		MaxDeadline:             30 * time.Second,
	}
}

// ConfigForTTL returns the times for a lease with the given time to live, where workers and the store fence each order of
// an owner by its epoch. They keep the order of those of DefaultConfig: a report counts for less than the lease, a claim
// settles for longer than a report counts, and a host that returns waits for longer than both. Renewals of tasks end with
// the lease of their owner, so that a member without one has stopped, but for clocks that run at other rates.
func ConfigForTTL(ttl time.Duration) Config {
	fresh := max(ttl/4, minReportFresh)
	margin := ttl / 9
	return Config{
		TTL:                     ttl,
		Margin:                  margin,
		ReportMaxAge:            fresh,
		ContactWait:             ttl + fresh,
		ContactTimeout:          ttl / 2,
		AckWait:                 ttl + fresh,
		SettleWait:              fresh + fresh/4,
		StartWait:               ttl / 10,
		RankStep:                ttl / 12,
		HandOverAfter:           handOverTTLs * ttl,
		HandOverToStrongerAfter: relieveTTLs * ttl,
		DoubtLimit:              margin,
		PresumeStoppedAfter:     margin,

		NewcomerPresumeStoppedAfter: 2 * ttl,
	}
}

// handOverTTLs is how many lives of a lease a host must have been back before a cell is handed to it only because it ranks
// higher: a hand-over interrupts the work of a cell, and a rolling stop would cause one for each host.
const handOverTTLs = 100

// relieveTTLs is the same for a host that is stronger than the owner. It outlasts the restart of a host that owned the
// cell before, so that a rolling stop of the strong hosts does not move the cell twice for each.
const relieveTTLs = 2

// minReportFresh leaves a member asked every half second time to answer.
const minReportFresh = 700 * time.Millisecond

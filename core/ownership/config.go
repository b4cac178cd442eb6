package ownership

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Config holds the identity of a host, the fixed set of cells, and the times of the ownership rules.
type Config struct {
	Self       ident.Instance
	DataCentre ident.DataCentre
	Cells      []Cell
	// TTL is the time to live of the lease. The authority is Full until TTL - Margin after the start of a renewal.
	TTL    time.Duration
	Margin time.Duration
	// ReportMaxAge is the age up to which a report of another member is valid.
	ReportMaxAge time.Duration
	// ReportLead is how long before the end of its lease an owner starts to ask all members for reports. It is shorter
	// than what is left of the lease when the second renewal in a row is late, so that an answered store causes none.
	ReportLead time.Duration
	// ContactWait is how long a member whose store contact has returned claims no cell of an owner that may still run,
	// so that the owner can renew its lease first.
	ContactWait time.Duration
	// ContactTimeout is the time without an answer from the store after which contact counts as lost.
	ContactTimeout time.Duration
	// AckWait is how long an established member must have known a new member before that one is established.
	AckWait time.Duration
	// SettleWait is how long a claim of a cell whose owner may still run gives no authority. It is longer than
	// ReportMaxAge, so that no report made before the answer to the claim is still valid for that owner.
	SettleWait time.Duration
	// StartWait is how long a host claims nothing after its start, so that hosts that start together share the cells.
	StartWait time.Duration
	// RankStep is how long a member waits for each more preferred member to claim a free cell first.
	RankStep time.Duration
	// SuccessorWait is how long the other members leave a released cell to the successor that its holder named.
	SuccessorWait time.Duration
	// HandOverAfter is how long a more preferred member must have been leased before it is handed a cell.
	HandOverAfter time.Duration
	// HandOverToStrongerAfter replaces HandOverAfter for a member with at least twice the processor time of this host,
	// which may be too weak for the cell.
	HandOverToStrongerAfter time.Duration
	// DoubtLimit is how long an owner renews the leases of tasks after its authority stopped being Full; 0 means without
	// limit.
	DoubtLimit time.Duration
	// PresumeStoppedAfter is how long a member may be without a leased record before it counts as stopped; 0 if it does
	// so only on proof. This host must have heard from the store for ContactWait before. An owner must have ended all
	// its work by then.
	PresumeStoppedAfter time.Duration
	// NewcomerPresumeStoppedAfter replaces PresumeStoppedAfter on a host that is not established. An owner may not know
	// of such a host and may therefore rely on the reports of the others that nobody reaches the store.
	NewcomerPresumeStoppedAfter time.Duration
	// MaxDeadline is the longest time for which a request holds a target slot.
	MaxDeadline time.Duration
}

// DefaultConfig returns the times of the design page. The caller sets the identity, the cells and MaxDeadline.
func DefaultConfig() Config {
	return Config{
		TTL:                     9 * time.Second,
		Margin:                  time.Second,
		ReportMaxAge:            time.Second,
		ReportLead:              2 * time.Second,
		ContactWait:             10 * time.Second,
		ContactTimeout:          4 * time.Second,
		AckWait:                 10 * time.Second,
		SettleWait:              1500 * time.Millisecond,
		StartWait:               2 * time.Second,
		RankStep:                3 * time.Second,
		SuccessorWait:           3 * time.Second,
		HandOverAfter:           5 * time.Second,
		HandOverToStrongerAfter: 5 * time.Second,
		MaxDeadline:             30 * time.Second,
	}
}

// ConfigForTTL returns the times for a lease with the given time to live, for platforms where the workers and the store
// fence each order of an owner by its epoch. The times are ordered as in DefaultConfig: a report is valid for less than
// the lease, SettleWait is longer than a report is valid, and ContactWait is longer than both. An owner stops renewing
// tasks when its lease ends, so a member without a lease has stopped, except for clocks that run at different rates.
func ConfigForTTL(ttl time.Duration) Config {
	reportMaxAge := max(ttl/4, minReportMaxAge)
	margin := ttl / 9
	return Config{
		TTL:                     ttl,
		Margin:                  margin,
		ReportMaxAge:            reportMaxAge,
		ReportLead:              2 * margin,
		ContactWait:             ttl + reportMaxAge,
		ContactTimeout:          ttl / 2,
		AckWait:                 ttl + reportMaxAge,
		SettleWait:              reportMaxAge + reportMaxAge/4,
		StartWait:               ttl / 10,
		RankStep:                ttl / 12,
		SuccessorWait:           ttl / 2,
		HandOverAfter:           handOverTTLs * ttl,
		HandOverToStrongerAfter: handOverToStrongerTTLs * ttl,
		DoubtLimit:              margin,
		PresumeStoppedAfter:     margin,

		NewcomerPresumeStoppedAfter: 2 * ttl,
	}
}

// handOverTTLs is the number of TTLs for which a host must have been back before a cell is handed to it only because
// it ranks higher. A hand-over interrupts the work of a cell, and a rolling restart would cause one for each host.
const handOverTTLs = 100

// handOverToStrongerTTLs is the same for a host that is stronger than the owner. It is longer than the restart of a
// host, so that a rolling restart of the strong hosts does not move each cell twice.
const handOverToStrongerTTLs = 2

// minReportMaxAge leaves a member that is asked every half second time to answer.
const minReportMaxAge = 700 * time.Millisecond

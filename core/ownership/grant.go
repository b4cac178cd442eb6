// Package ownership decides which host owns a cell, with what authority and which share of its capacity.
package ownership

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Authority is what an owner may still do in its cell.
type Authority uint8

const (
	// None means that the host does not own the cell.
	None Authority = iota
	// InDoubt means that a successor may exist. The owner uses half of its share of target slots and limits.
	InDoubt
	// Full means that no other host can have taken the cell.
	Full
)

// String returns the authority for logs.
func (a Authority) String() string {
	switch a {
	case Full:
		return "full"
	case InDoubt:
		return "in doubt"
	default:
		return "none"
	}
}

// Grant describes the rights of this host in one cell at one time.
type Grant struct {
	Cell      ident.CellID
	Epoch     ident.Epoch
	Authority Authority
	// ShareShift gives the share as 1/2^ShareShift of the capacity of the cell. It is already halved if InDoubt.
	ShareShift uint8
	// SlotsFrom is when target slots may be used. Until then a silent predecessor may still occupy them.
	SlotsFrom time.Time
	// DoubtSince is when the authority became InDoubt; zero if it is not InDoubt or if the host has lost its lease.
	DoubtSince time.Time
	// ReportedAt is set if the authority is Full although the lease may have lapsed: when the oldest of the reports was asked
	// for that prove it. No other host had claimed the cell by then. Zero if the authority rests on the lease.
	ReportedAt time.Time
}

// WasExclusiveAt reports whether no other host had claimed the cell by a time that is not in the future. A host whose report is
// still valid may have claimed it since.
func (g Grant) WasExclusiveAt(t time.Time) bool {
	return g.Authority == Full && (g.ReportedAt.IsZero() || !g.ReportedAt.Before(t))
}

// Equivalent reports whether two grants give the same rights. DoubtSince and ReportedAt make no difference.
func (g Grant) Equivalent(other Grant) bool {
	g.DoubtSince, g.ReportedAt = other.DoubtSince, other.ReportedAt
	return g == other
}

// ShareOf returns the share of a total, rounded down; 0 without authority and before SlotsFrom.
func (g Grant) ShareOf(total int, now time.Time) int {
	if g.Authority == None || now.Before(g.SlotsFrom) {
		return 0
	}
	return total >> g.ShareShift
}

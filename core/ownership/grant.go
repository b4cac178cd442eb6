// Package ownership decides which host owns a cell, with what authority and which share of its capacity.
package ownership

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Authority says what an owner may still do in its cell.
type Authority uint8

const (
	// None means that the host does not own the cell.
	None Authority = iota
	// InDoubt means that a successor may exist; the owner uses half its share of target slots and limits.
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

// Grant is the right of this host in one cell at one moment.
type Grant struct {
	Cell      ident.CellID
	Epoch     ident.Epoch
	Authority Authority
	// ShareShift gives the share as 1/2^ShareShift of the cell's capacity, already halved if InDoubt.
	ShareShift uint8
	// SlotsFrom is when target slots may be used, because a silent predecessor may still fill them until then.
	SlotsFrom time.Time
	// DoubtSince is when the authority became InDoubt; zero if it is not, or if the lease of the host was lost.
	DoubtSince time.Time
}

// Equivalent reports whether two grants allow the same; since when one is in doubt makes no difference.
func (g Grant) Equivalent(other Grant) bool {
	g.DoubtSince = other.DoubtSince
	return g == other
}

// ShareOf returns this grant's part of a total, rounded down; 0 before SlotsFrom and without authority.
func (g Grant) ShareOf(total int, now time.Time) int {
	if g.Authority == None || now.Before(g.SlotsFrom) {
		return 0
	}
	return total >> g.ShareShift
}

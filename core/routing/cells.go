package routing

import (
	"math/rand/v2"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// CellLoad is the load of a cell as gossiped by its owner.
type CellLoad struct {
	Cell       ident.CellID
	DataCentre ident.DataCentre
	// Usable is set if the cell has a known owner with the authority to run requests.
	Usable bool
	// Waiting is the number of queued requests, Outstanding of those at targets.
	Waiting     int
	Outstanding int
	// Capacity is the number of requests that may be at targets at one time.
	Capacity int
	// Latency is the recent latency over the targets of the cell.
	Latency time.Duration
}

// saturated reports whether more requests wait than the cell can run at one time.
func (l CellLoad) saturated() bool {
	return l.Waiting > l.Capacity
}

// expectedDelay returns the expected time to the answer of one more request in the cell, in seconds.
func (l CellLoad) expectedDelay() float64 {
	const minLatencySeconds = 1e-6
	rounds := float64(l.Waiting+l.Outstanding+1) / float64(max(1, l.Capacity))
	return rounds * max(minLatencySeconds, l.Latency.Seconds())
}

// ChooseCell returns the cell for a request that arrived in the local data centre: of two random cells there, the one
// with the smaller expected delay. A cell of another data centre is chosen only if the local choice is saturated and
// that cell is not, or if there is no usable local cell. It reports false if no cell is usable.
func ChooseCell(rng *rand.Rand, local ident.DataCentre, cells []CellLoad) (ident.CellID, bool) {
	near, found := chooseAmong(rng, cells, func(l CellLoad) bool { return l.Usable && l.DataCentre == local })
	if found && !near.saturated() {
		return near.Cell, true
	}
	far, foundFar := chooseAmong(rng, cells, func(l CellLoad) bool { return l.Usable && l.DataCentre != local })
	if foundFar && (!found || !far.saturated()) {
		return far.Cell, true
	}
	return near.Cell, found
}

// chooseAmong returns the cell with the smaller expected delay of two different random cells that match.
func chooseAmong(rng *rand.Rand, cells []CellLoad, match func(CellLoad) bool) (CellLoad, bool) {
	matching := 0
	for _, l := range cells {
		if match(l) {
			matching++
		}
	}
	if matching == 0 {
		return CellLoad{}, false
	}
	i := rng.IntN(matching)
	j := i
	if matching > 1 {
		j = (i + 1 + rng.IntN(matching-1)) % matching
	}
	var a, b CellLoad
	n := 0
	for _, l := range cells {
		if !match(l) {
			continue
		}
		if n == i {
			a = l
		}
		if n == j {
			b = l
		}
		n++
	}
	if b.expectedDelay() < a.expectedDelay() {
		return b, true
	}
	return a, true
}

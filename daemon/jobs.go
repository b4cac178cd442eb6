package daemon

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// weightedCellDirectory looks up the owners of cells for the router of jobs, and orders the cells by their workers.
// It implements jobs.Directory.
type weightedCellDirectory struct {
	self      ident.Instance
	cells     int
	directory cellDirectory
	fleet     *fleet
}

// Cells implements jobs.Directory. The cells come in a random order in which a cell is the more likely to come early
// the more workers it has, so that jobs spread in proportion to the workers. Cells without workers come last.
func (d *weightedCellDirectory) Cells() []ident.CellID {
	type weightedCell struct {
		cell ident.CellID
		key  float64
	}
	weighted := make([]weightedCell, d.cells)
	for i := range weighted {
		cell := ident.CellID(i)
		weighted[i] = weightedCell{cell: cell, key: -1}
		if workers := len(d.fleet.workersOf(cell)); workers > 0 {
			// Weighted random order: with u uniform in [0,1), the probability that an element has the largest u^(1/w)
			// is proportional to its weight w.
			weighted[i].key = math.Pow(rand.Float64(), 1/float64(workers))
		}
	}
	slices.SortFunc(weighted, func(a, b weightedCell) int {
		switch {
		case a.key > b.key:
			return -1
		case a.key < b.key:
			return 1
		default:
			return 0
		}
	})
	out := make([]ident.CellID, d.cells)
	for i := range weighted {
		out[i] = weighted[i].cell
	}
	return out
}

// Owner implements jobs.Directory.
func (d *weightedCellDirectory) Owner(cell ident.CellID) (address string, local, ok bool) {
	owner, address, ok := d.directory.Owner(cell)
	return address, owner == d.self, ok
}

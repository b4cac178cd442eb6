// Package cellmap assigns racks to cells. Every host computes the same assignment from the data centres and the number
// of cells, so that the hosts need no agreement on it.
package cellmap

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Map is the division of the racks of a deployment into cells.
type Map struct {
	cells   int
	centres []ident.DataCentre
}

// New returns the division of the data centres into cells. Every host must list the data centres in the same order.
// Cell c belongs to data centre c mod len(centres).
func New(cells int, centres []ident.DataCentre) Map {
	return Map{cells: cells, centres: centres}
}

// Cells returns the number of cells.
func (m Map) Cells() int { return m.cells }

// DataCentre returns the data centre of a cell; "" if the cell does not exist.
func (m Map) DataCentre(cell ident.CellID) ident.DataCentre {
	if len(m.centres) == 0 || int(cell) >= m.cells {
		return ""
	}
	return m.centres[int(cell)%len(m.centres)]
}

// Cell returns the cell of a rack by rendezvous hashing over the cells of its data centre. A rack is never split. It
// reports false if the data centre has no cell.
func (m Map) Cell(centre ident.DataCentre, rack ident.Rack) (ident.CellID, bool) {
	var (
		heaviest  ident.CellID
		maxWeight uint64
		found     bool
	)
	first := slices.Index(m.centres, centre)
	if first < 0 {
		return heaviest, false
	}
	for c := first; c < m.cells; c += len(m.centres) {
		cell := ident.CellID(c)
		if w := weight(centre, rack, cell); !found || w > maxWeight {
			heaviest, maxWeight, found = cell, w, true
		}
	}
	return heaviest, found
}

// weight returns the rendezvous hash of a rack and a cell. The parts are hashed with a separator, so that different
// parts never form the same text.
func weight(centre ident.DataCentre, rack ident.Rack, cell ident.CellID) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(string(centre))
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(rack))
	_, _ = d.Write([]byte{0})
	_, _ = d.Write([]byte{byte(cell >> 24), byte(cell >> 16), byte(cell >> 8), byte(cell)})
	return d.Sum64()
}

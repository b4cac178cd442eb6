// Package hostlist holds the types of the platform's host list and divides its targets over the cells.
package hostlist

import (
	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
)

// Kind is the kind of work that a host does.
type Kind string

const (
	// Worker hosts run tasks.
	Worker Kind = "worker"
	// Target hosts answer requests.
	Target Kind = "target"
)

// Host is one entry of the list.
type Host struct {
	ID         string
	Address    string
	Kind       Kind
	DataCentre ident.DataCentre
	Rack       ident.Rack
	Leaving    bool
}

// Targets returns the targets of each cell, indexed by cell. Every cell has an entry, so that a cell without targets
// learns that it has none. Hosts of data centres without a cell are left out.
func Targets(hosts []Host, cells cellmap.Map) [][]routing.Target {
	type location struct {
		centre ident.DataCentre
		rack   ident.Rack
	}
	// The cell of each rack is computed once: a rack has several hosts, and hashing it over the cells is most of the work.
	cellIndexes := make(map[location]int)
	lists := make([][]routing.Target, cells.Cells())
	for _, h := range hosts {
		if h.Kind != Target {
			continue
		}
		loc := location{h.DataCentre, h.Rack}
		index, ok := cellIndexes[loc]
		if !ok {
			index = -1
			if cell, found := cells.Cell(h.DataCentre, h.Rack); found {
				index = int(cell)
			}
			cellIndexes[loc] = index
		}
		if index >= 0 {
			lists[index] = append(lists[index], routing.Target{ID: ident.TargetID(h.ID), Address: h.Address, Leaving: h.Leaving})
		}
	}
	return lists
}

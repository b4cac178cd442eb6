package daemon

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

const (
	// How often a host applies changes of the workers' registrations. Each registration carries a clock, so that
	// those of 48 workers change 30 times a second. Owners of cells need the changes sooner than their successors.
	ownerWorkerUpdateInterval     = 250 * time.Millisecond
	successorWorkerUpdateInterval = 1500 * time.Millisecond
	// successorHosts is the number of hosts that follow the workers without owning a cell, because they are preferred as
	// its next owners. Any other host reads the list when it becomes an owner.
	successorHosts = 3
)

// workerDemand returns how current this host's list of the workers has to be. An owner must place nothing on a worker
// that is leaving. The likely next owners keep a list, so that an outage of the store just after they have taken over
// does not leave them without one. No other host needs it, because following costs in proportion to the workers.
func (h *JobHost) workerDemand() hostlist.Demand {
	switch {
	case len(h.ownedCells()) > 0:
		return hostlist.Demand{Needed: true, GatherTime: ownerWorkerUpdateInterval}
	case h.isSuccessor():
		return hostlist.Demand{Needed: true, GatherTime: successorWorkerUpdateInterval}
	default:
		return hostlist.Demand{}
	}
}

// isSuccessor reports whether this host is one of the preferred next owners of a cell.
func (h *JobHost) isSuccessor() bool {
	return slices.ContainsFunc(CellIDs(h.settings.Cells), func(id ident.CellID) bool {
		position, ranked := h.cluster.Preference(id)
		// The most preferred host is the owner, or about to be.
		return ranked && position <= successorHosts
	})
}

// ownedCells lists the cells for which this host holds a grant.
func (h *JobHost) ownedCells() []ident.CellID {
	return slices.DeleteFunc(CellIDs(h.settings.Cells), func(id ident.CellID) bool {
		return h.cluster.Grant(id).Authority == ownership.None
	})
}

// setWorkers assigns the workers to the cells.
func (h *JobHost) setWorkers(list []lifecycle.Member, complete bool) {
	next := h.assignToCells(list)
	next.complete = complete
	h.fleet.current.Store(next)
	for _, id := range CellIDs(h.settings.Cells) {
		h.fleet.passOn(h.jobs, id)
	}
	h.metrics.Gauge("workers_listed").Update(int64(len(list)))
}

// assignToCells groups the workers by cell. It logs a worker that belongs to no cell only once.
func (h *JobHost) assignToCells(list []lifecycle.Member) *fleetSnapshot {
	next := &fleetSnapshot{workers: make(map[ident.CellID][]lifecycle.Member)}
	unassigned := make(map[ident.WorkerID]ident.DataCentre)
	for _, m := range list {
		if id, ok := h.cellMap.Cell(h.settings.Regions[m.DataCentre], m.Rack); ok {
			next.workers[id] = append(next.workers[id], m)
			continue
		}
		unassigned[m.ID] = m.DataCentre
		if before, known := h.unassigned[m.ID]; !known || before != m.DataCentre {
			h.log.WithFields(logrus.Fields{"worker": m.ID, "data_centre": m.DataCentre}).Warn("worker belongs to no cell")
		}
	}
	h.unassigned = unassigned
	return next
}

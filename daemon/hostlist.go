package daemon

import (
	"context"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
)

// followHostList applies each new host list of the platform. If a list cannot be read, the previous one stays in use.
func (h *Host) followHostList(ctx context.Context) {
	failed := func(error) { h.metrics.Counter("host_list_failures_total").Inc(1) }
	h.hostList.Run(ctx, h.applyHostList, failed, h.cells.HostListPolled)
}

func (h *Host) applyHostList(list []hostlist.Host) {
	next := &fleetSnapshot{workers: make(map[ident.CellID][]lifecycle.Member), complete: true}
	for _, e := range list {
		id, ok := h.cellMap.Cell(e.DataCentre, e.Rack)
		if !ok {
			continue
		}
		switch e.Kind {
		case hostlist.Target:
			next.slots += routing.SlotsPerTarget
		case hostlist.Worker:
			next.workers[id] = append(next.workers[id], lifecycle.Member{ID: ident.WorkerID(e.ID), Address: e.Address, Rack: e.Rack, DataCentre: e.DataCentre, Leaving: e.Leaving})
		}
	}
	h.fleet.current.Store(next)
	h.cells.SetHosts(list, h.cellMap)
	for i := range h.settings.Cells {
		id := ident.CellID(i)
		h.jobs.SetMembers(id, next.workers[id])
	}
	h.metrics.Gauge("host_list_read_at").Update(time.Now().Unix())
}

package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

const (
	localInterval  = 200 * time.Millisecond
	expiryInterval = time.Minute
	countInterval  = time.Second
	acquireRetry   = 500 * time.Millisecond
)

// loops returns the background work of the host; each ends with its context.
func (h *Host) loops() []func(ctx context.Context) {
	return []func(ctx context.Context){
		h.config.Run,
		h.followTable,
		h.followHostList,
		every(localInterval, h.publishLocal),
		every(expiryInterval, h.expireLedgers),
		every(countInterval, h.exportCounts),
		func(ctx context.Context) { h.cells.RunLoans(ctx, h.lenders) },
	}
}

// every returns a loop that calls f at once and then at each interval.
func every(interval time.Duration, f func()) func(ctx context.Context) {
	return func(ctx context.Context) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			f()
			select {
			case <-ticker.C:
			case <-ctx.Done():
				return
			}
		}
	}
}

// followTable puts each new table in force in the parts that decide by it.
func (h *Host) followTable(ctx context.Context) {
	var seen *table.Table
	for {
		t, err := h.config.Await(ctx, seen)
		if err != nil {
			return
		}
		seen = t
		h.cells.SetTable(t)
		h.jobs.SetTable(t)
		h.metrics.Gauge("table_revision").Update(int64(t.Revision()))
	}
}

// publishLocal gossips what other hosts need to know of this one.
func (h *Host) publishLocal() {
	local := cluster.LocalState{}
	if t := h.config.InForce(); t != nil {
		local.TableRevision = uint64(t.Revision())
	}
	for i := range h.settings.Cells {
		id := ident.CellID(i)
		if h.cluster.Grant(id).Authority == ownership.None {
			continue
		}
		load := h.cells.Load(id)
		local.Loads = append(local.Loads, membership.Load{
			Cell:        id,
			Queued:      uint32(load.Waiting),
			Outstanding: uint32(load.Outstanding),
			Capacity:    uint32(load.Capacity),
			LatencyUs:   uint32(load.Latency.Microseconds()),
		})
	}
	for _, adopted := range h.ledgers.Adopted() {
		local.Ledgers = append(local.Ledgers, adopted.Issuer())
	}
	h.cluster.SetLocalState(local)
	h.config.SetWatcher(h.members.watches(h.centre))
}

func (h *Host) expireLedgers() {
	h.ledgers.Expire(time.Now())
}

// grantChanged returns the listener that passes changed grants to the parts that work in cells.
func (h *Host) grantChanged(ctx context.Context) func(cluster.GrantChange) {
	return func(c cluster.GrantChange) {
		h.cells.SetGrant(c.New)
		switch {
		case c.New.Authority == ownership.None:
			h.jobs.StopCell(c.New.Cell)
		case c.Old.Authority == ownership.None || c.Old.Epoch != c.New.Epoch:
			go acquireCell(ctx, c.New, h.cluster, h.jobs, h.fleet, h.metrics)
		}
	}
}

// acquireCell starts the jobs of a cell, again and again until the store answers or the cell has another owner.
func acquireCell(
	ctx context.Context, g ownership.Grant, grants *cluster.Service, owned *jobs.Service, workers *fleet, metrics *telemetry.Registry,
) {
	ticker := time.NewTicker(acquireRetry)
	defer ticker.Stop()
	for {
		if current := grants.Grant(g.Cell); current.Epoch != g.Epoch || current.Authority == ownership.None {
			return
		}
		err := owned.Acquire(ctx, g, workers.workersOf(g.Cell))
		if err == nil {
			owned.SetMembers(g.Cell, workers.workersOf(g.Cell))
			return
		}
		metrics.Counter("acquire_failures_total").Inc(1)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainCell ends the work of this host in one cell before its hand-over.
func (h *Host) drainCell(ctx context.Context, id ident.CellID) {
	if err := h.cells.DrainCell(ctx, id); err != nil {
		h.metrics.Counter("drain_failures_total").Inc(1)
	}
	if err := h.jobs.Drain(ctx, id); err != nil {
		h.metrics.Counter("drain_failures_total").Inc(1)
	}
}

// fleet is the last host list, divided into cells.
type fleet struct {
	cells cellmap.Map
	// current is replaced as a whole; readers take no lock.
	current atomic.Pointer[hosts]
}

type hosts struct {
	workers map[ident.CellID][]lifecycle.Member
	slots   int
}

func newFleet(cells cellmap.Map) *fleet {
	f := &fleet{cells: cells}
	f.current.Store(&hosts{})
	return f
}

func (f *fleet) workersOf(id ident.CellID) []lifecycle.Member {
	return f.current.Load().workers[id]
}

// Capacity implements operatorhttp.Fleet. The host list does not tell the size of workers.
func (f *fleet) Capacity() table.Capacity {
	return table.Capacity{TargetSlots: f.current.Load().slots, Cells: f.cells.Cells()}
}

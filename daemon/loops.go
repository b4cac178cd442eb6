package daemon

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// Intervals of the background loops.
const (
	localStateInterval   = 200 * time.Millisecond
	ledgerExpiryInterval = time.Minute
	metricsInterval      = time.Second
	clockCheckInterval   = time.Second
	acquireRetryInterval = 500 * time.Millisecond
)

// loops returns the background loops of the host; each runs until its context ends.
func (h *Host) loops() []func(ctx context.Context) {
	loops := []func(ctx context.Context){
		h.config.Run,
		h.followTable,
		h.followHostList,
		every(localStateInterval, h.publishLocalState),
		every(ledgerExpiryInterval, h.expireLedgers),
		every(metricsInterval, h.exportMetrics),
		every(clockCheckInterval, newClockMonitor(h.log, h.metrics).check),
		func(ctx context.Context) { h.cells.RunLoans(ctx, h.loanRouter) },
		h.contact.Run,
	}
	if h.evacuations != nil {
		loops = append(loops, h.followEvacuations)
	}
	return loops
}

// every returns a loop that calls f immediately and then at each interval.
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

// followTable passes each new table to the services that use it.
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

// publishLocalState gossips the state of this host: its table, the loads of its cells, and the ledgers that it
// adopted.
func (h *Host) publishLocalState() {
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
	h.config.SetWatcher(h.members.watchesTable(h.dataCentre))
}

func (h *Host) expireLedgers() {
	h.ledgers.Expire(time.Now())
}

// grantChanged returns the listener that passes changed grants to the services that work in cells.
func (h *Host) grantChanged(ctx context.Context) func(cluster.GrantChange) {
	return func(c cluster.GrantChange) {
		h.cells.SetGrant(c.New)
		switch {
		case c.New.Authority == ownership.None:
			h.jobs.StopCell(c.New.Cell)
		case c.Old.Authority == ownership.None || c.Old.Epoch != c.New.Epoch:
			go acquireCell(ctx, c.New, h.cluster, h.jobs, h.fleet, h.metrics, h.log)
		}
	}
}

// acquireCell starts the jobs of a cell. It retries until the store answers or the host has lost the cell.
func acquireCell(
	ctx context.Context, g ownership.Grant, grants *cluster.Service, owned *jobs.Service, workers *fleet, metrics *telemetry.Registry,
	log *logrus.Entry,
) {
	lastError := ""
	ticker := time.NewTicker(acquireRetryInterval)
	defer ticker.Stop()
	for {
		if current := grants.Grant(g.Cell); current.Epoch != g.Epoch || current.Authority == ownership.None {
			return
		}
		err := owned.Acquire(ctx, g, workers.workersOf(g.Cell))
		if err == nil {
			// The host list may have been read or have changed meanwhile.
			workers.passOn(owned, g.Cell)
			return
		}
		metrics.Counter("acquire_failures_total").Inc(1)
		if err.Error() != lastError {
			lastError = err.Error()
			log.WithError(err).WithFields(logrus.Fields{"cell": g.Cell, "epoch": g.Epoch}).Warn("cannot acquire the cell; trying again")
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// drainCell ends the work of this host in one cell before its hand-over.
func (h *Host) drainCell(ctx context.Context, id ident.CellID, cutOff bool) {
	if err := h.cells.DrainCell(ctx, id); err != nil {
		h.metrics.Counter("drain_failures_total").Inc(1)
	}
	if err := drainJobs(ctx, h.jobs, id, cutOff); err != nil {
		h.metrics.Counter("drain_failures_total").Inc(1)
	}
}

// fleet holds the last host list, grouped by cell.
type fleet struct {
	cellMap cellmap.Map
	// current is replaced as a whole, so that readers take no lock.
	current atomic.Pointer[fleetSnapshot]
}

// fleetSnapshot holds the workers of each cell, and the number of slots of all targets.
type fleetSnapshot struct {
	workers map[ident.CellID][]lifecycle.Member
	// complete is false before the host list has been read, and while it may lack workers.
	complete bool
	slots    int
}

func newFleet(cells cellmap.Map) *fleet {
	f := &fleet{cellMap: cells}
	f.current.Store(&fleetSnapshot{})
	return f
}

func (f *fleet) workersOf(id ident.CellID) []lifecycle.Member {
	return f.current.Load().workers[id]
}

// memberUpdates takes the workers of a cell from a host list.
type memberUpdates interface {
	SetMembers(cell ident.CellID, members []lifecycle.Member)
	UpdateMembers(cell ident.CellID, members []lifecycle.Member)
}

// passOn passes the workers of a cell on. Workers that an incomplete list lacks do not count as gone. It repeats this if the
// list has changed meanwhile: another goroutine may have passed the newer one on before.
func (f *fleet) passOn(to memberUpdates, id ident.CellID) {
	for {
		s := f.current.Load()
		if s.complete {
			to.SetMembers(id, s.workers[id])
		} else {
			to.UpdateMembers(id, s.workers[id])
		}
		if f.current.Load() == s {
			return
		}
	}
}

// Capacity implements operatorhttp.Fleet. It leaves out the workers, because the host list does not give their size.
func (f *fleet) Capacity() table.Capacity {
	return table.Capacity{TargetSlots: f.current.Load().slots, Cells: f.cellMap.Cells()}
}

// tableProvider provides the table in force. It implements entry.Tables over the table service.
type tableProvider struct {
	config *config.Service
}

// InForce implements entry.Tables.
func (t tableProvider) InForce() (*table.Table, error) {
	return t.config.CurrentTable()
}

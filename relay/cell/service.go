// Package cell runs requests of callers in the cells that this host owns.
//
// The state of each cell is one shard under its own lock. core/admission and core/routing make the decisions; this
// package carries them out: it waits, sends, retries and reports.
package cell

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/admission"
	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/request"
	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Options holds the dependencies and settings of a Service.
type Options struct {
	// Cells is the number of cells in the deployment.
	Cells  int
	Sender Sender
	// Grants may be nil; SetGrant then is the only source of grants.
	Grants Grants
	// Clock defaults to SystemClock.
	Clock Clock
	// SlotsPerTarget is the number of slots of each target; routing.SlotsPerTarget if 0.
	SlotsPerTarget int
	// Seed seeds the random choices.
	Seed uint64
	// OnLateAnswer is called with each complete answer that arrived after its request had been reported as MayHaveRun.
	// It may be nil and must not block.
	OnLateAnswer func(ident.CellID, request.Request, request.Answer)
	// Recorder receives the outcomes; nil discards them.
	Recorder Recorder
}

// Service runs requests in the cells of this host.
type Service struct {
	options Options
	shards  []*shard
	table   atomic.Pointer[table.Table]
	// draining is set when the host stops, and never cleared.
	draining atomic.Bool
	// lastHostListPoll is when the last poll of the host list began; nil if nothing polls it.
	lastHostListPoll *atomic.Pointer[time.Time]
}

// New returns a Service that owns no cell yet.
func New(o Options) *Service {
	if o.Clock == nil {
		o.Clock = SystemClock{}
	}
	if o.Recorder == nil {
		o.Recorder = discardOutcomes{}
	}
	if o.SlotsPerTarget == 0 {
		o.SlotsPerTarget = routing.SlotsPerTarget
	}
	s := &Service{options: o, lastHostListPoll: new(atomic.Pointer[time.Time])}
	s.table.Store(table.New(0, nil))
	for i := range o.Cells {
		s.shards = append(s.shards, newShard(ident.CellID(i), o, s.lastHostListPoll))
	}
	return s
}

func (s *Service) shard(cell ident.CellID) (*shard, *verdict.Error) {
	if int(cell) >= len(s.shards) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "cell %d does not exist", cell)
	}
	return s.shards[cell], nil
}

// SetGrant applies a grant at once. Without authority, all waiting requests of the cell are refused.
func (s *Service) SetGrant(g ownership.Grant) {
	sh, err := s.shard(g.Cell)
	if err != nil {
		return
	}
	now := s.options.Clock.Now()
	sh.update(now, func() []*admission.Ticket { return sh.setGrant(now, g) })
}

// SetHosts divides the targets of the platform's host list over the cells and replaces the targets of each cell.
func (s *Service) SetHosts(hosts []hostlist.Host, cells cellmap.Map) {
	for cell, targets := range hostlist.Targets(hosts, cells) {
		s.SetTargets(ident.CellID(cell), targets)
	}
}

// HostListPolled records that a poll of the host list began at the given time, whether it succeeded or not, and
// starts the requests that waited for it.
func (s *Service) HostListPolled(began time.Time) {
	s.lastHostListPoll.Store(&began)
	for _, sh := range s.shards {
		sh.update(s.options.Clock.Now(), func() []*admission.Ticket { return nil })
	}
}

// SetTargets replaces the targets of a cell. The list is polled and rarely changes, and an unchanged list costs only
// a comparison.
func (s *Service) SetTargets(cell ident.CellID, targets []routing.Target) {
	sh, err := s.shard(cell)
	if err != nil {
		return
	}
	sh.update(s.options.Clock.Now(), func() []*admission.Ticket {
		if !slices.Equal(sh.listedTargets, targets) {
			sh.listedTargets = slices.Clone(targets)
			sh.targets.Set(sh.listedTargets)
		}
		return nil
	})
}

// SetTable replaces the table in all cells. A table older than the current one is ignored.
func (s *Service) SetTable(t *table.Table) {
	for {
		current := s.table.Load()
		if t.Revision() < current.Revision() {
			return
		}
		if s.table.CompareAndSwap(current, t) {
			break
		}
	}
	for _, sh := range s.shards {
		now := s.options.Clock.Now()
		sh.update(now, func() []*admission.Ticket {
			// A newer table may have been stored meanwhile. Each shard takes the newest, so that none goes back.
			return sh.admission.SetTable(now, s.table.Load())
		})
	}
}

// Load is the load of one cell: the requests that wait for a slot, those that hold one, the number of slots, and the
// latency of the targets.
type Load struct {
	Waiting     int
	Outstanding int
	Capacity    int
	Latency     time.Duration
}

// Load returns the load of a cell.
func (s *Service) Load(cell ident.CellID) Load {
	sh, err := s.shard(cell)
	if err != nil {
		return Load{}
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return Load{
		Waiting:     sh.admission.Waiting(),
		Outstanding: sh.targets.Outstanding(),
		Capacity:    sh.targets.Capacity(),
		Latency:     sh.targets.Latency(),
	}
}

// DrainCell refuses new requests in a cell with NotRun and waits until those in progress have ended, as is needed
// before a hand-over. It returns the error of ctx if that ends first.
func (s *Service) DrainCell(ctx context.Context, cell ident.CellID) error {
	sh, err := s.shard(cell)
	if err != nil {
		return err
	}
	select {
	case <-sh.drain(s.options.Clock.Now()):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Drain refuses new requests in all cells, for good, and waits until those in progress have ended. It returns the
// error of ctx if that ends first.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	var failed error
	for i := range s.shards {
		failed = errors.Join(failed, s.DrainCell(ctx, ident.CellID(i)))
	}
	return failed
}

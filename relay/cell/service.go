// Package cell runs requests of callers inside the cells that this host owns.
//
// The state of each cell is one shard under its own lock. Decisions are made in core/admission and core/routing; this
// package performs them: it waits, sends, repeats and reports.
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

// Options are the parts of a Service.
type Options struct {
	// Cells is the number of cells of the deployment.
	Cells  int
	Sender Sender
	// Grants may be nil; grants then come from SetGrant alone.
	Grants Grants
	// Clock is SystemClock if nil.
	Clock Clock
	// SlotsPerTarget is the number of slots of a target; routing.SlotsPerTarget if 0.
	SlotsPerTarget int
	// Seed seeds the random choices.
	Seed uint64
	// OnLateAnswer receives the complete answers that came after their requests had been reported as MayHaveRun. It may be nil
	// and must not block.
	OnLateAnswer func(ident.CellID, request.Request, request.Answer)
	// Recorder receives the outcomes; nil discards them.
	Recorder Recorder
}

// Service runs requests in the cells of this host.
type Service struct {
	options Options
	shards  []*shard
	table   atomic.Pointer[table.Table]
	// draining is set for good when the host stops.
	draining atomic.Bool
	// asked is when the platform was last asked for the host list; it holds nil as long as nobody polls it.
	asked *atomic.Pointer[time.Time]
}

// New returns a Service that owns no cell yet.
func New(o Options) *Service {
	if o.Clock == nil {
		o.Clock = SystemClock{}
	}
	if o.Recorder == nil {
		o.Recorder = noRecorder{}
	}
	if o.SlotsPerTarget == 0 {
		o.SlotsPerTarget = routing.SlotsPerTarget
	}
	s := &Service{options: o, asked: new(atomic.Pointer[time.Time])}
	s.table.Store(table.New(0, nil))
	for i := range o.Cells {
		s.shards = append(s.shards, newShard(ident.CellID(i), o, s.asked))
	}
	return s
}

func (s *Service) shard(cell ident.CellID) (*shard, *verdict.Error) {
	if int(cell) >= len(s.shards) {
		return nil, verdict.New(verdict.NotRun, verdict.CodeNotFound, "cell %d does not exist", cell)
	}
	return s.shards[cell], nil
}

// SetGrant puts a grant in force at once. Without authority, all waiting requests of the cell are refused.
func (s *Service) SetGrant(g ownership.Grant) {
	sh, err := s.shard(g.Cell)
	if err != nil {
		return
	}
	now := s.options.Clock.Now()
	sh.update(now, func() []*admission.Ticket { return sh.setGrant(now, g) })
}

// SetHosts divides the platform's host list over the cells and replaces their targets.
func (s *Service) SetHosts(hosts []hostlist.Host, cells cellmap.Map) {
	for cell, targets := range hostlist.Targets(hosts, cells) {
		s.SetTargets(ident.CellID(cell), targets)
	}
}

// HostListPolled notes that the platform was asked for the host list at began, with success or not, and starts requests that
// waited for that.
func (s *Service) HostListPolled(began time.Time) {
	s.asked.Store(&began)
	for _, sh := range s.shards {
		sh.update(s.options.Clock.Now(), func() []*admission.Ticket { return nil })
	}
}

// SetTargets replaces the targets of a cell. The list is polled and mostly unchanged, which costs a comparison only.
func (s *Service) SetTargets(cell ident.CellID, targets []routing.Target) {
	sh, err := s.shard(cell)
	if err != nil {
		return
	}
	sh.update(s.options.Clock.Now(), func() []*admission.Ticket {
		if !slices.Equal(sh.listed, targets) {
			sh.listed = slices.Clone(targets)
			sh.targets.Set(sh.listed)
		}
		return nil
	})
}

// SetTable puts a table in force in all cells. An older one than that in force is ignored.
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
			// A newer table may have been stored meanwhile; each shard takes the newest, so that none goes back.
			return sh.admission.SetTable(now, s.table.Load())
		})
	}
}

// Load is the load of one cell, for gossip.
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

// DrainCell refuses new requests in a cell with NotRun and waits until those in progress have ended, before the cell is
// handed over. It returns the error of ctx if that ends first.
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

// Drain refuses new requests in all cells for good and waits until those in progress have ended. It returns the error
// of ctx if that ends first.
func (s *Service) Drain(ctx context.Context) error {
	s.draining.Store(true)
	var failed error
	for i := range s.shards {
		failed = errors.Join(failed, s.DrainCell(ctx, ident.CellID(i)))
	}
	return failed
}

package jobs

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// DefaultDurableWait is how long a submission waits for the store. With withdrawWait, which is for the end of a write
	// in progress that often proves that nothing was written, that is at most 5 s.
	DefaultDurableWait = 4500 * time.Millisecond
	withdrawWait       = 500 * time.Millisecond
	ownerShards        = 16
)

// Config holds the ports of the service.
type Config struct {
	Store      Store
	Codec      Codec
	Workers    WorkerPort
	Grants     Grants
	Clock      Clock
	NewPlanner NewPlanner
	// CommitInterval is the shortest time between two commits of a cell; DefaultCommitInterval if 0.
	CommitInterval time.Duration
	// Policy holds the times and rules that depend on the workers; DefaultPolicy if zero.
	Policy lifecycle.Policy
	// SyncWait is how long a worker may hold a sync that has nothing to report; DefaultSyncWait if 0. Leases are renewed
	// with each sync, so that several must fit into a lease.
	SyncWait time.Duration
	// SyncGap is the shortest time between two syncs of a worker, so that several ends share one; 0 for none.
	SyncGap time.Duration
	// DurableWait is how long a submission waits for the store; DefaultDurableWait if 0.
	DurableWait time.Duration
	// DoubtLimit is how long an owner in doubt renews the leases of tasks; 0 means without end. A successor that cannot
	// confirm that its predecessor stopped must wait for longer.
	DoubtLimit time.Duration
	// StallLimit is how long the store may leave a commit unanswered before new jobs are refused at once instead of
	// waiting for it; 0 lets them wait.
	StallLimit time.Duration
	// Cells is the number of cells over which the limits of the table are divided.
	Cells  int
	Logger *logrus.Logger
	// DecisionLog takes the decisions of owners; nil drops them. Latency takes how long each finished job took; nil drops it.
	DecisionLog   DecisionLog
	RecordLatency func(class ident.ClassName, took time.Duration)
	// Meter takes what owners measure of themselves; nil drops it.
	Meter Meter
	// OnReplaced is called when the store or a worker proves that another host owns a cell; it must not block.
	OnReplaced func(cell ident.CellID, epoch ident.Epoch)
}

// Stats counts what the service did in all cells.
type Stats struct {
	Commits, Records                                          atomic.Int64
	PlannedStarts, StartedTasks, RefusedStarts, UnknownStarts atomic.Int64
	AcceptedJobs, RefusedJobs, UnknownJobs                    atomic.Int64
	ReplacedOwners                                            atomic.Int64
}

// Service runs the jobs of the cells that this host owns. It is safe for concurrent use.
type Service struct {
	cfg    Config
	owners *shard.Map[ident.CellID, *owner]
	table  atomic.Pointer[table.Table]
	stats  Stats
}

// New returns a service that owns no cell. t is the table in force.
func New(cfg Config, t *table.Table) *Service {
	if cfg.Clock == nil {
		cfg.Clock = SystemClock{}
	}
	if cfg.Logger == nil {
		cfg.Logger = logrus.StandardLogger()
	}
	if cfg.CommitInterval == 0 {
		cfg.CommitInterval = DefaultCommitInterval
	}
	if cfg.Policy == (lifecycle.Policy{}) {
		cfg.Policy = lifecycle.DefaultPolicy()
	}
	if r, ok := cfg.Workers.(AllLeaseRenewer); ok {
		cfg.Policy.SyncRenewsAll = r.RenewsAllLeases()
	}
	if cfg.DecisionLog == nil {
		cfg.DecisionLog = noJournal{}
	}
	if cfg.Meter == nil {
		cfg.Meter = noMeter{}
	}
	if cfg.RecordLatency == nil {
		cfg.RecordLatency = func(ident.ClassName, time.Duration) {}
	}
	if cfg.SyncWait == 0 {
		cfg.SyncWait = DefaultSyncWait
	}
	if cfg.DurableWait == 0 {
		cfg.DurableWait = DefaultDurableWait
	}
	s := &Service{
		cfg:    cfg,
		owners: shard.NewMap[ident.CellID, *owner](ownerShards, func(c ident.CellID) uint64 { return uint64(c) }),
	}
	s.table.Store(t)
	return s
}

// Stats returns the counters.
func (s *Service) Stats() *Stats {
	return &s.stats
}

// SetTable puts a table in force in all cells.
func (s *Service) SetTable(t *table.Table) {
	s.table.Store(t)
	for _, o := range s.all() {
		o.post(func() {
			o.cell.SetTable(t)
			o.planner.SetTable(t)
			o.planDirty = true
		})
	}
}

func (s *Service) all() []*owner {
	var all []*owner
	s.owners.ForEachShard(func(entries map[ident.CellID]*owner) {
		for _, o := range entries {
			all = append(all, o)
		}
	})
	return all
}

// Acquire starts the ownership of a cell: it rebuilds the state from the store and claims the workers. An error means
// that nothing was started; the caller may try again under the same grant.
func (s *Service) Acquire(ctx context.Context, g ownership.Grant, members []lifecycle.Member) error {
	s.StopCell(g.Cell)
	h, err := readHistory(ctx, s.cfg.Store, s.cfg.Codec, g.Cell)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "acquire cell %d", g.Cell)
	}
	o := s.newOwner(g, h)
	o.recall(ctx)
	o.cell.RestoreSnapshot(h.snapshot)
	for _, r := range h.records {
		o.cell.Replay(r)
	}
	o.logger.WithFields(logrus.Fields{"records": len(h.records), "clean": h.clean()}).Info("cell acquired")
	o.apply(o.cell.Recover(o.now(), h.clean(), members))
	// What the predecessor did is no change.
	o.cell.TakeChangedJobs()
	o.cell.TakeFinishedJobs()
	o.checkAuthority()
	o.wg.Add(3)
	go o.loop()
	go func() {
		defer o.wg.Done()
		o.keepLearnt(o.ctx)
	}()
	go func() {
		defer o.wg.Done()
		o.log.run(o.ctx)
	}()
	s.owners.Set(g.Cell, o)
	return nil
}

func (s *Service) newOwner(g ownership.Grant, h history) *owner {
	t := s.table.Load()
	//nolint:gosec // The context lives as long as the ownership, not as long as the call.
	ctx, cancel := context.WithCancel(context.Background())
	o := &owner{
		cfg: &s.cfg, cellID: g.Cell, epoch: g.Epoch, stats: &s.stats,
		cell:    lifecycle.NewCell(g.Cell, g.Epoch, t),
		planner: s.cfg.NewPlanner(g.Cell, t),
		logger:  s.cfg.Logger.WithFields(logrus.Fields{"cell": g.Cell, "epoch": g.Epoch}),
		ctx:     ctx, cancel: cancel,
		mailbox:    make(chan event, mailboxSize),
		priority:   make(chan event),
		ended:      make(chan struct{}),
		quiet:      make(chan struct{}),
		conns:      make(map[ident.WorkerID]*conn),
		accepting:  make(map[ident.JobID]*item),
		cancelling: make(map[ident.JobID]*item),
		watch:      watchers{byJob: make(map[ident.JobID]map[chan struct{}]struct{})},
	}
	o.cell.SetPolicy(s.cfg.Policy)
	o.planner.SetTable(t)
	o.log = &cellLog{
		store: s.cfg.Store, codec: s.cfg.Codec, cell: g.Cell, epoch: g.Epoch,
		interval:  s.cfg.CommitInterval,
		committed: o.onCommitted,
		meter:     s.cfg.Meter,
		snapshot:  func() (lifecycle.Snapshot, bool) { return o.takeSnapshot(false) },
		lost:      o.replaced,
		wake:      make(chan struct{}, 1),
		ended:     make(chan struct{}),
		seq:       h.lastSeq, firstSeq: h.firstSeq, sinceSnap: int(h.lastSeq - h.head.Seq),
		head: h.head, parts: h.parts, garbage: h.garbage,
	}
	return o
}

// StopCell ends the ownership of a cell at once. Running tasks stay with their workers for the next owner.
func (s *Service) StopCell(cell ident.CellID) {
	var o *owner
	s.owners.WithShard(cell, func(entries map[ident.CellID]*owner) {
		o = entries[cell]
		delete(entries, cell)
	})
	if o != nil {
		o.stop()
	}
}

// SetMembers passes on the host list's view of the workers of a cell.
func (s *Service) SetMembers(cell ident.CellID, members []lifecycle.Member) {
	if o, ok := s.owners.Get(cell); ok {
		o.post(func() { o.apply(o.cell.SetMembers(o.now(), members)) })
	}
}

// Recovering reports whether a cell still waits for workers after a change of owner.
func (s *Service) Recovering(cell ident.CellID) bool {
	o, ok := s.owners.Get(cell)
	return ok && o.cell.Recovering()
}

// Drain hands a cell over: it stops placing tasks, makes all records durable, writes a snapshot that holds what was
// sent, and ends the ownership. After an error the next owner treats this one as lost.
func (s *Service) Drain(ctx context.Context, cell ident.CellID) error {
	o, ok := s.owners.Get(cell)
	if !ok {
		return nil
	}
	defer s.StopCell(cell)
	o.draining.Store(true)
	if !o.call(ctx, func() { o.apply(o.cell.SetAuthority(o.now(), false, o.confirmed)) }) {
		return errStopped(cell)
	}
	select {
	case <-o.quiet:
	case <-o.ctx.Done():
		return errStopped(cell)
	case <-ctx.Done():
		return verdict.Wrap(ctx.Err(), verdict.MayHaveRun, verdict.CodeDeadline, "drain cell %d: calls to workers", cell)
	}
	snapshot, err := o.finish(ctx)
	if err != nil {
		return err
	}
	if !snapshot.Clean {
		// The log holds all that this owner knows, and its present snapshot may have the name that this one would get.
		return nil
	}
	if err := o.log.putSnapshot(ctx, snapshot); err != nil {
		return verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeUnavailable, "drain cell %d: snapshot", cell)
	}
	return nil
}

// finish ends the loop and the log writer at a moment when every record is durable, and returns the state then. Once
// the store has answered, no report of a worker is taken any more: the ends in it would make records without end, and
// the worker keeps them for the next owner.
func (o *owner) finish(ctx context.Context) (lifecycle.Snapshot, error) {
	var (
		snapshot lifecycle.Snapshot
		taken    bool
	)
	if err := o.log.settle(ctx); err != nil {
		return snapshot, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeDeadline, "drain cell %d: records", o.cellID)
	}
	if !o.call(ctx, o.stopConns) {
		return snapshot, errStopped(o.cellID)
	}
	for !taken {
		if err := o.log.flush(ctx); err != nil {
			return snapshot, verdict.Wrap(err, verdict.MayHaveRun, verdict.CodeDeadline, "drain cell %d: flush the log", o.cellID)
		}
		ran := o.call(ctx, func() {
			if o.log.empty() {
				snapshot = o.cell.Snapshot(o.now(), true)
				taken = true
				o.cancel()
			}
		})
		if ran {
			continue
		}
		// Either the snapshot was taken, or the owner was stopped or the caller gave up.
		o.cancel()
		o.wg.Wait()
		if !taken {
			return snapshot, errStopped(o.cellID)
		}
	}
	o.wg.Wait()
	return snapshot, nil
}

func errStopped(cell ident.CellID) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this host does not own cell %d", cell)
}

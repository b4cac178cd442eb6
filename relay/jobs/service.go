package jobs

import (
	"context"
	"math"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/retry"
	"github.com/bulrushrelay/bulrushrelay/core/shard"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

const (
	// DefaultDurableWait is how long a submission waits for the store. withdrawTimeout is the additional wait for a
	// write in progress, whose end often proves that nothing was written. Both together are at most 5 s.
	DefaultDurableWait = 4500 * time.Millisecond
	withdrawTimeout    = 500 * time.Millisecond
	ownerShards        = 16
)

// Config holds the dependencies and settings of a Service.
type Config struct {
	Store      Store
	Codec      Codec
	Workers    WorkerPort
	Grants     Grants
	Clock      Clock
	NewPlanner NewPlanner
	// CommitInterval is the shortest time between two commits of a cell; DefaultCommitInterval if 0.
	CommitInterval time.Duration
	// Policy holds the times and rules that depend on the kind of workers; lifecycle.DefaultPolicy if zero.
	Policy lifecycle.Policy
	// SyncWait is how long a worker may hold a sync that has nothing to report; DefaultSyncWait if 0. Each sync renews
	// leases, so that several syncs must fit into the duration of a lease.
	SyncWait time.Duration
	// SyncGap is the shortest time between the starts of two syncs of a worker, so that several ended attempts share
	// one sync; 0 for none.
	SyncGap time.Duration
	// DurableWait is how long a submission waits for the store; DefaultDurableWait if 0.
	DurableWait time.Duration
	// DoubtLimit is how long an owner whose authority is in doubt renews the leases of tasks; 0 means without limit. A
	// successor that cannot confirm that its predecessor has stopped must wait for longer than that.
	DoubtLimit time.Duration
	// StallLimit is how long commits may fail before new jobs are refused at once instead of waiting for the store; 0
	// means that they always wait.
	StallLimit time.Duration
	// RefreshEvacuations asks for the requests for evacuations to be read again and passed to SetEvacuations. It must not
	// block. Owners start nothing by a set that was read before they took over. Nil means that the deployment has none.
	RefreshEvacuations func()
	// Cells is the number of cells that share the limits of the table.
	Cells  int
	Logger *logrus.Logger
	// DecisionLog receives the decisions of owners, and RecordLatency the latency of each finished job. Nil drops
	// them.
	DecisionLog   DecisionLog
	RecordLatency func(class ident.ClassName, took time.Duration)
	// Inbox holds the settings of the inboxes; the zero value uses none.
	Inbox InboxConfig
	// Meter receives the delays that owners measure; nil drops them.
	Meter Meter
	// OnReplaced is called when an owner has stopped although this host may still hold the grant: the store or a worker has
	// proved that another host owns the cell, or an unexpected error has ended the owner. The grant must be given up, so
	// that the cell is claimed under a higher epoch. It must not block.
	OnReplaced func(cell ident.CellID, epoch ident.Epoch)
}

// Stats counts what the service did, over all cells.
type Stats struct {
	Commits, Records                                          atomic.Int64
	PlannedStarts, StartedTasks, RefusedStarts, UnknownStarts atomic.Int64
	AcceptedJobs, RefusedJobs, UnknownJobs                    atomic.Int64
	ReplacedOwners                                            atomic.Int64
	// CopiesStarted counts the copies of running tasks, CopiesWon those that completed their task, and CopiesLost those that
	// ended in any other way. WastedCopyTime is the processor time, in nanoseconds, booked by attempts that ended because
	// another attempt completed their task.
	CopiesStarted, CopiesWon, CopiesLost, WastedCopyTime atomic.Int64
	// InboxWritten and InboxRefused count the attempts of this host to write an entry, by their result. InboxTaken counts
	// the entries that its owners have removed: among them InboxLeftovers of jobs that the log had already, and
	// InboxFailed that cannot be decoded or are invalid.
	InboxWritten, InboxRefused, InboxTaken, InboxLeftovers, InboxFailed atomic.Int64
	// refusals counts the answers with a time for a repeat, by cause.
	refusals [retry.Causes]atomic.Int64
	// TableWait is the time that owners have waited for their first table, in nanoseconds.
	TableWait atomic.Int64
	LookAhead LookAheadStats
}

// Service runs the jobs of the cells that this host owns. It is safe for concurrent use.
type Service struct {
	cfg    Config
	owners *shard.Map[ident.CellID, *owner]
	// table is nil until the first one is known.
	table atomic.Pointer[table.Table]
	// evacuations is nil until the requests have been read.
	evacuations atomic.Pointer[evacuation.Set]
	stats       Stats
}

// New returns a service that owns no cell and starts with table t, or without one if t is nil.
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
	cfg.Policy.AwaitEvacuations = cfg.RefreshEvacuations != nil
	if cfg.DecisionLog == nil {
		cfg.DecisionLog = discardDecisions{}
	}
	if cfg.Meter == nil {
		cfg.Meter = discardMeasurements{}
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

// SetTable replaces the table in all cells.
func (s *Service) SetTable(t *table.Table) {
	s.table.Store(t)
	for _, o := range s.allOwners() {
		o.post(func() { o.useTable(s.table.Load()) })
	}
}

func (s *Service) allOwners() []*owner {
	var all []*owner
	s.owners.ForEachShard(func(entries map[ident.CellID]*owner) {
		for _, o := range entries {
			all = append(all, o)
		}
	})
	return all
}

// Acquire starts to own a cell: it rebuilds the state from the store and claims the workers. After an error nothing
// has been started, and the caller may try again under the same grant. If the host loses the grant meanwhile, the cell is
// left to the acquisition under the next one.
func (s *Service) Acquire(ctx context.Context, g ownership.Grant, members []lifecycle.Member) error {
	s.stopOwner(g.Cell, g.Epoch)
	startedAt := s.cfg.Clock.Now()
	if s.cfg.RefreshEvacuations != nil {
		s.cfg.RefreshEvacuations()
	}
	state, err := s.loadState(ctx, g)
	if err != nil {
		return verdict.Wrap(err, verdict.NotRun, verdict.CodeUnavailable, "acquire cell %d", g.Cell)
	}
	o := s.newOwner(g, state)
	o.acquiredAt = startedAt
	o.cell.Acquired(startedAt, predecessorStopped(g))
	o.restoreEstimates(ctx)
	o.cell.RestoreSnapshot(state.snapshot)
	for _, r := range state.records {
		o.cell.Replay(r)
	}
	o.logger.WithFields(logrus.Fields{"records": len(state.records), "clean": state.isClean()}).Info("cell acquired")
	if !o.cell.HasTable() {
		o.beginTableWait()
	}
	o.apply(o.cell.Recover(o.now(), state.isClean(), members))
	// Changes made by the predecessor are not reported again.
	o.cell.TakeChangedJobs()
	o.cell.TakeFinishedJobs()
	o.setLimitShare(o.cfg.Grants.Grant(o.cellID).ShareShift)
	o.checkAuthority()
	o.run("the loop of the owner", o.loop, o.endLoop)
	o.run("saving estimates", func() { o.saveEstimatesPeriodically(o.ctx) }, nil)
	o.run("the log writer", func() { o.log.run(o.ctx) }, nil)
	o.run("the snapshot writer", func() { o.log.snapshots.run(o.ctx) }, nil)
	if s.cfg.Inbox.enabled() {
		o.run("taking the inbox", func() { o.takeInbox(o.ctx) }, nil)
	}
	return s.install(o)
}

// install makes o the owner of its cell and stops the one under an earlier grant. If the host has lost the grant of o, it
// stops o instead: the call of StopCell for that loss may have come before.
func (s *Service) install(o *owner) error {
	var replaced *owner
	granted := false
	s.owners.WithShard(o.cellID, func(entries map[ident.CellID]*owner) {
		if granted = o.authority() != ownership.None; granted {
			replaced, entries[o.cellID] = entries[o.cellID], o
		}
	})
	if !granted {
		o.stop()
		return errNotOwned(o.cellID)
	}
	if replaced != nil {
		replaced.stop()
	}
	// SetTable passes over an owner that is not installed yet.
	o.post(func() { o.useTable(s.table.Load()) })
	s.passEvacuations(o)
	return nil
}

func (s *Service) newOwner(g ownership.Grant, state storedState) *owner {
	t := s.table.Load()
	//nolint:gosec // The context lives as long as the ownership, not as long as the call.
	ctx, cancel := context.WithCancel(context.Background())
	o := &owner{
		cfg: &s.cfg, cellID: g.Cell, epoch: g.Epoch, stats: &s.stats, table: t, retryAfter: s.retryAfter,
		cell:    lifecycle.NewCell(g.Cell, g.Epoch, t),
		planner: s.cfg.NewPlanner(g.Cell, t),
		logger:  s.cfg.Logger.WithFields(logrus.Fields{"cell": g.Cell, "epoch": g.Epoch}),
		ctx:     ctx, cancel: cancel,
		mailbox:              make(chan event, mailboxSize),
		priorityMailbox:      make(chan event),
		loopDone:             make(chan struct{}),
		callsDone:            make(chan struct{}),
		evacuationsNoted:     make(chan struct{}, 1),
		conns:                make(map[ident.WorkerID]*workerConn),
		pendingSubmissions:   make(map[ident.JobID]*pendingRecord),
		pendingCancellations: make(map[ident.JobID]*pendingRecord),
		takenEntries:         make(map[ident.JobID]takenEntry),
		waitingEntries:       make(map[ident.JobID]inboxEntry),
		watchers:             watchers{byJob: make(map[ident.JobID]map[chan struct{}]struct{})},
	}
	o.cell.SetPolicy(s.cfg.Policy)
	o.cell.SetRetention(lifecycle.Retention{Limited: s.cfg.Inbox.enabled()})
	o.planner.SetTable(t)
	keys := cellStore{store: s.cfg.Store, codec: s.cfg.Codec, cell: g.Cell, epoch: g.Epoch}
	o.log = &cellLog{
		cellStore:    keys,
		snapshots:    newSnapshotWriter(keys, state, o.replaced),
		interval:     s.cfg.CommitInterval,
		onCommitted:  o.onCommitted,
		meter:        s.cfg.Meter,
		takeSnapshot: o.takeSnapshot,
		onReplaced:   o.replaced,
		wake:         make(chan struct{}, 1),
		writerDone:   make(chan struct{}),
		seq:          state.lastSeq, entriesSinceSnapshot: int(state.lastSeq - state.head.Seq),
	}
	return o
}

// StopCell stops a cell at once, without a hand-over. Running tasks stay on their workers for the next owner.
func (s *Service) StopCell(cell ident.CellID) {
	s.stopOwner(cell, math.MaxUint64)
}

// stopOwner stops the owner of a cell if its epoch is at most latest.
func (s *Service) stopOwner(cell ident.CellID, latest ident.Epoch) {
	var stopped *owner
	s.owners.WithShard(cell, func(entries map[ident.CellID]*owner) {
		if o, ok := entries[cell]; ok && o.epoch <= latest {
			stopped = o
			delete(entries, cell)
		}
	})
	if stopped != nil {
		stopped.stop()
	}
}

// SetMembers sets the workers of a cell, as a complete host list shows them.
func (s *Service) SetMembers(cell ident.CellID, members []lifecycle.Member) {
	if o, ok := s.owners.Get(cell); ok {
		o.post(func() { o.apply(o.cell.SetMembers(o.now(), members)) })
	}
}

// UpdateMembers updates workers of a cell from a host list that may lack others.
func (s *Service) UpdateMembers(cell ident.CellID, members []lifecycle.Member) {
	if o, ok := s.owners.Get(cell); ok {
		o.post(func() { o.apply(o.cell.UpdateMembers(o.now(), members)) })
	}
}

// Recovering reports whether a cell still waits for answers of workers after a change of owner.
func (s *Service) Recovering(cell ident.CellID) bool {
	o, ok := s.owners.Get(cell)
	return ok && o.cell.Recovering()
}

// errNotRun returns the error of a call that the loop has not run: the caller's context ended before the loop had time
// for it, or the owner has stopped. After a crash of the owner the call may have run.
func (o *owner) errNotRun(ctx context.Context) error {
	if o.crashed.Load() {
		return verdict.New(verdict.MayHaveRun, verdict.CodeUnavailable, "the owner of cell %d has failed", o.cellID)
	}
	if ctx.Err() != nil && o.ctx.Err() == nil {
		return verdict.Wrap(ctx.Err(), verdict.NotRun, verdict.CodeDeadline, "the owner of cell %d had no time for the call", o.cellID)
	}
	return errNotOwned(o.cellID)
}

func errNotOwned(cell ident.CellID) error {
	return verdict.New(verdict.NotRun, verdict.CodeUnavailable, "this host does not own cell %d", cell)
}

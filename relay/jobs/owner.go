package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/retry"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	// authorityInterval is how often an owner without other events checks its authority.
	authorityInterval = time.Second
	mailboxSize       = 256
)

// owner runs one cell while this host owns it. One goroutine, the loop, runs all events in turn, so that the planner
// sees commands in the order in which the cell decided them.
type owner struct {
	cfg     *Config
	cellID  ident.CellID
	epoch   ident.Epoch
	cell    *lifecycle.Cell
	planner placement.Planner
	// lookAhead is what the planner had counted after the last Plan.
	lookAhead placement.LookAheadStats
	log       *cellLog
	stats     *Stats
	logger    *logrus.Entry

	ctx     context.Context
	cancel  context.CancelFunc
	mailbox chan event
	// priorityMailbox holds the events that must not wait behind the others: cancellations and notices of durable
	// records. The loop alternates between both mailboxes, so that neither starves the other.
	priorityMailbox chan event
	// evacuationsNoted receives a value when the cell has been given a set of requests that the loop has to apply.
	evacuationsNoted chan struct{}
	wg               sync.WaitGroup
	// stopped is set once the owner is being stopped, or once the store or a worker has proved that another owner has
	// the cell.
	stopped atomic.Bool
	// crashed is set once a panic has ended the owner.
	crashed  atomic.Bool
	draining atomic.Bool
	// inboxKnown is set while the inbox is closed and the cell knows the jobs of all its entries. It holds only with full
	// authority: a host that claims the cell opens the inbox.
	inboxKnown atomic.Bool
	// inboxTaken is set while, besides, all of them are durable in the log.
	inboxTaken atomic.Bool
	// loopDone is closed when the loop has run its last event.
	loopDone chan struct{}
	// callsDone is closed once a draining owner has no call to a worker queued or in flight.
	callsDone chan struct{}

	// acquiredAt is when the owner began to take its cell over.
	acquiredAt time.Time

	watchers watchers
	waits    waitTracker
	// answerTimes are the times that workers take to answer starts and claims.
	answerTimes movingAverage

	// retryAfter returns when a caller should repeat a refused call.
	retryAfter func(cause retry.Cause, lasted time.Duration, class ident.ClassName) time.Duration

	// queuedEvents counts the events in the mailboxes, queuedCalls the calls in the outboxes, and syncsInProgress the
	// syncs in progress. late says whether the owner has fallen behind.
	queuedEvents, queuedCalls, syncsInProgress atomic.Int64
	late                                       atomic.Bool
	// withoutTableSince is when the owner took its cell over without a table; nil once it has one.
	withoutTableSince atomic.Pointer[time.Time]

	// savedEstimates is the stored encoding of the planner's estimates. It is used by restoreEstimates and after that
	// only by saveEstimatesPeriodically, so that it needs no lock.
	savedEstimates store.Entry

	// The fields below are used by the loop only.
	// table is the one in force; nil if none is known yet.
	table *table.Table
	conns map[ident.WorkerID]*workerConn
	// starts bounds the starts in flight to all workers, and startQueue holds the workers whose next command is a start that
	// waits for it.
	starts             lifecycle.StartWindow
	startQueue         []*workerConn
	pendingSubmissions map[ident.JobID]*pendingRecord
	// pendingCancellations holds the cancellations that are not durable yet.
	pendingCancellations map[ident.JobID]*pendingRecord
	// takenEntries holds the inbox entries whose removal is not durable yet, waitingEntries those that cannot be taken yet.
	takenEntries   map[ident.JobID]takenEntry
	waitingEntries map[ident.JobID]inboxEntry
	// closedGate is the revision with which this owner closed the inbox, once it has read all entries; 0 before.
	closedGate store.Revision
	planNeeded bool
	// planUnfinished is set while the planner has work left to do between other events.
	planUnfinished bool
	// planAwaitsWindow is set while tasks wait for room in starts.
	planAwaitsWindow bool
	lastPlanAt       time.Time
	// eventsFirstUntil is the time until which queued events run before a plan that is due.
	eventsFirstUntil     time.Time
	recovery             recoveryTracker
	hasFullAuthority     bool
	predecessorConfirmed bool
	shareShift           uint8
	callsDoneClosed      bool
	// connsStopped is set once the owner claims and syncs no workers any more.
	connsStopped bool
	lateness     lifecycle.Lateness
	// longestWait is the longest time that an event of the current iteration was queued.
	longestWait time.Duration
	// loggedEvacuations is the set whose changes have been logged.
	loggedEvacuations evacuation.Set
	// logFailing is set while the commits fail.
	logFailing bool
	// wakeAt is when the timer of the loop fires.
	wakeAt time.Time
	// quarantined holds the workers whose quarantine has been logged.
	quarantined map[ident.WorkerID]struct{}
	// waitsCheckedAt is when the loop last looked for tasks that wait.
	waitsCheckedAt time.Time
	// copiesCheckedAt is when the loop last looked for tasks that deserve a copy, and wastedCopyTime what has been counted.
	copiesCheckedAt time.Time
	wastedCopyTime  time.Duration
}

func (o *owner) now() time.Time {
	return o.cfg.Clock.Now()
}

// loop runs events until the owner stops.
func (o *owner) loop() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	o.wakeAt = o.now()
	for {
		select {
		case e := <-o.priorityMailbox:
			o.runEvent(o.now(), e)
		case e := <-o.mailbox:
			o.runEvent(o.now(), e)
		case <-o.evacuationsNoted:
			o.applyEvacuations()
		case <-timer.C:
			// A late timer shows that the host is short of processor time, even if no event was queued.
			o.longestWait = max(o.longestWait, o.now().Sub(o.wakeAt))
		case <-o.ctx.Done():
			return
		}
		o.runQueuedEvents()
		o.checkAuthority()
		o.applyNotedEvacuations()
		o.checkLog()
		o.apply(o.cell.Tick(o.now()))
		o.plan()
		o.startCopies(o.now())
		o.logFinishedJobs(o.cell.TakeFinishedJobs())
		o.watchers.notify(o.cell.TakeChangedJobs())
		o.checkCallsDone()
		now := o.now()
		o.checkWaits(now)
		o.checkRecovery(now)
		o.checkLateness(now)
		wake := o.nextWake(now)
		o.wakeAt = now.Add(wake)
		timer.Reset(wake)
	}
}

func (o *owner) nextWake(now time.Time) time.Duration {
	if o.planUnfinished {
		return 0
	}
	d := authorityInterval
	if next := o.cell.NextTick(); !next.IsZero() {
		d = min(d, next.Sub(now))
	}
	if o.planNeeded {
		d = min(d, o.lastPlanAt.Add(planInterval).Sub(now))
	}
	d = min(d, o.lastPlanAt.Add(o.longestPlanPause()).Sub(now))
	if wait, ok := o.nextCopyCheck(now); ok {
		d = min(d, wait)
	}
	return max(d, time.Millisecond)
}

// authority returns the current authority. Full authority is needed to start or move tasks. While a successor may
// exist, running tasks are only renewed.
func (o *owner) authority() ownership.Authority {
	return o.grant().Authority
}

// grant returns the current grant, or an empty one if it belongs to another epoch or the owner has stopped.
func (o *owner) grant() ownership.Grant {
	g := o.cfg.Grants.Grant(o.cellID)
	if g.Epoch != o.epoch || o.stopped.Load() {
		return ownership.Grant{Cell: o.cellID}
	}
	return g
}

// predecessorStopped reports whether the predecessor is known to have stopped. Until then an owner takes only part of
// its share of the limits. For an owner in doubt the share is halved once more, hence the different bound.
func predecessorStopped(g ownership.Grant) bool {
	if g.Authority == ownership.InDoubt {
		return g.ShareShift <= 1
	}
	return g.Authority == ownership.Full && g.ShareShift == 0
}

func (o *owner) checkAuthority() {
	g := o.cfg.Grants.Grant(o.cellID)
	full := o.authority() == ownership.Full
	confirmed := o.predecessorConfirmed || predecessorStopped(g)
	if full != o.hasFullAuthority || confirmed != o.predecessorConfirmed {
		if full && !o.hasFullAuthority && o.cfg.RefreshEvacuations != nil {
			// The process may have been paused or cut off, and may have missed a request.
			o.cfg.RefreshEvacuations()
		}
		o.hasFullAuthority = full
		o.predecessorConfirmed = confirmed
		o.apply(o.cell.SetAuthority(o.now(), full && !o.draining.Load(), confirmed))
		o.planNeeded = true
	}
	if g.ShareShift != o.shareShift {
		o.setLimitShare(g.ShareShift)
	}
}

// checkCallsDone closes callsDone when a draining owner has no calls left whose outcome matters to its successor.
func (o *owner) checkCallsDone() {
	if !o.draining.Load() || o.callsDoneClosed {
		return
	}
	for _, c := range o.conns {
		if c.callsInFlight > 0 || len(c.outbox) > 0 {
			return
		}
	}
	o.callsDoneClosed = true
	close(o.callsDone)
}

// apply performs the commands of one event in order, and queues its records for the log.
func (o *owner) apply(eff lifecycle.Effects) []*pendingRecord {
	for _, c := range eff.Commands {
		o.perform(c)
	}
	if len(eff.Records) == 0 {
		return nil
	}
	return o.log.append(eff.Records)
}

func (o *owner) perform(command lifecycle.Command) {
	o.logCommand(command)
	switch c := command.(type) {
	case lifecycle.Enqueue:
		o.planner.Submit(c.Tasks)
		o.planNeeded = true
	case lifecycle.Dequeue:
		for _, id := range c.Tasks {
			o.planner.Cancel(id)
			o.waits.forget(id)
		}
	case lifecycle.Release:
		o.planner.Release(c.Task)
		o.planNeeded = true
	case lifecycle.Restore:
		o.planner.Restore(c.Running)
	case lifecycle.PutWorker:
		o.planner.UpsertWorker(c.Worker)
		o.planNeeded = true
	case lifecycle.DropWorker:
		o.planner.RemoveWorker(c.Worker)
		o.planNeeded = true
	case lifecycle.SetUnreached:
		o.planner.SetUnreached(c.Unreached)
	case lifecycle.Observe:
		o.planner.Observe(c.Observations)
	case lifecycle.NoteCheckpoint:
		o.planner.Checkpointed(c.Task, c.At)
	case lifecycle.ClaimWorker:
		o.connect(c.Member)
	case lifecycle.ForgetWorker:
		o.disconnect(c.Worker)
	case lifecycle.StartTask:
		o.waits.forget(c.Task)
		o.enqueueCall(c.Worker, c)
	case lifecycle.StopTasks:
		o.enqueueCall(c.Worker, c)
	case lifecycle.CheckpointTask:
		o.enqueueCall(c.Worker, c)
	case lifecycle.ThrottleTask:
		o.enqueueCall(c.Worker, c)
	}
}

// onCommitted is called by the log writer after each durable batch.
func (o *owner) onCommitted(batch []*pendingRecord, records []lifecycle.Record) {
	o.stats.Commits.Add(1)
	o.stats.Records.Add(int64(len(records)))
	// The log writer waits for this event, so that a caller that learns of the commit also sees its effect.
	o.callPriority(o.ctx, func() {
		o.apply(o.cell.RecordsCommitted(o.now(), records))
		now := o.now()
		for _, r := range records {
			o.logRecord(r, now)
			switch typed := r.(type) {
			case lifecycle.JobAccepted:
				delete(o.pendingSubmissions, typed.Job)
			case lifecycle.JobCancelled:
				delete(o.pendingCancellations, typed.Job)
			}
		}
		o.noteEntriesTaken(batch)
		o.wakeSyncs(o.cell.TakeAckedWorkers())
	})
}

// takeSnapshot returns the state after all commits reported so far. It returns false if the owner has stopped.
func (o *owner) takeSnapshot() (lifecycle.Snapshot, bool) {
	var s lifecycle.Snapshot
	ok := o.callPriority(o.ctx, func() { s = o.snapshot(false) })
	return s, ok
}

// snapshot returns the state of the cell and forgets old finished jobs. It runs in the loop.
func (o *owner) snapshot(isClean bool) lifecycle.Snapshot {
	o.cell.SetRetention(o.retention())
	return o.cell.Snapshot(o.now(), isClean)
}

// useTable puts a table in force in the cell and its planner.
func (o *owner) useTable(t *table.Table) {
	if t == o.table {
		return
	}
	o.table = t
	o.planner.SetTable(t)
	o.apply(o.cell.SetTable(o.now(), t))
	o.retryEntries()
	o.planNeeded = true
	if waited, ok := o.endTableWait(); ok {
		o.logDecision(EventTableReceived, Fields{FieldTable: o.tableRevision(), FieldWaitedMs: waited.Milliseconds()})
	}
}

// beginTableWait notes that this owner has taken its cell over without a table.
func (o *owner) beginTableWait() {
	now := o.now()
	o.withoutTableSince.Store(&now)
	o.logDecision(EventTableMissing, Fields{})
}

// endTableWait counts the wait for the first table; ok is false if none was in progress.
func (o *owner) endTableWait() (waited time.Duration, ok bool) {
	since := o.withoutTableSince.Swap(nil)
	if since == nil {
		return 0, false
	}
	waited = o.now().Sub(*since)
	o.stats.TableWait.Add(int64(waited))
	return waited, true
}

// replaced stops the owner because another host has the cell, or because it cannot work on. It does not wait for the end
// of its goroutines.
func (o *owner) replaced(reason string) {
	if o.stopped.Swap(true) {
		return
	}
	o.stats.ReplacedOwners.Add(1)
	o.logger.WithField("reason", reason).Warn("ownership of the cell is lost")
	o.cancel()
	if o.cfg.OnReplaced != nil {
		o.cfg.OnReplaced(o.cellID, o.epoch)
	}
}

// stop ends all goroutines of the owner and waits for them.
func (o *owner) stop() {
	o.stopped.Store(true)
	o.cancel()
	o.wg.Wait()
	o.endTableWait()
}

package jobs

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

const (
	// planInterval bounds how often the planner runs: a wave of events is planned together.
	planInterval = 10 * time.Millisecond
	// replanInterval lets the planner act on time passing, such as deadlines that come near.
	replanInterval = time.Second
	// planLimit bounds the starts of one run of the planner, so that other events wait for a short time only.
	planLimit = 64
	// authorityInterval is how often an owner without other events looks at its authority.
	authorityInterval = time.Second
	mailboxSize       = 256
)

// owner runs one cell while this host owns it. One goroutine, the loop, performs every event in turn, so that the
// planner sees the commands in the order in which the cell decided them.
type owner struct {
	cfg     *Config
	cellID  ident.CellID
	epoch   ident.Epoch
	cell    *lifecycle.Cell
	planner placement.Planner
	log     *cellLog
	stats   *Stats
	logger  *logrus.Entry

	ctx     context.Context
	cancel  context.CancelFunc
	mailbox chan event
	// priority holds the events that must not wait behind the others: cancellations and what is durable. The loop takes
	// events of both lanes in turn, so that neither holds the other up.
	priority chan event
	wg       sync.WaitGroup
	// gone is set once the store or a worker proved that another owner has the cell.
	gone     atomic.Bool
	draining atomic.Bool
	// ended is closed when the loop has performed its last event.
	ended chan struct{}
	// quiet is closed once a draining owner has no call to a worker in progress.
	quiet chan struct{}

	watch watchers

	// waiting counts the events that wait for the loop, unsent the calls that wait in the outboxes, and syncing the syncs
	// in progress. late is what lateness last decided.
	waiting, unsent, syncing atomic.Int64
	late                     atomic.Bool

	// learnt is what is stored of what the planner has learnt. It belongs to recall and then to keepLearnt.
	learnt []byte

	// The fields below belong to the loop.
	conns     map[ident.WorkerID]*conn
	accepting map[ident.JobID]*item
	// cancelling holds the cancellations that are not durable yet.
	cancelling map[ident.JobID]*item
	planDirty  bool
	// planMore is set while the planner has work left that it does between other events.
	planMore  bool
	plannedAt time.Time
	// drainUntil is until when events that wait go before a Plan that is due.
	drainUntil time.Time
	recovered  bool
	full       bool
	confirmed  bool
	shareShift uint8
	isQuiet    bool
	lateness   lifecycle.Lateness
	// longestWait is the longest wait of an event in the present run of the loop.
	longestWait time.Duration
	// wakeAt is when the timer of the loop is due.
	wakeAt time.Time
	// quarantined holds the workers whose quarantine is noted.
	quarantined map[ident.WorkerID]struct{}
}

func (o *owner) now() time.Time {
	return o.cfg.Clock.Now()
}

// loop performs events until the owner stops.
func (o *owner) loop() {
	defer o.wg.Done()
	timer := time.NewTimer(0)
	defer timer.Stop()
	o.wakeAt = o.now()
	for {
		select {
		case e := <-o.priority:
			o.turn(o.now(), e)
		case e := <-o.mailbox:
			o.turn(o.now(), e)
		case <-timer.C:
			// A timer that fires late tells of a host that gets no processor time, also when no event waits.
			o.longestWait = max(o.longestWait, o.now().Sub(o.wakeAt))
		case <-o.ctx.Done():
			close(o.ended)
			o.stopConns()
			return
		}
		o.drain()
		o.checkAuthority()
		o.apply(o.cell.Tick(o.now()))
		o.plan()
		o.noteFinished(o.cell.TakeFinishedJobs())
		o.watch.notify(o.cell.TakeChangedJobs())
		o.checkQuiet()
		now := o.now()
		o.noteLateness(now)
		wake := o.nextWake(now)
		o.wakeAt = now.Add(wake)
		timer.Reset(wake)
	}
}

func (o *owner) nextWake(now time.Time) time.Duration {
	if o.planMore {
		return 0
	}
	d := authorityInterval
	if next := o.cell.NextTick(); !next.IsZero() {
		d = min(d, next.Sub(now))
	}
	if o.planDirty {
		d = min(d, o.plannedAt.Add(planInterval).Sub(now))
	}
	return max(d, time.Millisecond)
}

// authority reads the present grant. Full authority is needed to start or move tasks. While a successor may exist,
// running tasks are renewed only.
func (o *owner) authority() ownership.Authority {
	return o.grant().Authority
}

// grant reads the present grant; one of another epoch is none.
func (o *owner) grant() ownership.Grant {
	g := o.cfg.Grants.Grant(o.cellID)
	if g.Epoch != o.epoch || o.gone.Load() {
		return ownership.Grant{Cell: o.cellID}
	}
	return g
}

// predecessorStopped reports whether the predecessor is known to have stopped. An owner takes its whole share only
// after that; an owner in doubt has its share halved once more.
func predecessorStopped(g ownership.Grant) bool {
	if g.Authority == ownership.InDoubt {
		return g.ShareShift <= 1
	}
	return g.Authority == ownership.Full && g.ShareShift == 0
}

func (o *owner) checkAuthority() {
	g := o.cfg.Grants.Grant(o.cellID)
	full := o.authority() == ownership.Full
	confirmed := o.confirmed || predecessorStopped(g)
	if full != o.full || confirmed != o.confirmed {
		o.full = full
		o.confirmed = confirmed
		o.apply(o.cell.SetAuthority(o.now(), full && !o.draining.Load(), confirmed))
		o.planDirty = true
	}
	if p, ok := o.planner.(LimitSharePlanner); ok && g.ShareShift != o.shareShift {
		o.shareShift = g.ShareShift
		p.SetLimitShare(o.cfg.Cells, g.ShareShift)
	}
	if !o.recovered && !o.cell.Recovering() {
		o.recovered = true
		o.logger.Info("every worker of the cell has answered or lapsed")
	}
}

// checkQuiet tells a drain that no call is in progress that a successor would have to know of.
func (o *owner) checkQuiet() {
	if !o.draining.Load() || o.isQuiet {
		return
	}
	for _, c := range o.conns {
		if c.inFlight > 0 || len(c.outbox) > 0 {
			return
		}
	}
	o.isQuiet = true
	close(o.quiet)
}

func (o *owner) planDue(now time.Time) bool {
	since := now.Sub(o.plannedAt)
	return o.planMore || o.planDirty && since >= planInterval || since >= replanInterval
}

// plan runs the planner if something changed or time has passed.
func (o *owner) plan() {
	now := o.now()
	if !o.planDue(now) {
		return
	}
	if o.draining.Load() || o.authority() != ownership.Full {
		// The loop must not wake or end a run of events for a Plan that may not run.
		o.planMore = false
		o.plannedAt = now
		return
	}
	o.plannedAt = now
	o.planDirty = false
	o.planMore = false
	p := o.planner.Plan(now, planLimit)
	ended := o.now()
	o.drainUntil = ended.Add(ended.Sub(now))
	o.stats.PlannedStarts.Add(int64(len(p.Starts)))
	o.apply(o.cell.ApplyPlan(now, p))
	o.planMore = p.More
}

// apply performs the effects of one event, in order.
func (o *owner) apply(eff lifecycle.Effects) []*item {
	for _, c := range eff.Commands {
		o.perform(c)
	}
	if len(eff.Records) == 0 {
		return nil
	}
	return o.log.append(eff.Records)
}

func (o *owner) perform(command lifecycle.Command) {
	o.noteCommand(command)
	switch c := command.(type) {
	case lifecycle.Enqueue:
		o.planner.Submit(c.Tasks)
		o.planDirty = true
	case lifecycle.Dequeue:
		for _, id := range c.Tasks {
			o.planner.Cancel(id)
		}
	case lifecycle.Release:
		o.planner.Release(c.Task)
		o.planDirty = true
	case lifecycle.Restore:
		o.planner.Restore(c.Running)
	case lifecycle.PutWorker:
		o.planner.UpsertWorker(c.Worker)
		o.planDirty = true
	case lifecycle.DropWorker:
		o.planner.RemoveWorker(c.Worker)
		o.planDirty = true
	case lifecycle.Observe:
		o.planner.Observe(c.Observations)
	case lifecycle.NoteCheckpoint:
		o.planner.Checkpointed(c.Task, c.At)
	case lifecycle.ClaimWorker:
		o.connect(c.Member)
	case lifecycle.ForgetWorker:
		o.disconnect(c.Worker)
	case lifecycle.StartTask:
		o.enqueueCall(c.Worker, c)
	case lifecycle.StopTasks:
		o.enqueueCall(c.Worker, c)
	case lifecycle.CheckpointTask:
		o.enqueueCall(c.Worker, c)
	case lifecycle.ThrottleTask:
		o.enqueueCall(c.Worker, c)
	}
}

// onCommitted is called by the log writer with each durable batch.
func (o *owner) onCommitted(records []lifecycle.Record) {
	o.stats.Commits.Add(1)
	o.stats.Records.Add(int64(len(records)))
	// The log writer waits, so that a caller who is told of the commit also sees its effect.
	o.callSoon(o.ctx, func() {
		o.apply(o.cell.RecordsCommitted(o.now(), records))
		now := o.now()
		for _, r := range records {
			o.noteRecord(r, now)
			switch typed := r.(type) {
			case lifecycle.JobAccepted:
				delete(o.accepting, typed.Job)
			case lifecycle.JobCancelled:
				delete(o.cancelling, typed.Job)
			}
		}
		o.wakeSyncs(o.cell.TakeAckedWorkers())
	})
}

// takeSnapshot returns the state after every commit that was reported before.
func (o *owner) takeSnapshot(clean bool) (lifecycle.Snapshot, bool) {
	var s lifecycle.Snapshot
	ok := o.callSoon(o.ctx, func() { s = o.cell.Snapshot(o.now(), clean) })
	return s, ok
}

// replaced stops the owner for good: another host has the cell.
func (o *owner) replaced(why string) {
	if o.gone.Swap(true) {
		return
	}
	o.stats.ReplacedOwners.Add(1)
	o.logger.WithField("reason", why).Warn("ownership of the cell is lost")
	o.cancel()
	if o.cfg.OnReplaced != nil {
		o.cfg.OnReplaced(o.cellID, o.epoch)
	}
}

// stop ends all goroutines of the owner and waits for them.
func (o *owner) stop() {
	o.gone.Store(true)
	o.cancel()
	o.wg.Wait()
}

package jobs

import (
	"context"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

const (
	// maxCallsPerWorker bounds the concurrent calls to one worker; further commands queue in order.
	maxCallsPerWorker = 8
	callTimeout       = 2 * time.Second
	// checkpointTimeout is longer than callTimeout because the worker writes the state of the task.
	checkpointTimeout = 5 * time.Second
	// DefaultSyncWait is how long a worker may hold a sync that has nothing to report. It is short enough that several
	// syncs in a row may be lost before a lease of 10 s lapses.
	DefaultSyncWait = 2 * time.Second

	// minRetryInterval is the pause after the first failed claim or sync. Each further failure doubles it, up to
	// maxRetryInterval.
	minRetryInterval = 100 * time.Millisecond
	// expectedCommitTime is how long the store usually takes for a commit, with a margin.
	expectedCommitTime = 50 * time.Millisecond
	maxRetryInterval   = time.Second
	// maxBackoffSteps is the number of failures after which neither the pause nor the time for an answer grows.
	maxBackoffSteps = 4
)

// workerConn holds the commands queued for or in flight to one worker. Only the loop uses it.
type workerConn struct {
	member lifecycle.Member
	cancel context.CancelFunc
	// acked wakes the sync loop of the worker when records of ended attempts, or of the end of a silence, are durable.
	acked         chan struct{}
	outbox        []lifecycle.Command
	callsInFlight int
	// throttlesInFlight counts the throttle calls in flight. Starts wait for them, because they may need the
	// processors that the throttled task frees.
	throttlesInFlight int
	// awaitsWindow is set while the worker is in startQueue.
	awaitsWindow bool
}

// connect starts to claim and sync a worker, and ends the claim and the syncs at its earlier address, if there is
// one.
func (o *owner) connect(m lifecycle.Member) {
	if o.connsStopped {
		return
	}
	c, ok := o.conns[m.ID]
	if ok {
		c.cancel()
	} else {
		c = &workerConn{acked: make(chan struct{}, 1)}
		o.conns[m.ID] = c
	}
	c.member = m
	ctx, cancel := context.WithCancel(o.ctx)
	c.cancel = cancel
	acked := c.acked
	o.run("the syncs of a worker", func() { o.claimAndSync(ctx, m, acked) }, nil)
}

func (o *owner) disconnect(id ident.WorkerID) {
	if c, ok := o.conns[id]; ok {
		c.cancel()
		delete(o.conns, id)
	}
}

// stopConns ends all claims and syncs. No worker is claimed from then on, because each claim can add records.
func (o *owner) stopConns() {
	o.connsStopped = true
	for _, c := range o.conns {
		c.cancel()
	}
}

// claimAndSync claims a worker and syncs with it until the worker lapses or the owner stops.
func (o *owner) claimAndSync(ctx context.Context, m lifecycle.Member, acked <-chan struct{}) {
	if !o.claim(ctx, m) {
		return
	}
	failures := 0
	for ctx.Err() == nil {
		if !o.mayRenew() {
			if sleep.For(ctx, maxRetryInterval) != nil {
				return
			}
			continue
		}
		select {
		case <-acked:
			// Drop a signal for an earlier record.
		default:
		}
		switch {
		case o.cell.RenewalAwaitsLog(m.ID):
			// A sync before that renews nothing, and the store may be down for long.
			awaitAck(ctx, acked, maxRetryInterval)
		case o.cell.AcksAwaitLog(m.ID):
			// The worker reports an ended attempt until the end is acknowledged, so that a sync before that would return
			// at once.
			awaitAck(ctx, acked, o.cfg.CommitInterval+expectedCommitTime)
		}
		req, ok := o.cell.SyncRequest(m.ID)
		if !ok {
			// The worker has lapsed. The cell has asked for a new claim, which cancels this goroutine.
			return
		}
		started := o.now()
		times := o.timesOfSync(failures)
		if req.Token == "" {
			// The record that lets the next sync renew may become durable while the worker holds this one.
			times.hold = 0
		}
		synced := o.sync(ctx, m, req, times)
		pause := o.cfg.SyncGap - o.now().Sub(started)
		if synced {
			failures = 0
		} else {
			pause = min(minRetryInterval<<failures, maxRetryInterval)
			failures = min(failures+1, maxBackoffSteps)
		}
		if sleep.For(ctx, pause) != nil {
			return
		}
	}
}

// mayRenew reports whether this owner may renew leases: always under full authority, and for a bounded time in doubt.
// The bound lets a successor know when the tasks of a worker that it cannot reach have ended.
func (o *owner) mayRenew() bool {
	g := o.grant()
	switch g.Authority {
	case ownership.Full:
		return true
	case ownership.InDoubt:
		return o.cfg.DoubtLimit == 0 || o.now().Before(g.DoubtSince.Add(o.cfg.DoubtLimit))
	default:
		return false
	}
}

// awaitAck waits until a record that concerns the worker is durable, at most for limit.
func awaitAck(ctx context.Context, acked <-chan struct{}, limit time.Duration) {
	timeout := time.NewTimer(limit)
	defer timeout.Stop()
	select {
	case <-acked:
	case <-timeout.C:
	case <-ctx.Done():
	}
}

// wakeSyncs wakes the sync loops of workers whose ended attempts have become durable.
func (o *owner) wakeSyncs(workers []ident.WorkerID) {
	for _, id := range workers {
		c, ok := o.conns[id]
		if !ok {
			continue
		}
		select {
		case c.acked <- struct{}{}:
		default:
		}
	}
}

func (o *owner) claim(ctx context.Context, m lifecycle.Member) bool {
	pause := minRetryInterval
	for ctx.Err() == nil {
		if o.authority() != ownership.None {
			seq := o.cell.NextClaimSeq()
			callCtx, cancel := context.WithTimeout(ctx, callTimeout)
			started := o.now()
			c := o.cfg.Workers.Claim(callCtx, m, o.cellID, o.epoch)
			cancel()
			if c.Outcome != lifecycle.Unknown {
				o.answerTimes.add(o.now().Sub(started))
			}
			if c.Report.PartialActive {
				// The tasks that the list lacks would start again while they run. If the worker goes on like this, its leases
				// lapse.
				c = ClaimAnswer{}
			}
			o.recordAnswer(ctx, m, c.Answer)
			if c.Outcome == lifecycle.Applied {
				o.logDecision(EventWorkerClaimed, Fields{
					FieldWorker: m.ID, FieldLife: c.Incarnation, FieldRunning: len(c.Report.Active), FieldEnded: len(c.Report.Ended),
				})
				return o.call(ctx, func() { o.apply(o.cell.ClaimAnswered(o.now(), m.ID, seq, c.Incarnation, c.Report)) })
			}
			if c.Reason == lifecycle.ReasonFenced {
				o.replaced("worker " + string(m.ID) + " was claimed with a higher epoch")
				return false
			}
		}
		if sleep.For(ctx, pause) != nil {
			return false
		}
		pause = min(2*pause, maxRetryInterval)
	}
	return false
}

// sync performs one sync call and waits until the loop has applied its report. It reports whether both succeeded.
func (o *owner) sync(ctx context.Context, m lifecycle.Member, req lifecycle.SyncRequest, times syncTimes) bool {
	callCtx, cancel := context.WithTimeout(ctx, times.timeout)
	defer cancel()
	o.syncsInProgress.Add(1)
	c := o.cfg.Workers.Sync(callCtx, m, o.epoch, req, times.hold)
	o.syncsInProgress.Add(-1)
	o.recordAnswer(ctx, m, c.Answer)
	if c.Reason == lifecycle.ReasonFenced {
		o.replaced("worker " + string(m.ID) + " was claimed with a higher epoch")
		return false
	}
	if c.Reason == lifecycle.ReasonUnclaimed {
		return o.claim(ctx, m)
	}
	if c.Outcome != lifecycle.Applied {
		return false
	}
	return o.call(ctx, func() {
		o.apply(o.cell.SyncAnswered(o.now(), m.ID, req.Seq, c.Incarnation, req.Acks, c.Report))
	})
}

// recordAnswer tells the cell at once whether a worker answered. The event that applies the report may stay queued
// for longer than a lease lasts.
func (o *owner) recordAnswer(ctx context.Context, m lifecycle.Member, a lifecycle.Answer) {
	switch {
	case a.Outcome == lifecycle.Applied:
		o.cell.AnswerArrived(m.ID)
	case ctx.Err() == nil && o.cell.CallFailed(m.ID):
		// The loop runs what has become due.
		o.post(func() {})
	}
}

var notSentAnswer = lifecycle.Answer{Outcome: lifecycle.Refused, Reason: lifecycle.ReasonWithheld}

func (o *owner) answerNotSent(id ident.WorkerID, command lifecycle.Command) {
	switch c := command.(type) {
	case lifecycle.StartTask:
		o.apply(o.cell.StartAnswered(o.now(), id, c.AttemptID, notSentAnswer))
	case lifecycle.StopTasks:
		o.apply(o.cell.StopAnswered(o.now(), id, c.Attempts, notSentAnswer, "", nil))
	case lifecycle.CheckpointTask:
		if !c.Stop {
			return
		}
		o.apply(o.cell.CheckpointAnswered(o.now(), id, c.AttemptID, notSentAnswer, lifecycle.EndedAttempt{}))
	}
}

// maySend reports whether the authority of the owner still allows a command: it may have been decided, or have queued,
// before a pause of the process. Only an owner with full authority starts or moves tasks. One in doubt may still stop what
// nobody wants any more.
func (o *owner) maySend(command lifecycle.Command) bool {
	switch command.(type) {
	case lifecycle.StartTask, lifecycle.CheckpointTask:
		return o.authority() == ownership.Full
	default:
		return o.authority() != ownership.None
	}
}

// send performs one call and returns the function that applies its answer, to be run in the loop.
func (o *owner) send(m lifecycle.Member, command lifecycle.Command) func() lifecycle.Effects {
	if !o.maySend(command) {
		return func() lifecycle.Effects {
			if _, starts := command.(lifecycle.StartTask); starts {
				o.startEnded(false)
			}
			o.answerNotSent(m.ID, command)
			return lifecycle.Effects{}
		}
	}
	switch c := command.(type) {
	case lifecycle.StartTask:
		a := o.sendStart(m, c)
		return func() lifecycle.Effects {
			o.startEnded(a.Outcome != lifecycle.Unknown && a.Reason != lifecycle.ReasonWithheld)
			return o.cell.StartAnswered(o.now(), m.ID, c.AttemptID, a)
		}
	case lifecycle.StopTasks:
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		a := o.cfg.Workers.Stop(ctx, m, o.epoch, c.Attempts)
		if a.Outcome == lifecycle.Applied {
			o.cell.StopArrived(m.ID)
		}
		o.stopIfFenced(m, a.Answer)
		return func() lifecycle.Effects {
			return o.cell.StopAnswered(o.now(), m.ID, c.Attempts, a.Answer, a.Incarnation, a.Ends)
		}
	case lifecycle.CheckpointTask:
		ctx, cancel := context.WithTimeout(o.ctx, checkpointTimeout)
		defer cancel()
		a := o.cfg.Workers.Checkpoint(ctx, m, o.epoch, c.AttemptID, c.Stop)
		o.stopIfFenced(m, a.Answer)
		if !c.Stop {
			break
		}
		ended := lifecycle.EndedAttempt{
			AttemptID: c.AttemptID, End: lifecycle.EndEvicted, Checkpoint: lifecycle.Checkpoint{ID: a.Checkpoint},
		}
		return func() lifecycle.Effects {
			return o.cell.CheckpointAnswered(o.now(), m.ID, c.AttemptID, a.Answer, ended)
		}
	case lifecycle.ThrottleTask:
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		a := o.cfg.Workers.Throttle(ctx, m, o.epoch, c.AttemptID, c.Fraction)
		o.stopIfFenced(m, a)
		return func() lifecycle.Effects { return o.cell.ThrottleAnswered(m.ID, c.AttemptID, c.Fraction, a) }
	}
	return func() lifecycle.Effects { return lifecycle.Effects{} }
}

// sendStart sends a start only if the cell still wants it: the command may have queued behind earlier calls to the worker.
// A pause of the process between these checks and the call is covered by the lease
// token, which the worker refuses after 10 s.
func (o *owner) sendStart(m lifecycle.Member, c lifecycle.StartTask) lifecycle.Answer {
	if !o.cell.ShouldSendStart(m.ID, c.AttemptID) {
		return notSentAnswer
	}
	ctx, cancel := context.WithTimeout(o.ctx, o.startTimeout())
	defer cancel()
	started := o.now()
	a := o.cfg.Workers.Start(ctx, m, o.epoch, c)
	if a.Outcome != lifecycle.Unknown {
		o.answerTimes.add(o.now().Sub(started))
	}
	switch a.Outcome {
	case lifecycle.Applied:
		o.stats.StartedTasks.Add(1)
	case lifecycle.Refused:
		o.stats.RefusedStarts.Add(1)
		o.logDecision(EventStartRefused, Fields{
			FieldTask: taskField(c.Task), FieldAttempt: c.Attempt, FieldWorker: m.ID, FieldReason: a.Reason.String(),
		})
	default:
		o.stats.UnknownStarts.Add(1)
	}
	o.stopIfFenced(m, a)
	return a
}

func (o *owner) stopIfFenced(m lifecycle.Member, a lifecycle.Answer) {
	if a.Outcome == lifecycle.Refused && a.Reason == lifecycle.ReasonFenced {
		o.replaced("worker " + string(m.ID) + " was claimed with a higher epoch")
	}
}

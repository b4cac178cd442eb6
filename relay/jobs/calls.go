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
	// callsPerWorker bounds the calls in progress to one worker; further commands wait in order.
	callsPerWorker = 8
	callTimeout    = 2 * time.Second
	// checkpointTimeout is longer because the worker writes the state of the task.
	checkpointTimeout = 5 * time.Second
	// DefaultSyncWait is how long a worker may hold a sync that has nothing to report. Several may be lost before a lease
	// of 10 s lapses.
	DefaultSyncWait = 2 * time.Second

	firstRetry = 100 * time.Millisecond
	// ackWait is how long a commit usually takes in the store, with a margin.
	ackWait  = 50 * time.Millisecond
	maxRetry = time.Second
)

// conn holds the commands on their way to one worker. It belongs to the loop.
type conn struct {
	member lifecycle.Member
	cancel context.CancelFunc
	// acked wakes the sync that waits for the records of ends.
	acked    chan struct{}
	outbox   []lifecycle.Command
	inFlight int
	// throttling counts the throttles in flight. Starts wait for them, because they may need the freed processors.
	throttling int
}

// connect starts the claim and the syncs of a worker, or ends those to its earlier address.
func (o *owner) connect(m lifecycle.Member) {
	c, ok := o.conns[m.ID]
	if ok {
		c.cancel()
	} else {
		c = &conn{acked: make(chan struct{}, 1)}
		o.conns[m.ID] = c
	}
	c.member = m
	ctx, cancel := context.WithCancel(o.ctx)
	c.cancel = cancel
	o.wg.Add(1)
	go o.follow(ctx, m, c.acked)
}

func (o *owner) disconnect(id ident.WorkerID) {
	if c, ok := o.conns[id]; ok {
		c.cancel()
		delete(o.conns, id)
	}
}

func (o *owner) stopConns() {
	for _, c := range o.conns {
		c.cancel()
	}
}

// follow claims a worker and syncs with it until the worker lapses or the owner stops.
func (o *owner) follow(ctx context.Context, m lifecycle.Member, acked <-chan struct{}) {
	defer o.wg.Done()
	if !o.claim(ctx, m) {
		return
	}
	pause := firstRetry
	for ctx.Err() == nil {
		if !o.mayRenew() {
			if sleep.For(ctx, maxRetry) != nil {
				return
			}
			continue
		}
		select {
		case <-acked:
			// Told of an earlier record.
		default:
		}
		if o.cell.AcksAwaitLog(m.ID) {
			// The worker lists an end until it is acknowledged, so that a sync before that would return at once.
			o.awaitAck(ctx, acked)
		}
		req, ok := o.cell.SyncRequest(m.ID)
		if !ok {
			// The worker lapsed: the cell has asked for a new claim, which cancels this goroutine.
			return
		}
		started := o.now()
		if o.sync(ctx, m, req) {
			pause = firstRetry
			if sleep.For(ctx, o.cfg.SyncGap-o.now().Sub(started)) != nil {
				return
			}
			continue
		}
		if sleep.For(ctx, pause) != nil {
			return
		}
		pause = min(2*pause, maxRetry)
	}
}

// mayRenew reports whether leases may be renewed: always under full authority, and for a bounded time in doubt, so that
// a successor knows when the tasks of a worker that it cannot reach have ended.
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

// awaitAck waits until a record is durable, for as long as the store usually takes.
func (o *owner) awaitAck(ctx context.Context, acked <-chan struct{}) {
	limit := time.NewTimer(o.cfg.CommitInterval + ackWait)
	defer limit.Stop()
	select {
	case <-acked:
	case <-limit.C:
	case <-ctx.Done():
	}
}

// wakeSyncs wakes the syncs that wait for a record of an end on their worker.
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
	pause := firstRetry
	for ctx.Err() == nil {
		if o.authority() != ownership.None {
			seq := o.cell.NextClaimSeq()
			call, cancel := context.WithTimeout(ctx, callTimeout)
			c := o.cfg.Workers.Claim(call, m, o.cellID, o.epoch)
			cancel()
			o.noteReport(ctx, m, c.Answer)
			if c.Outcome == lifecycle.Applied {
				o.note(EventWorkerClaimed, Fields{
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
		pause = min(2*pause, maxRetry)
	}
	return false
}

// sync performs one sync and waits until its report is taken over.
func (o *owner) sync(ctx context.Context, m lifecycle.Member, req lifecycle.SyncRequest) bool {
	call, cancel := context.WithTimeout(ctx, o.cfg.SyncWait+callTimeout)
	defer cancel()
	o.syncing.Add(1)
	c := o.cfg.Workers.Sync(call, m, o.epoch, req, o.cfg.SyncWait)
	o.syncing.Add(-1)
	o.noteReport(ctx, m, c.Answer)
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

// noteReport tells the cell at once whether a worker answered: the event that takes the report over may wait for its turn
// for longer than a lease lasts.
func (o *owner) noteReport(ctx context.Context, m lifecycle.Member, a lifecycle.Answer) {
	switch {
	case a.Outcome == lifecycle.Applied:
		o.cell.AnswerArrived(m.ID)
	case ctx.Err() == nil:
		o.cell.CallFailed(m.ID)
	}
}

// enqueueCall adds a command for a worker and sends it if the bound allows.
func (o *owner) enqueueCall(id ident.WorkerID, command lifecycle.Command) {
	c, ok := o.conns[id]
	if !ok {
		o.answerUnsent(id, command)
		return
	}
	c.outbox = append(c.outbox, command)
	o.unsent.Add(1)
	o.pump(c)
}

func (o *owner) pump(c *conn) {
	for c.inFlight < callsPerWorker && len(c.outbox) > 0 {
		command := c.outbox[0]
		_, throttles := command.(lifecycle.ThrottleTask)
		if _, starts := command.(lifecycle.StartTask); starts && c.throttling > 0 {
			return
		}
		c.outbox = c.outbox[1:]
		o.unsent.Add(-1)
		c.inFlight++
		if throttles {
			c.throttling++
		}
		m := c.member
		o.wg.Add(1)
		go func() {
			defer o.wg.Done()
			answer := o.send(m, command)
			o.post(func() {
				c.inFlight--
				if throttles {
					c.throttling--
				}
				o.apply(answer())
				o.pump(c)
			})
		}()
	}
}

var unsent = lifecycle.Answer{Outcome: lifecycle.Refused, Reason: lifecycle.ReasonUnsent}

func (o *owner) answerUnsent(id ident.WorkerID, command lifecycle.Command) {
	switch c := command.(type) {
	case lifecycle.StartTask:
		o.apply(o.cell.StartAnswered(o.now(), id, c.AttemptID, unsent))
	case lifecycle.StopTasks:
		o.apply(o.cell.StopAnswered(o.now(), id, c.Attempts, unsent, "", nil))
	case lifecycle.CheckpointTask:
		if !c.Stop {
			return
		}
		o.apply(o.cell.CheckpointAnswered(o.now(), id, c.AttemptID, unsent, lifecycle.EndedAttempt{}))
	}
}

// send performs one call and returns the event of its answer, to be run in the loop.
func (o *owner) send(m lifecycle.Member, command lifecycle.Command) func() lifecycle.Effects {
	switch c := command.(type) {
	case lifecycle.StartTask:
		a := o.sendStart(m, c)
		return func() lifecycle.Effects { return o.cell.StartAnswered(o.now(), m.ID, c.AttemptID, a) }
	case lifecycle.StopTasks:
		ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
		defer cancel()
		a := o.cfg.Workers.Stop(ctx, m, o.epoch, c.Attempts)
		if a.Outcome == lifecycle.Applied {
			o.cell.AnswerArrived(m.ID)
		}
		o.noteFence(m, a.Answer)
		return func() lifecycle.Effects {
			return o.cell.StopAnswered(o.now(), m.ID, c.Attempts, a.Answer, a.Incarnation, a.Ends)
		}
	case lifecycle.CheckpointTask:
		ctx, cancel := context.WithTimeout(o.ctx, checkpointTimeout)
		defer cancel()
		a := o.cfg.Workers.Checkpoint(ctx, m, o.epoch, c.AttemptID, c.Stop)
		o.noteFence(m, a.Answer)
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
		o.noteFence(m, a)
		return func() lifecycle.Effects { return o.cell.ThrottleAnswered(m.ID, c.AttemptID, c.Fraction, a) }
	}
	return func() lifecycle.Effects { return lifecycle.Effects{} }
}

// sendStart sends a start only under full authority, and only if it is still wanted: it may have waited for earlier calls
// to the worker. A pause between these checks and the call is covered by the token, which the worker refuses after 10 s.
func (o *owner) sendStart(m lifecycle.Member, c lifecycle.StartTask) lifecycle.Answer {
	if o.authority() != ownership.Full || !o.cell.ShouldSendStart(m.ID, c.AttemptID) {
		return unsent
	}
	ctx, cancel := context.WithTimeout(o.ctx, callTimeout)
	defer cancel()
	a := o.cfg.Workers.Start(ctx, m, o.epoch, c)
	switch a.Outcome {
	case lifecycle.Applied:
		o.stats.StartedTasks.Add(1)
	case lifecycle.Refused:
		o.stats.RefusedStarts.Add(1)
		o.note(EventStartRefused, Fields{
			FieldTask: taskField(c.Task), FieldAttempt: c.Attempt, FieldWorker: m.ID, FieldReason: a.Reason.String(),
		})
	default:
		o.stats.UnknownStarts.Add(1)
	}
	o.noteFence(m, a)
	return a
}

func (o *owner) noteFence(m lifecycle.Member, a lifecycle.Answer) {
	if a.Outcome == lifecycle.Refused && a.Reason == lifecycle.ReasonFenced {
		o.replaced("worker " + string(m.ID) + " was claimed with a higher epoch")
	}
}

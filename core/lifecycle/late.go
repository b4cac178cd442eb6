package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// handleLateEnd applies the end of an attempt that is no longer the current one. A success still completes the task,
// and the attempt that replaced it is stopped.
func (c *Cell) handleLateEnd(now time.Time, w *worker, t *task, e EndedAttempt, eff *Effects) {
	open := t != nil && t.open() && !t.group.Lasting
	if open && e.End == EndFailed && !t.hasFailed(e.Attempt) {
		c.handleLateFailure(now, w, t, e, eff)
		return
	}
	if open && e.End != EndDone && e.Checkpoint.ID != "" && e.Attempt >= t.lastRan && t.run == nil {
		// The worker was given up before it could report the checkpoint, and no later attempt has resumed yet.
		t.checkpoint = Checkpoint{ID: e.Checkpoint.ID, At: now}
		c.addUnloggedEnd(e.AttemptID, unloggedEnd{worker: w.member.ID, checkpoint: e.Checkpoint.ID})
		eff.log(CheckpointSaved{AttemptID: e.AttemptID, Checkpoint: t.checkpoint})
		return
	}
	if open && e.End != EndDone && t.run != nil && t.run.Attempt > t.lastRan {
		// The worker reports the end again. By then it is known whether the current attempt has run.
		return
	}
	if !open || e.End != EndDone {
		c.acknowledge(w, t, e)
		return
	}
	delete(c.heldTasks, t.id)
	t.maybeSent = true
	t.nextAttempt = max(t.nextAttempt, e.Attempt+1)
	c.withdrawTask(now, t, eff)
	c.attemptSucceeded(now, w, t, e, nil, eff)
}

// acknowledge lets the worker forget an end that needs no record. A result of a task whose end or cancellation is not durable
// yet is kept: that record may be lost with this owner, and the next one must learn of the result. The worker reports it
// again.
func (c *Cell) acknowledge(w *worker, t *task, e EndedAttempt) {
	isResult := e.End == EndDone || e.End == EndFailed
	if isResult && t != nil && !t.group.Lasting && !t.state.Final() && (t.settled || t.job.cancelling) {
		return
	}
	if e.End == EndDone && t != nil && c.startMayArrive(t) {
		return
	}
	w.pendingAcks[e.AttemptID] = struct{}{}
}

// withdrawTask removes a task that needs no further attempt from the queue, or ends its current attempt.
func (c *Cell) withdrawTask(now time.Time, t *task, eff *Effects) {
	switch {
	case t.run == nil:
		eff.do(Dequeue{Tasks: []ident.TaskID{t.id}})
	case t.run.phase == phaseLogging:
		c.endRun(now, t.run, eff)
	default:
		for _, r := range t.runs() {
			c.stopRun(r, eff)
		}
	}
}

func (c *Cell) cancelOrRequeue(now time.Time, t *task, eff *Effects) {
	if t.job.cancelled {
		c.setState(now, t, Cancelled)
		return
	}
	c.requeue(now, t, 0, WaitNone, eff)
}

// attemptLost handles an attempt that has certainly ended without a result.
func (c *Cell) attemptLost(now time.Time, r *run, eff *Effects) {
	t := r.task
	t.lastRan = max(t.lastRan, r.Attempt)
	c.noteCopyEnd(now, r, "its worker no longer runs it")
	c.endRun(now, r, eff)
	if t.state.Final() || t.settled {
		return
	}
	c.cancelOrRequeue(now, t, eff)
}

package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// lateEnd handles the end of an attempt that no longer is the present one. A late completion still completes the
// task; the attempt that replaced it is stopped.
func (c *Cell) lateEnd(now time.Time, w *worker, t *task, e EndedAttempt, eff *Effects) {
	open := t != nil && !t.settled && !t.state.Final() && !t.job.cancelling && !t.group.Lasting
	if open && e.End == EndFailed && !t.hasFailed(e.Attempt) {
		c.lateFailure(now, w, t, e, eff)
		return
	}
	if open && e.End != EndDone && e.Checkpoint.ID != "" && e.Attempt >= t.lastRan && t.run == nil {
		// The worker was given up before it could report the checkpoint, and no attempt has resumed yet.
		t.checkpoint = Checkpoint{ID: e.Checkpoint.ID, At: now}
		c.awaitLog(e.AttemptID, unloggedEnd{worker: w.member.ID, checkpoint: e.Checkpoint.ID})
		eff.log(CheckpointSaved{AttemptID: e.AttemptID, Checkpoint: t.checkpoint})
		return
	}
	if open && e.End != EndDone && t.run != nil && t.run.Attempt > t.lastRan {
		// The report comes again; by then it is known whether the present attempt has run.
		return
	}
	if !open || e.End != EndDone {
		w.acks[e.AttemptID] = struct{}{}
		return
	}
	delete(c.held, t.id)
	t.maySent = true
	t.next = max(t.next, e.Attempt+1)
	c.giveUpPlace(now, t, eff)
	c.completed(now, w, t, e, nil, eff)
}

// giveUpPlace takes a task that has ended without its present attempt out of the queue, or ends that attempt.
func (c *Cell) giveUpPlace(now time.Time, t *task, eff *Effects) {
	switch {
	case t.run == nil:
		eff.do(Dequeue{Tasks: []ident.TaskID{t.id}})
	case t.run.phase == phaseLogging:
		c.endRun(now, t, eff)
	default:
		c.stopRun(t, eff)
	}
}

func (c *Cell) cancelOrRequeue(now time.Time, t *task, eff *Effects) {
	if t.job.cancelled {
		c.setState(now, t, Cancelled)
		return
	}
	c.requeue(now, t, 0, WaitNone, eff)
}

// lose handles an attempt that certainly runs no more and left no result.
func (c *Cell) lose(now time.Time, t *task, eff *Effects) {
	t.lastRan = t.run.Attempt
	c.endRun(now, t, eff)
	if t.state.Final() || t.settled {
		return
	}
	c.cancelOrRequeue(now, t, eff)
}

package lifecycle

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

func compareJobs(a, b ident.JobID) int {
	return cmp.Or(cmp.Compare(a.Epoch, b.Epoch), cmp.Compare(a.Seq, b.Seq), cmp.Compare(a.Cell, b.Cell))
}

func compareTasks(a, b ident.TaskID) int {
	return cmp.Or(compareJobs(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}

// ApplyPlan turns the decisions of the planner into commands.
func (c *Cell) ApplyPlan(now time.Time, plan placement.Plan) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	for _, th := range plan.Throttles {
		c.throttle(th, &eff)
	}
	for _, ev := range plan.Evictions {
		if r := c.runBookedAs(ev.Task); r != nil && r.phase == phaseActive {
			c.evictForPlan(now, r, &eff)
		}
	}
	for _, s := range plan.Starts {
		c.startAttempt(now, s, &eff)
	}
	for _, th := range plan.Throttles {
		if r := c.runBookedAs(th.Task); r != nil && r.phase != phaseActive {
			c.throttle(th, &eff)
		}
	}
	for _, im := range plan.Impossible {
		c.markImpossible(now, im)
	}
	return eff
}

// markImpossible marks a task that the planner cannot place. The task stays with the planner, which starts it once a
// larger worker or a higher limit allows it.
func (c *Cell) markImpossible(now time.Time, im placement.Impossible) {
	t := c.task(im.Task)
	if t == nil || !t.startable() {
		return
	}
	t.wait = WaitNone
	t.tooLarge = c.checkFits(0, t.group.Need) != nil
	t.message = fmt.Sprintf("%s: a task needs %s, the most that one can have is %s", im.Dimension, t.group.Need, im.Largest)
	if t.job.spec.Unfit && t.tooLarge {
		t.message += fmt.Sprintf("; the job ends as failed unless a larger worker joins within %s", unfitLimit)
	}
	c.setState(now, t, Impossible)
}

// startAttempt books an attempt. The start is sent at once, or after its log record if it resumes from a checkpoint.
func (c *Cell) startAttempt(now time.Time, s placement.Start, eff *Effects) {
	t := c.task(s.Task)
	if t == nil || !t.startable() || t.nextAttempt != s.Attempt {
		eff.do(Release{Task: s.Task})
		return
	}
	w, ok := c.workers[s.Worker]
	if !ok || !w.claimed || c.inDoubt || !c.mayStartOn(w) {
		eff.do(Release{Task: s.Task})
		c.requeue(now, t, startRetryPause, WaitWorker, eff)
		return
	}
	t.run = &run{
		AttemptID: AttemptID{Task: t.id, Attempt: t.nextAttempt}, task: t, bookedAs: t.id,
		worker: s.Worker, booked: s.Booked.Max(resource.Vector{}), startedAt: now, maybeSentBefore: t.maybeSent,
	}
	t.nextAttempt++
	w.running[t.id] = t.run
	c.trackSpeculative(t)
	c.setState(now, t, Starting)
	if t.checkpoint.ID == "" {
		c.sendStart(t.run, w, eff)
		return
	}
	t.wait = WaitLog
	c.waitingStarts[t.run.AttemptID] = t
	c.waitingOrder = append(c.waitingOrder, waitingStart{t.run.AttemptID, t})
	eff.log(CheckpointConsumed{AttemptID: t.run.AttemptID, Checkpoint: t.checkpoint.ID})
}

func (c *Cell) sendStart(r *run, w *worker, eff *Effects) {
	t := r.task
	r.phase = phaseStarting
	r.incarnation = w.incarnation
	t.wait = WaitNone
	t.maybeSent = true
	w.sentTokenReceivedAt = laterOf(w.sentTokenReceivedAt, w.tokenReceivedAt)
	eff.do(StartTask{
		AttemptID: r.AttemptID, Worker: w.member.ID, Token: w.token, Class: t.job.spec.Class, Booked: r.booked,
		RunTime: t.group.RunTime, Command: t.group.Command, Checkpoint: t.checkpoint.ID,
	})
}

// ShouldSendStart reports whether a decided start must still be sent. It must not if the task has ended, the attempt
// was given up, or a cancellation of the job or an evacuation of the worker was requested in the meantime.
func (c *Cell) ShouldSendStart(id ident.WorkerID, attempt AttemptID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.currentRun(id, attempt)
	return r != nil && r.phase == phaseStarting && !r.task.settled && !r.task.job.cancelling && c.mayStartOn(c.workers[id])
}

// StartAnswered applies the answer to a start.
func (c *Cell) StartAnswered(now time.Time, id ident.WorkerID, attempt AttemptID, a Answer) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	c.noteFence(a)
	r := c.currentRun(id, attempt)
	if r == nil || r.phase == phaseLogging {
		return eff
	}
	t := r.task
	switch a.Outcome {
	case Applied:
		c.callSeq++
		r.confirmedSeq = c.callSeq
		r.noteSeen(now)
		t.noteRan(attempt.Attempt)
		t.refusals = 0
		t.refusedBy = nil
		c.setUnreachable(c.workers[id], false, &eff)
		if r.phase == phaseStarting {
			r.phase = phaseActive
			if r == t.run {
				c.setState(now, t, Running)
			}
			c.resendLostThrottle(r, &eff)
			c.evictIfLeaving(now, r, &eff)
		}
	case Refused:
		if a.Reason == ReasonUnsent {
			c.setUnreachable(c.workers[id], true, &eff)
		}
		if r == t.copy {
			c.noteCopyEnd(now, r, "a worker refused the start")
			c.endRun(now, r, &eff)
			break
		}
		t.maybeSent = r.otherMaybeSent()
		t.refusals++
		if a.Reason == ReasonUnhealthy && !slices.Contains(t.refusedBy, id) {
			t.refusedBy = append(t.refusedBy, id)
			t.job.refused = true
		}
		pause := t.refusalPause(a.Reason)
		c.noteCopyEnd(now, r, "a worker refused the start")
		c.endRun(now, r, &eff)
		c.requeue(now, t, pause, WaitRefused, &eff)
	default:
		// The start may still arrive. After the stop, the worker refuses it.
		c.stopRun(r, &eff)
	}
	return eff
}

func (c *Cell) evictIfLeaving(now time.Time, r *run, eff *Effects) {
	if w := c.workers[r.worker]; w.member.Leaving && !c.inDoubt && !c.mustHold(r.task) {
		c.evict(now, r, false, eff)
	}
}

func (c *Cell) noteFence(a Answer) {
	if a.Outcome == Refused && a.Reason == ReasonFenced {
		c.fenced = true
	}
}

// currentRun returns the given attempt if it holds resources on the given worker, else nil.
func (c *Cell) currentRun(id ident.WorkerID, attempt AttemptID) *run {
	t := c.task(attempt.Task)
	if t == nil {
		return nil
	}
	for _, r := range [...]*run{t.run, t.copy} {
		if r != nil && r.Attempt == attempt.Attempt && r.worker == id {
			return r
		}
	}
	return nil
}

func (c *Cell) stopRun(r *run, eff *Effects) {
	r.phase = phaseStopping
	if r.stopInProgress {
		return
	}
	r.stopInProgress = true
	eff.do(StopTasks{Worker: r.worker, Attempts: []AttemptID{r.AttemptID}})
}

// StopAnswered applies the answer to a stop. ends describes the attempts if the call was applied.
func (c *Cell) StopAnswered(now time.Time, id ident.WorkerID, attempts []AttemptID, a Answer, incarnation string, ends []EndedAttempt) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	c.noteFence(a)
	for _, attempt := range attempts {
		if r := c.currentRun(id, attempt); r != nil {
			r.stopInProgress = false
			r.stopAnsweredAt = now
		}
	}
	w, ok := c.workers[id]
	if !ok || a.Outcome != Applied {
		return eff
	}
	for _, e := range ends {
		r := c.currentRun(id, e.AttemptID)
		// Only the process to which the start was sent can prove that the attempt never ran.
		if r != nil && e.End == EndNeverStarted && (r.incarnation != incarnation || r.confirmedSeq > 0) {
			e.End = EndLapsed
		}
		c.attemptEnded(now, w, e, &eff)
	}
	return eff
}

// CheckpointAnswered applies the answer to a CheckpointTask with Stop set. Other checkpoints appear in the next report.
func (c *Cell) CheckpointAnswered(now time.Time, id ident.WorkerID, attempt AttemptID, a Answer, e EndedAttempt) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	c.noteFence(a)
	r := c.currentRun(id, attempt)
	if r == nil || r.phase != phaseEvicting {
		return eff
	}
	if a.Outcome == Applied {
		c.attemptEnded(now, c.workers[id], e, &eff)
		return eff
	}
	if a.neverSent() {
		r.phase = phaseActive
		c.setState(now, r.task, Running)
		return eff
	}
	// The attempt has ended or cannot be checkpointed. The answer to the stop tells how it ended.
	c.stopRun(r, &eff)
	return eff
}

// evict checkpoints and stops an attempt. A copy is only stopped, because its progress could not be used.
func (c *Cell) evict(now time.Time, r *run, preempted bool, eff *Effects) {
	if r == r.task.copy {
		c.stopRun(r, eff)
		return
	}
	r.phase = phaseEvicting
	r.preempted = preempted
	c.setState(now, r.task, Evicting)
	eff.do(CheckpointTask{AttemptID: r.AttemptID, Worker: r.worker, Stop: true})
}

// endRun frees the resources of an attempt. A copy takes the place of the first attempt.
func (c *Cell) endRun(now time.Time, r *run, eff *Effects) {
	t := r.task
	if w, ok := c.workers[r.worker]; ok {
		delete(w.running, t.id)
	}
	delete(c.waitingStarts, r.AttemptID)
	c.removeRun(now, r)
	c.noteEnded(t, r.Attempt)
	c.markChanged(t.job)
	eff.do(Release{Task: r.bookedAs})
}

// attemptEnded applies the end of an attempt from any message. The same end may arrive repeatedly.
func (c *Cell) attemptEnded(now time.Time, w *worker, e EndedAttempt, eff *Effects) {
	if _, pending := c.unloggedEnds[e.AttemptID]; pending {
		return
	}
	t := c.task(e.Task)
	if t != nil && c.heldTasks[t.id] != nil && e.End != EndNeverStarted {
		// The predecessor started this attempt, and its end is not in the log.
		c.adopt(now, w, ActiveAttempt{AttemptID: e.AttemptID}, eff)
	}
	r := c.currentRun(w.member.ID, e.AttemptID)
	if r == nil {
		c.handleLateEnd(now, w, t, e, eff)
		return
	}
	beside := t.copy != nil
	if e.End == EndNeverStarted {
		t.maybeSent = r.otherMaybeSent()
	} else {
		t.noteRan(e.Attempt)
	}
	if e.Checkpoint.ID != "" && !beside {
		t.checkpoint = Checkpoint{ID: e.Checkpoint.ID, At: now}
	}
	c.noteCopyEnd(now, r, endReason(e.End))
	c.endRun(now, r, eff)
	switch {
	case t.state.Final() || t.settled:
		c.acknowledge(w, t, e)
	case beside && e.End != EndDone && e.End != EndFailed:
		// Another attempt runs on, so that the task does not need the progress of this one.
		w.pendingAcks[e.AttemptID] = struct{}{}
	default:
		c.afterEnd(now, w, t, e, r, eff)
	}
}

// afterEnd decides how a task continues after the end of its current attempt r.
func (c *Cell) afterEnd(now time.Time, w *worker, t *task, e EndedAttempt, r *run, eff *Effects) {
	if t.group.Lasting && (e.End == EndDone || e.End == EndFailed) {
		c.restartLasting(now, w, t, e, r, eff)
		return
	}
	switch e.End {
	case EndDone:
		c.attemptSucceeded(now, w, t, e, r, eff)
	case EndFailed:
		c.attemptFailed(now, w, t, e, eff)
	case EndEvicted:
		c.addUnloggedEnd(e.AttemptID, unloggedEnd{worker: w.member.ID})
		if r.preempted {
			t.evictions++
		}
		t.wait = WaitLog
		c.setState(now, t, Queued)
		eff.log(TaskEvicted{AttemptID: e.AttemptID, Checkpoint: t.checkpoint, Preempted: r.preempted, At: now})
	default:
		w.pendingAcks[e.AttemptID] = struct{}{}
		c.cancelOrRequeue(now, t, eff)
	}
}

// attemptSucceeded completes the task of the attempt r, which is nil if it is no longer the current one.
func (c *Cell) attemptSucceeded(now time.Time, w *worker, t *task, e EndedAttempt, r *run, eff *Effects) {
	t.settled = true
	t.wait = WaitLog
	c.addUnloggedEnd(e.AttemptID, unloggedEnd{worker: w.member.ID})
	c.noteSuccess(now, t, e.Attempt, r, eff)
	c.noteWorkerSuccess(w, r, eff)
	c.noteFirstSuccess(now, t.job, eff)
	eff.log(TaskDone{AttemptID: e.AttemptID, At: now})
	t.countDone()
	c.enqueueDependents(now, t, eff)
}

// enqueueDependents queues the groups that depend on the group of t if t was its last open task. They do not wait for
// the record of the end, because the worker keeps the end until it is acknowledged.
func (c *Cell) enqueueDependents(now time.Time, t *task, eff *Effects) {
	j := t.job
	done := t.id.Group()
	if j.groups[done].openTasks > 0 {
		return
	}
	var next []*task
	for g := done + 1; g < len(j.groups); g++ {
		if !slices.Contains(j.spec.Groups[g].After, done) {
			continue
		}
		first := j.groups[g].firstIndex
		for i := first; i < first+j.spec.Groups[g].Count; i++ {
			if j.tasks[i].wait == WaitGroups {
				next = append(next, &j.tasks[i])
			}
		}
	}
	c.enqueue(now, next, eff)
}

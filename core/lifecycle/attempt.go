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
		if t := c.task(ev.Task); t != nil && t.run != nil && t.run.phase == phaseActive {
			c.evictForPlan(now, t, &eff)
		}
	}
	for _, s := range plan.Starts {
		c.startAttempt(now, s, &eff)
	}
	for _, th := range plan.Throttles {
		if t := c.task(th.Task); t != nil && t.run != nil && t.run.phase != phaseActive {
			c.throttle(th, &eff)
		}
	}
	for _, im := range plan.Impossible {
		c.markImpossible(now, im)
	}
	return eff
}

// throttle changes the speed of the current attempt of a task. An attempt whose start is not answered yet is throttled
// after that.
func (c *Cell) throttle(th placement.Throttle, eff *Effects) {
	t := c.task(th.Task)
	if t == nil || t.run == nil || t.run.Attempt != th.Attempt {
		return
	}
	t.run.throttle = th.Fraction
	t.run.throttleLost = t.run.phase == phaseStarting || t.run.phase == phaseLogging
	if t.run.phase == phaseActive {
		eff.do(ThrottleTask{AttemptID: t.run.AttemptID, Worker: t.run.worker, Fraction: th.Fraction})
	}
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
		AttemptID: AttemptID{Task: t.id, Attempt: t.nextAttempt},
		worker:    s.Worker, booked: s.Booked.Max(resource.Vector{}), startedAt: now, maybeSentBefore: t.maybeSent,
	}
	t.nextAttempt++
	w.running[t.id] = t
	c.setState(now, t, Starting)
	if t.checkpoint.ID == "" {
		c.sendStart(t, w, eff)
		return
	}
	t.wait = WaitLog
	c.waitingStarts[t.run.AttemptID] = t
	c.waitingOrder = append(c.waitingOrder, waitingStart{t.run.AttemptID, t})
	eff.log(CheckpointConsumed{AttemptID: t.run.AttemptID, Checkpoint: t.checkpoint.ID})
}

func (c *Cell) sendStart(t *task, w *worker, eff *Effects) {
	r := t.run
	r.phase = phaseStarting
	r.incarnation = w.incarnation
	t.wait = WaitNone
	t.maybeSent = true
	w.sentTokenReceivedAt = w.tokenReceivedAt
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
	t := c.currentTask(id, attempt)
	return t != nil && t.run.phase == phaseStarting && !t.settled && !t.job.cancelling && c.mayStartOn(c.workers[id])
}

// StartAnswered applies the answer to a start.
func (c *Cell) StartAnswered(now time.Time, id ident.WorkerID, attempt AttemptID, a Answer) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	c.noteFence(a)
	t := c.currentTask(id, attempt)
	if t == nil || t.run.phase == phaseLogging {
		return eff
	}
	switch a.Outcome {
	case Applied:
		c.callSeq++
		t.run.confirmedSeq = c.callSeq
		t.run.noteSeen(now)
		t.noteRan(attempt.Attempt)
		t.refusals = 0
		t.refusedBy = nil
		if t.run.phase == phaseStarting {
			t.run.phase = phaseActive
			c.setState(now, t, Running)
			c.resendLostThrottle(t, &eff)
			c.evictIfLeaving(now, t, &eff)
		}
	case Refused:
		t.maybeSent = t.run.maybeSentBefore
		t.refusals++
		if a.Reason == ReasonUnhealthy && !slices.Contains(t.refusedBy, id) {
			t.refusedBy = append(t.refusedBy, id)
			t.job.refused = true
		}
		pause := t.refusalPause()
		c.endRun(now, t, &eff)
		c.requeue(now, t, pause, WaitRefused, &eff)
	default:
		// The start may still arrive. After the stop, the worker refuses it.
		c.stopRun(t, &eff)
	}
	return eff
}

// ThrottleAnswered applies the answer to a throttle. Unless the worker has applied it, the planner may book less for the
// attempt than it uses, or take it for one that works.
func (c *Cell) ThrottleAnswered(id ident.WorkerID, attempt AttemptID, fraction float64, a Answer) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteFence(a)
	if t := c.currentTask(id, attempt); t != nil && t.run.throttle == fraction {
		t.run.throttleLost = a.Outcome == Unknown || a.Reason == ReasonUnsent || a.Reason == ReasonUnhealthy
	}
	return Effects{}
}

// resendLostThrottle repeats a throttle whose answer was lost, now that the worker answers syncs again. The fraction is
// absolute, so a repeat is harmless if the lost call took effect.
func (c *Cell) resendLostThrottle(t *task, eff *Effects) {
	if t.run.throttleLost && t.run.phase == phaseActive {
		t.run.throttleLost = false
		eff.do(ThrottleTask{AttemptID: t.run.AttemptID, Worker: t.run.worker, Fraction: t.run.throttle})
	}
}

func (c *Cell) evictIfLeaving(now time.Time, t *task, eff *Effects) {
	if w := c.workers[t.run.worker]; w.member.Leaving && !c.inDoubt && !c.mustHold(t) {
		c.evict(now, t, false, eff)
	}
}

func (c *Cell) noteFence(a Answer) {
	if a.Outcome == Refused && a.Reason == ReasonFenced {
		c.fenced = true
	}
}

// currentTask returns the task whose current attempt is the given one on the given worker; nil if there is none.
func (c *Cell) currentTask(id ident.WorkerID, attempt AttemptID) *task {
	t := c.task(attempt.Task)
	if t == nil || t.run == nil || t.run.Attempt != attempt.Attempt || t.run.worker != id {
		return nil
	}
	return t
}

func (c *Cell) stopRun(t *task, eff *Effects) {
	t.run.phase = phaseStopping
	if t.run.stopInProgress {
		return
	}
	t.run.stopInProgress = true
	eff.do(StopTasks{Worker: t.run.worker, Attempts: []AttemptID{t.run.AttemptID}})
}

// StopAnswered applies the answer to a stop. ends describes the attempts if the call was applied.
func (c *Cell) StopAnswered(now time.Time, id ident.WorkerID, attempts []AttemptID, a Answer, incarnation string, ends []EndedAttempt) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	c.noteFence(a)
	for _, attempt := range attempts {
		if t := c.currentTask(id, attempt); t != nil {
			t.run.stopInProgress = false
			t.run.stopAnsweredAt = now
		}
	}
	w, ok := c.workers[id]
	if !ok || a.Outcome != Applied {
		return eff
	}
	for _, e := range ends {
		t := c.currentTask(id, e.AttemptID)
		// Only the process to which the start was sent can prove that the attempt never ran.
		if t != nil && e.End == EndNeverStarted && (t.run.incarnation != incarnation || t.run.confirmedSeq > 0) {
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
	t := c.currentTask(id, attempt)
	if t == nil || t.run.phase != phaseEvicting {
		return eff
	}
	if a.Outcome == Applied {
		c.attemptEnded(now, c.workers[id], e, &eff)
		return eff
	}
	if a.Reason == ReasonUnsent {
		t.run.phase = phaseActive
		c.setState(now, t, Running)
		return eff
	}
	// The attempt has ended or cannot be checkpointed. The answer to the stop tells how it ended.
	c.stopRun(t, &eff)
	return eff
}

func (c *Cell) evict(now time.Time, t *task, preempted bool, eff *Effects) {
	t.run.phase = phaseEvicting
	t.run.preempted = preempted
	c.setState(now, t, Evicting)
	eff.do(CheckpointTask{AttemptID: t.run.AttemptID, Worker: t.run.worker, Stop: true})
}

// endRun frees the resources of the current attempt.
func (c *Cell) endRun(now time.Time, t *task, eff *Effects) {
	r := t.run
	if w, ok := c.workers[r.worker]; ok {
		delete(w.running, t.id)
	}
	delete(c.waitingStarts, r.AttemptID)
	t.lastEnded = max(t.lastEnded, r.Attempt)
	t.run = nil
	c.markChanged(t.job)
	eff.do(Release{Task: t.id})
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
	if t == nil || t.run == nil || t.run.Attempt != e.Attempt || t.run.worker != w.member.ID {
		c.handleLateEnd(now, w, t, e, eff)
		return
	}
	r := t.run
	if e.End == EndNeverStarted {
		t.maybeSent = t.run.maybeSentBefore
	} else {
		t.noteRan(e.Attempt)
	}
	if e.Checkpoint.ID != "" {
		t.checkpoint = Checkpoint{ID: e.Checkpoint.ID, At: now}
	}
	c.endRun(now, t, eff)
	if t.state.Final() || t.settled {
		c.acknowledge(w, t, e)
		return
	}
	c.afterEnd(now, w, t, e, r, eff)
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

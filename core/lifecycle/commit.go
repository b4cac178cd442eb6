package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// RecordsCommitted applies records that have become durable, in the order of the log.
func (c *Cell) RecordsCommitted(now time.Time, records []Record) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	for _, r := range records {
		c.applyRecord(now, r, &eff)
	}
	return eff
}

func (c *Cell) applyRecord(now time.Time, record Record, eff *Effects) {
	switch r := record.(type) {
	case JobAccepted:
		c.commitJob(now, r, eff)
	case JobCancelled:
		c.commitCancel(now, r, eff)
	case TaskDone:
		c.acknowledgeEnd(r.AttemptID)
		c.finishTask(now, r.AttemptID, Done)
	case TaskFailed:
		c.acknowledgeEnd(r.AttemptID)
		if r.Final {
			c.finishTask(now, r.AttemptID, Failed)
			c.failJob(now, r.Task.Job, eff)
		}
		c.noteLogged(now, r.AttemptID, eff)
	case TaskEvicted:
		c.acknowledgeEnd(r.AttemptID)
		c.commitEviction(now, r, eff)
	case CheckpointSaved:
		if c.unloggedEnds[r.AttemptID].checkpoint == r.Checkpoint.ID {
			c.acknowledgeEnd(r.AttemptID)
		}
	case CheckpointConsumed:
		c.commitConsumed(now, r, eff)
	case AttemptsUsed:
		c.noteLogged(now, r.AttemptID, eff)
	case WorkerAdded:
		c.noteAdded(r, eff)
	case Takeover:
		c.takeoverDurable = true
		for _, w := range c.sortedWorkers() {
			c.putWorker(w, eff)
		}
	case WorkerRemoved:
		c.noteRemoved(r.Worker)
	case WorkerSilent:
		// It took effect when it was queued.
	}
}

func (c *Cell) commitJob(now time.Time, r JobAccepted, eff *Effects) {
	j, known := c.jobs[r.Job]
	if !known {
		j = c.insertJob(r.Job, r.Spec, r.At)
		j.acceptedByOwner = true
	}
	if r.Refused != "" {
		c.failUnstarted(now, j, r.Refused)
		return
	}
	c.noteUnfit(now, j)
	tasks := make([]*task, len(j.tasks))
	for i := range j.tasks {
		tasks[i] = &j.tasks[i]
	}
	c.enqueue(now, tasks, eff)
}

// commitCancel cancels the tasks that are not final. Attempts that may run are stopped with one call for each worker.
func (c *Cell) commitCancel(now time.Time, r JobCancelled, eff *Effects) {
	if j, ok := c.jobs[r.Job]; ok && !j.cancelled {
		c.cancelOpenTasks(now, j, eff)
	}
}

// failJob ends a FailFast job once the failure that ends it is durable.
func (c *Cell) failJob(now time.Time, id ident.JobID, eff *Effects) {
	if j, ok := c.jobs[id]; ok && j.failing && !j.cancelled {
		c.cancelOpenTasks(now, j, eff)
	}
}

func (c *Cell) cancelOpenTasks(now time.Time, j *job, eff *Effects) {
	j.cancelling = true
	j.cancelled = true
	stops := make(map[ident.WorkerID][]AttemptID)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.settled || t.state.Final() {
			continue
		}
		delete(c.heldTasks, t.id)
		t.wait = WaitNone
		if t.run != nil && t.run.phase == phaseLogging {
			c.endRun(now, t.run, eff)
		}
		for _, r := range t.runs() {
			r.phase = phaseStopping
			if !r.stopInProgress {
				r.stopInProgress = true
				stops[r.worker] = append(stops[r.worker], r.AttemptID)
			}
		}
		c.setState(now, t, Cancelled)
	}
	for _, w := range c.sortedWorkers() {
		if attempts := stops[w.member.ID]; len(attempts) > 0 {
			eff.do(StopTasks{Worker: w.member.ID, Attempts: attempts})
		}
	}
}

func (c *Cell) acknowledgeEnd(attempt AttemptID) {
	end, ok := c.removeUnloggedEnd(attempt)
	if !ok {
		return
	}
	if t := c.task(attempt.Task); t != nil && t.doneBy != 0 && c.startMayArrive(t) {
		// The worker reports the end again.
		return
	}
	if w, found := c.workers[end.worker]; found && w.claimed {
		w.pendingAcks[attempt] = struct{}{}
		c.ackedWorkers = append(c.ackedWorkers, end.worker)
	}
}

// TakeAckedWorkers returns the workers whose ended attempts have become durable since the last call, so that the next
// sync can acknowledge them. A worker may be listed repeatedly.
func (c *Cell) TakeAckedWorkers() []ident.WorkerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	acked := c.ackedWorkers
	c.ackedWorkers = nil
	return acked
}

func (c *Cell) finishTask(now time.Time, attempt AttemptID, s State) {
	t := c.task(attempt.Task)
	if t == nil || t.state.Final() {
		return
	}
	t.settled = true
	t.lastLogged = max(t.lastLogged, attempt.Attempt)
	t.wait = WaitNone
	c.setState(now, t, s)
}

// noteLogged queues a task that waited because too many of its attempts were not in the log.
func (c *Cell) noteLogged(now time.Time, attempt AttemptID, eff *Effects) {
	t := c.task(attempt.Task)
	if t == nil {
		return
	}
	waited := t.wait == WaitLog && t.nextAttempt-t.lastLogged >= attemptStride-1
	t.lastLogged = max(t.lastLogged, attempt.Attempt)
	if waited {
		c.enqueue(now, []*task{t}, eff)
	}
}

func (c *Cell) commitEviction(now time.Time, r TaskEvicted, eff *Effects) {
	t := c.task(r.Task)
	if t == nil {
		return
	}
	t.lastLogged = max(t.lastLogged, r.Attempt)
	if t.run == nil {
		c.requeue(now, t, 0, WaitNone, eff)
	}
}

func (c *Cell) commitConsumed(now time.Time, r CheckpointConsumed, eff *Effects) {
	t, ok := c.waitingStarts[r.AttemptID]
	if t := c.task(r.Task); t != nil {
		t.lastLogged = max(t.lastLogged, r.Attempt)
	}
	if !ok {
		return
	}
	delete(c.waitingStarts, r.AttemptID)
	w, found := c.workers[t.run.worker]
	if !found || !w.claimed || c.inDoubt || t.job.cancelling || !c.mayStartOn(w) {
		c.endRun(now, t.run, eff)
		c.requeue(now, t, startRetryPause, WaitWorker, eff)
		return
	}
	c.sendStart(t.run, w, eff)
}

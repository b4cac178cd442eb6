package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// RecordsCommitted takes over records that are durable now, in the order of the log.
func (c *Cell) RecordsCommitted(now time.Time, records []Record) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	for _, r := range records {
		c.commit(now, r, &eff)
	}
	return eff
}

func (c *Cell) commit(now time.Time, record Record, eff *Effects) {
	switch r := record.(type) {
	case JobAccepted:
		c.commitJob(now, r, eff)
	case JobCancelled:
		c.commitCancel(now, r, eff)
	case TaskDone:
		c.acknowledge(r.AttemptID)
		c.finish(now, r.AttemptID, Done)
	case TaskFailed:
		c.acknowledge(r.AttemptID)
		if r.Final {
			c.finish(now, r.AttemptID, Failed)
			c.failJob(now, r.Task.Job, eff)
		}
		c.noteLogged(now, r.AttemptID, eff)
	case TaskEvicted:
		c.acknowledge(r.AttemptID)
		c.commitEviction(now, r, eff)
	case CheckpointSaved:
		if c.unlogged[r.AttemptID].checkpoint == r.Checkpoint.ID {
			c.acknowledge(r.AttemptID)
		}
	case CheckpointConsumed:
		c.commitConsumed(now, r, eff)
	case AttemptsUsed:
		c.noteLogged(now, r.AttemptID, eff)
	case WorkerAdded:
		c.logged[r.Worker] = r.Address
		if w, ok := c.workers[r.Worker]; ok {
			c.putWorker(w, eff)
		}
	case Takeover:
		c.takenOver = true
		for _, w := range c.sortedWorkers() {
			c.putWorker(w, eff)
		}
	case WorkerRemoved:
		delete(c.logged, r.Worker)
	}
}

func (c *Cell) commitJob(now time.Time, r JobAccepted, eff *Effects) {
	j := c.insertJob(r.Job, r.Spec, r.At)
	j.fresh = true
	tasks := make([]*task, len(j.tasks))
	for i := range j.tasks {
		tasks[i] = &j.tasks[i]
	}
	c.enqueue(now, tasks, eff)
}

// commitCancel cancels what is not final. Attempts that may run are stopped with one call for each worker.
func (c *Cell) commitCancel(now time.Time, r JobCancelled, eff *Effects) {
	if j, ok := c.jobs[r.Job]; ok && !j.cancelled {
		c.cancelOpen(now, j, eff)
	}
}

// failJob ends a job that fails fast, once the failure that ends it is durable.
func (c *Cell) failJob(now time.Time, id ident.JobID, eff *Effects) {
	if j, ok := c.jobs[id]; ok && j.failing && !j.cancelled {
		c.cancelOpen(now, j, eff)
	}
}

func (c *Cell) cancelOpen(now time.Time, j *job, eff *Effects) {
	j.cancelling = true
	j.cancelled = true
	stops := make(map[ident.WorkerID][]AttemptID)
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.settled || t.state.Final() {
			continue
		}
		delete(c.held, t.id)
		t.wait = WaitNone
		if t.run != nil && t.run.phase == phaseLogging {
			c.endRun(now, t, eff)
		}
		if t.run != nil {
			t.run.phase = phaseStopping
			if !t.run.stopping {
				t.run.stopping = true
				stops[t.run.worker] = append(stops[t.run.worker], t.run.AttemptID)
			}
		}
		c.setState(now, t, Cancelled)
	}
	for _, w := range c.sortedWorkers() {
		if runs := stops[w.member.ID]; len(runs) > 0 {
			eff.do(StopTasks{Worker: w.member.ID, Attempts: runs})
		}
	}
}

func (c *Cell) acknowledge(r AttemptID) {
	end, ok := c.unlogged[r]
	if !ok {
		return
	}
	delete(c.unlogged, r)
	c.leaveLog(end.worker)
	if w, found := c.workers[end.worker]; found && w.claimed {
		w.acks[r] = struct{}{}
		c.acked = append(c.acked, end.worker)
	}
}

// TakeAckedWorkers returns the workers of which ends have become durable since the last call. A worker may be listed repeatedly.
func (c *Cell) TakeAckedWorkers() []ident.WorkerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	acked := c.acked
	c.acked = nil
	return acked
}

func (c *Cell) finish(now time.Time, r AttemptID, s State) {
	t := c.task(r.Task)
	if t == nil || t.state.Final() {
		return
	}
	t.settled = true
	t.logged = max(t.logged, r.Attempt)
	t.wait = WaitNone
	c.setState(now, t, s)
}

// noteLogged frees a task that waited because too many of its attempts were not in the log.
func (c *Cell) noteLogged(now time.Time, r AttemptID, eff *Effects) {
	t := c.task(r.Task)
	if t == nil {
		return
	}
	waited := t.wait == WaitLog && t.next-t.logged >= attemptStride-1
	t.logged = max(t.logged, r.Attempt)
	if waited {
		c.enqueue(now, []*task{t}, eff)
	}
}

func (c *Cell) commitEviction(now time.Time, r TaskEvicted, eff *Effects) {
	t := c.task(r.Task)
	if t == nil {
		return
	}
	t.logged = max(t.logged, r.Attempt)
	if t.run == nil {
		c.requeue(now, t, 0, WaitNone, eff)
	}
}

func (c *Cell) commitConsumed(now time.Time, r CheckpointConsumed, eff *Effects) {
	t, ok := c.waiting[r.AttemptID]
	if t := c.task(r.Task); t != nil {
		t.logged = max(t.logged, r.Attempt)
	}
	if !ok {
		return
	}
	delete(c.waiting, r.AttemptID)
	w, found := c.workers[t.run.worker]
	if !found || !w.claimed || c.doubt || t.job.cancelling {
		c.endRun(now, t, eff)
		c.requeue(now, t, retryPause, WaitWorker, eff)
		return
	}
	c.sendStart(t, w, eff)
}

package lifecycle

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// RestoreSnapshot loads the durable state that a predecessor left.
func (c *Cell) RestoreSnapshot(s Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range s.Workers {
		c.logged[w.Worker] = w.Address
	}
	for _, js := range s.Jobs {
		j := c.insertJob(js.Job, js.Spec, js.AcceptedAt)
		for _, ts := range js.Tasks {
			if int(ts.Index) < len(j.tasks) {
				j.restoreTask(&j.tasks[ts.Index], ts)
			}
		}
		if js.Cancelled {
			c.replayCancel(j)
		}
		j.finishedAt = js.FinishedAt
	}
}

func (j *job) restoreTask(t *task, s TaskSnapshot) {
	if s.State.Final() {
		j.counts[t.state]--
		t.state = s.State
		j.counts[t.state]++
		t.settled = true
	}
	switch s.State {
	case Done:
		t.close()
	case Failed:
		j.failing = j.failing || j.spec.FailFast
	default:
	}
	j.begun = j.begun || s.LastRan > 0
	t.next = s.NextAttempt
	t.logged = s.NextAttempt - 1
	t.ended = s.LastEnded
	t.lastRan = s.LastRan
	t.maySent = s.MaybeSent
	t.evictions = s.Evictions
	t.checkpoint = s.Checkpoint
	t.failures = s.Failures
	t.leftOn = s.Worker
	for _, f := range s.Failures {
		j.failedOn[f.Worker] = struct{}{}
		t.ended = max(t.ended, f.Attempt)
	}
	if s.State == Done {
		j.succeeded = true
	}
}

// Replay applies a record of the log. Records that the snapshot already holds change nothing.
func (c *Cell) Replay(record Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch r := record.(type) {
	case JobAccepted:
		if _, ok := c.jobs[r.Job]; !ok {
			c.insertJob(r.Job, r.Spec, r.At)
		}
	case JobCancelled:
		if j, ok := c.jobs[r.Job]; ok {
			for _, i := range r.MaybeSent {
				if int(i) < len(j.tasks) {
					j.tasks[i].maySent = true
				}
			}
			c.replayCancel(j)
			j.finishedAt = r.At
		}
	case TaskDone:
		c.replayAttempt(r.AttemptID, func(t *task) {
			t.job.succeeded = true
			if t.state != Done {
				t.close()
			}
			c.replayFinal(r.At, t, Done)
		})
	case TaskFailed:
		c.replayAttempt(r.AttemptID, func(t *task) { c.replayFailure(t, r) })
	case TaskEvicted:
		c.replayAttempt(r.AttemptID, func(t *task) {
			if t.ended >= r.Attempt {
				return
			}
			t.ended = r.Attempt
			t.checkpoint = r.Checkpoint
			if r.Preempted {
				t.evictions++
			}
		})
	case CheckpointSaved:
		c.replayAttempt(r.AttemptID, func(t *task) { t.checkpoint = r.Checkpoint })
	case CheckpointConsumed:
		// Every earlier attempt had ended when this one was decided.
		c.replayAttempt(r.AttemptID, func(t *task) { t.ended = max(t.ended, r.Attempt-1) })
	case AttemptsUsed:
		if t := c.task(r.Task); t != nil {
			ran := t.lastRan
			c.replayAttempt(r.AttemptID, func(t *task) { t.lastRan = ran })
		}
	case WorkerAdded:
		c.logged[r.Worker] = r.Address
	case WorkerRemoved:
		delete(c.logged, r.Worker)
	case Takeover:
		c.replayTakeover(r)
	}
}

func (c *Cell) replayAttempt(r AttemptID, f func(*task)) {
	t := c.task(r.Task)
	if t == nil {
		return
	}
	t.maySent = true
	t.next = max(t.next, r.Attempt+1)
	t.logged = max(t.logged, r.Attempt)
	t.ran(r.Attempt)
	f(t)
}

func (c *Cell) replayFinal(at time.Time, t *task, s State) {
	t.settled = true
	c.setState(at, t, s)
}

func (c *Cell) replayFailure(t *task, r TaskFailed) {
	if !t.hasFailed(r.Attempt) {
		t.failures = append(t.failures, Failure{Attempt: r.Attempt, Worker: r.Worker, Message: r.Message})
	}
	t.message = r.Message
	t.job.failedOn[r.Worker] = struct{}{}
	t.ended = max(t.ended, r.Attempt)
	if r.Final && t.state != Done {
		c.replayFinal(r.At, t, Failed)
		if t.job.spec.FailFast && !t.job.cancelled {
			t.job.failing = true
			c.replayCancel(t.job)
		}
	}
}

func (c *Cell) replayCancel(j *job) {
	j.cancelling = true
	j.cancelled = true
	for i := range j.tasks {
		if t := &j.tasks[i]; !t.state.Final() {
			t.settled = true
			c.setState(j.acceptedAt, t, Cancelled)
		}
	}
}

// replayTakeover skips the attempt numbers that the predecessor may have used without logging them. The record of a
// cancellation names what may have been sent, so that cancelled tasks keep their verdict.
func (c *Cell) replayTakeover(r Takeover) {
	if r.Clean {
		return
	}
	for _, j := range c.jobs {
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state.Final() {
				continue
			}
			t.maySent = true
			t.next = t.logged + 1 + attemptStride
			t.logged = t.next - 1
		}
	}
}

// Recover starts the ownership after the log has been replayed. clean means that the predecessor drained. Nothing
// that may run already is started until every worker has answered or its leases have lapsed.
func (c *Cell) Recover(now time.Time, clean bool, members []Member) Effects {
	c.Replay(Takeover{Epoch: c.epoch, Clean: clean})
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	eff.log(Takeover{Epoch: c.epoch, Clean: clean})
	c.recovering = true
	slices.SortFunc(c.order, compareJobs)
	var free []*task
	for _, id := range c.order {
		free = append(free, c.holdOpenTasks(c.jobs[id], clean)...)
	}
	listed := make(map[ident.WorkerID]struct{}, len(members))
	for _, m := range members {
		listed[m.ID] = struct{}{}
		c.addWorker(m).listed = true
		eff.do(ClaimWorker{Member: m})
	}
	for id, address := range c.logged {
		if _, ok := listed[id]; ok {
			continue
		}
		w := c.addWorker(Member{ID: id, Address: address})
		eff.do(ClaimWorker{Member: w.member})
	}
	c.enqueue(now, free, &eff)
	c.finishRecovery(now, &eff)
	return eff
}

// holdOpenTasks holds the tasks that may run already. After a clean hand-over it returns those that certainly do not.
func (c *Cell) holdOpenTasks(j *job, clean bool) (free []*task) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.startable() {
			continue
		}
		if !clean {
			// The snapshot is older than the last starts.
			t.leftOn = ""
		}
		if clean && t.leftOn == "" {
			t.freed = true
			free = append(free, t)
			continue
		}
		t.wait = WaitRecovery
		c.held[t.id] = t
	}
	return free
}

// releaseLeftOn queues the held tasks that the predecessor left on a worker which has answered and does not run them.
func (c *Cell) releaseLeftOn(now time.Time, id ident.WorkerID, eff *Effects) {
	var gone []*task
	for _, t := range c.held {
		if t.leftOn == id {
			gone = append(gone, t)
		}
	}
	slices.SortFunc(gone, func(a, b *task) int { return compareTasks(a.id, b.id) })
	for _, t := range gone {
		delete(c.held, t.id)
		t.freed = true
	}
	c.enqueue(now, gone, eff)
}

// SetAuthority takes over what the ownership says. full is false while a successor may exist. confirmed means that
// the predecessor is known to have stopped, so that it renews no more leases.
func (c *Cell) SetAuthority(now time.Time, full, confirmed bool) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	regained := c.doubt && full
	c.doubt = !full
	if regained {
		for _, w := range c.workers {
			c.schedule(w)
		}
	}
	if regained && !c.recovering {
		for _, w := range c.sortedWorkers() {
			if w.claimed && w.leaving() {
				c.moveAway(now, w, &eff)
			}
		}
	}
	if confirmed && c.recoverFrom.IsZero() {
		c.recoverFrom = now
	}
	c.finishRecovery(now, &eff)
	return eff
}

// Recovering reports whether some tasks may still run on workers that have not answered.
func (c *Cell) Recovering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recovering
}

// finishRecovery releases the held tasks once none of them can run unseen.
func (c *Cell) finishRecovery(now time.Time, eff *Effects) {
	if !c.recovering || c.doubt || c.awaitsInventories() {
		return
	}
	lapsed := !c.recoverFrom.IsZero() && !now.Before(c.recoverFrom.Add(c.policy.lapse()))
	for _, w := range c.workers {
		if !w.claimed && !lapsed {
			return
		}
	}
	c.recovering = false
	tasks := make([]*task, 0, len(c.held))
	for _, t := range c.held {
		tasks = append(tasks, t)
	}
	clear(c.held)
	slices.SortFunc(tasks, func(a, b *task) int { return compareTasks(a.id, b.id) })
	c.enqueue(now, tasks, eff)
	for _, w := range c.sortedWorkers() {
		if !w.claimed {
			w.lapsed = true
			c.forgetIfGone(w, eff)
			continue
		}
		if w.leaving() {
			c.moveAway(now, w, eff)
		}
	}
}

// awaitsInventories reports whether the inventory of a worker is on its way, waits to be taken over, or is not complete.
func (c *Cell) awaitsInventories() bool {
	for _, w := range c.workers {
		if w.claimed && w.partial || !w.claimed && !w.unanswered {
			return true
		}
	}
	return false
}

func (c *Cell) runningOf(t *task) placement.Running {
	return placement.Running{
		Pending:        c.pending(t),
		Worker:         t.run.worker,
		StartedAt:      t.run.startedAt,
		CheckpointedAt: t.checkpoint.At,
	}
}

// Snapshot returns the durable state. It may already hold effects of records that are not in the log yet; replaying
// those changes nothing. clean marks the last snapshot of an owner that drained; it counts only if the owner knew what runs.
func (c *Cell) Snapshot(now time.Time, clean bool) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(now)
	s := Snapshot{Epoch: c.epoch, Clean: clean && !c.recovering}
	for id, address := range c.logged {
		s.Workers = append(s.Workers, WorkerAdded{Worker: id, Address: address})
	}
	for _, id := range c.order {
		s.Jobs = append(s.Jobs, c.jobs[id].snapshot())
	}
	return s
}

func (j *job) snapshot() JobSnapshot {
	s := JobSnapshot{
		Job: j.id, Spec: j.spec, AcceptedAt: j.acceptedAt, Cancelled: j.cancelled, FinishedAt: j.finishedAt,
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.next == 1 && !t.maySent && (t.state == Queued || t.state == Cancelled) {
			continue
		}
		ts := TaskSnapshot{
			Index: uint32(i), NextAttempt: t.next, LastEnded: t.ended, LastRan: t.lastRan, MaybeSent: t.maySent,
			Evictions: t.evictions, Checkpoint: t.checkpoint, Failures: slices.Clone(t.failures),
		}
		if t.state.Final() {
			ts.State = t.state
		}
		if t.run != nil {
			ts.Worker = t.run.worker
		}
		s.Tasks = append(s.Tasks, ts)
	}
	return s
}

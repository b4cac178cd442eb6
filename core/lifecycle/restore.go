package lifecycle

import (
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// RestoreSnapshot loads the durable state of a predecessor.
func (c *Cell) RestoreSnapshot(s Snapshot) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range s.Workers {
		c.loggedWorkers[w.Worker] = w.Address
	}
	for _, w := range s.Silent {
		c.loggedSilence.add(w)
	}
	c.loggedLease = s.LongestLease
	for _, js := range s.Jobs {
		c.noteLogTime(js.AcceptedAt)
		c.noteLogTime(js.FinishedAt)
		j := c.insertJob(js.Job, js.Spec, js.AcceptedAt)
		for _, ts := range js.Tasks {
			c.noteLogTime(ts.Checkpoint.At)
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
		t.countDone()
	case Failed:
		j.failing = j.failing || j.spec.FailFast
	default:
	}
	j.started = j.started || s.LastRan > 0
	t.nextAttempt = s.NextAttempt
	t.lastLogged = s.NextAttempt - 1
	t.lastEnded = s.LastEnded
	t.lastRan = s.LastRan
	t.maybeSent = s.MaybeSent
	t.evictions = s.Evictions
	t.checkpoint = s.Checkpoint
	t.failures = s.Failures
	t.leftOn = s.Worker
	t.copied = s.Copied
	for _, f := range s.Failures {
		j.failedOn[f.Worker] = struct{}{}
		t.replayEnded(f.Attempt)
	}
	if s.State == Done {
		j.succeeded = true
	}
}

// Replay applies a record of the log. A record whose effects are already in the snapshot changes nothing.
func (c *Cell) Replay(record Record) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteLogTime(timeOf(record))
	switch r := record.(type) {
	case JobAccepted:
		j, known := c.jobs[r.Job]
		if !known {
			j = c.insertJob(r.Job, r.Spec, r.At)
		}
		if r.Refused != "" {
			c.failUnstarted(r.At, j, r.Refused)
		}
	case JobCancelled:
		if j, ok := c.jobs[r.Job]; ok {
			for _, i := range r.MaybeSent {
				if int(i) < len(j.tasks) {
					j.tasks[i].maybeSent = true
				}
			}
			c.replayCancel(j)
			j.finishedAt = r.At
		}
	case TaskDone:
		c.replayAttempt(r.AttemptID, func(t *task) {
			t.job.succeeded = true
			if t.state != Done {
				t.countDone()
			}
			c.replayFinal(r.At, t, Done)
		})
	case TaskFailed:
		c.replayAttempt(r.AttemptID, func(t *task) { c.replayFailure(t, r) })
	case TaskEvicted:
		c.replayAttempt(r.AttemptID, func(t *task) {
			if t.hasEnded(r.Attempt) {
				return
			}
			t.replayEnded(r.Attempt)
			t.checkpoint = r.Checkpoint
			if r.Preempted {
				t.evictions++
			}
		})
	case CheckpointSaved:
		c.replayAttempt(r.AttemptID, func(t *task) { t.checkpoint = r.Checkpoint })
	case CheckpointConsumed:
		// Every earlier attempt had ended when this attempt was decided.
		c.replayAttempt(r.AttemptID, func(t *task) { t.lastEnded = max(t.lastEnded, r.Attempt-1) })
	case AttemptsUsed:
		if t := c.task(r.Task); t != nil {
			ran := t.lastRan
			c.replayAttempt(r.AttemptID, func(t *task) { t.lastRan = ran })
		}
	case WorkerAdded:
		c.loggedWorkers[r.Worker] = r.Address
		delete(c.loggedSilence.since, r.Worker)
	case WorkerSilent:
		c.loggedSilence.add(r)
	case WorkerRemoved:
		delete(c.loggedWorkers, r.Worker)
		delete(c.loggedSilence.since, r.Worker)
	case Takeover:
		c.loggedSilence.clear()
		c.loggedLease = r.LongestLease
		c.replayTakeover(r)
	}
}

func (c *Cell) replayAttempt(attempt AttemptID, f func(*task)) {
	t := c.task(attempt.Task)
	if t == nil {
		return
	}
	t.maybeSent = true
	t.nextAttempt = max(t.nextAttempt, attempt.Attempt+1)
	t.lastLogged = max(t.lastLogged, attempt.Attempt)
	t.noteRan(attempt.Attempt)
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
	t.replayEnded(r.Attempt)
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

// replayTakeover skips the attempt numbers that the predecessor may have used without logging them. Cancelled tasks
// keep their verdict, because the record of the cancellation lists which attempts may have been sent.
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
			t.maybeSent = true
			t.nextAttempt = t.lastLogged + 1 + attemptStride
			t.lastLogged = t.nextAttempt - 1
		}
	}
}

// Acquired notes since when this owner has the cell: its predecessors wrote nothing to the log after that. stopped means that
// they renew no leases either. It must be called before Recover, which otherwise counts from its own time: the log may
// take seconds to read.
func (c *Cell) Acquired(at time.Time, stopped bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.takenOverAt = at
	if stopped {
		c.predecessorStoppedAt = at
	}
}

// Recover takes over the cell after the log has been replayed. clean means that the predecessor drained. A task that
// may still run is not started until every worker has answered or its leases have lapsed; see recovery.go.
func (c *Cell) Recover(now time.Time, clean bool, members []Member) Effects {
	silence := c.takeLoggedSilence()
	c.inheritLease()
	c.Replay(Takeover{Epoch: c.epoch, Clean: clean})
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	eff.log(Takeover{Epoch: c.epoch, Clean: clean, LongestLease: c.longestLease(now)})
	if c.takenOverAt.IsZero() {
		c.takenOverAt = now
	}
	c.recovering = true
	slices.SortFunc(c.jobOrder, compareJobs)
	var idle []*task
	c.adoptTimes(now)
	for _, id := range c.jobOrder {
		c.noteUnfit(now, c.jobs[id])
		idle = append(idle, c.holdPossiblyRunningTasks(c.jobs[id], clean)...)
	}
	listed := make(map[ident.WorkerID]struct{}, len(members))
	for _, m := range members {
		listed[m.ID] = struct{}{}
		c.addListedWorker(m, &eff)
	}
	for id, address := range c.loggedWorkers {
		if _, ok := listed[id]; !ok {
			w := c.addWorker(Member{ID: id, Address: address})
			eff.do(ClaimWorker{Member: w.member})
		}
		c.workers[id].mayHold = true
	}
	c.inheritSilence(now, silence, &eff)
	c.enqueue(now, idle, &eff)
	c.finishRecovery(now, &eff)
	return eff
}

// holdPossiblyRunningTasks holds the tasks that may still run. After a clean hand-over it returns the tasks that
// certainly do not.
func (c *Cell) holdPossiblyRunningTasks(j *job, clean bool) (idle []*task) {
	for i := range j.tasks {
		t := &j.tasks[i]
		if !t.startable() {
			continue
		}
		if !clean || t.copied {
			// The snapshot is older than the last starts, or does not tell both workers.
			t.leftOn = ""
		}
		if clean && t.leftOn == "" && !t.copied {
			t.knownIdle = true
			idle = append(idle, t)
			continue
		}
		t.wait = WaitRecovery
		c.heldTasks[t.id] = t
	}
	return idle
}

// SetAuthority applies the authority of the owner. full is false while a successor may exist. confirmed means that the
// predecessor has stopped and renews no more leases.
func (c *Cell) SetAuthority(now time.Time, full, confirmed bool) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	regained := c.inDoubt && full
	c.inDoubt = !full
	if regained {
		for _, w := range c.workers {
			c.scheduleTick(w)
		}
	}
	if regained && !c.recovering {
		for _, w := range c.sortedWorkers() {
			if w.claimed && w.leaving() {
				c.evictFromLeaving(now, w, &eff)
			}
		}
	}
	if confirmed && c.predecessorStoppedAt.IsZero() {
		c.predecessorStoppedAt = now
		for _, w := range c.workers {
			c.scheduleTick(w)
		}
	}
	c.finishRecovery(now, &eff)
	return eff
}

func (c *Cell) runningOf(r *run) placement.Running {
	p := c.pending(r.task)
	p.Task, p.Attempt = r.bookedAs, r.Attempt
	return placement.Running{Pending: p, Worker: r.worker, StartedAt: r.startedAt, CheckpointedAt: r.task.checkpoint.At}
}

// Snapshot returns the durable state. It may include effects of records that are not in the log yet; replaying these
// changes nothing. Failures without a durable record are left out: the worker reports them again, and the next owner
// must count them then to know whether the task has attempts left. clean marks the last snapshot of a drained owner,
// and is ignored during recovery.
func (c *Cell) Snapshot(now time.Time, clean bool) Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetFinishedJobs(now)
	s := Snapshot{Epoch: c.epoch, Clean: clean && !c.recovering, LongestLease: c.longestLease(now)}
	for id, address := range c.loggedWorkers {
		s.Workers = append(s.Workers, WorkerAdded{Worker: id, Address: address})
	}
	for _, w := range c.sortedWorkers() {
		if w.silenceRecorded() {
			s.Silent = append(s.Silent, c.silenceOf(now, w))
		}
	}
	for _, id := range c.jobOrder {
		s.Jobs = append(s.Jobs, c.jobSnapshot(c.jobs[id]))
	}
	return s
}

func (c *Cell) jobSnapshot(j *job) JobSnapshot {
	s := JobSnapshot{
		Job: j.id, Spec: j.spec, AcceptedAt: j.acceptedAt, Cancelled: j.cancelled, FinishedAt: j.finishedAt,
	}
	for i := range j.tasks {
		t := &j.tasks[i]
		if t.nextAttempt == 1 && !t.maybeSent && (t.state == Queued || t.state == Cancelled) {
			continue
		}
		ts := TaskSnapshot{
			Index: uint32(i), NextAttempt: t.nextAttempt, LastEnded: t.lastEnded, LastRan: t.lastRan, MaybeSent: t.maybeSent,
			Evictions: t.evictions, Checkpoint: t.checkpoint, Failures: c.durableFailures(t), Copied: t.copied,
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

// durableFailures returns the failures of a task whose records are durable.
func (c *Cell) durableFailures(t *task) []Failure {
	return slices.DeleteFunc(slices.Clone(t.failures), func(f Failure) bool {
		_, unlogged := c.unloggedEnds[AttemptID{Task: t.id, Attempt: f.Attempt}]
		return unlogged
	})
}

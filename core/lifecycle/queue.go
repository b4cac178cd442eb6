package lifecycle

import (
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

func (c *Cell) pending(t *task) placement.Pending {
	p := placement.Pending{
		Task:        t.id,
		Attempt:     t.nextAttempt,
		Class:       t.job.spec.Class,
		Tenant:      t.job.spec.Tenant,
		Kind:        t.job.spec.Kind,
		Need:        t.group.Need,
		RunTime:     t.group.RunTime,
		Pool:        t.job.spec.Pool,
		Constraints: t.group.Constraints,
		Lasting:     t.group.Lasting,
		Restart:     t.group.Lasting && t.maybeSent,
		SubmittedAt: t.job.queuedSince,
		Evictions:   t.evictions,
	}
	if t.run != nil {
		p.Attempt = t.run.Attempt
	}
	if j := t.job; j.objective > 0 {
		p.Deadline = placement.Deadline{At: j.queuedSince.Add(j.objective), Objective: j.objective, CriticalPath: j.groups[t.id.Group()].criticalPath, JobStarted: j.started}
	}
	p.Avoid = c.workersToAvoid(t)
	return p
}

// workersToAvoid returns the workers that refused the task as unhealthy and those of its latest failures, at most half of
// the usable ones on which the task may run: a task that has failed on every worker must still find one for its last
// retries.
func (c *Cell) workersToAvoid(t *task) []ident.WorkerID {
	if len(t.failures) == 0 && len(t.refusedBy) == 0 {
		return nil
	}
	usable := 0
	for _, w := range c.workers {
		if w.usable() && w.suits(t) {
			usable++
		}
	}
	var avoid []ident.WorkerID
	add := func(id ident.WorkerID) {
		if w, ok := c.workers[id]; ok && len(avoid) < usable/2 && w.usable() && !slices.Contains(avoid, id) {
			avoid = append(avoid, id)
		}
	}
	for _, id := range slices.Backward(t.refusedBy) {
		add(id)
	}
	for _, f := range slices.Backward(t.failures) {
		add(f.Worker)
	}
	return avoid
}

// suits reports whether the worker has what the task needs, whatever else runs there.
func (w *worker) suits(t *task) bool {
	pool, label := t.job.spec.Pool, t.group.Constraints.Label
	need := t.group.Need
	if t.group.Constraints.Filler {
		need.MilliCPU = 0
	}
	return (pool == "" || pool == w.member.Pool) && need.Fits(w.capacity) &&
		(label == "" || slices.Contains(strings.Fields(w.member.Labels), label))
}

// refreshWorkersToAvoid queues the tasks that avoid workers again, after the number of usable workers has decreased.
func (c *Cell) refreshWorkersToAvoid(now time.Time, eff *Effects) {
	var again []*task
	var ids []ident.TaskID
	for _, id := range c.jobOrder {
		j := c.jobs[id]
		if len(j.failedOn) == 0 && !j.refused || j.counts[Queued] == 0 {
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == Queued && t.wait == WaitNone && len(t.failures)+len(t.refusedBy) > 0 && t.startable() {
				again = append(again, t)
				ids = append(ids, t.id)
			}
		}
	}
	if len(ids) > 0 {
		eff.do(Dequeue{Tasks: ids})
		c.enqueue(now, again, eff)
	}
}

// enqueue passes the startable tasks to the planner. A task with too many unlogged attempts waits for the log first.
func (c *Cell) enqueue(now time.Time, tasks []*task, eff *Effects) {
	var ready []placement.Pending
	for _, t := range tasks {
		if !t.startable() {
			continue
		}
		if c.table == nil {
			t.wait = WaitTable
			c.heldTasks[t.id] = t
			continue
		}
		if c.mustHold(t) {
			t.wait = WaitRecovery
			c.heldTasks[t.id] = t
			continue
		}
		if !t.dependenciesDone() {
			t.wait = WaitGroups
			continue
		}
		if now.Before(t.notBefore) {
			c.delayed.add(t)
			continue
		}
		if t.nextAttempt-t.lastLogged >= attemptStride-1 {
			t.wait = WaitLog
			eff.log(AttemptsUsed{AttemptID{Task: t.id, Attempt: t.nextAttempt - 1}})
			continue
		}
		if t.group.Lasting && t.nextAttempt-t.lastLogged == attemptStride/2 {
			// The ends of lasting tasks need no records. This record is written early, because the log may be down for a while.
			eff.log(AttemptsUsed{AttemptID{Task: t.id, Attempt: t.nextAttempt - 1}})
		}
		t.wait = WaitNone
		ready = append(ready, c.pending(t))
	}
	if len(ready) > 0 {
		eff.do(Enqueue{Tasks: ready})
	}
}

// requeue queues a task for its next attempt.
func (c *Cell) requeue(now time.Time, t *task, delay time.Duration, why WaitReason, eff *Effects) {
	if !t.startable() {
		return
	}
	c.setState(now, t, Queued)
	t.wait = why
	t.notBefore = now.Add(delay)
	c.enqueue(now, []*task{t}, eff)
}

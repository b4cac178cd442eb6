package lifecycle

import (
	"slices"
	"time"
)

// The recovery after a change of owner has two steps. Once every worker of the log has listed what it runs, or its leases
// have lapsed, no held task runs any more: nothing was started on any other worker. A lasting task can then start again.
// Any other task may have been completed by an end that a worker has not listed yet, so that it is held until all of
// these ends are known.

// releaseTasksLeftOn queues the held tasks that the predecessor left on the worker, which has answered without them.
func (c *Cell) releaseTasksLeftOn(now time.Time, w *worker, eff *Effects) {
	var idle []*task
	for _, t := range c.heldTasks {
		if t.leftOn == w.member.ID && (t.group.Lasting || !w.endsMissing) {
			idle = append(idle, t)
		}
	}
	c.release(now, idle, eff)
}

// release queues held tasks that certainly do not run and are not completed.
func (c *Cell) release(now time.Time, tasks []*task, eff *Effects) {
	sortTasks(tasks)
	for _, t := range tasks {
		delete(c.heldTasks, t.id)
		t.knownIdle = true
	}
	c.enqueue(now, tasks, eff)
}

// mustHold reports whether another attempt of the task may run, or may have completed it, on a worker that has not
// listed everything since the takeover.
func (c *Cell) mustHold(t *task) bool {
	if !c.recovering || t.job.acceptedByOwner || t.knownIdle {
		return false
	}
	return !t.group.Lasting || !c.runsListed
}

// RecoveryPhase is what a new owner waits for before it starts held tasks.
type RecoveryPhase uint8

// The phases of a recovery, in their order.
const (
	// AwaitingRuns means that held tasks may still run on workers that have listed nothing.
	AwaitingRuns RecoveryPhase = iota
	// AwaitingEnds means that held tasks do not run, but may have been completed by ends that a worker has not listed.
	AwaitingEnds
	// Recovered means that no task is held.
	Recovered
)

// RecoveryPhase returns the present phase.
func (c *Cell) RecoveryPhase() RecoveryPhase {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case !c.recovering:
		return Recovered
	case c.runsListed:
		return AwaitingEnds
	default:
		return AwaitingRuns
	}
}

// RecoveryCounts says how much the recovery holds and for whom it waits.
type RecoveryCounts struct {
	// Held and HeldLasting count the tasks that may not start yet, and the lasting ones among them.
	Held, HeldLasting int
	// Unanswered counts the workers that may run attempts of the predecessor and have neither answered nor lapsed.
	Unanswered int
	// RunsEndAt is when the last lease on these workers has certainly lapsed; zero if that is not known.
	RunsEndAt time.Time
}

// RecoveryCounts returns what the recovery holds at present.
func (c *Cell) RecoveryCounts() RecoveryCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := RecoveryCounts{Held: len(c.heldTasks)}
	for _, t := range c.heldTasks {
		if t.group.Lasting {
			counts.HeldLasting++
		}
	}
	for _, w := range c.workers {
		if w.mayRunUnlisted() {
			counts.Unanswered++
		}
	}
	counts.RunsEndAt = c.runsEndAt()
	return counts
}

// Recovering reports whether tasks may still run, or may have been completed, on workers that have not listed
// everything.
func (c *Cell) Recovering() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.recovering
}

// finishRecovery queues the held tasks as soon as the table is known and the answers of the workers allow it.
func (c *Cell) finishRecovery(now time.Time, eff *Effects) {
	if !c.recovering || c.inDoubt {
		return
	}
	if c.table == nil {
		if c.allRunsListed(now) && !c.awaitsEnds() {
			for _, t := range c.heldTasks {
				t.wait = WaitTable
			}
		}
		return
	}
	if !c.runsListed {
		if !c.allRunsListed(now) {
			return
		}
		c.runsListed = true
		c.releaseTasksWithoutEnds(now, eff)
	}
	if c.awaitsEnds() {
		return
	}
	c.recovering = false
	tasks := make([]*task, 0, len(c.heldTasks))
	for _, t := range c.heldTasks {
		tasks = append(tasks, t)
	}
	c.release(now, tasks, eff)
	for _, w := range c.sortedWorkers() {
		if !w.claimed {
			w.lapsed = true
			c.forgetIfGone(w, eff)
			continue
		}
		if w.leaving() {
			c.evictFromLeaving(now, w, eff)
		}
	}
}

// releaseTasksWithoutEnds queues the held tasks that no missing end can complete: lasting ones, and those that the
// predecessor left on a worker that has lapsed. Lasting tasks on leaving workers can move from now on.
func (c *Cell) releaseTasksWithoutEnds(now time.Time, eff *Effects) {
	var idle []*task
	for _, t := range c.heldTasks {
		if t.group.Lasting || c.leftOnLapsedWorker(t) {
			idle = append(idle, t)
		}
	}
	c.release(now, idle, eff)
	for _, w := range c.sortedWorkers() {
		if w.claimed && w.leaving() {
			c.evictFromLeaving(now, w, eff)
		}
	}
}

func (c *Cell) leftOnLapsedWorker(t *task) bool {
	w, known := c.workers[t.leftOn]
	return t.leftOn != "" && (!known || !w.claimed && w.unanswered)
}

// allRunsListed reports whether every worker has listed what it runs or has certainly stopped all of it.
func (c *Cell) allRunsListed(now time.Time) bool {
	for _, w := range c.workers {
		if !w.mayRunUnlisted() {
			continue
		}
		lapsesAt := c.unlistedRunsEndAt(w)
		if lapsesAt.IsZero() || now.Before(lapsesAt) || !w.unanswered && !w.silenceRecorded() {
			return false
		}
	}
	return true
}

// mayRunUnlisted reports whether attempts of the predecessor may run on the worker that it has not listed.
func (w *worker) mayRunUnlisted() bool { return w.mayHold && !w.claimed && !w.lapsed }

// unlistedRunsEndAt returns when the leases of such attempts have lapsed; zero if that is not known.
func (c *Cell) unlistedRunsEndAt(w *worker) time.Time {
	since := w.silentSince
	if since.IsZero() {
		since = c.predecessorStoppedAt
	}
	if since.IsZero() {
		return since
	}
	return since.Add(c.inheritedLapseAfter())
}

// runsEndAt returns when all leases have lapsed on workers that have listed nothing; zero if that is not known, or if there
// are none.
func (c *Cell) runsEndAt() (end time.Time) {
	for _, w := range c.workers {
		if !w.mayRunUnlisted() {
			continue
		}
		lapsesAt := c.unlistedRunsEndAt(w)
		if lapsesAt.IsZero() {
			return lapsesAt
		}
		end = laterOf(end, lapsesAt)
	}
	return end
}

// awaitsAnswer reports whether the claim of a worker is under way, or its answer not yet handled, and the log does not say
// since when the worker is silent.
func (c *Cell) awaitsAnswer() bool {
	for _, w := range c.workers {
		if w.mayHold && !w.claimed && !w.unanswered && !w.silenceRecorded() {
			return true
		}
	}
	return false
}

// awaitsEnds reports whether a worker may list further ends of attempts that the predecessor started.
func (c *Cell) awaitsEnds() bool {
	for _, w := range c.workers {
		if w.mayHold && (w.claimed && w.endsMissing || !w.claimed && !w.unanswered) {
			return true
		}
	}
	return false
}

// listsLaterEnd reports whether the ends include one of an attempt that still ran when this owner claimed the worker,
// or was started later. A worker lists ends in the order in which they occurred, so that all earlier ones are then
// known, even if the worker has more to list.
func (w *worker) listsLaterEnd(ended []EndedAttempt) bool {
	return slices.ContainsFunc(ended, func(e EndedAttempt) bool {
		r := w.running[e.Task]
		return r != nil && r.Attempt == e.Attempt
	})
}

package lifecycle

import (
	"container/heap"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// delayQueue orders tasks by the time at which they may start again.
type delayQueue []delayedTask

// delayedTask is a task whose given attempt may start at some time.
type delayedTask struct {
	at      time.Time
	task    *task
	attempt ident.Attempt
}

func (q delayQueue) Len() int           { return len(q) }
func (q delayQueue) Less(i, j int) bool { return q[i].at.Before(q[j].at) }
func (q delayQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *delayQueue) Push(x any) { *q = append(*q, x.(delayedTask)) }

// Pop implements heap.Interface.
func (q *delayQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (q *delayQueue) add(t *task) {
	heap.Push(q, delayedTask{at: t.notBefore, task: t, attempt: t.nextAttempt})
}

// Tick handles everything that is due at now: the end of back-offs, silent workers and lapsed leases, probes of
// quarantined workers, and starts that have waited too long for the log.
func (c *Cell) Tick(now time.Time) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	var due []*task
	for len(c.delayed) > 0 && !c.delayed[0].at.After(now) {
		d := heap.Pop(&c.delayed).(delayedTask)
		if d.task.startable() && d.task.nextAttempt == d.attempt && !d.task.notBefore.After(now) {
			due = append(due, d.task)
		}
	}
	c.enqueue(now, due, &eff)
	c.advanceReturns(now, &eff)
	c.moveFromEvacuated(now, &eff)
	overdue := c.popDue(now)
	slices.SortFunc(overdue, compareWorkers)
	anySilent := false
	for _, w := range overdue {
		if c.tickWorker(now, w, &eff) {
			anySilent = true
		}
		c.scheduleTick(w)
	}
	if anySilent {
		c.refreshWorkersToAvoid(now, &eff)
	}
	for t := c.oldestWaiting(); t != nil && !t.run.startedAt.Add(maxLogWait).After(now); t = c.oldestWaiting() {
		c.endRun(now, t.run, &eff)
		c.requeue(now, t, maxLogWait, WaitLog, &eff)
	}
	c.recordTime(now, &eff)
	c.finishRecovery(now, &eff)
	c.endUnfit(now, &eff)
	return eff
}

// tickWorker handles the probe, the silence and the lapse of a worker if they are due.
func (c *Cell) tickWorker(now time.Time, w *worker, eff *Effects) (becameSilent bool) {
	if due, ok := c.silenceDue(w); ok && !now.Before(due) {
		since, _ := c.unansweredSince(w)
		c.recordSilence(now, w, since, eff)
	}
	if !w.claimed {
		return false
	}
	if w.health.quarantined && !w.health.probing && !now.Before(w.health.probeAt) {
		w.health.probing = true
		c.putWorker(w, eff)
	}
	if !w.silent && !w.reportWaiting && !now.Before(w.lastContact.Add(c.policy.SilentAfter)) {
		w.silent = true
		c.putWorker(w, eff)
		becameSilent = true
	}
	if c.inDoubt || !w.unanswered || now.Before(c.lapseAt(w)) || now.Before(w.lastContact.Add(c.policy.LeaseDuration)) {
		return becameSilent
	}
	c.lapseWorker(now, w, eff)
	return becameSilent
}

// lapseWorker requeues the tasks of a worker whose leases have certainly ended.
func (c *Cell) lapseWorker(now time.Time, w *worker, eff *Effects) {
	w.claimed = false
	w.lapsed = true
	w.inPlanner = false
	clear(w.pendingAcks)
	eff.do(DropWorker{Worker: w.member.ID})
	c.countUnreached(w, eff)
	for _, r := range w.sortedRuns() {
		c.attemptLost(now, r, eff)
	}
	for attempt, end := range c.unloggedEnds {
		if end.worker == w.member.ID {
			c.uncountUnloggedEnd(end.worker)
			end.worker = ""
			c.addUnloggedEnd(attempt, end)
		}
	}
	eff.do(ClaimWorker{Member: w.member})
	c.forgetIfGone(w, eff)
}

// NextTick returns when Tick is next due; zero if no time is known.
func (c *Cell) NextTick() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	var next time.Time
	earliest := func(t time.Time) {
		if !t.IsZero() && (next.IsZero() || t.Before(next)) {
			next = t
		}
	}
	if len(c.delayed) > 0 {
		earliest(c.delayed[0].at)
	}
	for _, ramp := range c.returns {
		earliest(ramp.Next())
	}
	earliest(c.nextMoveAt)
	if due, ok := c.nextDeadline(); ok {
		earliest(due)
	}
	if t := c.oldestWaiting(); t != nil {
		earliest(t.run.startedAt.Add(maxLogWait))
	}
	earliest(c.nextTimeRecord())
	earliest(c.nextUnfit())
	if c.recovering && c.table != nil && !c.runsListed && !c.inDoubt && !c.awaitsAnswer() {
		earliest(c.runsEndAt())
	}
	return next
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package lifecycle

import (
	"container/heap"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// delayQueue orders tasks by the time at which they may start again.
type delayQueue []delayedTask

type delayedTask struct {
	at   time.Time
	task *task
	next ident.Attempt
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
	heap.Push(q, delayedTask{at: t.notBefore, task: t, next: t.next})
}

// Tick performs what is due at now: back-offs that end, workers that fall silent or lapse, probes of quarantined
// workers, and starts that waited too long for the log.
func (c *Cell) Tick(now time.Time) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	var due []*task
	for len(c.delayed) > 0 && !c.delayed[0].at.After(now) {
		d := heap.Pop(&c.delayed).(delayedTask)
		if d.task.startable() && d.task.next == d.next && !d.task.notBefore.After(now) {
			due = append(due, d.task)
		}
	}
	c.enqueue(now, due, &eff)
	overdue := c.takeDue(now)
	slices.SortFunc(overdue, compareWorkers)
	for _, w := range overdue {
		c.tickWorker(now, w, &eff)
		c.schedule(w)
	}
	for t := c.oldestWaiting(); t != nil && !t.run.startedAt.Add(logWait).After(now); t = c.oldestWaiting() {
		c.endRun(now, t, &eff)
		c.requeue(now, t, logWait, WaitLog, &eff)
	}
	c.finishRecovery(now, &eff)
	return eff
}

func (c *Cell) tickWorker(now time.Time, w *worker, eff *Effects) {
	if w.health.quarantined && !w.health.probing && !now.Before(w.health.probeAt) {
		w.health.probing = true
		c.putWorker(w, eff)
	}
	if !w.silent && !now.Before(w.contactAt.Add(c.policy.SilentAfter)) {
		w.silent = true
		c.putWorker(w, eff)
		c.refreshAvoid(now, eff)
	}
	if c.doubt || !w.unanswered || now.Before(c.lapseAt(w)) || now.Before(w.contactAt.Add(c.policy.LeaseDuration)) {
		return
	}
	c.lapse(now, w, eff)
}

// lapse moves the tasks of a worker whose leases have certainly ended.
func (c *Cell) lapse(now time.Time, w *worker, eff *Effects) {
	w.claimed = false
	w.lapsed = true
	w.put = false
	clear(w.acks)
	eff.do(DropWorker{Worker: w.member.ID})
	for _, t := range w.sortedRuns() {
		c.lose(now, t, eff)
	}
	for r, end := range c.unlogged {
		if end.worker == w.member.ID {
			c.leaveLog(end.worker)
			end.worker = ""
			c.awaitLog(r, end)
		}
	}
	eff.do(ClaimWorker{Member: w.member})
	c.forgetIfGone(w, eff)
}

// NextTick returns when Tick has something to do next; zero if no time is known.
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
	if due, ok := c.nextDeadline(); ok {
		earliest(due)
	}
	if t := c.oldestWaiting(); t != nil {
		earliest(t.run.startedAt.Add(logWait))
	}
	if c.recovering && !c.recoverFrom.IsZero() && !c.doubt && !c.awaitsInventories() {
		earliest(c.recoverFrom.Add(c.policy.lapse()))
	}
	return next
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

package lifecycle

import (
	"container/heap"
	"time"
)

// deadlineQueue orders the claimed workers by the time at which Tick has something to do for them. Most events of a worker
// only put that time off, and do not touch the queue: an entry may be too early, never too late.
type deadlineQueue []*worker

func (q deadlineQueue) Len() int           { return len(q) }
func (q deadlineQueue) Less(i, j int) bool { return q[i].tickAt.Before(q[j].tickAt) }

func (q deadlineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].tickPos = i
	q[j].tickPos = j
}

// Push implements heap.Interface.
func (q *deadlineQueue) Push(x any) {
	w := x.(*worker)
	w.tickPos = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *deadlineQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.tickPos = notQueued
	return w
}

// notQueued is the position of a worker that waits for nothing.
const notQueued = -1

// tickDue returns when Tick has something to do for a worker; ok is false if nothing is to come.
func (c *Cell) tickDue(w *worker) (due time.Time, ok bool) {
	if !w.claimed {
		return due, false
	}
	earliest := func(t time.Time) {
		if !ok || t.Before(due) {
			due, ok = t, true
		}
	}
	if !w.silent {
		earliest(w.contactAt.Add(c.policy.SilentAfter))
	} else if !c.doubt && w.unanswered {
		earliest(latest(c.lapseAt(w), w.contactAt.Add(c.policy.LeaseDuration)))
	}
	if w.health.quarantined && !w.health.probing {
		earliest(w.health.probeAt)
	}
	return due, ok
}

// schedule puts a worker where its next deadline belongs. It is called after each event that may bring it nearer.
func (c *Cell) schedule(w *worker) {
	due, ok := c.tickDue(w)
	queued := w.tickPos != notQueued
	w.tickAt = due
	switch {
	case ok && queued:
		heap.Fix(&c.deadlines, w.tickPos)
	case ok:
		heap.Push(&c.deadlines, w)
	case queued:
		heap.Remove(&c.deadlines, w.tickPos)
	}
}

// nextDeadline returns when Tick has something to do for any worker; ok is false if nothing is to come. Entries that
// have been put off since are corrected, each at most once for the events that put it off.
func (c *Cell) nextDeadline() (due time.Time, ok bool) {
	for len(c.deadlines) > 0 {
		w := c.deadlines[0]
		due, ok = c.tickDue(w)
		if ok && due.Equal(w.tickAt) {
			return due, true
		}
		c.schedule(w)
	}
	return time.Time{}, false
}

// takeDue removes and returns the workers for which something is due. They must be scheduled again.
func (c *Cell) takeDue(now time.Time) []*worker {
	var due []*worker
	for {
		at, ok := c.nextDeadline()
		if !ok || at.After(now) {
			return due
		}
		due = append(due, heap.Pop(&c.deadlines).(*worker))
	}
}

// waitingStart is a start that waits for its log record.
type waitingStart struct {
	run  AttemptID
	task *task
}

// oldestWaiting returns the start that has waited for its log record for the longest time; nil if none waits. Starts come
// in the order of their times.
func (c *Cell) oldestWaiting() *task {
	for len(c.waitOrder) > 0 {
		first := c.waitOrder[0]
		if c.waiting[first.run] == first.task {
			return first.task
		}
		c.waitOrder[0] = waitingStart{}
		c.waitOrder = c.waitOrder[1:]
	}
	return nil
}

package lifecycle

import (
	"container/heap"
	"time"
)

// deadlineQueue orders the workers by their next deadline. Most events of a worker only postpone its deadline
// and leave the queue unchanged, so an entry may be too early but never too late.
type deadlineQueue []*worker

func (q deadlineQueue) Len() int           { return len(q) }
func (q deadlineQueue) Less(i, j int) bool { return q[i].tickAt.Before(q[j].tickAt) }

func (q deadlineQueue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].tickIndex = i
	q[j].tickIndex = j
}

// Push implements heap.Interface.
func (q *deadlineQueue) Push(x any) {
	w := x.(*worker)
	w.tickIndex = len(*q)
	*q = append(*q, w)
}

// Pop implements heap.Interface.
func (q *deadlineQueue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	w.tickIndex = notQueued
	return w
}

// notQueued is the tickIndex of a worker without a deadline.
const notQueued = -1

// nextDue returns when Tick must next handle the worker; ok is false if it has no deadline.
func (c *Cell) nextDue(w *worker) (due time.Time, ok bool) {
	due, ok = c.silenceDue(w)
	if !w.claimed {
		return due, ok
	}
	earliest := func(t time.Time) {
		if !ok || t.Before(due) {
			due, ok = t, true
		}
	}
	if !w.silent {
		if !w.reportWaiting {
			earliest(w.lastContact.Add(c.policy.SilentAfter))
		}
	} else if !c.inDoubt && w.unanswered {
		earliest(laterOf(c.lapseAt(w), w.lastContact.Add(c.policy.LeaseDuration)))
	}
	if w.health.quarantined && !w.health.probing {
		earliest(w.health.probeAt)
	}
	return due, ok
}

// scheduleTick updates the position of a worker in the queue. It must be called after each event that may bring the
// deadline of the worker forward.
func (c *Cell) scheduleTick(w *worker) {
	due, ok := c.nextDue(w)
	queued := w.tickIndex != notQueued
	w.tickAt = due
	switch {
	case ok && queued:
		heap.Fix(&c.deadlines, w.tickIndex)
	case ok:
		heap.Push(&c.deadlines, w)
	case queued:
		heap.Remove(&c.deadlines, w.tickIndex)
	}
}

// nextDeadline returns the earliest deadline of all workers; ok is false if there is none. It corrects the entries
// whose deadline was postponed, each at most once however many events postponed it.
func (c *Cell) nextDeadline() (due time.Time, ok bool) {
	for len(c.deadlines) > 0 {
		w := c.deadlines[0]
		due, ok = c.nextDue(w)
		if ok && due.Equal(w.tickAt) {
			return due, true
		}
		c.scheduleTick(w)
	}
	return time.Time{}, false
}

// popDue removes and returns the workers whose deadline has passed. The caller must schedule them again.
func (c *Cell) popDue(now time.Time) []*worker {
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
	attempt AttemptID
	task    *task
}

// oldestWaiting returns the start that has waited longest for its log record; nil if none waits. waitingOrder is
// ordered by start time.
func (c *Cell) oldestWaiting() *task {
	for len(c.waitingOrder) > 0 {
		first := c.waitingOrder[0]
		if c.waitingStarts[first.attempt] == first.task {
			return first.task
		}
		c.waitingOrder[0] = waitingStart{}
		c.waitingOrder = c.waitingOrder[1:]
	}
	return nil
}

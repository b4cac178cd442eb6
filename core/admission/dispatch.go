package admission

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Dispatch starts waiting requests while slots are free. assignTarget chooses the target of a request and reports
// whether there is one; if not, Dispatch returns. The caller calls NotifyDecided on the returned tickets, admitted and
// refused ones, after releasing the lock.
func (c *Controller) Dispatch(now time.Time, assignTarget func(*Ticket) bool) []*Ticket {
	var decided []*Ticket
	c.expireLoans(now)
	c.rescheduleAwaitingToken(now)
	for c.inUse < c.capacity {
		cl := c.ready.first()
		if cl == nil {
			// No class waits for a slot, so that the slot time used until now has not been taken from another class.
			c.busyPeriod++
			break
		}
		t := cl.queue.head()
		if refusal := c.lateRefusal(now, t); refusal != nil {
			cl.queue.remove(t)
			c.refuse(t, refusal)
			c.reschedule(now, cl)
			c.deactivateIfIdle(cl)
			decided = append(decided, t)
			continue
		}
		if !assignTarget(t) {
			break
		}
		c.start(now, t)
		decided = append(decided, t)
	}
	return decided
}

// lateRefusal returns the refusal of a request whose deadline would pass at the target, where it would waste a slot;
// nil if the request may start. Requests that did not wait are not refused for the measured service time, and a class
// without requests in progress can always start one, so that a service time measured in a slow period is corrected.
func (c *Controller) lateRefusal(now time.Time, t *Ticket) *Refusal {
	if !now.Before(t.deadline) {
		return &Refusal{Class: t.Class(), Code: verdict.CodeDeadline, Reason: reasonDeadlinePassed}
	}
	if reserve := c.serviceReserve(t.class); now.After(t.enqueuedAt) && now.Add(reserve).After(t.deadline) {
		return &Refusal{t.Class(), verdict.CodeDeadline, reasonTooLate, c.estimateWait(now, t.class, 0)}
	}
	return nil
}

// serviceReserve returns the time to reserve before the deadline for the run of a request; 0 if its class has no
// request in progress.
func (c *Controller) serviceReserve(cl *class) time.Duration {
	if cl.inUse == 0 {
		return 0
	}
	return cl.serviceTime.upperEstimate()
}

func (c *Controller) start(now time.Time, t *Ticket) {
	cl := t.class
	cl.queue.remove(t)
	if cl.tokens != nil {
		cl.tokens.AllowN(now, 1)
	}
	t.state = admitted
	t.startedAt = now
	t.charged = cl.cost()
	cl.charged += t.charged
	c.virtualTime = max(c.virtualTime, cl.virtualTime)
	cl.virtualTime += t.charged / cl.weight()
	c.waiting--
	c.inUse++
	cl.inUse++
	cl.recordStart(now)
	c.reschedule(now, cl)
}

// rescheduleAwaitingToken reschedules the classes whose rate token has become available.
func (c *Controller) rescheduleAwaitingToken(now time.Time) {
	for {
		cl := c.awaitingToken.first()
		if cl == nil || cl.tokenAt.After(now) {
			return
		}
		c.reschedule(now, cl)
		if cl.awaitingTokenPos != notInHeap && !cl.tokenAt.After(now) {
			return
		}
	}
}

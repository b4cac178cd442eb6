// Package admission decides which of the waiting requests of a cell starts next.
//
// Each class has a bounded queue in the order of deadlines. Classes share the slots of the cell by weighted fair
// queueing over slot time: a class is charged for how long its requests hold their slots, so that long requests of one
// class do not take slots from the share of another. A request that cannot meet its deadline is refused at once.
//
// A Controller is part of the shard of one cell, and the lock of that shard guards it together with the routing state.
// The start of a request and the choice of its target are thereby one step. No method blocks.
package admission

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// maxShareCredit bounds the unused slot time that a class may use later to what its share yields in this time.
// Without this credit, a flood of another class made the p99 of a class at 0.875 of its share 1.8 times as long; with
// 1 s it became up to 1.5 times as long. Other classes wait at most this long for a class that uses its credit.
const maxShareCredit = 2 * time.Second

// Controller is the admission state of one cell.
type Controller struct {
	cells int
	grant ownership.Grant
	// halfLimitsUntil is when the loans made by the previous owner of the cell have ended. Limits are halved until then.
	halfLimitsUntil time.Time
	// nextLimitChange is when the next loan or the halving of the limits ends; zero if neither is pending.
	nextLimitChange    time.Time
	capacity           int
	capacityExpectedAt time.Time
	inUse              int
	waiting            int
	seq                uint64
	loanSeq            uint64

	classes      map[ident.ClassName]*class
	activeWeight float64
	// virtualTime is the largest virtual time at which a request was started. A class that becomes ready starts from it
	// or a bounded time before it, so that an idle class does not save up an unbounded claim to slots.
	virtualTime float64
	// busyPeriod numbers the busy periods of the cell. A busy period ends when a slot is free and no class is ready.
	busyPeriod uint64
	// ready holds the classes whose first request may start, by virtual time.
	ready classHeap
	// awaitingToken holds the classes whose first request waits for a rate token only, by tokenAt.
	awaitingToken classHeap
}

// New returns the controller of a cell that this host does not own yet. cells is the number of cells in the fleet.
func New(cells int) *Controller {
	return &Controller{
		cells:   max(1, cells),
		classes: make(map[ident.ClassName]*class),
		ready: classHeap{
			less: func(a, b *class) bool { return a.virtualTime < b.virtualTime },
			pos:  func(c *class) *int { return &c.readyPos },
		},
		awaitingToken: classHeap{
			less: func(a, b *class) bool { return a.tokenAt.Before(b.tokenAt) },
			pos:  func(c *class) *int { return &c.awaitingTokenPos },
		},
	}
}

// SetGrant replaces the grant. Limits change at once; requests in progress are not stopped. If the new grant has no
// authority, all waiting requests are refused and returned.
func (c *Controller) SetGrant(now time.Time, grant ownership.Grant) []*Ticket {
	if grant.Epoch != c.grant.Epoch {
		c.halfLimitsUntil = now.Add(LoanPeriod)
		c.forgetLoans()
	}
	c.grant = grant
	var dropped []*Ticket
	for _, cl := range c.classes {
		if grant.Authority == ownership.None {
			dropped = append(dropped, c.refuseQueued(cl, verdict.CodeFenced, reasonNotOwned)...)
		}
		c.updateLimits(now, cl)
	}
	return dropped
}

// forgetLoans drops the loans of an earlier ownership. They are void, because the owners in between did not know them.
func (c *Controller) forgetLoans() {
	for _, cl := range c.classes {
		cl.limits.lent, cl.limits.borrowed, cl.limits.pending = nil, nil, nil
	}
}

// SetCapacity sets the number of slots that the requests in progress may hold together. If slots is 0, next is the
// earliest time at which a slot may become usable; zero if that is not known.
func (c *Controller) SetCapacity(slots int, next time.Time) {
	c.capacity = slots
	c.capacityExpectedAt = next
}

// SetTable applies the rows of a table. The waiting requests of classes that the table lacks are refused and returned.
func (c *Controller) SetTable(now time.Time, t *table.Table) []*Ticket {
	var dropped []*Ticket
	for name, cl := range c.classes {
		if _, ok := t.Lookup(name); !ok {
			dropped = append(dropped, c.removeClass(cl)...)
		}
	}
	for _, row := range t.Rows() {
		cl, ok := c.classes[row.Name]
		if !ok {
			cl = &class{readyPos: notInHeap, awaitingTokenPos: notInHeap, windowStart: now}
			c.classes[row.Name] = cl
		}
		c.setRow(now, cl, row)
	}
	return dropped
}

func (c *Controller) setRow(now time.Time, cl *class, row table.Row) {
	if cl.active {
		c.activeWeight -= cl.weight()
	}
	cl.row = row
	if cl.active {
		c.activeWeight += cl.weight()
	}
	c.updateLimits(now, cl)
}

// updateLimits recomputes the limits of a class after a change of its row, the grant or a loan.
func (c *Controller) updateLimits(now time.Time, cl *class) {
	cl.limits.halfLimitsUntil = c.halfLimitsUntil
	cl.limits.set(cl.row, c.cells, c.grant)
	cl.setRate(now)
	c.nextLimitChange = earlier(c.nextLimitChange, cl.limits.nextChange(now))
	c.reschedule(now, cl)
}

// earlier returns the earlier of two times. A zero time stands for none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// removeClass removes a class and returns its waiting requests, which it refuses.
func (c *Controller) removeClass(cl *class) []*Ticket {
	dropped := c.refuseQueued(cl, verdict.CodeNotFound, reasonClassRemoved)
	cl.removed = true
	delete(c.classes, cl.row.Name)
	return dropped
}

// refuseQueued refuses the waiting requests of a class and returns them.
func (c *Controller) refuseQueued(cl *class, code verdict.Code, reason string) []*Ticket {
	dropped := cl.queue.items
	cl.queue.items = nil
	for _, t := range dropped {
		c.refuse(t, &Refusal{Class: cl.row.Name, Code: code, Reason: reason})
	}
	c.ready.remove(cl)
	c.awaitingToken.remove(cl)
	c.deactivateIfIdle(cl)
	return dropped
}

func (c *Controller) refuse(t *Ticket, r *Refusal) {
	t.state = refused
	t.refusal = r
	c.waiting--
}

// Enqueue adds a request to the queue of its class, or refuses it with NotRun. Dispatch decides when it starts.
func (c *Controller) Enqueue(now time.Time, name ident.ClassName, deadline time.Time) (*Ticket, *Refusal) {
	return c.enqueue(now, name, deadline, false)
}

// EnqueueImmediate is Enqueue for a request that can run in another cell: it is refused with CodeBusy if it would wait
// for a slot. A request that would wait for a limit of its class is queued: another cell has its own part of the limit,
// so that sending the request there would bypass the limit of this cell.
func (c *Controller) EnqueueImmediate(now time.Time, name ident.ClassName, deadline time.Time) (*Ticket, *Refusal) {
	return c.enqueue(now, name, deadline, true)
}

func (c *Controller) enqueue(now time.Time, name ident.ClassName, deadline time.Time, immediate bool) (*Ticket, *Refusal) {
	cl, ok := c.classes[name]
	if !ok {
		// The host that received the request has the class in its table, so that this table is older, or the class has just
		// been removed.
		return nil, &Refusal{Class: name, Code: verdict.CodeUnavailable, Reason: reasonUnknownClass, RetryAfter: tableRetryAfter}
	}
	if c.grant.Authority == ownership.None {
		return nil, &Refusal{Class: name, Code: verdict.CodeFenced, Reason: reasonNotOwned}
	}
	if cl.row.Deadline > 0 && deadline.After(now.Add(cl.row.Deadline)) {
		deadline = now.Add(cl.row.Deadline)
	}
	c.seq++
	t := &Ticket{class: cl, deadline: deadline, enqueuedAt: now, seq: c.seq, decided: make(chan struct{})}
	if immediate && now.Before(deadline) && c.waitsForSlotOnly(now, cl) {
		return nil, &Refusal{name, verdict.CodeBusy, reasonBusy, c.estimateWait(now, cl, cl.queue.rank(t))}
	}
	if refusal := c.refusalFor(now, t); refusal != nil {
		return nil, refusal
	}
	cl.queue.insert(t)
	c.waiting++
	c.activate(cl)
	c.reschedule(now, cl)
	return t, nil
}

// waitsForSlotOnly reports whether a new request of the class would wait for a slot but for no limit of its class.
func (c *Controller) waitsForSlotOnly(now time.Time, cl *class) bool {
	rank := cl.queue.len()
	return c.slotWait(cl, rank) > 0 && c.concurrencyWait(cl, now, rank) == 0 && cl.tokenWait(now, rank+1) == 0
}

// refusalFor returns the reason to refuse a new request; nil if there is none.
func (c *Controller) refusalFor(now time.Time, t *Ticket) *Refusal {
	cl := t.class
	if !now.Before(t.deadline) {
		return &Refusal{Class: cl.row.Name, Code: verdict.CodeDeadline, Reason: reasonDeadlinePassed}
	}
	rank := cl.queue.rank(t)
	wait := c.estimateWait(now, cl, rank)
	if wait == 0 {
		return nil
	}
	if cl.queue.len() >= cl.row.Queue {
		return &Refusal{cl.row.Name, verdict.CodeLimited, reasonQueueFull, c.estimateWait(now, cl, 0)}
	}
	if late := now.Add(wait + c.serviceReserve(cl)).Sub(t.deadline); late > 0 {
		return &Refusal{cl.row.Name, verdict.CodeDeadline, reasonUnmeetable, late}
	}
	return nil
}

// Cancel ends a request that is waiting, or that was admitted and has not been sent. It reports whether the request was
// still waiting. The slot of an admitted request is freed.
func (c *Controller) Cancel(now time.Time, t *Ticket) bool {
	switch t.state {
	case waiting:
		t.class.queue.remove(t)
		c.refuse(t, &Refusal{Class: t.Class(), Code: verdict.CodeDeadline, Reason: reasonCancelled})
		c.reschedule(now, t.class)
		c.deactivateIfIdle(t.class)
		return true
	case admitted:
		c.finish(now, t, false)
	}
	return false
}

// Release frees the slot of an admitted request that was sent. Only answered requests count in the service time:
// failed and abandoned requests would make the estimates too short or too long.
func (c *Controller) Release(now time.Time, t *Ticket, answered bool) {
	if t.state == admitted {
		c.finish(now, t, answered)
	}
}

// finish frees the slot and replaces the charge made at the start by the time for which the slot was held.
func (c *Controller) finish(now time.Time, t *Ticket, answered bool) {
	cl := t.class
	t.state = finished
	held := max(0, now.Sub(t.startedAt))
	if answered {
		cl.serviceTime.add(held)
	}
	cl.virtualTime += (held.Seconds() - t.charged) / cl.weight()
	cl.charged -= t.charged
	c.inUse--
	cl.inUse--
	c.reschedule(now, cl)
	c.deactivateIfIdle(cl)
}

func (c *Controller) activate(cl *class) {
	if cl.active {
		return
	}
	cl.active = true
	c.activeWeight += cl.weight()
}

// deactivateIfIdle marks a class inactive if it has no waiting requests and none in progress.
func (c *Controller) deactivateIfIdle(cl *class) {
	if !cl.active || cl.queue.len() > 0 || cl.inUse > 0 {
		return
	}
	cl.active = false
	c.activeWeight -= cl.weight()
}

// reschedule moves a class to the ready heap if its first request may start, to awaitingToken if it lacks only a rate
// token, and out of both otherwise.
func (c *Controller) reschedule(now time.Time, cl *class) {
	if cl.removed {
		return
	}
	if cl.queue.len() == 0 || !cl.withinConcurrency(now, cl.queue.head().deadline) {
		c.ready.remove(cl)
		c.awaitingToken.remove(cl)
		return
	}
	if wait := cl.tokenWait(now, 1); wait > 0 {
		c.ready.remove(cl)
		cl.tokenAt = now.Add(wait)
		c.awaitingToken.upsert(cl)
		return
	}
	c.awaitingToken.remove(cl)
	if cl.readyPos == notInHeap {
		c.initVirtualTime(cl)
	}
	c.ready.upsert(cl)
}

// initVirtualTime sets the virtual time of a class that becomes ready. In a new busy period all classes start equal,
// apart from the charge of their requests in progress, because no request waited before it. Within a busy period, a
// class keeps the share that it did not use in the last maxShareCredit. Without this, a class whose mean load is within
// its share would wait whenever its arrivals exceed the share for a moment.
func (c *Controller) initVirtualTime(cl *class) {
	if cl.busyPeriod != c.busyPeriod {
		cl.busyPeriod = c.busyPeriod
		cl.virtualTime = c.virtualTime + cl.charged/cl.weight()
		return
	}
	virtualRate := float64(c.capacity) / max(1, c.activeWeight)
	cl.virtualTime = max(cl.virtualTime, c.virtualTime-maxShareCredit.Seconds()*virtualRate)
}

// withinConcurrency reports whether the concurrency limit allows one more request with the deadline.
func (cl *class) withinConcurrency(now, deadline time.Time) bool {
	limit, limited := cl.limits.concurrency(now, deadline)
	return !limited || cl.inUse < limit
}

// NextWake returns when Dispatch must be called again without any other event: when a waiting request gets its rate
// token, or when limits change because a loan ends. It is zero if there is no such time.
func (c *Controller) NextWake() time.Time {
	if cl := c.awaitingToken.first(); cl != nil {
		return earlier(c.nextLimitChange, cl.tokenAt)
	}
	return c.nextLimitChange
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return c.waiting }

// InUse returns the number of requests that hold a slot.
func (c *Controller) InUse() int { return c.inUse }

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

// savedShare is the time over which a class may use later what it did not use of its share while others waited. Without
// it, a class at 0.875 of its share had 1.8 times its quiet p99 in a flood, and 1 s gave up to 1.5 times. Other classes
// wait at most this long for what a class has saved up.
const savedShare = 2 * time.Second

// Controller is the admission state of one cell.
type Controller struct {
	cells int
	grant ownership.Grant
	// halvedUntil is when the loans of the predecessor have ended.
	halvedUntil time.Time
	// boundary is when the next loan ends, or the wait for the predecessor's loans; zero if there is none.
	boundary     time.Time
	capacity     int
	capacityFrom time.Time
	inUse        int
	waiting      int
	seq          uint64
	loanSeq      uint64

	classes      map[ident.ClassName]*class
	activeWeight float64
	// virtual is the largest virtual time at which a request was started. A class that becomes ready starts from here, or
	// a bounded time before, so that it saves up no unbounded claim while it has nothing to do.
	virtual float64
	// period numbers the busy periods of the cell. A busy period ends when a slot is free and no class is ready.
	period uint64
	ready  classHeap
	timed  classHeap
}

// New returns the controller of a cell that this host does not own yet. cells is the number of cells in the fleet.
func New(cells int) *Controller {
	return &Controller{
		cells:   max(1, cells),
		classes: make(map[ident.ClassName]*class),
		ready: classHeap{
			less: func(a, b *class) bool { return a.virtual < b.virtual },
			pos:  func(c *class) *int { return &c.readyPos },
		},
		timed: classHeap{
			less: func(a, b *class) bool { return a.wake.Before(b.wake) },
			pos:  func(c *class) *int { return &c.timedPos },
		},
	}
}

// SetGrant puts a grant in force. Limits change at once; requests in progress are not stopped. Without authority, it
// returns all waiting requests, now refused.
func (c *Controller) SetGrant(now time.Time, grant ownership.Grant) []*Ticket {
	if grant.Epoch != c.grant.Epoch {
		c.halvedUntil = now.Add(LoanPeriod)
		c.forgetLoans()
	}
	c.grant = grant
	var dropped []*Ticket
	for _, cl := range c.classes {
		if grant.Authority == ownership.None {
			dropped = append(dropped, c.empty(cl, verdict.CodeFenced, reasonNotOwned)...)
		}
		c.limit(now, cl)
	}
	return dropped
}

// forgetLoans drops the loans of an earlier ownership, which the owners in between did not honour.
func (c *Controller) forgetLoans() {
	for _, cl := range c.classes {
		cl.limits.lent, cl.limits.borrowed, cl.limits.pending = nil, nil, nil
	}
}

// SetCapacity sets the number of slots that the requests in progress may hold together. If it is 0, next is when slots
// may come back; zero if that is not known.
func (c *Controller) SetCapacity(slots int, next time.Time) {
	c.capacity = slots
	c.capacityFrom = next
}

// SetTable puts the rows of a table in force. It returns the waiting requests of classes that are gone, now refused.
func (c *Controller) SetTable(now time.Time, t *table.Table) []*Ticket {
	var dropped []*Ticket
	for name, cl := range c.classes {
		if _, ok := t.Lookup(name); !ok {
			dropped = append(dropped, c.drop(cl)...)
		}
	}
	for _, row := range t.Rows() {
		cl, ok := c.classes[row.Name]
		if !ok {
			cl = &class{readyPos: absent, timedPos: absent, windowStart: now}
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
	c.limit(now, cl)
}

// limit recomputes the limits of a class after its row, the grant or a loan changed.
func (c *Controller) limit(now time.Time, cl *class) {
	cl.limits.halvedUntil = c.halvedUntil
	cl.limits.set(cl.row, c.cells, c.grant)
	cl.setRate(now)
	c.boundary = earlier(c.boundary, cl.limits.nextEnd(now))
	c.place(now, cl)
}

// earlier returns the earlier of two times, of which a zero one does not count.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// drop removes a class and returns its waiting requests, now refused.
func (c *Controller) drop(cl *class) []*Ticket {
	dropped := c.empty(cl, verdict.CodeNotFound, reasonRemoved)
	cl.removed = true
	delete(c.classes, cl.row.Name)
	return dropped
}

// empty refuses the waiting requests of a class and returns them.
func (c *Controller) empty(cl *class, code verdict.Code, reason string) []*Ticket {
	dropped := cl.queue.items
	cl.queue.items = nil
	for _, t := range dropped {
		c.refuse(t, &Refusal{Class: cl.row.Name, Code: code, Reason: reason})
	}
	c.ready.remove(cl)
	c.timed.remove(cl)
	c.settle(cl)
	return dropped
}

func (c *Controller) refuse(t *Ticket, why *Refusal) {
	t.state = refused
	t.refusal = why
	c.waiting--
}

// Enqueue adds a request to the queue of its class, or refuses it with NotRun. Dispatch decides when it starts.
func (c *Controller) Enqueue(now time.Time, name ident.ClassName, deadline time.Time) (*Ticket, *Refusal) {
	return c.enter(now, name, deadline, false)
}

// EnqueueImmediate is Enter for a request that can run in another cell: it is refused with CodeBusy if it would wait for a
// slot. A request that would wait for a limit of its class is queued, because another cell has another part of the limit
// and would run more of the class than this one admits.
func (c *Controller) EnqueueImmediate(now time.Time, name ident.ClassName, deadline time.Time) (*Ticket, *Refusal) {
	return c.enter(now, name, deadline, true)
}

func (c *Controller) enter(now time.Time, name ident.ClassName, deadline time.Time, immediate bool) (*Ticket, *Refusal) {
	cl, ok := c.classes[name]
	if !ok {
		return nil, &Refusal{Class: name, Code: verdict.CodeNotFound, Reason: reasonUnknown}
	}
	if c.grant.Authority == ownership.None {
		return nil, &Refusal{Class: name, Code: verdict.CodeFenced, Reason: reasonNotOwned}
	}
	if cl.row.Deadline > 0 && deadline.After(now.Add(cl.row.Deadline)) {
		deadline = now.Add(cl.row.Deadline)
	}
	c.seq++
	t := &Ticket{class: cl, deadline: deadline, entered: now, seq: c.seq, ready: make(chan struct{})}
	if immediate && now.Before(deadline) && c.waitsForSlotOnly(now, cl) {
		return nil, &Refusal{name, verdict.CodeBusy, reasonBusy, c.estimate(now, cl, cl.queue.rank(t))}
	}
	if why := c.check(now, t); why != nil {
		return nil, why
	}
	cl.queue.insert(t)
	c.waiting++
	c.activate(cl)
	c.place(now, cl)
	return t, nil
}

// waitsForSlotOnly reports whether a new request of the class would wait, and for nothing but a slot.
func (c *Controller) waitsForSlotOnly(now time.Time, cl *class) bool {
	rank := cl.queue.len()
	return c.slotWait(cl, rank) > 0 && c.limitWait(cl, now, rank) == 0 && cl.tokenWait(now, rank+1) == 0
}

// check returns the reason to refuse a new request; nil if there is none.
func (c *Controller) check(now time.Time, t *Ticket) *Refusal {
	cl := t.class
	if !now.Before(t.deadline) {
		return &Refusal{Class: cl.row.Name, Code: verdict.CodeDeadline, Reason: reasonPast}
	}
	rank := cl.queue.rank(t)
	wait := c.estimate(now, cl, rank)
	if wait == 0 {
		return nil
	}
	if cl.queue.len() >= cl.row.Queue {
		return &Refusal{cl.row.Name, verdict.CodeLimited, reasonQueueFull, c.estimate(now, cl, 0)}
	}
	if late := now.Add(wait + c.serviceGuard(cl)).Sub(t.deadline); late > 0 {
		return &Refusal{cl.row.Name, verdict.CodeDeadline, reasonUnmeetable, late}
	}
	return nil
}

// Cancel gives up a request that waits or was admitted and not sent. It reports whether the ticket still waited; an
// admitted ticket returns its slot.
func (c *Controller) Cancel(now time.Time, t *Ticket) bool {
	switch t.state {
	case waiting:
		t.class.queue.remove(t)
		c.refuse(t, &Refusal{Class: t.Class(), Code: verdict.CodeDeadline, Reason: reasonCancelled})
		c.place(now, t.class)
		c.settle(t.class)
		return true
	case admitted:
		c.finish(now, t, false)
	}
	return false
}

// Release returns the slot of an admitted request that was sent. Only an answered request tells the service time: a
// request that broke off or was given up would make the estimates too short or too long.
func (c *Controller) Release(now time.Time, t *Ticket, answered bool) {
	if t.state == admitted {
		c.finish(now, t, answered)
	}
}

// finish frees the slot and replaces the charge by the time that the slot was really held.
func (c *Controller) finish(now time.Time, t *Ticket, answered bool) {
	cl := t.class
	t.state = finished
	held := max(0, now.Sub(t.started))
	if answered {
		cl.service.add(held)
	}
	cl.virtual += (held.Seconds() - t.charged) / cl.weight()
	cl.charged -= t.charged
	c.inUse--
	cl.inUse--
	c.place(now, cl)
	c.settle(cl)
}

func (c *Controller) activate(cl *class) {
	if cl.active {
		return
	}
	cl.active = true
	c.activeWeight += cl.weight()
}

// settle ends the activity of a class without requests.
func (c *Controller) settle(cl *class) {
	if !cl.active || cl.queue.len() > 0 || cl.inUse > 0 {
		return
	}
	cl.active = false
	c.activeWeight -= cl.weight()
}

// place puts a class where it belongs: ready if its first request may start, timed if that needs a token, or neither.
func (c *Controller) place(now time.Time, cl *class) {
	if cl.removed {
		return
	}
	if cl.queue.len() == 0 || !cl.mayStart(now, cl.queue.head().deadline) {
		c.ready.remove(cl)
		c.timed.remove(cl)
		return
	}
	if wait := cl.tokenWait(now, 1); wait > 0 {
		c.ready.remove(cl)
		cl.wake = now.Add(wait)
		c.timed.upsert(cl)
		return
	}
	c.timed.remove(cl)
	if cl.readyPos == absent {
		c.catchUp(cl)
	}
	c.ready.upsert(cl)
}

// catchUp sets the virtual time of a class that becomes ready. In a new busy period all classes start equal but
// for their requests in progress, because nobody waited before it. Within one, a class keeps what it did not use of its
// share in the last savedShare: arrivals vary, so that a class whose mean is within its share would otherwise wait
// whenever it is above it for a moment.
func (c *Controller) catchUp(cl *class) {
	if cl.period != c.period {
		cl.period = c.period
		cl.virtual = c.virtual + cl.charged/cl.weight()
		return
	}
	pace := float64(c.capacity) / max(1, c.activeWeight)
	cl.virtual = max(cl.virtual, c.virtual-savedShare.Seconds()*pace)
}

func (cl *class) mayStart(now, deadline time.Time) bool {
	limit, limited := cl.limits.concurrency(now, deadline)
	return !limited || cl.inUse < limit
}

// NextWake returns when to call Dispatch again although nothing happens: when a waiting request gets its rate, or when
// limits change because a loan ends. It is zero if there is no such time.
func (c *Controller) NextWake() time.Time {
	if cl := c.timed.first(); cl != nil {
		return earlier(c.boundary, cl.wake)
	}
	return c.boundary
}

// Waiting returns the number of waiting requests.
func (c *Controller) Waiting() int { return c.waiting }

// InUse returns the number of requests that hold a slot.
func (c *Controller) InUse() int { return c.inUse }

package jobs

import (
	"context"
	"time"
)

// event is a function to run in the loop.
type event struct {
	run func()
	// at is when the event was queued.
	at time.Time
}

// post queues f for the loop and returns without waiting for it to run; it waits only while the mailbox is full. It
// returns false if the owner has stopped.
func (o *owner) post(f func()) bool {
	o.queuedEvents.Add(1)
	select {
	case o.mailbox <- event{f, o.now()}:
		return true
	case <-o.ctx.Done():
		o.queuedEvents.Add(-1)
		return false
	}
}

// call runs f in the loop and waits for it. False means that f has not run and never will, unless the owner has crashed,
// possibly while it ran f; see errNotRun.
func (o *owner) call(ctx context.Context, f func()) bool {
	return o.callOn(ctx, o.mailbox, f)
}

// callPriority is like call, but uses the priority mailbox.
func (o *owner) callPriority(ctx context.Context, f func()) bool {
	return o.callOn(ctx, o.priorityMailbox, f)
}

func (o *owner) callOn(ctx context.Context, mailbox chan<- event, f func()) bool {
	done := make(chan struct{})
	wrapped := func() {
		f()
		// Not deferred: a panic in f leaves its effect open.
		close(done)
	}
	o.queuedEvents.Add(1)
	select {
	case mailbox <- event{wrapped, o.now()}:
	case <-o.ctx.Done():
		o.queuedEvents.Add(-1)
		return false
	case <-ctx.Done():
		o.queuedEvents.Add(-1)
		return false
	}
	select {
	case <-done:
		return true
	case <-o.loopDone:
	}
	// The loop may have run f as its last event.
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// runQueuedEvents runs the events that are queued already, so that the planner runs once for all of them. It stops
// when the planner is due, because a burst of events must not delay planning. However, the events get at least as
// much time as the last Plan took: on a host that is short of processor time, a Plan takes longer than planInterval
// and the planner would always be due. One priority event runs in any case.
func (o *owner) runQueuedEvents() {
	for range mailboxSize {
		now := o.now()
		ranPriority := o.runNext(now, o.priorityMailbox)
		if o.planDue(now) && !now.Before(o.eventsFirstUntil) {
			return
		}
		if !o.runNext(now, o.mailbox) && !ranPriority {
			return
		}
	}
}

// runNext runs one event of a mailbox. It returns false if none is queued.
func (o *owner) runNext(now time.Time, mailbox <-chan event) bool {
	select {
	case e := <-mailbox:
		o.runEvent(now, e)
		return true
	default:
		return false
	}
}

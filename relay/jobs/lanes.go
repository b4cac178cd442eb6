package jobs

import (
	"context"
	"time"
)

// event is one step of the loop.
type event struct {
	run func()
	// at is when the event was posted.
	at time.Time
}

// post runs f in the loop; false if the owner has stopped.
func (o *owner) post(f func()) bool {
	o.waiting.Add(1)
	select {
	case o.mailbox <- event{f, o.now()}:
		return true
	case <-o.ctx.Done():
		o.waiting.Add(-1)
		return false
	}
}

// call runs f in the loop and waits for it; false proves that f has not run and never will.
func (o *owner) call(ctx context.Context, f func()) bool {
	return o.callOn(ctx, o.mailbox, f)
}

// callSoon is call for events of the priority lane.
func (o *owner) callSoon(ctx context.Context, f func()) bool {
	return o.callOn(ctx, o.priority, f)
}

func (o *owner) callOn(ctx context.Context, lane chan<- event, f func()) bool {
	done := make(chan struct{})
	wrapped := func() {
		defer close(done)
		f()
	}
	o.waiting.Add(1)
	select {
	case lane <- event{wrapped, o.now()}:
	case <-o.ctx.Done():
		o.waiting.Add(-1)
		return false
	case <-ctx.Done():
		o.waiting.Add(-1)
		return false
	}
	select {
	case <-done:
		return true
	case <-o.ended:
	}
	// The loop may have run f as its last event.
	select {
	case <-done:
		return true
	default:
		return false
	}
}

// drain performs the events that wait already, so that planning happens once for all of them. It ends when the planner is
// due, because a wave of events must not delay it, but not before the events have had as much time as the last Plan took:
// on a host without processor time a Plan takes longer than planInterval, and the planner is always due. One event of the
// priority lane is performed in any case.
func (o *owner) drain() {
	for range mailboxSize {
		now := o.now()
		soon := o.performNext(now, o.priority)
		if o.planDue(now) && !now.Before(o.drainUntil) {
			return
		}
		if !o.performNext(now, o.mailbox) && !soon {
			return
		}
	}
}

// performNext performs one event of a lane; false if none waits.
func (o *owner) performNext(now time.Time, lane <-chan event) bool {
	select {
	case e := <-lane:
		o.turn(now, e)
		return true
	default:
		return false
	}
}

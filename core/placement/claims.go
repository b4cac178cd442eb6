package placement

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

const (
	// maxReservations bounds the workers reserved for large tasks, and reservedPart their part of the cell, because a
	// reserved worker leaves free resources idle until the task fits.
	maxReservations = 16
	reservedPart    = 16
	// unknownRunTime stands for the run time of tasks that declare none.
	unknownRunTime = time.Hour
)

// reviewClaims queues urgent tasks again whose evicted tasks have not been released in time, so that they are tried
// elsewhere, and starts reserved tasks for which another worker has room by now.
func (r *round) reviewClaims() {
	kept := r.Cell.claims[:0]
	for _, cl := range r.Cell.claims {
		if cl.task == nil || r.expire(cl) || r.startElsewhere(cl) {
			continue
		}
		kept = append(kept, cl)
	}
	clear(r.Cell.claims[len(kept):])
	r.Cell.claims = kept
}

// expire ends an urgent claim that has waited for too long.
func (r *round) expire(cl *claim) bool {
	if !cl.urgent || cl.complete() || r.now.since(cl.since) <= r.opts.ClaimTimeout {
		return false
	}
	t := cl.task
	r.unclaim(cl)
	r.shares.requeueFront(t)
	cl.node.stalled = true
	r.settle(cl.node)
	return true
}

// startElsewhere starts a reserved task on another worker that can hold it now.
func (r *round) startElsewhere(cl *claim) bool {
	t := cl.task
	if cl.urgent && !t.restarts() || cl.complete() || r.full() {
		return false
	}
	vain := r.vain
	n := r.choose(t)
	if t.restarts() {
		r.vain = vain
		if n == nil && !cl.urgent && r.now >= t.retryAt {
			t.retryAt = r.now + stamp(displaceRetry)
			n = r.lastResort(t)
		}
	}
	if n == nil {
		return false
	}
	r.unclaim(cl)
	r.settle(cl.node)
	r.start(t, n)
	return true
}

// startComplete starts the tasks whose claims hold all they need.
func (r *round) startComplete() {
	i := 0
	for ; i < len(r.complete) && len(r.plan.Starts) < r.limit; i++ {
		cl := r.complete[i]
		if !cl.complete() {
			continue
		}
		t := cl.task
		r.unclaim(cl)
		r.start(t, cl.node)
	}
	r.complete = append(r.complete[:0], r.complete[i:]...)
}

// reserve claims the worker on which a task that has not fitted for some time is expected to fit first. What becomes
// free there is kept for it, while smaller tasks are placed on all other workers.
func (r *round) reserve(t *task) bool {
	if t.blocked == noTime {
		t.blocked = r.now
	}
	if r.now.since(t.blocked) < r.opts.ReserveAfter || !r.mayReserve(t.class) {
		return false
	}
	r.sample(&r.reclaimable, t.want)
	return r.reserveSampled(t, func(v *task) bool { return !v.class.urgent && !v.lasting })
}

// reserveSampled claims the sampled worker on which a task is expected to fit first, if the tasks for which ends holds do.
func (r *round) reserveSampled(t *task, ends func(*task) bool) bool {
	req := r.request(t)
	r.admit(&req)
	var (
		best    *node
		soonest time.Duration
	)
	for _, n := range r.candidates {
		if len(n.claims) > 0 && !t.restarts() || n.worker.Quarantined {
			continue
		}
		wait := n.expectedWait(t.want, r.now, ends)
		if best == nil || wait < soonest {
			best, soonest = n, wait
		}
	}
	if best == nil {
		return false
	}
	r.claimNode(t, best, r.now, false)
	r.claims++
	return true
}

// mayReserve reports whether the class may reserve one more worker: one at a time, so that a class with many large
// tasks does not get more than its share through reservations.
func (r *round) mayReserve(class *class) bool {
	n := 0
	for _, cl := range r.Cell.claims {
		if cl.task == nil || cl.urgent || cl.task.restarts() {
			continue
		}
		n++
		if cl.task.class == class {
			return false
		}
	}
	return n < min(maxReservations, max(1, len(r.nodes)/reservedPart))
}

// expectedWait estimates from the declared run times when need will be free on the worker behind the claims there, if the
// tasks for which ends holds do.
func (n *node) expectedWait(need resource.Vector, now stamp, ends func(*task) bool) time.Duration {
	missing := need.Add(n.claimed).Sub(n.held).Sub(n.Available()).Max(resource.Vector{})
	var latest time.Duration
	used := make([]bool, len(n.tasks))
	for !missing.IsZero() {
		next := -1
		var soonest time.Duration
		for i, t := range n.tasks {
			if used[i] || !ends(t) {
				continue
			}
			if left := t.remaining(now); next < 0 || left < soonest {
				next, soonest = i, left
			}
		}
		if next < 0 {
			return latest + unknownRunTime
		}
		used[next] = true
		latest = soonest
		missing = missing.Sub(n.tasks[next].booked).Max(resource.Vector{})
	}
	return latest
}

// remaining estimates the rest of the run time. A task that runs for longer than declared is expected to run for as
// long again as it has overrun.
func (t *task) remaining(now stamp) time.Duration {
	elapsed := now.since(t.started)
	switch {
	case t.runTime == 0:
		return unknownRunTime
	case elapsed > t.runTime:
		return elapsed - t.runTime
	default:
		return t.runTime - elapsed
	}
}

package placement

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

const (
	// maxReservations bounds the workers reserved for large tasks, and reservationDivisor limits them to that
	// fraction of the cell's workers, because a reserved worker leaves free resources idle until the task fits.
	maxReservations    = 16
	reservationDivisor = 16
	// unknownRunTime is assumed for tasks that declare no run time.
	unknownRunTime = time.Hour
)

// reviewClaims requeues urgent tasks whose evicted tasks were not released in time, so that they are tried
// elsewhere, and starts reserved tasks for which another worker now has capacity.
func (r *planRun) reviewClaims() {
	remaining := r.claims[:0]
	for _, cl := range r.claims {
		if cl.task == nil || r.expire(cl) || r.startElsewhere(cl) {
			continue
		}
		remaining = append(remaining, cl)
	}
	clear(r.claims[len(remaining):])
	r.claims = remaining
}

// expire ends an urgent claim that exceeds Options.ClaimTimeout, or a reservation whose forecast was wrong, and requeues
// its task.
func (r *planRun) expire(cl *claim) bool {
	if !cl.urgent {
		return r.expireReservation(cl)
	}
	if cl.isComplete() || r.now.since(cl.createdAt) <= r.opts.ClaimTimeout {
		return false
	}
	t := cl.task
	r.releaseClaim(cl)
	r.shares.requeueFront(t)
	cl.node.stalled = true
	r.distributeFree(cl.node)
	return true
}

// startElsewhere starts a reserved task on another worker that can hold it now.
func (r *planRun) startElsewhere(cl *claim) bool {
	t := cl.task
	if cl.urgent && !t.isRestart() || cl.isComplete() || r.limitReached() || r.mustYield(cl) {
		return false
	}
	wastedVisits := r.wastedVisits
	n := r.chooseNode(t)
	if t.isRestart() {
		r.wastedVisits = wastedVisits
		if n == nil && !cl.urgent && r.startClaimedInKept(cl) {
			return true
		}
		if n == nil && !cl.urgent && r.now >= t.retryAt {
			t.retryAt = r.now + stamp(displaceRetryDelay)
			n = r.chooseLastResort(t)
		}
	} else if n == nil {
		n = r.chooseProbe(t)
	}
	if n == nil {
		return false
	}
	r.noteStartElsewhere(cl)
	r.releaseClaim(cl)
	r.distributeFree(cl.node)
	r.start(t, n)
	return true
}

// startClaimedInKept starts a restart with a claim on a worker where it fits in what other claims keep.
func (r *planRun) startClaimedInKept(cl *claim) bool {
	t := cl.task
	n := r.chooseKept(t)
	if n == nil {
		return false
	}
	r.releaseClaim(cl)
	if n != cl.node {
		r.distributeFree(cl.node)
	}
	r.startInKept(t, n)
	return true
}

// startCompleteClaims starts the tasks whose claims hold all they need.
func (r *planRun) startCompleteClaims() {
	i := 0
	var left []*claim
	for ; i < len(r.completeClaims) && len(r.plan.Starts) < r.limit; i++ {
		cl := r.completeClaims[i]
		if !cl.isComplete() {
			continue
		}
		if r.mustYield(cl) {
			left = append(left, cl)
			continue
		}
		t := cl.task
		r.noteKept(cl)
		r.releaseClaim(cl)
		r.start(t, cl.node)
	}
	left = append(left, r.completeClaims[i:]...)
	r.completeClaims = append(r.completeClaims[:0], left...)
}

// failsToFit reports whether the first task of a queue has not fitted for as long as reservations wait.
func (r *planRun) failsToFit(t *task) bool {
	if t.blockedSince == noTime {
		t.blockedSince = r.now
	}
	return r.now.since(t.blockedSince) >= r.reserveAfter(t)
}

// reserve claims the worker on which a task that has waited is expected to fit first. Resources that become free there
// are kept for it, while smaller tasks are placed on the other workers.
func (r *planRun) reserve(t *task) bool {
	if !r.opts.NoLookAhead && !t.constraints.Filler {
		return r.reserveAhead(t)
	}
	if !r.mayReserve(t.class) {
		return false
	}
	r.sampleNodes(&r.reclaimable, t.desired)
	return r.reserveSampled(t, func(v *task) bool { return !v.class.urgent && !v.lasting })
}

// reserveSampled claims the sampled worker on which a task is expected to fit first, assuming that only the tasks
// for which ends returns true finish.
func (r *planRun) reserveSampled(t *task, ends func(*task) bool) bool {
	req := r.request(t)
	r.filterSampled(&req)
	var (
		soonestNode  *node
		shortestWait time.Duration
	)
	for _, n := range r.candidates {
		if len(n.claims) > 0 && !t.isRestart() || n.worker.Quarantined {
			continue
		}
		wait := n.expectedWait(t.desired, r.now, ends)
		if soonestNode == nil || wait < shortestWait {
			soonestNode, shortestWait = n, wait
		}
	}
	if soonestNode == nil {
		return false
	}
	r.claimNode(t, soonestNode, r.now, false)
	r.newClaims++
	return true
}

// mayReserve reports whether the class may reserve another worker. A class may hold one reservation at a time, or
// maxClassReservations with look-ahead, so that a class with many large tasks does not exceed its share through
// reservations.
func (r *planRun) mayReserve(class *class) bool {
	allowed := 1
	if !r.opts.NoLookAhead {
		allowed = maxClassReservations
	}
	n := 0
	for _, cl := range r.claims {
		if cl.task == nil || cl.urgent || cl.task.isRestart() {
			continue
		}
		n++
		if cl.task.class == class {
			if allowed--; allowed <= 0 {
				return false
			}
		}
	}
	return n < min(maxReservations, max(1, len(r.nodes)/reservationDivisor))
}

// expectedWait estimates from the declared run times how long it takes until need is free on the worker after its
// existing claims are served. Only tasks for which ends returns true are assumed to finish.
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

// remaining estimates the rest of the run time. A task that exceeds its declared run time is expected to run on for
// as long as it has overrun.
func (t *task) remaining(now stamp) time.Duration {
	elapsed := now.since(t.startedAt)
	switch {
	case t.runTime == 0:
		return unknownRunTime
	case elapsed > t.runTime:
		return elapsed - t.runTime
	default:
		return t.runTime - elapsed
	}
}

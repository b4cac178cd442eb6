package placement

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// maxRestartYield is how long a restart has to wait before the room kept for it goes to no later restart. It is the
// time within which a lasting task has to run again. Without a bound, smaller tasks that fail again and again would
// keep a larger one from running.
const maxRestartYield = 6 * time.Second

// keptRoom caches, for one Plan, an upper bound on what a worker with a claim that yields to restarts has for one.
type keptRoom struct {
	largest resource.Vector
	known   bool
}

// yieldsToRestart reports whether a claim gives what it holds to a restart that fits now. Reservations of other tasks
// always do. Another restart does so while it does not fit itself, except after it has waited for maxRestartYield,
// to a later one. A claim whose room is made by evictions keeps it.
func (c *Cell) yieldsToRestart(cl *claim, t *task) bool {
	switch {
	case cl.task == nil || cl.urgent:
		return false
	case !cl.task.isRestart():
		return cl.isReservation()
	case cl.isComplete():
		return false
	default:
		return t.queuedAt <= cl.task.queuedAt || c.now.since(cl.task.queuedAt) < maxRestartYield
	}
}

// roomForRestart returns what a worker has available for a restart if the claims that yield give what they hold. What the
// restart itself holds there counts too.
func (c *Cell) roomForRestart(n *node, t *task) resource.Vector {
	room := n.Available()
	for _, cl := range n.claims {
		if cl.task == t || c.yieldsToRestart(cl, t) {
			room = room.Add(cl.held)
		}
	}
	return room
}

// chooseKept returns the best worker on which a restart fits in what claims keep, or nil. Without it, a restart that fits
// would wait until a larger one that has claimed the worker fits too. That takes as long as the urgent tasks there run,
// and the longest of them run for several seconds.
func (r *planRun) chooseKept(t *task) *node {
	if !t.desired.Fits(r.largestKept()) {
		return nil
	}
	req := r.request(t)
	var (
		best      *node
		bestScore float64
	)
	for _, cl := range r.claims {
		if cl.task == nil || cl.task != t && !r.yieldsToRestart(cl, t) || !t.desired.Fits(r.roomForRestart(cl.node, t)) {
			continue
		}
		// The worker that the restart has claimed passed the filters then; the claim now counts against MaxPerWorker.
		if own := t.claim != nil && t.claim.node == cl.node; !own && !passesAll(r.required, r.spread, &req, cl.node) {
			continue
		}
		if score := r.score(&req, cl.node); best == nil || score > bestScore {
			best, bestScore = cl.node, score
		}
	}
	return best
}

// largestKept returns the largest amount, in each dimension, that a worker with a claim had for a restart when it was
// first asked for in the Plan. Room that is kept later in the Plan is used by the next one.
func (r *planRun) largestKept() resource.Vector {
	if r.kept.known {
		return r.kept.largest
	}
	r.kept.known = true
	for _, cl := range r.claims {
		if cl.task != nil {
			r.kept.largest = r.kept.largest.Max(cl.node.Available().Add(cl.node.held))
		}
	}
	return r.kept.largest
}

// startInKept starts a restart, which is in no queue and has no claim, on a worker that chooseKept has returned. The
// claims made last give up their room first.
func (r *planRun) startInKept(t *task, n *node) {
	missing := t.desired.Sub(n.Available()).Max(resource.Vector{})
	yielded := false
	for i := len(n.claims) - 1; i >= 0; i-- {
		cl := n.claims[i]
		if !r.yieldsToRestart(cl, t) {
			continue
		}
		given := minPerDimension(cl.held, missing)
		cl.held = cl.held.Sub(given)
		n.held = n.held.Sub(given)
		missing = missing.Sub(given)
		yielded = yielded || cl.isReservation() && !given.IsZero()
	}
	if yielded {
		r.lookAhead.stats.Yielded++
	}
	r.start(t, n)
}

package placement

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Copy is a second attempt of a running task. Its Pending has a task id of its own.
type Copy struct {
	Pending
	// Beside is the worker of the first attempt.
	Beside ident.WorkerID
}

// CopyPlanner is implemented by planners that can place copies.
type CopyPlanner interface {
	// StartCopies books the copies for which there is room now and returns their starts. A copy for which there is none is
	// forgotten.
	StartCopies(now time.Time, copies []Copy) []Start
}

var _ CopyPlanner = (*Cell)(nil)

// otherDataCentreWeight makes copies prefer another data centre over all scores but the rack with the data of the task.
const otherDataCentreWeight = rackWeight - 0.5

// StartCopies implements CopyPlanner. A copy displaces and reserves nothing. It takes only capacity for which no task of
// an equal or more urgent class waits.
func (c *Cell) StartCopies(now time.Time, copies []Copy) []Start {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.plannedAt.IsZero() {
		return nil
	}
	c.advance(now)
	c.planSeq++
	r := &planRun{Cell: c, limit: len(copies)}
	for _, cp := range copies {
		r.startCopy(cp)
	}
	return r.plan.Starts
}

func (r *planRun) startCopy(cp Copy) {
	beside, known := r.workers[cp.Beside]
	if _, booked := r.tasks[cp.Task]; booked || !known {
		return
	}
	cl := r.shares.class(cp.Class, cp.Kind)
	if r.othersWait(cl) {
		return
	}
	t := r.newTask(cp.Pending, cl)
	t.image = r.imageOf(cp.Constraints)
	t.queuedAt = r.now
	r.track(t)
	t.desired = r.booking(t)
	if t.class.allowsBooking(t.desired) {
		if n := r.chooseForCopy(t, beside); n != nil {
			r.start(t, n)
			return
		}
	}
	r.untrack(t)
}

// othersWait reports whether a task of an equal or more urgent class waits for room. Fillers take what others leave.
func (c *Cell) othersWait(cl *class) bool {
	if c.shares.restarts.first != nil || len(c.completeClaims) > 0 {
		return true
	}
	for _, claim := range c.claims {
		if claim.task != nil && (claim.task.class.urgent || !cl.urgent) {
			return true
		}
	}
	for _, other := range c.shares.classes {
		if other.queued > 0 && (other.urgent || !cl.urgent) {
			return true
		}
	}
	return false
}

// chooseForCopy returns the best worker for a copy of a task that runs on the worker beside, or nil. It is on another rack,
// and in another data centre if one has room.
func (r *planRun) chooseForCopy(t *task, beside *node) *node {
	r.sampleNodes(&r.free, t.desired)
	req := r.request(t)
	r.filterSampled(&req)
	var best *node
	bestScore := 0.0
	for _, n := range r.candidates {
		sameRack := n.worker.Rack != "" && n.worker.Rack == beside.worker.Rack
		if n == beside || sameRack || n.worker.Quarantined || !(fitFilter{}).Admits(r.spread, &req, n) {
			continue
		}
		score := r.score(&req, n)
		if n.worker.DataCentre != beside.worker.DataCentre {
			score += otherDataCentreWeight
		}
		if best == nil || score > bestScore {
			best, bestScore = n, score
		}
	}
	return best
}

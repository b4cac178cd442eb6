package placement

import (
	"math"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// throttleFor starts an urgent task or a restart on a worker where only processors are short and throttling the
// batch tasks in proportion frees enough of them. The bookings of the throttled tasks are reduced at once, because
// the caller performs throttles before starts. Among the suitable workers it selects the one with the highest
// score.
func (r *planRun) throttleFor(t *task, req *Request) bool {
	var (
		best      *node
		bestScore float64
	)
	for _, n := range r.candidates {
		if n.worker.Quarantined || len(n.claims) > 0 || !n.deficit.IsZero() {
			continue
		}
		shortage := t.desired.Sub(n.Available()).Max(resource.Vector{})
		if shortage.MemoryMB > 0 || shortage.Accelerators > 0 {
			continue
		}
		if shortage.MilliCPU > r.throttleableNodeCPU(n, r.newShareGuard(t)) {
			continue
		}
		if score := r.score(req, n); best == nil || score > bestScore {
			best, bestScore = n, score
		}
	}
	if best == nil {
		return false
	}
	r.throttle(best, t.desired.Sub(best.Available()).MilliCPU, r.newShareGuard(t))
	if !t.desired.Fits(best.Available()) {
		return false
	}
	r.shares.dequeue(t)
	r.start(t, best)
	return true
}

// throttleableNodeCPU returns the processors that throttling can free on a worker, in thousandths. A guard, if
// given, limits what each class may give up.
func (r *planRun) throttleableNodeCPU(n *node, guard *shareGuard) int64 {
	total := int64(0)
	for _, v := range n.tasks {
		if cpu := r.throttleableCPU(v); cpu > 0 && (guard == nil || guard.allows(v, resource.Vector{MilliCPU: cpu})) {
			if guard != nil {
				guard.reclaim(v, resource.Vector{MilliCPU: cpu})
			}
			total += cpu
		}
	}
	return total
}

// throttleableCPU returns the processors that a task gives up when throttled as far as allowed, in thousandths.
func (r *planRun) throttleableCPU(v *task) int64 {
	if !r.displaceable(v) {
		return 0
	}
	full := max(v.unthrottledCPU, v.desired.MilliCPU)
	lowest := int64(math.Ceil(float64(full) * r.opts.MinThrottle))
	return max(0, v.desired.MilliCPU-lowest)
}

// throttle frees at least needed processors on a worker where throttleableNodeCPU allows it. All tasks give up the
// same part of what they can.
func (r *planRun) throttle(n *node, needed int64, guard *shareGuard) {
	total := int64(0)
	var victims []*task
	for _, v := range n.tasks {
		cpu := r.throttleableCPU(v)
		if cpu == 0 || (guard != nil && !guard.allows(v, resource.Vector{MilliCPU: cpu})) {
			continue
		}
		if guard != nil {
			guard.reclaim(v, resource.Vector{MilliCPU: cpu})
		}
		victims = append(victims, v)
		total += cpu
	}
	for _, v := range victims {
		reduction := int64(math.Ceil(float64(needed) * float64(r.throttleableCPU(v)) / float64(total)))
		r.setThrottledCPU(v, v.desired.MilliCPU-min(reduction, r.throttleableCPU(v)))
	}
}

// setThrottledCPU changes the processors of a throttled task and adds the throttle to the plan.
func (r *planRun) setThrottledCPU(v *task, milliCPU int64) {
	if v.unthrottledCPU == 0 {
		v.unthrottledCPU = v.desired.MilliCPU
		r.throttled = append(r.throttled, v)
	}
	desired := v.desired
	desired.MilliCPU = milliCPU
	r.setDesired(v, desired)
	r.reindex(v.node)
	fraction := float64(milliCPU) / float64(v.unthrottledCPU)
	r.plan.Throttles = append(r.plan.Throttles, Throttle{
		Task:     v.id,
		Attempt:  v.attempt,
		Worker:   v.node.worker.ID,
		Fraction: fraction,
	})
	if milliCPU == v.unthrottledCPU {
		v.unthrottledCPU = 0
	}
}

// restoreFullSpeed lists a task that the previous owner of the cell may have throttled, so that unthrottle restores its
// processors. Fillers are paced anew in any case.
func (c *Cell) restoreFullSpeed(t *task) {
	if c.opts.MinThrottle < 1 && !t.class.urgent && !t.lasting && !t.constraints.Filler {
		t.unthrottledCPU = t.desired.MilliCPU
		c.throttled = append(c.throttled, t)
	}
}

// unthrottle restores the processors of throttled tasks where the worker has them available. It looks at a bounded
// number of tasks in each Plan, in turn.
func (r *planRun) unthrottle() {
	for range min(len(r.throttled), r.opts.Candidates) {
		v := r.throttled[0]
		r.throttled[0] = nil
		r.throttled = r.throttled[1:]
		if v.node == nil || v.unthrottledCPU == 0 {
			continue
		}
		missing := v.unthrottledCPU - v.desired.MilliCPU
		if v.state == running && v.node.deficit.IsZero() && missing <= v.node.Available().MilliCPU {
			r.setThrottledCPU(v, v.unthrottledCPU)
			continue
		}
		r.throttled = append(r.throttled, v)
	}
}

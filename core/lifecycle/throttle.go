package lifecycle

import (
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// throttle changes the speed of a running attempt. An attempt whose start is not answered yet is throttled after that.
func (c *Cell) throttle(th placement.Throttle, eff *Effects) {
	r := c.runBookedAs(th.Task)
	if r == nil || r.Attempt != th.Attempt {
		return
	}
	r.throttle = th.Fraction
	r.throttleLost = r.phase == phaseStarting || r.phase == phaseLogging
	if r.phase == phaseActive {
		eff.do(ThrottleTask{AttemptID: r.AttemptID, Worker: r.worker, Fraction: th.Fraction})
	}
}

// ThrottleAnswered applies the answer to a throttle. Unless the worker has applied it, the planner may book less for the
// attempt than it uses, or take it for one that works.
func (c *Cell) ThrottleAnswered(id ident.WorkerID, attempt AttemptID, fraction float64, a Answer) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noteFence(a)
	if r := c.currentRun(id, attempt); r != nil && r.throttle == fraction {
		r.throttleLost = a.Outcome == Unknown || a.neverSent() || a.Reason == ReasonUnhealthy
	}
	return Effects{}
}

// resendLostThrottle repeats a throttle whose answer was lost, now that the worker answers syncs again. The fraction is
// absolute, so a repeat is harmless if the lost call took effect.
func (c *Cell) resendLostThrottle(r *run, eff *Effects) {
	if r.throttleLost && r.phase == phaseActive {
		r.throttleLost = false
		eff.do(ThrottleTask{AttemptID: r.AttemptID, Worker: r.worker, Fraction: r.throttle})
	}
}

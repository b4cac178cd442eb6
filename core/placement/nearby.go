package placement

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/forecast"
	"github.com/bulrushrelay/bulrushrelay/core/locality"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

const (
	// maxRackForecasts bounds the forecasts of one Plan for racks that are full; each looks at the workers of one rack.
	maxRackForecasts = 8
	// maxRackWaiting bounds the tasks that wait for one rack.
	maxRackWaiting = 64
)

// chooseNearby returns the best worker on the rack with the task's data. The sample of a large cell may hold none of them.
// waits is set if there is no room and the task waits for it instead of running elsewhere.
func (r *planRun) chooseNearby(t *task) (best *node, waits bool) {
	if t.constraints.Rack == "" {
		return nil, false
	}
	rack, ok := r.spread.racks[t.constraints.Rack]
	if !ok {
		return nil, false
	}
	r.sampledSlots = r.sampledSlots[:0]
	for _, n := range rack.nodes {
		if len(r.sampledSlots) < r.opts.Candidates && n.acceptsTasks() && t.desired.Fits(n.Available()) {
			r.sampledSlots = append(r.sampledSlots, n.slot)
		}
	}
	req := r.request(t)
	r.filterSampled(&req)
	if best = r.chooseTrialNode(&req); best == nil {
		best = r.bestNode(&req)
	}
	if best != nil {
		return best, false
	}
	return nil, r.waitsForRack(t, rack)
}

// waitsForRack reports whether a task waits for its rack, which has no room for it.
func (r *planRun) waitsForRack(t *task, full *rack) bool {
	if mayWait := r.opts.OffRackSlowdown > 1 && !t.lasting && !t.constraints.Filler; !mayWait {
		return false
	}
	if full.forecastIn != r.planSeq {
		if r.rackForecasts >= maxRackForecasts {
			return false
		}
		r.rackForecasts++
		r.wastedVisits += len(full.nodes)
		full.forecastIn, full.waiting = r.planSeq, 0
		full.room = r.expectedRoom(full.nodes, t.desired, maxRackWaiting)
	}
	choice := locality.Choice{
		RunTime:  r.lookAhead.runTimes.Length(t.imageKey(), t.runTime),
		Slowdown: r.opts.OffRackSlowdown,
		Waited:   r.queuedFor(t),
	}
	// The tasks that are considered before this one get the room before it.
	if choice.Fits = full.waiting < len(full.room); choice.Fits {
		choice.Wait = full.room[full.waiting]
	}
	if !choice.ShouldWait() {
		return false
	}
	full.waiting++
	return true
}

// expectedRoom returns after which times the first n requests of one size are expected to fit on the workers that take tasks.
func (c *Cell) expectedRoom(nodes []*node, need resource.Vector, n int) []time.Duration {
	lines := c.lookAhead.lines[:0]
	for _, w := range nodes {
		if !w.acceptsTasks() {
			continue
		}
		if len(lines) == cap(lines) {
			lines = append(lines, &forecast.Timeline{})
		} else if lines = lines[:len(lines)+1]; lines[len(lines)-1] == nil {
			lines[len(lines)-1] = &forecast.Timeline{}
		}
		c.fillTimeline(lines[len(lines)-1], w, w.Available())
	}
	c.lookAhead.lines = lines
	return forecast.Group(lines, need, n)
}

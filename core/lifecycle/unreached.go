package lifecycle

import "github.com/bulrushrelay/bulrushrelay/core/placement"

// countUnreached updates the unreached capacity of the pool of a worker and passes a change to the planner. It is called
// after each change of what isUnreached depends on.
func (c *Cell) countUnreached(w *worker, eff *Effects) {
	now := placement.Unreached{Pool: w.member.Pool}
	if w.isUnreached() {
		now.Workers, now.Capacity = 1, w.capacity
	}
	before := w.unreached
	if before == now {
		return
	}
	w.unreached = now
	c.addUnreached(before, -1, eff)
	c.addUnreached(now, 1, eff)
}

// isUnreached reports whether the host list has the worker and the planner does not know it: it has not answered a claim,
// or its leases have lapsed since.
func (w *worker) isUnreached() bool {
	return w.listed && !w.member.Leaving && !w.inPlanner
}

func (c *Cell) addUnreached(part placement.Unreached, sign int, eff *Effects) {
	if part.Workers == 0 {
		return
	}
	sum := c.unreached[part.Pool]
	sum.Pool = part.Pool
	sum.Workers += sign * part.Workers
	sum.Capacity = sum.Capacity.Add(part.Capacity.Scale(int64(sign)))
	if sum.Workers == 0 {
		delete(c.unreached, part.Pool)
	} else {
		c.unreached[part.Pool] = sum
	}
	eff.do(SetUnreached{sum})
}

package placement

import (
	"cmp"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// shapes counts the distinct capacities of the workers that do not leave. There are few kinds of hardware, so that
// checking a task against all of them is cheap.
type shapes struct {
	counts map[resource.Vector]int
	// largest is the maximum in each dimension.
	largest resource.Vector
	// order lists the shapes in a fixed order, so that the dimension named does not depend on map order.
	order []resource.Vector
}

func newShapes() *shapes {
	return &shapes{counts: make(map[resource.Vector]int)}
}

// add counts n more workers of a capacity and reports whether the set of shapes changed.
func (s *shapes) add(capacity resource.Vector, n int) bool {
	before := s.counts[capacity]
	s.counts[capacity] = before + n
	if before > 0 && before+n > 0 {
		return false
	}
	if before+n == 0 {
		delete(s.counts, capacity)
	}
	s.order = s.order[:0]
	s.largest = resource.Vector{}
	for v := range s.counts {
		s.order = append(s.order, v)
		s.largest = s.largest.Max(v)
	}
	slices.SortFunc(s.order, func(a, b resource.Vector) int {
		return cmp.Or(
			cmp.Compare(a.MilliCPU, b.MilliCPU),
			cmp.Compare(a.MemoryMB, b.MemoryMB),
			cmp.Compare(a.Accelerators, b.Accelerators),
		)
	})
	return true
}

// exceeded returns the dimension for which a need fits no worker, or "". If each dimension alone fits some worker, it
// is the first one that fails on the shape where the fewest fail. Without workers nothing is known, and "" is returned.
func (s *shapes) exceeded(need resource.Vector) resource.Dimension {
	var dimension resource.Dimension
	fewest := 4
	for _, capacity := range s.order {
		if need.Fits(capacity) {
			return ""
		}
		if n := failing(need, capacity); n < fewest {
			fewest = n
			dimension = need.ExceededDimension(capacity)
		}
	}
	if d := need.ExceededDimension(s.largest); d != "" && len(s.order) > 0 {
		return d
	}
	return dimension
}

// holder returns the shape with the most processors that can hold need; need itself if none can.
func (s *shapes) holder(need resource.Vector) resource.Vector {
	best := need
	for _, capacity := range s.order {
		if need.Fits(capacity) && capacity.MilliCPU >= best.MilliCPU {
			best = capacity
		}
	}
	return best
}

func failing(need, capacity resource.Vector) int {
	n := 0
	for _, over := range [...]bool{
		need.MilliCPU > capacity.MilliCPU,
		need.MemoryMB > capacity.MemoryMB,
		need.Accelerators > capacity.Accelerators,
	} {
		if over {
			n++
		}
	}
	return n
}

// impossible returns the dimension for which a task can never run in this cell, or "", and the largest amounts that it
// could have.
func (c *Cell) impossible(t *task) (resource.Dimension, resource.Vector) {
	if d := c.shapes.exceeded(t.declared); d != "" {
		return d, c.shapes.largest
	}
	if d := t.class.exceeds(t.declared); d != "" {
		return d, t.class.largest(c.shapes.largest)
	}
	return "", resource.Vector{}
}

// park takes a queued task aside until a larger worker or a higher limit comes, and reports it in the next Plan.
func (c *Cell) park(t *task, d resource.Dimension, largest resource.Vector) {
	t.state = parked
	c.parked[t.id] = t
	c.reports = append(c.reports, Impossible{Task: t.id, Dimension: d, Largest: largest})
}

// sweep checks waiting tasks after the shapes or the limits have changed. Queued tasks are walked only if the size of
// at least one of them no longer fits.
func (c *Cell) sweep() {
	c.sweepDue = false
	for _, t := range sortedTasks(c.parked) {
		if d, _ := c.impossible(t); d == "" {
			delete(c.parked, t.id)
			c.shares.enqueue(t)
		}
	}
	for _, cl := range c.shares.classes {
		if !c.anyImpossible(cl) {
			continue
		}
		for _, q := range cl.sortedTenants() {
			c.parkImpossible(q.first)
		}
	}
	c.parkImpossible(c.shares.restarts.first)
}

// parkImpossible parks what can never run of a queued task and those behind it.
func (c *Cell) parkImpossible(t *task) {
	for t != nil {
		next := t.next
		if d, largest := c.impossible(t); d != "" {
			c.shares.dequeue(t)
			c.park(t, d, largest)
		}
		t = next
	}
}

// anyImpossible reports whether a size of the queued tasks of a class fits no worker or exceeds the class limit.
func (c *Cell) anyImpossible(cl *class) bool {
	for need := range cl.needs {
		if c.shapes.exceeded(need) != "" || cl.exceeds(need) != "" {
			return true
		}
	}
	return false
}

func sortedTasks[K comparable](m map[K]*task) []*task {
	tasks := make([]*task, 0, len(m))
	for _, t := range m {
		tasks = append(tasks, t)
	}
	slices.SortFunc(tasks, func(a, b *task) int {
		return cmp.Or(
			cmp.Compare(a.id.Job.Cell, b.id.Job.Cell),
			cmp.Compare(a.id.Job.Epoch, b.id.Job.Epoch),
			cmp.Compare(a.id.Job.Seq, b.id.Job.Seq),
			cmp.Compare(a.id.Index, b.id.Index),
		)
	})
	return tasks
}

package placement

import (
	"cmp"
	"slices"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// shapes counts the distinct capacities of the workers that are not leaving. There are few kinds of hardware, so
// that checking a task against all of them is cheap.
type shapes struct {
	counts map[resource.Vector]int
	// largest is the maximum in each dimension.
	largest resource.Vector
	// order lists the shapes in a fixed order, so that the reported dimension does not depend on the map order.
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

// failingDimension returns the dimension in which a need fits no worker, or "". If each dimension alone fits some
// worker, it is the first failing dimension of the shape with the fewest failing ones. Without workers it returns
// "", because nothing is known.
func (s *shapes) failingDimension(need resource.Vector) resource.Dimension {
	var dimension resource.Dimension
	fewest := 4
	for _, capacity := range s.order {
		if need.Fits(capacity) {
			return ""
		}
		if n := countFailing(need, capacity); n < fewest {
			fewest = n
			dimension = need.ExceededDimension(capacity)
		}
	}
	if d := need.ExceededDimension(s.largest); d != "" && len(s.order) > 0 {
		return d
	}
	return dimension
}

// largestFitting returns the shape with the most processors among those that can hold need, or need itself if none
// can.
func (s *shapes) largestFitting(need resource.Vector) resource.Vector {
	largest := need
	for _, capacity := range s.order {
		if need.Fits(capacity) && capacity.MilliCPU >= largest.MilliCPU {
			largest = capacity
		}
	}
	return largest
}

func countFailing(need, capacity resource.Vector) int {
	n := 0
	for _, exceeded := range [...]bool{
		need.MilliCPU > capacity.MilliCPU,
		need.MemoryMB > capacity.MemoryMB,
		need.Accelerators > capacity.Accelerators,
	} {
		if exceeded {
			n++
		}
	}
	return n
}

// impossibleDimension returns the dimension that prevents a task from ever running in this cell, or "", and the
// largest amounts that a task could have.
func (c *Cell) impossibleDimension(t *task) (resource.Dimension, resource.Vector) {
	if d := c.shapes.failingDimension(t.declared); d != "" {
		return d, c.shapes.largest
	}
	if d := t.class.exceededDimension(t.declared); d != "" {
		return d, t.class.capAtLimit(c.shapes.largest)
	}
	return "", resource.Vector{}
}

// park excludes a task that can never run in the cell as it is from planning until a larger worker or a higher limit
// allows it, and reports it in the next Plan.
func (c *Cell) park(t *task, d resource.Dimension, largest resource.Vector) {
	t.state = parked
	c.parked[t.id] = t
	c.impossibleReports = append(c.impossibleReports, Impossible{Task: t.id, Dimension: d, Largest: largest})
}

// recheckWaiting checks waiting tasks after a change of the shapes or limits. It walks the queues of a class only
// if the size of at least one queued task no longer fits.
func (c *Cell) recheckWaiting() {
	c.recheckDue = false
	for _, t := range sortedTasks(c.parked) {
		if d, _ := c.impossibleDimension(t); d == "" {
			delete(c.parked, t.id)
			c.shares.enqueue(t)
		}
	}
	for _, cl := range c.shares.classes {
		if !c.hasImpossibleTask(cl) {
			continue
		}
		for _, q := range cl.sortedTenants() {
			c.parkImpossible(q.first)
		}
	}
	c.parkImpossible(c.shares.restarts.first)
}

// parkImpossible parks those tasks that can never run in the cell as it is, among a queued task and those behind it.
func (c *Cell) parkImpossible(t *task) {
	for t != nil {
		next := t.next
		if d, largest := c.impossibleDimension(t); d != "" {
			c.shares.dequeue(t)
			c.park(t, d, largest)
		}
		t = next
	}
}

// hasImpossibleTask reports whether the size of some queued task of a class fits no worker or exceeds the limit of the
// class.
func (c *Cell) hasImpossibleTask(cl *class) bool {
	for need := range cl.queuedBySize {
		if c.shapes.failingDimension(need) != "" || cl.exceededDimension(need) != "" {
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

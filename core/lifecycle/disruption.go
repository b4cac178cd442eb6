package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/disruption"
	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

const (
	// moveInterval is how often the owner looks for lasting tasks to move from evacuated workers. An evacuation sets no
	// time by which they must have moved.
	moveInterval = time.Second
	// maxMoves bounds the tasks that are moved in one moveInterval, and maxMoveSearches those for which other workers are
	// searched: each search looks at all workers of the cell.
	maxMoves        = 32
	maxMoveSearches = 128
)

// available reports whether the task runs and is ready, as far as this owner has seen, and is not told to stop.
func (t *task) available() bool {
	return t.run != nil && t.run.phase == phaseActive && t.run.ready
}

// noteReady applies what a report says of the readiness of the attempt.
func (r *run) noteReady(ready bool) {
	r.ready = ready
	if r.task.available() {
		r.task.moving = false
	}
}

// disruptionState returns the state of the group of a task, and whether one of its tasks is being moved.
func (t *task) disruptionState() (group disruption.Group, moving bool) {
	group.Budget = t.group.DisruptionBudget
	first := t.job.groups[t.id.Group()].firstIndex
	for i := first; i < first+t.group.Count; i++ {
		other := &t.job.tasks[i]
		moving = moving || other.moving
		if !other.available() {
			group.Unavailable++
		}
	}
	return group, moving
}

// mayDisrupt reports whether an order may take the task away from its worker, which is not leaving.
func (t *task) mayDisrupt() bool {
	if !t.group.Lasting {
		return true
	}
	group, _ := t.disruptionState()
	return group.Allows(t.available())
}

// evictForPlan evicts an attempt for the planner. If the disruption budget of its task forbids that, the planner is told
// that the attempt runs on.
func (c *Cell) evictForPlan(now time.Time, r *run, eff *Effects) {
	if r.task.mayDisrupt() {
		c.evict(now, r, true, eff)
		return
	}
	eff.do(Restore{Running: c.runningOf(r)})
}

// SetLogFailing says whether the store does not accept records. A task that saves its progress starts again only after the
// record of its move is durable, so that none moves meanwhile.
func (c *Cell) SetLogFailing(failing bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.logFailing = failing
	for _, w := range c.workers {
		c.scheduleTick(w)
	}
}

// moveFromEvacuated moves lasting tasks from evacuated workers within their disruption budgets, if it is due.
func (c *Cell) moveFromEvacuated(now time.Time, eff *Effects) {
	if c.nextMoveAt.IsZero() || now.Before(c.nextMoveAt) {
		return
	}
	c.nextMoveAt = now.Add(moveInterval)
	if c.inDoubt || c.startsHeld() || c.logFailing {
		return
	}
	free := c.newRoom()
	moves := 0
	for _, w := range c.workersFrom(c.lastMovedFrom) {
		if !w.evacuated || w.member.Leaving || !w.claimed {
			continue
		}
		for _, r := range w.sortedRuns() {
			if moves == maxMoves || free.searches == maxMoveSearches {
				c.lastMovedFrom = w.member.ID
				return
			}
			t := r.task
			if r.phase != phaseActive || t.job.cancelling || c.mustHold(t) || t.whyStays(free) != evacuation.Moves {
				continue
			}
			t.moving = true
			c.evict(now, r, false, eff)
			moves++
		}
	}
	c.lastMovedFrom = ""
}

// whyStays returns why a task stays on its evacuated worker.
func (t *task) whyStays(r *room) evacuation.Stay {
	running := evacuation.Running{Task: t.id, Lasting: t.group.Lasting, Available: t.available()}
	if t.group.DisruptionBudget > 0 {
		running.Group, running.GroupMoves = t.disruptionState()
	}
	return running.WhyStays(func() bool { return r.take(t) })
}

// workersFrom returns the workers by id, beginning with the given one.
func (c *Cell) workersFrom(id ident.WorkerID) []*worker {
	all := c.sortedWorkers()
	for i, w := range all {
		if w.member.ID >= id {
			return append(append(make([]*worker, 0, len(all)), all[i:]...), all[:i]...)
		}
	}
	return all
}

// room is what the workers that take tasks have free, by what this cell has booked on them.
type room struct {
	workers []*worker
	// free holds what is left of each worker; nil until the first search.
	free     []resource.Vector
	searches int
}

func (c *Cell) newRoom() *room {
	r := &room{}
	for _, w := range c.sortedWorkers() {
		if w.usable() && c.mayStartOn(w) {
			r.workers = append(r.workers, w)
		}
	}
	return r
}

// take finds a worker with room for a task that runs elsewhere, and books the room. It returns false if there is none.
func (r *room) take(t *task) bool {
	if r.searches == maxMoveSearches {
		return true
	}
	if r.free == nil {
		r.free = make([]resource.Vector, len(r.workers))
		for i, w := range r.workers {
			r.free[i] = w.unbooked()
		}
	}
	r.searches++
	need := t.group.Need.Max(t.run.booked)
	for i, w := range r.workers {
		if need.Fits(r.free[i]) && w.suits(t) && w.takesAnother(t) {
			r.free[i] = r.free[i].Sub(need)
			return true
		}
	}
	return false
}

// unbooked returns what the attempts on the worker leave of its capacity.
func (w *worker) unbooked() resource.Vector {
	free := w.capacity
	for _, r := range w.running {
		free = free.Sub(r.booked)
	}
	return free
}

// takesAnother reports whether the worker may run another task of the group of t.
func (w *worker) takesAnother(t *task) bool {
	limit := t.group.Constraints.MaxPerWorker
	if limit == 0 {
		return true
	}
	for _, other := range w.running {
		if other.task.group == t.group {
			limit--
		}
	}
	return limit > 0
}

package placement

import (
	"fmt"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// CheckInvariants recomputes all sums of the cell from its tasks and compares them.
func (c *Cell) CheckInvariants() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	held := make(map[*class]resource.Vector)
	charged := make(map[*class]resource.Vector)
	for _, t := range c.tasks {
		if t.state >= claimed {
			held[t.class] = held[t.class].Add(t.desired)
		}
		if t.state == claimed || t.state == running {
			charged[t.class] = charged[t.class].Add(t.desired)
		}
		if (t.node != nil) != (t.state >= running) {
			return fmt.Errorf("task %v in state %d has node %v", t.id, t.state, t.node)
		}
	}
	for _, cl := range c.shares.classes {
		if cl.held != held[cl] || cl.charged != charged[cl] {
			return fmt.Errorf("class %s: held %v charged %v, want %v and %v", cl.name, cl.held, cl.charged, held[cl], charged[cl])
		}
	}
	if err := c.checkSpread(); err != nil {
		return err
	}
	if err := c.checkWaiting(); err != nil {
		return err
	}
	if err := c.checkFillerJobs(); err != nil {
		return err
	}
	for i, n := range c.nodes {
		if err := n.checkSums(); err != nil || n.slot != i {
			return fmt.Errorf("worker %s in slot %d: %w", n.worker.ID, i, err)
		}
		free := c.free.nodes[c.free.size+i]
		if n.acceptsTasks() && free != n.Available() || !n.acceptsTasks() && free != unusable {
			return fmt.Errorf("worker %s: index entry is %v", n.worker.ID, free)
		}
	}
	return nil
}

// checkWaiting checks that the list of waiting tasks has each task without a worker once, and no other.
func (c *Cell) checkWaiting() error {
	listed := make(map[*task]bool)
	for t := c.waiting.first; t != nil; t = t.waitingNext {
		if listed[t] || c.tasks[t.id] != t || t.node != nil {
			return fmt.Errorf("task %v in state %d is listed as waiting", t.id, t.state)
		}
		listed[t] = true
	}
	for _, t := range c.tasks {
		if t.node == nil && !listed[t] {
			return fmt.Errorf("task %v in state %d is not listed as waiting", t.id, t.state)
		}
	}
	return nil
}

// checkFillerJobs checks the lists and counts of the jobs of fillers, and that the idle ones are in the heap.
func (c *Cell) checkFillerJobs() error {
	type counts struct{ waiting, booked, working int }
	want := make(map[ident.JobID]counts)
	for _, t := range c.tasks {
		if !t.constraints.Filler || t.restart {
			continue
		}
		n := want[t.id.Job]
		switch {
		case t.node == nil:
			n.waiting++
		case t.working:
			n.working++
			n.booked++
		default:
			n.booked++
		}
		want[t.id.Job] = n
	}
	if len(c.fillerJobs.byID) != len(want) {
		return fmt.Errorf("%d jobs of fillers, want %d", len(c.fillerJobs.byID), len(want))
	}
	for id, j := range c.fillerJobs.byID {
		got := counts{booked: j.booked.length, working: j.working}
		for _, g := range j.waiting {
			got.waiting += g.tasks.length
		}
		if got != want[id] {
			return fmt.Errorf("job %v: %+v, want %+v", id, got, want[id])
		}
		if j.isIdle() != (j.pos >= 0) {
			return fmt.Errorf("job %v: position %d in the heap of idle jobs", id, j.pos)
		}
	}
	return nil
}

func (c *Cell) checkSpread() error {
	jobs := 0
	want := make(map[ident.TaskID]int)
	for _, t := range c.tasks {
		if t.node != nil {
			want[ident.TaskID{Job: t.id.Job, Index: uint32(t.node.rack)}]++
		}
	}
	for job, counts := range c.spread.jobs {
		for _, r := range counts {
			jobs++
			if key := (ident.TaskID{Job: job, Index: uint32(r.rack)}); int(r.tasks) != want[key] {
				return fmt.Errorf("job %v on rack %d: counted %d, want %d", job, r.rack, r.tasks, want[key])
			}
		}
	}
	if jobs != len(want) {
		return fmt.Errorf("%d rack counts of jobs, want %d", jobs, len(want))
	}
	return nil
}

func (n *node) checkSums() error {
	var booked, lasting, deficit, held, claimed resource.Vector
	for _, t := range n.tasks {
		booked = booked.Add(t.booked)
		if t.lasting {
			lasting = lasting.Add(t.booked)
		}
		deficit = deficit.Add(t.desired.Sub(t.booked))
	}
	for _, cl := range n.claims {
		held = held.Add(cl.held)
		claimed = claimed.Add(cl.task.desired)
	}
	if booked != n.booked || deficit != n.deficit || held != n.held || claimed != n.claimed {
		return fmt.Errorf("booked %v deficit %v held %v claimed %v, want %v, %v, %v, %v",
			n.booked, n.deficit, n.held, n.claimed, booked, deficit, held, claimed)
	}
	if lasting != n.lastingBooked {
		return fmt.Errorf("booked by lasting tasks %v, want %v", n.lastingBooked, lasting)
	}
	if !booked.Add(held).Fits(n.worker.Capacity) || !deficit.NonNegative() {
		return fmt.Errorf("booked %v and held %v exceed capacity %v", booked, held, n.worker.Capacity)
	}
	return nil
}

// Work describes what one Plan did.
type Work struct {
	// Done is the weighted work on queued tasks, WastedVisits the index nodes visited by unsuccessful searches.
	Done, WastedVisits int
	// Forecasts counts the tasks for which the worker that fits first was looked for, LendTries the reservations for
	// which it was forecast whether another task delays them.
	Forecasts, LendTries int
}

// MaxWork and MaxWastedVisits bound the work of a Plan before its last queue, MaxQueueWork and MaxQueueWastedVisits
// the work on its last queue.
const (
	MaxWork              = maxPlanWork
	MaxWastedVisits      = maxWastedVisits
	MaxQueueWork         = (defaultBackfillDepth + 1) * (1 + startWork + displaceWork)
	MaxQueueWastedVisits = (defaultBackfillDepth + 1) * defaultSearchBudget
	MaxForecasts         = maxForecasts
	MaxLendTries         = maxLendTries
)

// MaxExplainWork bounds the workers that one call of LongestWaiting looks at.
const MaxExplainWork = maxExplainWork

// PlanWork is like Plan and also returns the work done.
func (c *Cell) PlanWork(now time.Time, limit int) (Plan, Work) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.runPlan(now, limit)
	return r.plan, Work{Done: r.work, WastedVisits: r.wastedVisits, Forecasts: r.forecasts, LendTries: r.lendTries}
}

// WorkerOf returns the worker on which a task is booked; "" if none.
func (c *Cell) WorkerOf(id ident.TaskID) ident.WorkerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.tasks[id]; ok && t.node != nil {
		return t.node.worker.ID
	}
	return ""
}

// ReservedWorkers lists the workers with reservations of look-ahead.
func (c *Cell) ReservedWorkers() []ident.WorkerID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var reserved []ident.WorkerID
	for _, cl := range c.claims {
		if cl.isReservation() {
			reserved = append(reserved, cl.node.worker.ID)
		}
	}
	return reserved
}

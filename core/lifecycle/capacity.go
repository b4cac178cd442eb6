package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// checkFits returns a NotRun error if no worker of the cell can ever hold need.
func (c *Cell) checkFits(group int, need resource.Vector) error {
	largest := resource.Vector{}
	known := false
	for _, w := range c.workers {
		if w.capacity.IsZero() {
			continue
		}
		if need.Fits(w.capacity) {
			return nil
		}
		known = true
		largest = largest.Max(w.capacity)
	}
	if !known || c.recovering || !c.hostListKnown {
		return nil
	}
	dim := need.ExceededDimension(largest)
	if dim == "" {
		return verdict.New(verdict.NotRun, verdict.CodeInvalid,
			"group %d: no single worker of cell %d holds %s together", group, c.id, need)
	}
	return verdict.New(verdict.NotRun, verdict.CodeInvalid,
		"group %d: %s: a task needs %s, the largest worker of cell %d has %s", group, dim, need, c.id, largest)
}

// checkJobFits returns a NotRun error if no worker of the cell can ever hold a task of some group of the job.
func (c *Cell) checkJobFits(spec JobSpec) error {
	for i, g := range spec.Groups {
		if err := c.checkFits(i, g.Need); err != nil {
			return err
		}
	}
	return nil
}

// clearImpossible marks the impossible tasks that a changed capacity makes possible as queued. The planner still holds
// them.
func (c *Cell) clearImpossible(now time.Time) {
	for _, id := range c.jobOrder {
		j := c.jobs[id]
		if j.counts[Impossible] == 0 {
			continue
		}
		for i := range j.tasks {
			t := &j.tasks[i]
			if t.state == Impossible && t.tooLarge && c.checkFits(0, t.group.Need) == nil {
				c.setState(now, t, Queued)
			}
		}
	}
}

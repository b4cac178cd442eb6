package lifecycle

import (
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// undecidedFailure is a failed attempt whose task may or may not have retries left, because the table is not known yet.
type undecidedFailure struct {
	worker *worker
	end    EndedAttempt
}

// SetTable replaces the table of classes and limits. The first table ends the wait of everything that needs one.
func (c *Cell) SetTable(now time.Time, t *table.Table) Effects {
	c.mu.Lock()
	defer c.mu.Unlock()
	var eff Effects
	first := c.table == nil
	if !first {
		c.keepRetries(t)
	}
	c.table = t
	if !first {
		return eff
	}
	c.decideFailures(now, &eff)
	c.enqueueHeld(now, &eff)
	c.finishRecovery(now, &eff)
	return eff
}

// TableRevision returns the revision of the current table; 0 if none is known yet.
func (c *Cell) TableRevision() table.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		return 0
	}
	return c.table.Revision()
}

// HasTable reports whether a table is known. Until then the owner renews leases and stops what is cancelled, but
// starts nothing, accepts nothing and does not decide whether a failed task has retries left.
func (c *Cell) HasTable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.table != nil
}

// deferFailure keeps a failed attempt until the table is known. The worker reports the end until then.
func (c *Cell) deferFailure(w *worker, e EndedAttempt) {
	c.undecidedFailures = append(c.undecidedFailures, undecidedFailure{worker: w, end: e})
	c.addUnloggedEnd(e.AttemptID, unloggedEnd{worker: w.member.ID})
}

// decideFailures counts the failures that were reported before the table was known.
func (c *Cell) decideFailures(now time.Time, eff *Effects) {
	undecided := c.undecidedFailures
	c.undecidedFailures = nil
	for _, u := range undecided {
		t := c.task(u.end.Task)
		if t == nil || !t.open() {
			c.acknowledgeEnd(u.end.AttemptID)
			continue
		}
		c.removeUnloggedEnd(u.end.AttemptID)
		c.handleLateFailure(now, u.worker, t, u.end, eff)
	}
}

// enqueueHeld looks at the held tasks again: those that only waited for the table go to the planner, the others are held on.
func (c *Cell) enqueueHeld(now time.Time, eff *Effects) {
	tasks := make([]*task, 0, len(c.heldTasks))
	for _, t := range c.heldTasks {
		tasks = append(tasks, t)
	}
	clear(c.heldTasks)
	sortTasks(tasks)
	c.enqueue(now, tasks, eff)
}

// removeUnloggedEnd removes an end from those whose record is not durable yet.
func (c *Cell) removeUnloggedEnd(attempt AttemptID) (end unloggedEnd, ok bool) {
	if end, ok = c.unloggedEnds[attempt]; ok {
		delete(c.unloggedEnds, attempt)
		c.uncountUnloggedEnd(end.worker)
	}
	return end, ok
}

// keepRetries notes the retries of the classes that the next table no longer has, for their open jobs.
func (c *Cell) keepRetries(next *table.Table) {
	for _, j := range c.jobs {
		row, ok := c.table.Lookup(j.spec.Class)
		if _, stays := next.Lookup(j.spec.Class); ok && !stays {
			j.spec.MaxFailures = maxFailures(row)
		}
	}
}

// lookup returns the row of a class; ok is false if the class is not in the table or no table is known yet.
func (c *Cell) lookup(class ident.ClassName) (row table.Row, ok bool) {
	if c.table == nil {
		return row, false
	}
	return c.table.Lookup(class)
}

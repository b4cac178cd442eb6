package lifecycle

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// unfitLimit is how long an acknowledged job waits for a worker that can hold its tasks. A new owner learns of new workers
// within 2 to 3 s.
const unfitLimit = 5 * time.Second

// AcceptAcknowledged returns the record of a job that another host has acknowledged to its caller. That host has checked the
// job, so that nothing is refused that this owner may only not know yet: a class counts as the other host resolved it, and a
// worker that can hold the tasks may still join. note says what this owner does not know; empty if it knows all. The job
// must have a client number that the cell does not know.
func (c *Cell) AcceptAcknowledged(now time.Time, spec JobSpec) (id ident.JobID, eff Effects, note string, err error) {
	if err := spec.Validate(); err != nil {
		return ident.JobID{}, Effects{}, "", err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.table == nil {
		return ident.JobID{}, Effects{}, "", verdict.New(verdict.NotRun, verdict.CodeUnavailable,
			"the owner of cell %d has not read the table yet", c.id)
	}
	if !spec.ResolveClass(c.table) {
		note = fmt.Sprintf("class %q is not in table revision %d; the job was accepted under revision %d",
			spec.Class, c.table.Revision(), spec.TableRevision)
	}
	if err := c.checkJobFits(spec); err != nil {
		spec.Unfit = true
		note = strings.TrimPrefix(note+"; "+verdict.FromError(err).Error(), "; ")
	}
	id, eff = c.acceptNumbered(now, spec, "")
	return id, eff, note, nil
}

// noteUnfit begins the wait of an acknowledged job that no worker could hold.
func (c *Cell) noteUnfit(now time.Time, j *job) {
	if j.spec.Unfit && !j.started && !j.final() {
		c.unfit[j.id] = now.Add(unfitLimit)
	}
}

// endUnfit ends the jobs that still fit no worker as failed. Their tasks stay out of the planner until the record is durable.
func (c *Cell) endUnfit(now time.Time, eff *Effects) {
	if len(c.unfit) == 0 {
		return
	}
	for _, id := range slices.SortedFunc(maps.Keys(c.unfit), compareJobs) {
		j, due := c.jobs[id], c.unfit[id]
		if j == nil || j.started || j.final() || j.cancelling {
			delete(c.unfit, id)
			continue
		}
		if now.Before(due) || !c.knowsCapacity() {
			continue
		}
		delete(c.unfit, id)
		err := c.checkJobFits(j.spec)
		if err == nil {
			continue
		}
		if queued := j.queuedTasks(); len(queued) > 0 {
			eff.do(Dequeue{Tasks: queued})
		}
		j.cancelling = true
		eff.log(JobAccepted{Job: id, Spec: j.spec, At: now, Refused: verdict.FromError(err).Error()})
	}
}

// knowsCapacity reports whether this owner may conclude that no worker can hold a task.
func (c *Cell) knowsCapacity() bool {
	return !c.recovering && c.hostListKnown && !c.inDoubt
}

// nextUnfit returns when endUnfit is next due; zero if no job waits or what the workers can hold is not known.
func (c *Cell) nextUnfit() (next time.Time) {
	if !c.knowsCapacity() {
		return time.Time{}
	}
	for _, due := range c.unfit {
		if next.IsZero() || due.Before(next) {
			next = due
		}
	}
	return next
}

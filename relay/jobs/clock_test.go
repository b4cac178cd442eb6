package jobs_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// timeOfDayPlanner gives its planner times without a monotonic reading, of a host whose time of day can be set. The clock
// of the whole owner cannot do so: a time.Time loses its monotonic reading when its time of day is changed.
type timeOfDayPlanner struct {
	placement.Planner
	// offset is how far the time of day was set ahead, in nanoseconds.
	offset *atomic.Int64
}

func (p timeOfDayPlanner) timeOfDay(t time.Time) time.Time {
	if t.IsZero() {
		return t
	}
	return t.Round(0).Add(time.Duration(p.offset.Load()))
}

func (p timeOfDayPlanner) Submit(tasks []placement.Pending) {
	for i := range tasks {
		tasks[i].SubmittedAt = p.timeOfDay(tasks[i].SubmittedAt)
	}
	p.Planner.Submit(tasks)
}

func (p timeOfDayPlanner) Restore(r placement.Running) {
	r.StartedAt, r.CheckpointedAt = p.timeOfDay(r.StartedAt), p.timeOfDay(r.CheckpointedAt)
	p.Planner.Restore(r)
}

func (p timeOfDayPlanner) Checkpointed(id ident.TaskID, at time.Time) {
	p.Planner.Checkpointed(id, p.timeOfDay(at))
}

func (p timeOfDayPlanner) Plan(now time.Time, limit int) placement.Plan {
	return p.Planner.Plan(p.timeOfDay(now), limit)
}

// Guards against accepted tasks that do not start although workers have room, because the time of day of their owner
// was set back (incident inc22). A filler that found no worker before the step must not wait until that time comes again.
func TestTasksStartAfterTheTimeOfDayWasSetBack(t *testing.T) {
	for name, filler := range map[string]bool{"tasks": false, "fillers": true} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, 2)
				defer fx.close()
				var offset atomic.Int64
				h := fx.hostWith(func(cfg *jobs.Config) {
					cfg.NewPlanner = func(ident.CellID, *table.Table) placement.Planner {
						return timeOfDayPlanner{placement.NewCell(1, placement.Options{Cell: cell}), &offset}
					}
				})
				fx.giveCell(h)
				s := spec("batch", 6, "work=5s")
				s.Groups[0].Constraints.Filler, s.Groups[0].Constraints.MaxPerWorker = filler, 1
				first := h.submit(s)
				time.Sleep(2 * time.Second)
				require.Equal(t, 2, h.get(first).Counts[lifecycle.Running])
				offset.Store(int64(-10 * time.Minute))
				later := h.submit(s)
				h.awaitDone(time.Minute, first, later)
				fx.verify(h, first, later)
			})
		})
	}
}

package jobs_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// slowPlanner takes a set time for its next Plan, so that the events of the cell have to wait.
type slowPlanner struct {
	placement.Planner
	next *atomic.Int64
}

func (p slowPlanner) Plan(now time.Time, limit int) placement.Plan {
	time.Sleep(time.Duration(p.next.Swap(0)))
	return p.Planner.Plan(now, limit)
}

// slowScenario is a scenario whose owner stands still for as long as slow says, with its next Plan.
func slowScenario(t *testing.T, workers int, f func(w *world, h *host, slow *atomic.Int64)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, workers)
		defer w.close()
		var slow atomic.Int64
		h := w.hostWith(func(cfg *jobs.Config) {
			plain := cfg.NewPlanner
			cfg.NewPlanner = func(c ident.CellID, t *table.Table) placement.Planner {
				return slowPlanner{Planner: plain(c, t), next: &slow}
			}
		})
		w.own(h)
		f(w, h, &slow)
	})
}

// Guards against a task that runs again although it is done: an owner that stood still for longer than a lease lasts
// gave its workers up before it looked at their answers, which had arrived meanwhile.
func TestSlowOwnerTakesAnswersOverBeforeItGivesWorkersUp(t *testing.T) {
	slowScenario(t, 4, func(w *world, h *host, slow *atomic.Int64) {
		id := h.submit(spec("batch", 6, "work=8s"))
		time.Sleep(6 * time.Second)
		slow.Store(int64(14 * time.Second))
		h.finished(time.Minute, id)
		w.verify(h, id)
		for _, v := range h.get(id).Tasks {
			require.EqualValues(t, 1, v.Attempts, "task %v", v.Task)
		}
	})
}

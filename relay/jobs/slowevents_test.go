package jobs_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// slowWorkerPlanner takes time for each change of a worker, so that the events before a Plan are slow and not the Plan.
type slowWorkerPlanner struct {
	placement.Planner
	each time.Duration
}

func (p slowWorkerPlanner) UpsertWorker(w placement.Worker) {
	time.Sleep(p.each)
	p.Planner.UpsertWorker(w)
}

// Guards against a cancellation, or the notice that it is durable, that waits behind all events which came before it: 400
// events of 40 ms each.
func TestCancellationDoesNotWaitBehindSlowEvents(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		defer w.close()
		h := w.hostWith(func(cfg *jobs.Config) {
			plain := cfg.NewPlanner
			cfg.NewPlanner = func(c ident.CellID, t *table.Table) placement.Planner {
				return slowWorkerPlanner{Planner: plain(c, t), each: 20 * time.Millisecond}
			}
		})
		w.own(h)
		id := h.submit(spec("batch", 20, "work=1s"))
		time.Sleep(time.Second)
		for i := range 400 {
			go h.svc.SetMembers(cell, w.labelled(i))
		}
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(bg, 3*time.Second)
		defer cancel()
		require.NoError(t, h.svc.Cancel(ctx, id))
		time.Sleep(time.Minute)
	})
}

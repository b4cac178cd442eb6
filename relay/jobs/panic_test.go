package jobs_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/adapter/cellpb"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// failingPlanner panics in its next run once fail is set.
type failingPlanner struct {
	placement.Planner
	fail *atomic.Bool
}

func (p failingPlanner) Plan(now time.Time, limit int) placement.Plan {
	if p.fail.Swap(false) {
		panic("planner fault")
	}
	return p.Planner.Plan(now, limit)
}

// failingCodec panics when it is asked for the size of an accepted job.
type failingCodec struct{ cellpb.Codec }

func (failingCodec) RecordSize(r lifecycle.Record) int {
	if _, ok := r.(lifecycle.JobAccepted); ok {
		panic("record fault")
	}
	return 1
}

// Guards against an unexpected error in the work of one cell that ends the whole process, loses accepted jobs, or leaves
// the cell to an owner that does nothing.
func TestPanicEndsOnlyTheOwner(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		defer fx.close()
		var fail atomic.Bool
		replaced := make(chan ident.Epoch, 4)
		h := fx.hostWith(func(cfg *jobs.Config) {
			cfg.NewPlanner = func(ident.CellID, *table.Table) placement.Planner {
				return failingPlanner{placement.NewCell(1, placement.Options{Cell: cell}), &fail}
			}
			cfg.OnReplaced = func(_ ident.CellID, epoch ident.Epoch) { replaced <- epoch }
		})
		fx.giveCell(h)
		id := h.submit(spec("batch", 2, "x"))
		fail.Store(true)
		time.Sleep(5 * time.Second)
		require.Equal(t, h.Grant(cell).Epoch, <-replaced)
		require.Empty(t, replaced)
		_, err := h.svc.Submit(bg, cell, spec("batch", 1, "x"))
		require.Error(t, err)

		// The cell is claimed anew under a higher epoch.
		fx.giveCell(h)
		time.Sleep(time.Minute)
		view, err := h.svc.Get(bg, id, 0, 0)
		require.NoError(t, err)
		require.Equal(t, lifecycle.Done, view.State)
	})
}

// Guards against a caller that is told that its job has not been accepted, or that it has, when an unexpected error has
// ended the owner while it worked on the call.
func TestPanicDuringSubmissionLeavesItsOutcomeOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1)
		defer fx.close()
		h := fx.hostWith(func(cfg *jobs.Config) { cfg.Codec = failingCodec{} })
		fx.giveCell(h)
		_, err := h.svc.Submit(bg, cell, spec("batch", 1, "x"))
		require.Equal(t, verdict.MayHaveRun, verdict.FromError(err).Verdict)
	})
}

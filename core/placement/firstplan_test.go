package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// Guards against a filler of a new owner that is taken to have waited since 1970, because it was submitted before the
// first Plan: it would start beside a serving task that it harms, without the patience of other fillers.
func TestFillerSubmittedBeforeFirstPlanIsPatient(t *testing.T) {
	waits := func(plannedBefore bool) time.Duration {
		tails := placement.NewEstimatorWithPrior(2, 0.01)
		c := placement.NewCell(1, placement.Options{Tails: tails})
		c.UpsertWorker(placement.Worker{ID: "w", Rack: "r", Capacity: vec(8000, 8000, 0)})
		serving := pendingTask(1, "web", vec(2000, 2000, 0))
		serving.Constraints.Serving, serving.Constraints.Image = true, "web"
		c.Restore(placement.Running{Pending: serving, Worker: "w", StartedAt: epoch})
		c.Observe([]placement.Observation{{Task: serving.Task, TailRatio: 0.6, At: epoch}})
		if plannedBefore {
			c.Plan(epoch, 10)
		}
		filler := pendingTask(2, "etl", vec(4000, 2000, 0))
		filler.Constraints.Filler, filler.Constraints.Image = true, "etl"
		c.Submit([]placement.Pending{filler})
		for waited := time.Duration(0); waited <= 2*time.Minute; waited += 50 * time.Millisecond {
			if len(c.Plan(epoch.Add(waited), 10).Starts) > 0 {
				return waited
			}
		}
		return 2 * time.Minute
	}
	require.GreaterOrEqual(t, waits(true), 3*time.Second, "the scenario has to make fillers wait")
	require.GreaterOrEqual(t, waits(false), 3*time.Second)
}

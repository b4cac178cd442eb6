package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// Guards against a planner whose time runs ahead because the times of two Plans arrive in the wrong order.
func TestPlanTimesInWrongOrderCountOnce(t *testing.T) {
	c := placement.NewCell(1, placement.Options{})
	worker := placement.Worker{ID: "w", Rack: "r", Pool: "other", Capacity: vec(8000, 8000, 0)}
	c.UpsertWorker(worker)
	filler := pendingTask(1, "etl", vec(4000, 4000, 0))
	filler.Constraints.Filler, filler.Pool = true, "etl"
	c.Submit([]placement.Pending{filler})
	begin := time.Now() // has a monotonic reading
	require.Empty(t, c.Plan(begin, 10).Starts)
	worker.Pool = "etl"
	c.UpsertWorker(worker)
	for range 5 {
		require.Empty(t, c.Plan(begin.Add(20*time.Millisecond), 10).Starts)
		require.Empty(t, c.Plan(begin, 10).Starts)
	}
}

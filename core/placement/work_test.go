package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// crowdedCell returns a full cell of 4 workers with a queue of 3 tasks in each of 400 classes, a quarter of them
// urgent. The running tasks, which are also returned, are urgent too, so that none can be displaced. Queued task n
// belongs to class n/3.
func crowdedCell() (c *placement.Cell, running []ident.TaskID) {
	const classes = 400
	c = cellOf(4, vec(16_000, 16_000, 0))
	rows := []table.Row{{Name: "old", Kind: table.LatencyCritical, Weight: 1}}
	for i := range classes {
		kind := table.Batch
		if i%4 == 0 {
			kind = table.LatencyCritical
		}
		rows = append(rows, table.Row{Name: crowdedClass(i), Kind: kind, Weight: 1})
	}
	c.SetTable(table.New(1, rows))
	for i := range 16 {
		c.Submit([]placement.Pending{pendingTask(10_000+i, "old", vec(4000, 4000, 0))})
		running = append(running, taskID(10_000+i))
	}
	c.Plan(epoch, 100)
	for i := range 3 * classes {
		c.Submit([]placement.Pending{pendingTask(i, crowdedClass(i/3), vec(4000, 4000, 0))})
	}
	return c, running
}

func crowdedClass(i int) ident.ClassName { return ident.ClassName(fmt.Sprintf("class-%03d", i)) }

// planUntilDone calls Plan until nothing is left to consider, as its caller does, and checks the work of each call.
func planUntilDone(t *testing.T, c *placement.Cell, now time.Time) (starts []placement.Start, plans int) {
	for more := true; more; plans++ {
		require.Less(t, plans, 1000, "Plan keeps reporting that more is left")
		p, w := c.PlanWork(now, 1000)
		require.LessOrEqual(t, w.Done, placement.MaxWork+placement.MaxQueueWork)
		require.LessOrEqual(t, w.WastedVisits, placement.MaxWastedVisits+placement.MaxQueueWastedVisits)
		require.LessOrEqual(t, w.Forecasts, placement.MaxForecasts)
		require.LessOrEqual(t, w.LendTries, placement.MaxLendTries)
		starts = append(starts, p.Starts...)
		more = p.More
	}
	return starts, plans
}

// Guards against a Plan whose work grows with the number of queues or starts: it must end after a bounded amount of
// work and report that more is left, and the following calls must consider everything, so that nothing starves.
func TestWorkOfOnePlanIsBounded(t *testing.T) {
	c, running := crowdedCell()
	starts, plans := planUntilDone(t, c, epoch)
	require.Empty(t, starts)
	require.Greater(t, plans, 5, "400 queues fit into a few Plans, so that the bound is not tested")
	for _, id := range running {
		c.Release(id)
	}
	c.UpsertWorker(placement.Worker{ID: "large", Rack: "large", Capacity: vec(4_000_000, 4_000_000, 0)})
	starts, plans = planUntilDone(t, c, epoch.Add(time.Second))
	require.Len(t, starts, 1016, "as many tasks as fit must start")
	require.Greater(t, plans, 5)
	require.NoError(t, c.CheckInvariants())
}

// Guards against batch work that gets resources freed while the Plans are at the batch queues: they must go to the
// urgent queues, which earlier Plans have already considered.
func TestFreedResourcesGoToUrgentWorkFirst(t *testing.T) {
	c, running := crowdedCell()
	now := epoch
	for i, id := range running {
		for range 5 {
			p, _ := c.PlanWork(now, 1000)
			require.True(t, p.More, "release %d does not happen between two Plans of a cycle", i)
			require.Empty(t, p.Starts)
		}
		c.Release(id)
		p, _ := c.PlanWork(now, 1000)
		require.Len(t, p.Starts, 1)
		require.Zero(t, p.Starts[0].Task.Job.Seq/3%4, "a batch task got the freed resources")
		for p.More {
			p = c.Plan(now, 1000)
		}
		now = now.Add(time.Second)
	}
}

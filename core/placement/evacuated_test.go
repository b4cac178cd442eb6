package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

func putWorker(c *placement.Cell, i int, change func(*placement.Worker)) {
	w := placement.Worker{ID: workerID(i), Rack: ident.Rack(workerID(i)), Capacity: vec(4000, 4000, 0)}
	if change != nil {
		change(&w)
	}
	c.UpsertWorker(w)
}

func evacuate(w *placement.Worker) { w.Evacuated = true }

// Guards against starts on evacuated workers by any way of placing a task, also if they accept probes or are the last
// resort of restarts, and against a job that counts as impossible because it fits only there.
func TestEvacuatedWorkerTakesNothing(t *testing.T) {
	for name, change := range map[string]func(*placement.Worker){
		"evacuated":   func(*placement.Worker) {},
		"probe":       func(w *placement.Worker) { w.Quarantined, w.AcceptsProbe = true, true },
		"last resort": func(w *placement.Worker) { w.Quarantined, w.LastResort = true, true },
	} {
		t.Run(name, func(t *testing.T) {
			c := placement.NewCell(1, placement.Options{})
			putWorker(c, 0, func(w *placement.Worker) {
				change(w)
				w.Evacuated = true
			})
			putWorker(c, 1, func(w *placement.Worker) { w.Capacity = vec(1000, 1000, 0) })
			large := pendingTask(1, "etl", vec(2000, 2000, 0))
			restart := pendingTask(2, "serving", vec(2000, 2000, 0))
			restart.Lasting, restart.Restart = true, true
			c.Submit([]placement.Pending{large, restart})
			for i := range 50 {
				p := c.Plan(epoch.Add(time.Duration(i)*200*time.Millisecond), 100)
				require.Empty(t, p.Starts)
				require.Empty(t, p.Impossible)
			}
			for _, w := range c.LongestWaiting(epoch.Add(time.Minute), time.Second, 10) {
				require.Equal(t, placement.WaitEvacuated, w.Reason)
			}
			putWorker(c, 0, nil)
			require.NotEmpty(t, c.Plan(epoch.Add(time.Minute), 100).Starts)
		})
	}
}

// Guards against a claim that keeps its task waiting for an evacuated worker while another worker has room.
func TestClaimOnEvacuatedWorkerIsReleased(t *testing.T) {
	c := placement.NewCell(1, placement.Options{})
	putWorker(c, 0, nil)
	c.Submit([]placement.Pending{pendingTask(1, "etl", vec(3000, 3000, 0))})
	require.Len(t, c.Plan(epoch, 100).Starts, 1)
	restart := pendingTask(2, "serving", vec(2000, 2000, 0))
	restart.Lasting, restart.Restart = true, true
	c.Submit([]placement.Pending{restart})
	now := epoch.Add(time.Second)
	require.Empty(t, c.Plan(now, 100).Starts)
	putWorker(c, 1, nil)
	putWorker(c, 0, evacuate)
	starts := c.Plan(now.Add(10*time.Millisecond), 100).Starts
	require.Len(t, starts, 1)
	require.Equal(t, workerID(1), starts[0].Worker)
	c.Release(pendingTask(1, "etl", vec(0, 0, 0)).Task)
	require.Empty(t, c.Plan(now.Add(time.Second), 100).Starts)
}

// Guards against an evacuation that makes most of the capacity count as used: a job without anything at work must get a
// task started while less than half of what the pool has is booked.
func TestEvacuatedCapacityCountsForThePool(t *testing.T) {
	c := placement.NewCell(1, placement.Options{})
	for i := range 3 {
		putWorker(c, i, nil)
	}
	c.Submit([]placement.Pending{pendingTask(1, "etl", vec(4000, 4000, 0)), pendingTask(2, "etl", vec(1000, 1000, 0))})
	c.Plan(epoch, 100)
	putWorker(c, 2, evacuate)
	waiting := pendingTask(3, "etl", vec(4000, 4000, 0))
	c.Submit([]placement.Pending{waiting})
	require.Empty(t, c.Plan(epoch.Add(time.Second), 100).Starts)
	w := c.LongestWaiting(epoch.Add(time.Minute), time.Second, 1)
	require.Len(t, w, 1)
	require.InDelta(t, 5.0/12, w[0].PoolUse, 0.001)
}

// Guards against a planner that waits for the end of a task whose eviction was refused, books it twice, or never evicts it
// again.
func TestRevokedEviction(t *testing.T) {
	c := placement.NewCell(1, placement.Options{MinThrottle: 1})
	rows := []table.Row{{Name: "serve"}, {Name: "etl"}}
	rows[1].SetPriority(2)
	c.SetTable(table.New(1, rows))
	putWorker(c, 0, nil)
	batch := pendingTask(1, "etl", vec(4000, 4000, 0))
	c.Submit([]placement.Pending{batch})
	started := c.Plan(epoch, 100).Starts
	require.Len(t, started, 1)
	restart := lastingTask(2, 2)
	restart.Need = vec(2000, 2000, 0)
	c.Submit([]placement.Pending{restart})
	now := epoch.Add(time.Second)
	require.Len(t, c.Plan(now, 100).Evictions, 1)
	c.Restore(placement.Running{Pending: batch, Worker: workerID(0), StartedAt: epoch})
	require.Equal(t, vec(4000, 4000, 0), c.Booked(workerID(0)))
	require.True(t, c.Cancel(restart.Task))
	c.Submit([]placement.Pending{restart})
	now = now.Add(time.Second)
	again := c.Plan(now, 100)
	require.Empty(t, again.Starts)
	require.Len(t, again.Evictions, 1)
	c.Release(batch.Task)
	require.Len(t, c.Plan(now.Add(time.Second), 100).Starts, 1)
	require.Equal(t, vec(2000, 2000, 0), c.Booked(workerID(0)))
}

package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// Guards against a cell whose sound workers are full and whose quarantined workers never get a probe, because only
// urgent and lasting tasks wait.
func TestUrgentAndLastingTasksBecomeProbes(t *testing.T) {
	urgent := pendingTask(1, "web", vec(4000, 1000, 0))
	newLasting := lastingTask(1, 1)
	for name, waiting := range map[string]placement.Pending{"urgent": urgent, "lasting": newLasting} {
		t.Run(name, func(t *testing.T) {
			c := cellOf(3, vec(16_000, 32_000, 0))
			for n := range 3 {
				p := lastingTask(10+n, 1)
				p.Need = vec(16_000, 32_000, 0)
				c.Submit([]placement.Pending{p})
			}
			require.Len(t, c.Plan(epoch, 10).Starts, 3)
			bad := placement.Worker{ID: workerID(2), Rack: "r", Capacity: vec(32_000, 64_000, 0), Quarantined: true, LastResort: true}
			c.UpsertWorker(bad)
			more := waiting
			more.Task = taskID(2)
			c.Submit([]placement.Pending{waiting, more})
			at := func(d time.Duration) placement.Plan { return c.Plan(epoch.Add(d), 10) }
			for d := time.Duration(0); d <= 5*time.Second; d += 100 * time.Millisecond {
				require.Empty(t, at(d).Starts, "the worker accepts no probe yet")
			}
			bad.AcceptsProbe = true
			c.UpsertWorker(bad)
			p := at(5100 * time.Millisecond)
			require.Len(t, p.Starts, 1, "one probe at a time")
			require.Equal(t, workerID(2), p.Starts[0].Worker)
			require.Empty(t, at(5200*time.Millisecond).Starts)
			require.NoError(t, c.CheckInvariants())
		})
	}
}

// Guards against urgent tasks that go to a worker which fails what it starts although a sound one has room soon.
func TestUrgentTaskPrefersSoundWorkers(t *testing.T) {
	c := cellOf(2, vec(16_000, 32_000, 0))
	c.UpsertWorker(placement.Worker{
		ID: workerID(1), Rack: "r", Capacity: vec(16_000, 32_000, 0), Quarantined: true, AcceptsProbe: true, LastResort: true,
	})
	running := pendingTask(1, "web", vec(16_000, 32_000, 0))
	waiting := pendingTask(2, "web", vec(16_000, 32_000, 0))
	c.Submit([]placement.Pending{running, waiting})
	require.Len(t, c.Plan(epoch, 10).Starts, 1)
	require.Empty(t, c.Plan(epoch.Add(time.Second), 10).Starts)
	c.Release(running.Task)
	p := c.Plan(epoch.Add(1100*time.Millisecond), 10)
	require.True(t, hasStart(p, waiting))
	require.Equal(t, workerID(0), p.Starts[0].Worker)
}

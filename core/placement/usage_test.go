package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// cellOf returns a cell with the test table and n workers of equal capacity, each on its own rack.
func cellOf(n int, capacity resource.Vector) *placement.Cell {
	c := placement.NewCell(5, placement.Options{})
	c.SetTable(testTable())
	for w := range n {
		c.UpsertWorker(placement.Worker{ID: workerID(w), Rack: ident.Rack(workerID(w)), Capacity: capacity})
	}
	return c
}

func pendingTask(n int, class ident.ClassName, need resource.Vector) placement.Pending {
	return placement.Pending{
		Task: taskID(n), Attempt: 1, Class: class, Tenant: "t", Kind: classKinds[class], Need: need, RunTime: time.Minute,
		SubmittedAt: epoch,
	}
}

// Guards against bookings below the measured usage of a class: after usage of twice the declared processors the
// next task of the class must be booked for at least that, in proportion to its own size, and never below its
// declared size.
func TestBookingFollowsUsageOfClass(t *testing.T) {
	c := cellOf(4, vec(64_000, 64_000, 0))
	for i := range 20 {
		c.Submit([]placement.Pending{pendingTask(i, "etl", vec(1000, 1000, 0))})
	}
	require.Len(t, c.Plan(epoch, 100).Starts, 20)
	for i := range 20 {
		c.Observe([]placement.Observation{{Task: taskID(i), Usage: vec(2000, 500, 0), At: epoch}})
		c.Release(taskID(i))
	}
	c.Submit([]placement.Pending{pendingTask(100, "etl", vec(1000, 1000, 0)), pendingTask(101, "etl", vec(500, 800, 0))})
	starts := c.Plan(epoch.Add(time.Second), 10).Starts
	require.Len(t, starts, 2)
	for i, declared := range []resource.Vector{vec(1000, 1000, 0), vec(500, 800, 0)} {
		require.GreaterOrEqual(t, starts[i].Booked.MilliCPU, 2*declared.MilliCPU)
		require.LessOrEqual(t, starts[i].Booked.MilliCPU, 9*declared.MilliCPU/4)
		require.Equal(t, declared.MemoryMB, starts[i].Booked.MemoryMB)
	}
}

// Guards against a worker that stays overloaded: excess processors must be throttled without an eviction, excess
// memory must evict batch tasks and never the urgent one, and nothing may start there meanwhile.
func TestUsageAboveCapacityIsRelieved(t *testing.T) {
	for name, usage := range map[string]resource.Vector{"processors": vec(6000, 0, 0), "memory": vec(0, 9000, 0)} {
		t.Run(name, func(t *testing.T) {
			c := cellOf(1, vec(10_000, 10_000, 0))
			c.Submit([]placement.Pending{
				pendingTask(1, "web", vec(2000, 1000, 0)), pendingTask(2, "etl", vec(4000, 4000, 0)), pendingTask(3, "etl", vec(4000, 4000, 0)),
			})
			require.Len(t, c.Plan(epoch, 10).Starts, 3)
			c.Observe([]placement.Observation{{Task: taskID(1), Usage: usage, At: epoch}})
			p := c.Plan(epoch.Add(time.Second), 10)
			require.Empty(t, p.Starts)
			if name == "processors" {
				require.Empty(t, p.Evictions)
				require.Len(t, p.Throttles, 2)
				require.Equal(t, vec(10_000, 9000, 0), c.Booked("wA"))
				return
			}
			require.Len(t, p.Evictions, 2)
			for _, e := range p.Evictions {
				require.NotEqual(t, taskID(1), e.Task)
				require.Equal(t, taskID(1), e.Beneficiary)
			}
		})
	}
}

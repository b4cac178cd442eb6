package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// Guards against urgent tasks that wait although evictable tasks hold what they need: the first Plan must start the
// task or evict for it, and once the evicted tasks are released the next Plan must start it.
func TestUrgentTaskDisplacesBatchTasks(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(2, 6).Draw(t, "workers")
		c := cellOf(workers, vec(16_000, 16_000, 0))
		now, lastTask := epoch, 0
		for range workers * 8 {
			lastTask++
			size := rapid.Int64Range(2000, 4000)
			c.Submit([]placement.Pending{pendingTask(lastTask, "etl", vec(size.Draw(t, "cpu"), size.Draw(t, "mem"), 0))})
		}
		c.Plan(now, 1000)
		now = now.Add(time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second)
		need := rapid.Int64Range(1, 8000)
		urgent := pendingTask(lastTask+1, "web", vec(need.Draw(t, "cpu"), need.Draw(t, "mem"), 0))
		c.Submit([]placement.Pending{urgent})
		p := c.Plan(now, 1000)
		if hasStart(p, urgent) {
			require.Empty(t, p.Evictions)
			return
		}
		require.NotEmpty(t, p.Evictions, "the urgent task neither starts nor displaces tasks")
		require.Empty(t, startsOn(p, p.Evictions[0].Worker), "start on resources that are not released yet")
		for _, e := range p.Evictions {
			require.Equal(t, urgent.Task, e.Beneficiary)
			require.False(t, hasStart(c.Plan(now, 1000), urgent), "started before the release of all evicted tasks")
			c.Release(e.Task)
		}
		require.True(t, hasStart(c.Plan(now, 1000), urgent))
	})
}

func hasStart(p placement.Plan, task placement.Pending) bool {
	for _, s := range p.Starts {
		if s.Task == task.Task {
			return true
		}
	}
	return false
}

func startsOn(p placement.Plan, worker any) []placement.Start {
	var starts []placement.Start
	for _, s := range p.Starts {
		if s.Worker == worker {
			starts = append(starts, s)
		}
	}
	return starts
}

// Guards against needless evictions: where only processors are short, tasks must be throttled instead.
func TestThrottlingIsPreferredToEviction(t *testing.T) {
	c := cellOf(1, vec(16_000, 64_000, 0))
	for i := range 8 {
		c.Submit([]placement.Pending{pendingTask(i, "etl", vec(2000, 1000, 0))})
	}
	require.Len(t, c.Plan(epoch, 10).Starts, 8)
	c.Submit([]placement.Pending{pendingTask(9, "web", vec(4000, 1000, 0))})
	p := c.Plan(epoch.Add(time.Second), 10)
	require.Empty(t, p.Evictions)
	require.Len(t, p.Starts, 1)
	require.Len(t, p.Throttles, 8)
	c.Release(taskID(9))
	p = c.Plan(epoch.Add(2*time.Second), 10)
	require.Len(t, p.Throttles, 8, "throttles must end when the urgent task does")
	for _, th := range p.Throttles {
		require.InDelta(t, 1.0, th.Fraction, 0)
	}
}

// Guards against impossible tasks that wait forever: they must be reported with the failing dimension after
// submission, and also when the only worker that could hold them is removed; a larger worker must make them
// placeable again.
func TestImpossibleTasksAreReported(t *testing.T) {
	c := cellOf(2, vec(16_000, 16_000, 0))
	c.UpsertWorker(placement.Worker{ID: "big", Rack: "r", Capacity: vec(8000, 64_000, 0)})
	c.Submit([]placement.Pending{
		pendingTask(1, "etl", vec(1000, 1000, 1)),
		pendingTask(2, "etl", vec(1000, 32_000, 0)),
		pendingTask(3, "etl", vec(16_000, 32_000, 0)),
		pendingTask(4, "train", vec(50_000, 0, 0)),
	})
	p := c.Plan(epoch, 0)
	require.Equal(t, map[uint64]resource.Dimension{
		1: resource.Accelerators, 3: resource.Processors, 4: resource.Processors,
	}, impossibleDimensions(p))
	c.RemoveWorker("big")
	require.Equal(t, map[uint64]resource.Dimension{2: resource.Memory}, impossibleDimensions(c.Plan(epoch, 10)))
	require.Empty(t, impossibleDimensions(c.Plan(epoch, 10)), "impossible task reported again")
	c.UpsertWorker(placement.Worker{ID: "big", Rack: "r", Capacity: vec(16_000, 64_000, 1)})
	require.Len(t, c.Plan(epoch, 10).Starts, 2)
}

func impossibleDimensions(p placement.Plan) map[uint64]resource.Dimension {
	m := map[uint64]resource.Dimension{}
	for _, i := range p.Impossible {
		m[i.Task.Job.Seq] = i.Dimension
	}
	return m
}

// Guards against cancelled tasks that slow down the next Plan: after 10,000 cancellations the task queued behind
// them must start in the next Plan, and no state of the cancelled ones may remain.
func TestCancelledTasksDoNotDelayTheNextPlan(t *testing.T) {
	c := cellOf(4, vec(16_000, 16_000, 0))
	for i := range 10_001 {
		c.Submit([]placement.Pending{pendingTask(i, "etl", vec(1000, 1000, 0))})
	}
	for i := range 10_000 {
		require.True(t, c.Cancel(taskID(i)))
		require.False(t, c.Cancel(taskID(i)))
	}
	begin := time.Now()
	p := c.Plan(epoch, 10)
	t.Logf("Plan after 10,000 cancellations took %v", time.Since(begin))
	require.True(t, hasStart(p, pendingTask(10_000, "etl", resource.Vector{})))
	require.Len(t, p.Starts, 1)
	require.NoError(t, c.CheckInvariants())
}

// Guards against evictions that leave a class a smaller weighted share than the class of the urgent task: the only
// task of a small class is the cheapest to evict, but a task of the class with the largest share must be evicted.
func TestEvictsFromClassesAboveTheirShare(t *testing.T) {
	c := cellOf(1, vec(16_000, 16_000, 0))
	c.Submit([]placement.Pending{pendingTask(1, "train", vec(100, 2000, 0))})
	for i := range 6 {
		c.Submit([]placement.Pending{pendingTask(2+i, "etl", vec(100, 2000, 0))})
	}
	require.Len(t, c.Plan(epoch, 10).Starts, 7)
	c.Submit([]placement.Pending{pendingTask(9, "web", vec(100, 4000, 0))})
	evictions := c.Plan(epoch.Add(time.Minute), 10).Evictions
	require.Len(t, evictions, 1)
	require.NotEqual(t, taskID(1), evictions[0].Task)
}

// Guards against an urgent task that waits for a worker that does not stop its evicted tasks: after the claim has
// timed out it must be tried on another worker.
func TestUrgentTaskLeavesUnresponsiveWorker(t *testing.T) {
	c := cellOf(2, vec(16_000, 16_000, 0))
	for i := range 16 {
		c.Submit([]placement.Pending{pendingTask(i, "etl", vec(100, 2000, 0))})
	}
	require.Len(t, c.Plan(epoch, 100).Starts, 16)
	urgent := pendingTask(20, "web", vec(100, 2000, 0))
	c.Submit([]placement.Pending{urgent})
	first := c.Plan(epoch.Add(time.Second), 10).Evictions
	require.Len(t, first, 1)
	second := c.Plan(epoch.Add(7*time.Second), 10).Evictions
	require.Len(t, second, 1)
	require.NotEqual(t, first[0].Worker, second[0].Worker)
	c.Release(second[0].Task)
	require.True(t, hasStart(c.Plan(epoch.Add(8*time.Second), 10), urgent))
}

// Guards against a reservation that keeps a large task waiting although another worker has become free.
func TestReservedTaskStartsOnFirstFreeWorker(t *testing.T) {
	c := cellOf(2, vec(16_000, 16_000, 0))
	c.Submit([]placement.Pending{pendingTask(1, "etl", vec(9000, 9000, 0)), pendingTask(2, "etl", vec(9000, 9000, 0))})
	starts := c.Plan(epoch, 10).Starts
	require.Len(t, starts, 2)
	large := pendingTask(3, "etl", vec(16_000, 16_000, 0))
	c.Submit([]placement.Pending{large})
	c.Plan(epoch, 10)
	c.Plan(epoch.Add(3*time.Second), 10)
	c.Submit([]placement.Pending{pendingTask(4, "train", vec(7000, 7000, 0)), pendingTask(5, "train", vec(7000, 7000, 0))})
	p := c.Plan(epoch.Add(4*time.Second), 10)
	require.Len(t, p.Starts, 1, "the free part of the reserved worker is kept for the large task")
	freedWorker := p.Starts[0].Worker
	for _, s := range append(starts, p.Starts...) {
		if s.Worker == freedWorker {
			c.Release(s.Task)
		}
	}
	require.True(t, hasStart(c.Plan(epoch.Add(5*time.Second), 1), large))
	require.NoError(t, c.CheckInvariants())
}

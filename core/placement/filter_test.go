package placement_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// Guards against a job that is lost with one rack: its tasks must be spread over the racks although packing would
// put them together, and a task that fits only on a rack above its share must still start there.
func TestTasksOfJobAreSpreadOverRacks(t *testing.T) {
	c := placement.NewCell(1, placement.Options{})
	racks := map[ident.WorkerID]ident.Rack{}
	for w := range 12 {
		racks[workerID(w)] = ident.Rack(rune('a' + w/3))
		c.UpsertWorker(placement.Worker{ID: workerID(w), Rack: racks[workerID(w)], Capacity: vec(64_000, 64_000, 0)})
	}
	var tasks []placement.Pending
	for i := range 24 {
		p := pendingTask(1, "etl", vec(1000, 1000, 0))
		p.Task.Index = uint32(i)
		tasks = append(tasks, p)
	}
	c.Submit(tasks)
	count := map[ident.Rack]int{}
	for _, s := range c.Plan(epoch, 100).Starts {
		count[racks[s.Worker]]++
	}
	for _, n := range count {
		require.LessOrEqual(t, n, 24/4+2)
	}
	require.Len(t, count, 4)
	for w := range 9 {
		c.RemoveWorker(workerID(w))
	}
	c.Submit(tasks)
	require.Len(t, c.Plan(epoch, 100).Starts, 24-count["d"])
}

// Guards against a worker that fails all tasks and still gets work. In quarantine it must get nothing; while it
// accepts probes, one batch task at a time and no urgent one. A task must not return at once to a worker where it failed.
func TestQuarantinedAndAvoidedWorkers(t *testing.T) {
	c := cellOf(1, vec(16_000, 16_000, 0))
	set := func(quarantined, probe bool) {
		c.UpsertWorker(placement.Worker{ID: "wA", Rack: "a", Capacity: vec(16_000, 16_000, 0), Quarantined: quarantined, AcceptsProbe: probe})
	}
	avoiding := pendingTask(1, "etl", vec(1000, 1000, 0))
	avoiding.Avoid = []ident.WorkerID{"wA"}
	c.Submit([]placement.Pending{avoiding})
	require.Empty(t, c.Plan(epoch, 10).Starts)
	set(true, false)
	c.Submit([]placement.Pending{pendingTask(2, "web", vec(1000, 1000, 0))})
	require.Empty(t, c.Plan(epoch, 10).Starts)
	set(true, true)
	require.Empty(t, c.Plan(epoch, 10).Starts, "urgent task used as a probe")
	c.Submit([]placement.Pending{pendingTask(3, "etl", vec(1000, 1000, 0)), pendingTask(4, "etl", vec(1000, 1000, 0))})
	require.Len(t, c.Plan(epoch, 10).Starts, 1)
	require.Empty(t, c.Plan(epoch, 10).Starts, "second probe at the same time")
	set(false, false)
	require.Len(t, c.Plan(epoch, 10).Starts, 2)
}

// Guards against a task that waits for ever because the workers on which it has not failed are full for good.
func TestTaskReturnsToAvoidedWorkerAfterWaiting(t *testing.T) {
	for name, full := range map[string]bool{"others are full": true, "another has room": false} {
		t.Run(name, func(t *testing.T) {
			c := cellOf(2, vec(16_000, 16_000, 0))
			blocker := lastingTask(1, 1)
			blocker.Need = vec(16_000, 16_000, 0)
			c.Submit([]placement.Pending{blocker})
			started := c.Plan(epoch, 10).Starts
			require.Len(t, started, 1)
			fullWorker, idleWorker := started[0].Worker, workerID(0)
			if fullWorker == idleWorker {
				idleWorker = workerID(1)
			}
			avoiding := pendingTask(2, "etl", vec(1000, 1000, 0))
			avoiding.Avoid = []ident.WorkerID{idleWorker}
			c.Submit([]placement.Pending{avoiding})
			require.Empty(t, c.Plan(epoch.Add(1900*time.Millisecond), 10).Starts)
			want := idleWorker
			if !full {
				c.Release(blocker.Task)
				want = fullWorker
			}
			p := c.Plan(epoch.Add(2*time.Second), 10)
			require.True(t, hasStart(p, avoiding))
			require.Equal(t, want, p.Starts[0].Worker)
		})
	}
}

// Guards against a worker that stays in quarantine forever because a lasting task runs on it, and against a probe
// that never ends.
func TestQuarantinedWorkerIsProbedBesideLastingTasks(t *testing.T) {
	c := placement.NewCell(1, placement.Options{})
	set := func(quarantined, probe bool) {
		c.UpsertWorker(placement.Worker{ID: "wA", Rack: "a", Capacity: vec(16_000, 16_000, 0), Quarantined: quarantined, AcceptsProbe: probe})
	}
	lasting := func(seq int) placement.Pending {
		p := pendingTask(seq, "etl", vec(1000, 1000, 0))
		p.Lasting = true
		return p
	}
	set(false, false)
	c.Submit([]placement.Pending{lasting(1), lasting(2)})
	require.Len(t, c.Plan(epoch, 10).Starts, 2)
	set(true, false)
	c.Submit([]placement.Pending{pendingTask(3, "etl", vec(1000, 1000, 0)), pendingTask(4, "etl", vec(1000, 1000, 0))})
	require.Empty(t, c.Plan(epoch, 10).Starts)
	set(true, true)
	c.Submit([]placement.Pending{lasting(5)})
	starts := c.Plan(epoch, 10).Starts
	require.Len(t, starts, 1)
	require.NotEqual(t, lasting(5).Task, starts[0].Task, "lasting task used as a probe")
	require.Empty(t, c.Plan(epoch, 10).Starts, "second probe at the same time")
	c.Release(starts[0].Task)
	require.Len(t, c.Plan(epoch, 10).Starts, 1)
}

// Guards against a fleet limit that the cells together exceed or do not use: their shares must add up to it.
func TestLimitsAreDividedOverCells(t *testing.T) {
	etlStarts, trainMilliCPU := 0, int64(0)
	for cell := range 3 {
		c := placement.NewCell(1, placement.Options{Cell: ident.CellID(cell), Cells: 3})
		c.SetTable(table.New(1, []table.Row{
			{Name: "etl", Kind: table.Batch, Weight: 1, Concurrency: 10},
			{Name: "train", Kind: table.Batch, Weight: 1, Resources: vec(20_000, 0, 0)},
		}))
		c.UpsertWorker(placement.Worker{ID: "w", Rack: "r", Capacity: vec(640_000, 640_000, 0)})
		for i := range 40 {
			class := ident.ClassName("etl")
			if i >= 20 {
				class = "train"
			}
			c.Submit([]placement.Pending{pendingTask(i, class, vec(1000, 1000, 0))})
		}
		for _, s := range c.Plan(epoch, 100).Starts {
			if s.Task.Job.Seq < 20 {
				etlStarts++
			} else {
				trainMilliCPU += s.Booked.MilliCPU
			}
		}
	}
	require.Equal(t, 10, etlStarts)
	c := cellOf(1, vec(64_000, 64_000, 0))
	c.SetLimitShare(2, 0)
	for i := range 10 {
		c.Submit([]placement.Pending{pendingTask(i, "api", vec(1000, 1000, 0))})
	}
	require.Len(t, c.Plan(epoch, 100).Starts, 3, "half of the concurrency limit of 6")
	require.LessOrEqual(t, trainMilliCPU, int64(20_000))
	require.Greater(t, trainMilliCPU, int64(20_000-3*1000))
}

// Guards against unlocked state: calls from several goroutines must neither race nor corrupt the sums of the cell.
func TestConcurrentCalls(t *testing.T) {
	c := cellOf(8, vec(16_000, 16_000, 0))
	var wg sync.WaitGroup
	for g := range 4 {
		wg.Go(func() {
			for i := range 300 {
				id := g*1000 + i
				c.Submit([]placement.Pending{pendingTask(id, "etl", vec(2000, 2000, 0)), pendingTask(id+500, "web", vec(500, 500, 0))})
				for _, s := range c.Plan(epoch.Add(time.Duration(i)*time.Second), 10).Starts {
					c.Observe([]placement.Observation{{Task: s.Task, Usage: vec(2500, 100, 0), Slowdown: 1.5, At: epoch}})
					c.Checkpointed(s.Task, epoch)
					c.Release(s.Task)
				}
				c.Cancel(taskID(id))
			}
		})
	}
	wg.Wait()
	require.NoError(t, c.CheckInvariants())
}

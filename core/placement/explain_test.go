package placement_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// Guards against a task that could run and does not without a word why: the reason must name what keeps it waiting
// at the time of the call.
func TestWaitingTasksAreExplained(t *testing.T) {
	const workers = 3
	small := vec(1000, 1000, 0)
	task := func(change func(*placement.Pending)) placement.Pending {
		p := pendingTask(100, "etl", small)
		change(&p)
		return p
	}
	full := func(c *placement.Cell) {
		for i := range workers {
			c.Submit([]placement.Pending{pendingTask(i, "etl", vec(16_000, 16_000, 0))})
		}
		c.Plan(epoch, 100)
	}
	setWorkers := func(c *placement.Cell, change func(*placement.Worker)) {
		for i := range workers {
			w := placement.Worker{ID: workerID(i), Rack: ident.Rack(workerID(i)), Capacity: vec(16_000, 16_000, 0)}
			change(&w)
			c.UpsertWorker(w)
		}
	}
	serve := func(c *placement.Cell, tail float64) {
		var obs []placement.Observation
		for i := range workers {
			p := servingTask(i)
			p.Need = vec(4000, 1000, 0)
			c.Submit([]placement.Pending{p})
			obs = append(obs, placement.Observation{Task: p.Task, TailRatio: tail, At: epoch})
		}
		c.Plan(epoch, 100)
		c.Observe(obs)
	}
	for _, tc := range []struct {
		name    string
		prepare func(c *placement.Cell)
		task    placement.Pending
		after   time.Duration
		want    placement.WaitReason
		room    int
	}{
		{name: "no room", prepare: full, task: task(func(*placement.Pending) {}), want: placement.WaitRoom},
		{
			name: "the class is at its limit",
			prepare: func(c *placement.Cell) {
				for i := range 6 {
					c.Submit([]placement.Pending{pendingTask(i, "api", small)})
				}
			},
			task: pendingTask(100, "api", small), want: placement.WaitLimit, room: workers,
		},
		{
			name: "leaving",
			prepare: func(c *placement.Cell) {
				setWorkers(c, func(w *placement.Worker) { w.Leaving = true })
			},
			task: task(func(*placement.Pending) {}), want: placement.WaitLeaving, room: workers,
		},
		{
			name: "quarantine",
			prepare: func(c *placement.Cell) {
				setWorkers(c, func(w *placement.Worker) { w.Quarantined = true })
			},
			task: task(func(*placement.Pending) {}), want: placement.WaitQuarantine, room: workers,
		},
		{
			name: "avoided workers, which are the majority",
			prepare: func(c *placement.Cell) {
				c.UpsertWorker(placement.Worker{ID: workerID(0), Rack: "r", Capacity: vec(16_000, 16_000, 0), Leaving: true})
			},
			task: task(func(p *placement.Pending) { p.Avoid = []ident.WorkerID{workerID(1), workerID(2)} }), want: placement.WaitAvoid, room: workers,
		},
		{name: "pool", task: task(func(p *placement.Pending) { p.Pool = "none" }), want: placement.WaitPool, room: workers},
		{name: "label", task: task(func(p *placement.Pending) { p.Constraints.Label = "none" }), want: placement.WaitLabel, room: workers},
		{
			name: "the limit per worker",
			prepare: func(c *placement.Cell) {
				for i := range workers {
					p := task(func(p *placement.Pending) { p.Constraints.MaxPerWorker = 1 })
					p.Task.Index = uint32(1 + i)
					c.Submit([]placement.Pending{p})
				}
			},
			task: task(func(p *placement.Pending) { p.Constraints.MaxPerWorker = 1 }), want: placement.WaitPerWorker, room: workers,
		},
		{
			name: "fillers share too few processors",
			prepare: func(c *placement.Cell) {
				for i := range workers {
					p := fillerTask(10+i, "image")
					p.Need.MilliCPU = 16_000
					c.Submit([]placement.Pending{p})
				}
			},
			task: fillerTask(100, "image"), want: placement.WaitProcessors, room: workers,
		},
		{
			name:    "a serving task is near its target everywhere",
			prepare: func(c *placement.Cell) { serve(c, 0.95) },
			task:    fillerTask(100, "image"), want: placement.WaitTail, room: workers,
		},
		{
			name: "a claim that is not complete", prepare: full, task: pendingTask(100, "etl", vec(12_000, 1000, 0)),
			after: 3 * time.Second, want: placement.WaitClaim,
		},
		{name: "impossible", task: pendingTask(100, "etl", vec(17_000, 1000, 0)), want: placement.WaitImpossible},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c := cellOf(workers, vec(16_000, 16_000, 0))
			if tc.prepare != nil {
				tc.prepare(c)
			}
			c.Plan(epoch, 100)
			c.Submit([]placement.Pending{tc.task})
			for at := epoch; !at.After(epoch.Add(tc.after)); at = at.Add(time.Second) {
				require.Empty(t, c.Plan(at, 100).Starts)
			}
			now := epoch.Add(tc.after + time.Second)
			require.Empty(t, c.LongestWaiting(now, tc.after+2*time.Second, 8))
			found := c.LongestWaiting(now, time.Second, 8)
			require.Len(t, found, 1)
			require.Equal(t, tc.task.Task, found[0].Task)
			require.Equal(t, tc.want, found[0].Reason, found[0])
			require.Equal(t, tc.room, found[0].WorkersWithRoom, found[0])
			require.NotEmpty(t, found[0].Reason.Description())
			require.Equal(t, tc.after+time.Second, found[0].Waited)
			require.NoError(t, c.CheckInvariants())
		})
	}
}

// Guards against a task that a worker would take and that is reported as if none would: it waits behind others, or
// until the pause after an unsuccessful search ends.
func TestTasksThatAWorkerWouldTakeAreExplained(t *testing.T) {
	c := cellOf(2, vec(64_000, 64_000, 0))
	c.Submit([]placement.Pending{pendingTask(1, "etl", vec(1000, 1000, 0)), pendingTask(2, "etl", vec(1000, 1000, 0))})
	require.Len(t, c.Plan(epoch, 1).Starts, 1)
	found := c.LongestWaiting(epoch.Add(time.Second), time.Second, 8)
	require.Len(t, found, 1)
	require.Equal(t, placement.WaitQueue, found[0].Reason)

	c = cellOf(2, vec(64_000, 64_000, 0))
	var met []placement.Observation
	for i := range 2 {
		c.Submit([]placement.Pending{servingTask(i)})
		met = append(met, placement.Observation{Task: servingTask(i).Task, TailRatio: 0.3, At: epoch})
	}
	c.Plan(epoch, 10)
	missed := append([]placement.Observation{}, met...)
	for i := range missed {
		missed[i].TailRatio = 2
	}
	c.Observe(missed)
	c.Submit([]placement.Pending{fillerTask(10, "image")})
	require.Empty(t, c.Plan(epoch, 10).Starts)
	c.Observe(met)
	require.Empty(t, c.Plan(epoch.Add(20*time.Millisecond), 10).Starts)
	found = c.LongestWaiting(epoch.Add(time.Second), time.Second, 8)
	require.Len(t, found, 1)
	require.Equal(t, placement.WaitPause, found[0].Reason, found[0])
}

// Guards against a call that takes long in a large cell, where each explanation looks at many workers.
func TestExplanationsAreBoundedInLargeCells(t *testing.T) {
	const workers, tasks = 700, 50
	c := cellOf(0, vec(0, 0, 0))
	for i := range workers {
		c.UpsertWorker(placement.Worker{ID: ident.WorkerID(fmt.Sprint("w", i)), Rack: "r", Capacity: vec(16_000, 16_000, 0), Quarantined: true})
	}
	for i := range tasks {
		c.Submit([]placement.Pending{pendingTask(i, "etl", vec(1000, 1000, 0))})
	}
	c.Plan(epoch, 10)
	found := c.LongestWaiting(epoch.Add(time.Second), time.Second, tasks)
	require.LessOrEqual(t, len(found), placement.MaxExplainWork/workers+1)
	require.NotEmpty(t, found)
}

// Guards against a cost that grows with the queue, and against tasks that are never explained because others have
// waited for longer.
func TestExplanationsAreBoundedAndReachEveryTask(t *testing.T) {
	const tasks, perCall = 100, 8
	c := cellOf(1, vec(16_000, 16_000, 0))
	c.Submit([]placement.Pending{pendingTask(0, "etl", vec(16_000, 16_000, 0))})
	c.Plan(epoch, 10)
	for i := range tasks {
		c.Submit([]placement.Pending{pendingTask(1+i, "etl", vec(16_000, 16_000, 0))})
	}
	seen := map[ident.TaskID]int{}
	for i := range tasks/perCall + 1 {
		now := epoch.Add(time.Duration(3+i) * time.Second)
		c.Plan(now, 10)
		found := c.LongestWaiting(now, 3*time.Second, perCall)
		require.LessOrEqual(t, len(found), perCall)
		for _, w := range found {
			seen[w.Task]++
			require.GreaterOrEqual(t, w.Waited, 3*time.Second)
		}
	}
	require.Len(t, seen, tasks)
	require.NoError(t, c.CheckInvariants())
}

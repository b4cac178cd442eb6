package placement_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// oscillating is the load of a deployment whose lasting tasks hold four fifths of the processors: urgent groups of 10
// tasks of up to 12 cores, batch groups of 20 tasks of up to 7 cores, and a demand that oscillates by 0.55 with a period
// of 15 s.
func oscillating(workers int, load float64) replayLoad {
	l := replayLoad{
		serving: 0.8, servingCores: 6.4, length: 60 * time.Second, declaredError: 0.5, stragglers: 0.03,
		demand: func(at time.Duration) float64 { return 1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/15) },
	}
	for i := range workers {
		l.workers = append(l.workers, []int64{32, 32, 48}[i%3])
	}
	n := float64(workers) / 350 * load
	l.classes = []replayClass{
		{
			name: "web", kind: table.LatencyCritical, rate: 12 * n, groups: 1, tasks: 10, run: 850 * time.Millisecond, objective: true,
			size: func(rng *rand.Rand) float64 { return min(12, 1+3.1*rng.ExpFloat64()) }, large: 6,
		},
		{
			name: "etl", kind: table.Batch, rate: 6.9 * n, groups: 2, tasks: 20, run: 1900 * time.Millisecond,
			size: func(rng *rand.Rand) float64 { return 0.5 + 6*rng.Float64() }, large: 5,
		},
	}
	return l
}

// behindSmall is a stream of small tasks in which a few tasks need half a worker. Demand comes in bursts of 2.6 times
// the mean.
func behindSmall(workers int, load float64) replayLoad {
	l := replayLoad{
		serving: 0.4, servingCores: 3, length: 60 * time.Second, declaredError: 0.5, stragglers: 0.03,
		demand: func(at time.Duration) float64 {
			if at%(20*time.Second) < 4*time.Second {
				return 2.6
			}
			return 0.6
		},
	}
	for range workers {
		l.workers = append(l.workers, 16)
	}
	n := float64(workers) / 350 * load
	size := func(rng *rand.Rand) float64 { return min(8, 0.6+1.2*rng.ExpFloat64()) }
	l.classes = []replayClass{
		{name: "web", kind: table.LatencyCritical, rate: 57 * n, groups: 1, tasks: 10, run: time.Second, objective: true, size: size, large: 4},
		{name: "etl", kind: table.Batch, rate: 15.3 * n, groups: 2, tasks: 20, run: 2200 * time.Millisecond, size: size, large: 4},
	}
	return l
}

// compareOrders runs a load without and with look-ahead for some seeds and returns the total waits of the large and the
// small tasks of the urgent class and of all classes.
func compareOrders(t *testing.T, l replayLoad, seeds uint64) (before, after replayTotals) {
	for seed := range seeds {
		for _, order := range []struct {
			off  bool
			into *replayTotals
		}{{true, &before}, {false, &after}} {
			r := l.run(seed, placement.Options{NoLookAhead: order.off}, nil)
			require.NoError(t, r.invariantError)
			require.Zero(t, r.unstarted, "tasks did not start within 20 s after the last arrival")
			order.into.add(r)
		}
	}
	t.Logf("without look-ahead: %v", before)
	t.Logf("with look-ahead:    %v", after)
	return before, after
}

// maxSmallRise bounds by how much the total wait of small tasks may rise.
const maxSmallRise = 1.15

// Guards against large urgent tasks that wait long because small ones take what becomes free, where most of the
// processors are held for good and demand oscillates. The small tasks must not pay for it by more than the bound.
func TestLookAheadWithOscillatingDemand(t *testing.T) {
	before, after := compareOrders(t, oscillating(60, 0.8), 6)
	require.Less(t, after.urgentLarge, 0.6*before.urgentLarge)
	require.Less(t, after.large, before.large)
	require.Less(t, after.small, maxSmallRise*before.small)
	require.Less(t, after.longest, before.longest)
}

// Guards against bounds on reservations and forecasts that leave nothing of the gain in a cell of the real size. There are
// more large tasks for each small one that pays for them, so that the bound for small tasks is larger.
func TestLookAheadInALargeCell(t *testing.T) {
	before, after := compareOrders(t, oscillating(350, 0.8), 2)
	require.Less(t, after.urgentLarge, 0.6*before.urgentLarge)
	require.Less(t, after.large+after.small, before.large+before.small)
	require.Less(t, after.small, 1.25*before.small)
	require.Less(t, after.longest, before.longest)
}

// Guards against large tasks that wait behind a stream of small ones in bursts of demand.
func TestLookAheadBehindAStreamOfSmallTasks(t *testing.T) {
	before, after := compareOrders(t, behindSmall(60, 0.6), 6)
	require.Less(t, after.urgentLarge, 0.8*before.urgentLarge)
	require.Less(t, after.large, before.large)
	require.Less(t, after.small, maxSmallRise*before.small)
	require.Less(t, after.longest, before.longest)
}

// Guards against look-ahead that changes placements where nothing waits: starts, workers and their order must be the
// same.
func TestCellWithoutWaitingTasksPlacesAsBefore(t *testing.T) {
	l := oscillating(60, 0.15)
	l.classes[0].size = func(rng *rand.Rand) float64 { return 1 + 3*rng.Float64() }
	for seed := range uint64(5) {
		before := l.run(seed, placement.Options{NoLookAhead: true}, nil)
		after := l.run(seed, placement.Options{}, nil)
		require.Zero(t, before.longest, "a task waited, so that the load does not test this")
		require.Greater(t, len(before.starts), 300)
		require.Equal(t, before.starts, after.starts)
	}
}

// Guards against leaving workers that keep their reservations: tasks must start elsewhere, and none there.
func TestWorkersLeaveWhileReserved(t *testing.T) {
	for seed := range uint64(4) {
		l := oscillating(60, 0.6)
		left, reserved := map[ident.WorkerID]bool{}, 0
		started := 0
		r := l.run(seed, placement.Options{}, func(r *replay) {
			for _, s := range r.result.starts[started:] {
				require.False(t, left[s.Worker], "task %v started on %s, which is leaving", s.Task, s.Worker)
			}
			started = len(r.result.starts)
			for _, id := range r.cell.ReservedWorkers() {
				if len(left) >= 5 {
					break
				}
				left[id] = true
				reserved++
				i := 0
				_, err := fmt.Sscanf(string(id), "w%d", &i)
				require.NoError(t, err)
				r.cell.UpsertWorker(placement.Worker{ID: id, Rack: "r0", Capacity: vec(l.workers[i]*1000, 125_000, 0), Leaving: true})
				require.NotContains(t, r.cell.ReservedWorkers(), id)
			}
		})
		require.NoError(t, r.invariantError)
		require.Equal(t, 5, reserved)
		require.Zero(t, r.unstarted)
	}
}

// lookAheadCell returns a cell of full workers of 16 cores. Task 10w+k is the k-th of 4 tasks of 4 cores on worker w. They
// are declared to run for 1 s.
func lookAheadCell(t *testing.T, workers int) *placement.Cell {
	c := cellOf(workers, vec(16_000, 16_000, 0))
	c.SetTable(testTable())
	for w := range workers {
		for k := range 4 {
			p := pendingTask(10*w+k, "etl", vec(4000, 1000, 0))
			p.RunTime = time.Second
			c.Restore(placement.Running{Pending: p, Worker: workerID(w), StartedAt: epoch})
		}
	}
	require.Empty(t, c.Plan(epoch, 100).Starts)
	return c
}

func etlTask(n int, milliCPU int64, run time.Duration) placement.Pending {
	p := pendingTask(n, "etl", vec(milliCPU, 1000, 0))
	p.RunTime = run
	return p
}

func after(d time.Duration) time.Time { return epoch.Add(d) }

// Guards against a reservation that is kept although its forecast was wrong: one of the tasks on the reserved worker takes
// seven times as long. The reservation must expire, and the task must get the next worker that has room.
func TestReservationExpiresWhenATaskTakesSevenTimesAsLong(t *testing.T) {
	c := lookAheadCell(t, 2)
	// Worker 1 frees later, so that worker 0 is reserved.
	for k := range 4 {
		p := pendingTask(10+k, "etl", vec(4000, 1000, 0))
		p.RunTime = 3 * time.Second
		c.Release(p.Task)
		c.Restore(placement.Running{Pending: p, Worker: workerID(1), StartedAt: epoch})
	}
	large := etlTask(100, 16_000, time.Second)
	c.Submit([]placement.Pending{large})
	c.Plan(epoch, 100)
	c.Plan(after(200*time.Millisecond), 100)
	require.Equal(t, []ident.WorkerID{workerID(0)}, c.ReservedWorkers())
	for k := range 3 {
		c.Release(taskID(k))
	}
	require.Empty(t, c.Plan(after(1100*time.Millisecond), 100).Starts)
	c.Plan(after(1800*time.Millisecond), 100)
	require.EqualValues(t, 1, c.LookAhead().Expired)
	require.EqualValues(t, 1, c.LookAhead().Forecasts)
	require.Positive(t, c.LookAhead().ForecastError)
	for k := range 4 {
		c.Release(taskID(10 + k))
	}
	require.True(t, hasStart(c.Plan(after(3*time.Second), 100), large))
	require.NoError(t, c.CheckInvariants())
}

// Guards against reserved room that is idle although a task would end in time, and against one that would delay the
// reserved task.
func TestReservedRoomIsLentToTasksThatEndInTime(t *testing.T) {
	c := lookAheadCell(t, 1)
	large := etlTask(100, 16_000, time.Second)
	c.Submit([]placement.Pending{large})
	c.Plan(epoch, 100)
	c.Plan(after(200*time.Millisecond), 100)
	require.Len(t, c.ReservedWorkers(), 1)
	c.Release(taskID(0))
	long, short := etlTask(101, 4000, 2*time.Second), etlTask(102, 4000, 300*time.Millisecond)
	c.Submit([]placement.Pending{long, short})
	p := c.Plan(after(400*time.Millisecond), 100)
	require.True(t, hasStart(p, short))
	require.False(t, hasStart(p, long))
	require.EqualValues(t, 1, c.LookAhead().Backfilled)
	require.NoError(t, c.CheckInvariants())
	for _, n := range []int{1, 2, 3, 102} {
		c.Release(taskID(n))
	}
	p = c.Plan(after(900*time.Millisecond), 100)
	require.True(t, hasStart(p, large))
	require.EqualValues(t, 1, c.LookAhead().Kept)
}

// Guards against reservations of batch tasks that keep urgent tasks within their share or restarts waiting.
func TestReservationsYield(t *testing.T) {
	for name, first := range map[string]placement.Pending{
		"urgent": pendingTask(200, "web", vec(4000, 1000, 0)),
		"restart": {
			Task: taskID(200), Attempt: 2, Class: "etl", Tenant: "t", Kind: table.Batch, Need: vec(4000, 1000, 0), Lasting: true,
			Restart: true, SubmittedAt: epoch,
		},
	} {
		t.Run(name, func(t *testing.T) {
			c := lookAheadCell(t, 1)
			c.Submit([]placement.Pending{etlTask(100, 16_000, time.Second)})
			c.Plan(epoch, 100)
			c.Plan(after(200*time.Millisecond), 100)
			require.Len(t, c.ReservedWorkers(), 1)
			c.Release(taskID(0))
			c.Plan(after(210*time.Millisecond), 100)
			c.Submit([]placement.Pending{first})
			p := c.Plan(after(220*time.Millisecond), 100)
			require.True(t, hasStart(p, first))
			require.Empty(t, p.Evictions)
			require.EqualValues(t, 1, c.LookAhead().Yielded)
			require.NoError(t, c.CheckInvariants())
		})
	}
}

// Guards against explanations without a time, or with one that counts the same room for several tasks.
func TestExplanationSaysWhenRoomIsExpected(t *testing.T) {
	c := lookAheadCell(t, 1)
	var tasks []placement.Pending
	for n := range 5 {
		tasks = append(tasks, etlTask(100+n, 4000, time.Second))
	}
	c.Submit(tasks[:3])
	c.Plan(epoch, 100)
	found := c.LongestWaiting(after(50*time.Millisecond), 0, 1)
	require.Equal(t, placement.WaitRoom, found[0].Reason)
	require.Equal(t, 3, found[0].Room.Alike)
	require.InDelta(t, 1, found[0].Room.In.Seconds(), 0.06)
	require.InDelta(t, 1, found[0].Room.AllIn.Seconds(), 0.06)
	c.Submit(tasks[3:])
	found = c.LongestWaiting(after(50*time.Millisecond), 0, 1)
	require.Equal(t, 5, found[0].Room.Alike)
	require.Zero(t, found[0].Room.AllIn, "five tasks do not fit on the worker at once")
	c.Plan(after(200*time.Millisecond), 100)
	for _, w := range c.LongestWaiting(after(300*time.Millisecond), 0, 10) {
		if w.Reason == placement.WaitClaim {
			require.InDelta(t, 0.7, w.Room.In.Seconds(), 0.01)
			return
		}
	}
	t.Fatal("no task has a reservation")
}

// Guards against reserved processors that are idle although fillers, which book none and can be paused, would use them.
func TestFillersUseReservedProcessors(t *testing.T) {
	c := lookAheadCell(t, 1)
	c.Submit([]placement.Pending{etlTask(100, 16_000, time.Second)})
	c.Plan(epoch, 100)
	c.Plan(after(200*time.Millisecond), 100)
	require.Len(t, c.ReservedWorkers(), 1)
	c.Release(taskID(0))
	fillers := []placement.Pending{fillerTask(200, "filler"), fillerTask(201, "filler"), fillerTask(202, "filler")}
	for i := range fillers {
		fillers[i].Need = vec(1000, 100, 0)
	}
	c.Submit(fillers)
	require.Len(t, c.Plan(after(300*time.Millisecond), 100).Starts, len(fillers))
	require.NoError(t, c.CheckInvariants())
}

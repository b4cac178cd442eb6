package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	// maxRestartWait is the target: a lasting task must run again within this time while there is capacity for it.
	maxRestartWait = 6 * time.Second
	floodStep      = 100 * time.Millisecond
	floodPerStep   = 20
)

// floodedCell is a cell in which lasting tasks hold four fifths of the capacity while more urgent and batch tasks
// are submitted than fit into the rest.
type floodedCell struct {
	*placement.Cell
	t        *testing.T
	now      time.Time
	nextTask int
	// ends holds when the tasks of the flood end.
	ends    map[ident.TaskID]time.Time
	batch   placement.Pending
	started map[ident.TaskID]placement.Start
}

const (
	floodedWorkers   = 8
	lastingPerWorker = 4
)

func newFloodedCell(t *testing.T, batch placement.Pending) *floodedCell {
	f := &floodedCell{
		Cell: placement.NewCell(1, placement.Options{MinThrottle: 1}), t: t, now: epoch, nextTask: 1000, batch: batch,
		ends: map[ident.TaskID]time.Time{}, started: map[ident.TaskID]placement.Start{},
	}
	rows := []table.Row{{Name: "serve"}, {Name: "web"}, {Name: "etl"}}
	for i, priority := range []int{0, 0, 2} {
		rows[i].SetPriority(priority)
	}
	f.SetTable(table.New(1, rows))
	for w := range floodedWorkers {
		f.UpsertWorker(placement.Worker{ID: workerID(w), Rack: "r", Capacity: vec(64_000, 256_000, 0)})
	}
	for i := range floodedWorkers * lastingPerWorker {
		f.Submit([]placement.Pending{lastingTask(i, 1)})
	}
	f.step(0)
	require.Len(t, f.started, floodedWorkers*lastingPerWorker)
	return f
}

func lastingTask(n int, attempt ident.Attempt) placement.Pending {
	p := pendingTask(n, "serve", vec(13_000, 26_000, 0))
	p.Kind, p.Lasting, p.Restart, p.Attempt = table.LatencyCritical, true, attempt > 1, attempt
	return p
}

// step submits n urgent and n batch tasks, ends those that are done, and plans.
func (f *floodedCell) step(n int) {
	f.now = f.now.Add(floodStep)
	for _, id := range sortedTaskIDs(f.ends) {
		if !f.ends[id].After(f.now) {
			delete(f.ends, id)
			f.Release(id)
		}
	}
	for range n {
		urgent := pendingTask(f.nextTask, "web", vec(4600, 9000, 0))
		urgent.Kind = table.LatencyCritical
		batch := f.batch
		batch.Task = taskID(f.nextTask + 1)
		f.nextTask += 2
		f.Submit([]placement.Pending{urgent, batch})
	}
	for range 256 {
		p := f.Plan(f.now, 64)
		for _, e := range p.Evictions {
			delete(f.ends, e.Task)
			f.Release(e.Task)
		}
		for _, s := range p.Starts {
			f.started[s.Task] = s
			switch {
			case s.Task.Job.Seq < 1000:
			case s.Task.Job.Seq%2 == 0:
				f.ends[s.Task] = f.now.Add(time.Second)
			default:
				f.ends[s.Task] = f.now.Add(4 * time.Second)
			}
		}
		if !p.More && len(p.Evictions) == 0 {
			break
		}
	}
	require.NoError(f.t, f.CheckInvariants())
}

// restart ends lasting tasks and queues their next attempts.
func (f *floodedCell) restart(tasks ...int) {
	for _, n := range tasks {
		delete(f.started, taskID(n))
		f.Release(taskID(n))
		f.Submit([]placement.Pending{lastingTask(n, 2)})
	}
}

// waitForStarts steps until the tasks have started, for at most a minute, and returns how long that took.
func (f *floodedCell) waitForStarts(tasks ...int) time.Duration {
	begin := f.now
	for range int(time.Minute / floodStep) {
		waiting := 0
		for _, n := range tasks {
			if _, ok := f.started[taskID(n)]; !ok {
				waiting++
			}
		}
		if waiting == 0 {
			break
		}
		f.step(floodPerStep)
	}
	return f.now.Sub(begin)
}

func smallBatchTask() placement.Pending {
	p := pendingTask(0, "etl", vec(2000, 4000, 0))
	p.RunTime = 4 * time.Second
	return p
}

func fillerBatchTask() placement.Pending {
	p := pendingTask(0, "etl", vec(7000, 13_000, 0))
	p.RunTime = 4 * time.Second
	p.Constraints.Filler = true
	return p
}

// Guards against a lasting task that cannot restart during a flood, because the tasks of other classes get the
// capacity that it left and all that becomes free later.
func TestFailedLastingTaskStartsAgainInAFlood(t *testing.T) {
	for name, batch := range map[string]placement.Pending{"batch": smallBatchTask(), "fillers": fillerBatchTask()} {
		t.Run(name, func(t *testing.T) {
			f := newFloodedCell(t, batch)
			for range 100 {
				f.step(floodPerStep)
			}
			f.restart(3)
			require.LessOrEqual(t, f.waitForStarts(3), floodStep, "the task must get the capacity that it left")
		})
	}
}

// Guards against lasting tasks of a lost worker that cannot restart during a flood. No worker has capacity for one
// of them at once, so that small parts that become free must be kept for them.
func TestLastingTasksOfALostWorkerStartAgainInAFlood(t *testing.T) {
	for name, batch := range map[string]placement.Pending{"batch": smallBatchTask(), "fillers": fillerBatchTask()} {
		t.Run(name, func(t *testing.T) {
			f := newFloodedCell(t, batch)
			f.UpsertWorker(placement.Worker{ID: "spare", Rack: "r", Capacity: vec(64_000, 256_000, 0)})
			for range 100 {
				f.step(floodPerStep)
			}
			var lost []int
			for _, r := range f.RemoveWorker(workerID(0)) {
				if r.Lasting {
					lost = append(lost, int(r.Task.Job.Seq))
				}
			}
			require.Len(t, lost, lastingPerWorker)
			f.restart(lost...)
			require.LessOrEqual(t, f.waitForStarts(lost...), maxRestartWait)
		})
	}
}

// Guards against urgent tasks that keep a lasting task from running. They are not evicted, but each of them ends,
// and the parts that they free one after another must be kept for it.
func TestLastingTaskGetsWhatUrgentTasksLeave(t *testing.T) {
	c := cellOf(2, vec(14_000, 64_000, 0))
	var running []placement.Start
	for i := range 1000 {
		c.Submit([]placement.Pending{pendingTask(i, "web", vec(4600, 1000, 0))})
	}
	running = append(running, c.Plan(epoch, 100).Starts...)
	require.Len(t, running, 6)
	restart := pendingTask(2000, "web", vec(13_000, 1000, 0))
	restart.Lasting, restart.Restart, restart.Attempt = true, true, 2
	c.Submit([]placement.Pending{restart})
	for i := range 6 {
		p := c.Plan(epoch.Add(time.Duration(i)*time.Second), 100)
		if hasStart(p, restart) {
			return
		}
		running = append(running, p.Starts...)
		c.Release(running[0].Task)
		running = running[1:]
	}
	require.True(t, hasStart(c.Plan(epoch.Add(maxRestartWait), 100), restart), "six urgent tasks have ended, and three fill one worker")
}

// Guards against a restart that displaces tasks that must not be displaced: urgent tasks, other lasting tasks and
// batch tasks whose class allows no eviction.
func TestRestartDisplacesOrdinaryBatchTasksOnly(t *testing.T) {
	c := placement.NewCell(1, placement.Options{MinThrottle: 1})
	c.SetTable(table.New(1, []table.Row{
		{Name: "serve", Kind: table.Batch, Weight: 1, Evictions: 4},
		{Name: "web", Kind: table.LatencyCritical, Weight: 100},
		{Name: "etl", Kind: table.Batch, Weight: 1, Evictions: 4},
		{Name: "fixed", Kind: table.Batch, Weight: 1},
	}))
	for w, class := range []ident.ClassName{"serve", "web", "etl", "fixed"} {
		c.UpsertWorker(placement.Worker{ID: workerID(w), Rack: "r", Capacity: vec(16_000, 64_000, 0)})
		p := pendingTask(100+w, class, vec(16_000, 1000, 0))
		p.Kind, p.Lasting = table.Batch, class == "serve"
		if class == "web" {
			p.Kind = table.LatencyCritical
		}
		c.Submit([]placement.Pending{p})
		require.Len(t, c.Plan(epoch, 10).Starts, 1)
	}
	restart := pendingTask(1, "serve", vec(13_000, 1000, 0))
	restart.Lasting, restart.Restart, restart.Attempt = true, true, 2
	c.Submit([]placement.Pending{restart})
	p := c.Plan(epoch.Add(time.Second), 10)
	require.Len(t, p.Evictions, 1)
	require.Equal(t, taskID(102), p.Evictions[0].Task)
	require.Empty(t, c.Plan(epoch.Add(2*time.Second), 10).Evictions)
	c.Release(taskID(102))
	require.True(t, hasStart(c.Plan(epoch.Add(2*time.Second), 10), restart))
	require.NoError(t, c.CheckInvariants())
}

// Guards against restarts that fit no worker and use up the work bound of each Plan, so that nothing else is
// placed.
func TestUnplaceableRestartsLeaveWorkForOthers(t *testing.T) {
	f := newFloodedCell(t, smallBatchTask())
	for i := range 500 {
		p := lastingTask(200+i, 2)
		p.Need = vec(60_000+int64(i), 1000, 0)
		f.Submit([]placement.Pending{p})
	}
	f.step(floodPerStep)
	started := len(f.started)
	for range 10 {
		f.step(floodPerStep)
	}
	require.Greater(t, len(f.started), started+floodedWorkers)
}

// Guards against a restart that still waits after its cancellation, and against one that stays parked although a
// worker can hold it.
func TestRestartsAreCancelledAndParked(t *testing.T) {
	c := cellOf(1, vec(16_000, 16_000, 0))
	restart := lastingTask(1, 2)
	restart.Need = vec(16_000, 16_000, 0)
	blocker := lastingTask(2, 1)
	blocker.Need = restart.Need
	c.Submit([]placement.Pending{blocker})
	require.Len(t, c.Plan(epoch, 10).Starts, 1)
	c.Submit([]placement.Pending{restart})
	require.Empty(t, c.Plan(epoch, 10).Starts)
	c.UpsertWorker(placement.Worker{ID: workerID(0), Rack: "r", Capacity: vec(8000, 8000, 0)})
	require.Len(t, c.Plan(epoch.Add(time.Second), 10).Impossible, 1)
	c.UpsertWorker(placement.Worker{ID: "big", Rack: "r", Capacity: vec(16_000, 16_000, 0)})
	require.True(t, hasStart(c.Plan(epoch.Add(2*time.Second), 10), restart))
	c.Release(restart.Task)
	c.RemoveWorker("big")
	restart.Attempt, restart.Need = 3, vec(8000, 8000, 0)
	c.Submit([]placement.Pending{restart})
	require.Empty(t, c.Plan(epoch.Add(3*time.Second), 10).Starts)
	require.True(t, c.Cancel(restart.Task))
	c.Release(blocker.Task)
	require.Empty(t, c.Plan(epoch.Add(4*time.Second), 10).Starts)
	require.NoError(t, c.CheckInvariants())
}

// Guards against a lasting task that waits while only a quarantined worker has capacity, and against a worker that
// fails everything and gets one restart after another.
func TestRestartUsesAFailingWorkerAsALastResort(t *testing.T) {
	c := placement.NewCell(1, placement.Options{})
	put := func(id ident.WorkerID, cpu int64, change func(*placement.Worker)) {
		w := placement.Worker{ID: id, Rack: "r", Capacity: vec(cpu, 64_000, 0)}
		change(&w)
		c.UpsertWorker(w)
	}
	failing := func(w *placement.Worker) { w.Quarantined, w.LastResort = true, true }
	put("small", 4000, func(*placement.Worker) {})
	put("bad", 64_000, failing)
	put("silent", 64_000, func(w *placement.Worker) { w.Quarantined = true })
	put("leaving", 64_000, func(w *placement.Worker) { failing(w); w.Leaving = true })
	c.Submit([]placement.Pending{lastingTask(1, 1), pendingTask(2, "etl", vec(13_000, 1000, 0))})
	require.Empty(t, c.Plan(epoch, 10).Starts, "new tasks must not start on a quarantined worker")
	c.Submit([]placement.Pending{lastingTask(3, 2), lastingTask(4, 2)})
	starts := c.Plan(epoch, 10).Starts
	require.Len(t, starts, 1, "a worker that may fail at once must get one restart at a time")
	require.Equal(t, ident.WorkerID("bad"), starts[0].Worker)
	require.Equal(t, taskID(3), starts[0].Task)
	c.Release(taskID(3))
	c.Submit([]placement.Pending{lastingTask(3, 3)})
	require.Empty(t, c.Plan(epoch.Add(100*time.Millisecond), 10).Starts)
	require.Len(t, c.Plan(epoch.Add(time.Second), 10).Starts, 1)
	put("sound", 64_000, func(*placement.Worker) {})
	starts = c.Plan(epoch.Add(1100*time.Millisecond), 10).Starts
	require.NotEmpty(t, starts)
	for _, s := range starts {
		require.Equal(t, ident.WorkerID("sound"), s.Worker)
	}
	require.NoError(t, c.CheckInvariants())
}

// Guards against a lasting task that waits for the worker reserved for it although a quarantined worker has
// capacity.
func TestReservedRestartUsesAFailingWorker(t *testing.T) {
	c := cellOf(1, vec(16_000, 16_000, 0))
	c.Submit([]placement.Pending{pendingTask(1, "web", vec(16_000, 1000, 0))})
	require.Len(t, c.Plan(epoch, 10).Starts, 1)
	restart := pendingTask(2, "web", vec(13_000, 1000, 0))
	restart.Lasting, restart.Restart, restart.Attempt = true, true, 2
	c.Submit([]placement.Pending{restart})
	require.Empty(t, c.Plan(epoch, 10).Starts)
	c.UpsertWorker(placement.Worker{ID: "bad", Rack: "r", Capacity: vec(16_000, 16_000, 0), Quarantined: true, LastResort: true})
	require.True(t, hasStart(c.Plan(epoch.Add(time.Second), 10), restart))
	require.NoError(t, c.CheckInvariants())
}

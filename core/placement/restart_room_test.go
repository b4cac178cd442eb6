package placement_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// maxUnusedRoom is the target: a lasting task that has to run again must not wait for this time while two workers have
// room for it, however full the others are.
const maxUnusedRoom = 3 * time.Second

// Guards against a restart that waits although it fits, because the room is kept for a larger one that waits for
// more on the same worker.
func TestSmallRestartUsesTheRoomKeptForALargeOne(t *testing.T) {
	c := cellOf(1, vec(12_000, 64_000, 0))
	c.Submit([]placement.Pending{pendingTask(1, "web", vec(6000, 1000, 0))})
	require.Len(t, c.Plan(epoch, 10).Starts, 1)
	large := restartOf(2, vec(12_000, 1000, 0))
	c.Submit([]placement.Pending{large})
	require.Empty(t, c.Plan(epoch, 10).Starts)
	small := restartOf(3, vec(5000, 1000, 0))
	c.Submit([]placement.Pending{small})
	require.True(t, hasStart(c.Plan(epoch.Add(floodStep), 10), small))
	require.NoError(t, c.CheckInvariants())
	c.Release(taskID(1))
	require.Empty(t, c.Plan(epoch.Add(2*floodStep), 10).Starts, "the large restart does not fit beside the small one")
	c.Release(small.Task)
	require.True(t, hasStart(c.Plan(epoch.Add(3*floodStep), 10), large))
	require.NoError(t, c.CheckInvariants())
}

// Guards against a restart that waits although it fits, because both it and a larger one have claimed the same worker.
func TestSmallRestartWithAClaimUsesTheRoomKeptForALargeOne(t *testing.T) {
	c := cellOf(1, vec(24_000, 64_000, 0))
	for i := range 4 {
		c.Submit([]placement.Pending{pendingTask(10+i, "web", vec(6000, 1000, 0))})
	}
	require.Len(t, c.Plan(epoch, 10).Starts, 4)
	large, small := restartOf(2, vec(12_000, 1000, 0)), restartOf(3, vec(5000, 1000, 0))
	c.Submit([]placement.Pending{large})
	require.Empty(t, c.Plan(epoch, 10).Starts)
	c.Submit([]placement.Pending{small})
	require.Empty(t, c.Plan(epoch.Add(floodStep), 10).Starts)
	c.Release(taskID(10))
	require.True(t, hasStart(c.Plan(epoch.Add(2*floodStep), 10), small))
	require.NoError(t, c.CheckInvariants())
}

// Guards against a large restart that never runs, because smaller ones that end and start again take the room kept
// for it each time.
func TestLargeRestartKeepsItsRoomFromLaterOnes(t *testing.T) {
	c := cellOf(1, vec(12_000, 64_000, 0))
	for i := range 2 {
		c.Submit([]placement.Pending{pendingTask(i, "web", vec(6000, 1000, 0))})
	}
	require.Len(t, c.Plan(epoch, 10).Starts, 2)
	large := restartOf(10, vec(12_000, 1000, 0))
	c.Submit([]placement.Pending{large})
	require.Empty(t, c.Plan(epoch, 10).Starts)
	now := epoch
	running := []ident.TaskID{taskID(0), taskID(1)}
	for i := range 60 {
		now = now.Add(time.Second)
		// One of the two halves becomes free at a time, and a new restart asks for it.
		if len(running) > 0 {
			c.Release(running[0])
			running = running[1:]
		}
		later := restartOf(100+i, vec(6000, 1000, 0))
		c.Submit([]placement.Pending{later})
		p := c.Plan(now, 10)
		if hasStart(p, large) {
			require.LessOrEqual(t, now.Sub(epoch), maxRestartWait+2*time.Second, "each half becomes free once in 2 s")
			require.NoError(t, c.CheckInvariants())
			return
		}
		for _, s := range p.Starts {
			running = append(running, s.Task)
		}
		c.Cancel(later.Task)
	}
	require.Fail(t, "the large restart has not started")
}

func restartOf(n int, need resource.Vector) placement.Pending {
	p := pendingTask(n, "web", need)
	p.Lasting, p.Restart, p.Attempt = true, true, 2
	return p
}

// recoveringCell is a cell most of whose capacity lasting tasks of different sizes hold, while small urgent tasks take what is
// left. Some of the urgent tasks run for several times as long as the others.
type recoveringCell struct {
	*placement.Cell
	t        *testing.T
	rng      *rand.Rand
	now      time.Time
	workers  []ident.WorkerID
	capacity resource.Vector
	nextTask int
	ends     map[ident.TaskID]time.Time
	waiting  map[ident.TaskID]placement.Pending
	// unused holds how long two workers have had room for a waiting restart, longest the largest such time.
	unused    map[ident.TaskID]time.Duration
	longest   time.Duration
	restarted int
	lasting   map[ident.TaskID]placement.Pending
}

func newRecoveringCell(t *testing.T, seed uint64, workers int) *recoveringCell {
	f := &recoveringCell{
		Cell: cellOf(0, resource.Vector{}), t: t, rng: rand.New(rand.NewPCG(seed, 0)), now: epoch, capacity: vec(32_000, 128_000, 0),
		ends: map[ident.TaskID]time.Time{}, waiting: map[ident.TaskID]placement.Pending{}, unused: map[ident.TaskID]time.Duration{},
		lasting: map[ident.TaskID]placement.Pending{}, nextTask: 100_000,
	}
	for w := range workers {
		f.workers = append(f.workers, workerID(w))
		f.UpsertWorker(placement.Worker{ID: workerID(w), Rack: "r", Capacity: f.capacity})
	}
	return f
}

// startLasting starts lasting tasks with the part of the capacity that is given in percent.
func (f *recoveringCell) startLasting(percent int64) {
	limit := f.capacity.MilliCPU * int64(len(f.workers)) * percent / 100
	for i, sum := 0, int64(0); sum < limit; i++ {
		p := pendingTask(i, "web", vec(min(10_000, int64(6400*math.Exp(f.rng.NormFloat64()*0.25))), 10_000, 0))
		p.Lasting = true
		sum += p.Need.MilliCPU
		f.lasting[p.Task] = p
		f.Submit([]placement.Pending{p})
	}
	for range 100 {
		f.plan()
	}
}

func (f *recoveringCell) plan() {
	for range 64 {
		p := f.Plan(f.now, 64)
		for _, s := range p.Starts {
			if _, ok := f.waiting[s.Task]; ok {
				delete(f.waiting, s.Task)
				f.restarted++
			}
			if _, lasting := f.lasting[s.Task]; lasting {
				continue
			}
			runTime := time.Duration(850*math.Exp(f.rng.NormFloat64()/2)) * time.Millisecond
			if f.rng.IntN(25) == 0 {
				runTime = min(7*runTime, 9*time.Second)
			}
			f.ends[s.Task] = f.now.Add(runTime)
		}
		if !p.More {
			return
		}
	}
}

// step submits n urgent tasks, ends those that are done, plans, and counts for how long restarts wait beside unused room.
func (f *recoveringCell) step(n int) {
	f.now = f.now.Add(floodStep)
	for _, id := range sortedTaskIDs(f.ends) {
		if !f.ends[id].After(f.now) {
			delete(f.ends, id)
			f.Release(id)
		}
	}
	for range n {
		p := pendingTask(f.nextTask, "web", vec(min(12_000, int64(4100*math.Exp(f.rng.NormFloat64()*0.45))), 8000, 0))
		p.RunTime = 850 * time.Millisecond
		f.nextTask++
		f.Submit([]placement.Pending{p})
	}
	f.plan()
	for id, p := range f.waiting {
		roomy := 0
		for _, w := range f.workers {
			if p.Need.Fits(f.capacity.Sub(f.Booked(w))) {
				roomy++
			}
		}
		if roomy < 2 {
			f.unused[id] = 0
			continue
		}
		f.unused[id] += floodStep
		f.longest = max(f.longest, f.unused[id])
	}
	require.NoError(f.t, f.CheckInvariants())
}

// loseWorkers removes the first workers and submits their lasting tasks again.
func (f *recoveringCell) loseWorkers(n int) {
	var restarts []placement.Pending
	for _, w := range f.workers[:n] {
		for _, r := range f.RemoveWorker(w) {
			delete(f.ends, r.Task)
			if p, ok := f.lasting[r.Task]; ok {
				p.Restart, p.Attempt = true, 2
				f.waiting[r.Task] = p
				restarts = append(restarts, p)
			}
		}
	}
	f.workers = f.workers[n:]
	f.Submit(restarts)
}

// Guards against lasting tasks of lost workers that wait in a full cell beside room for them: small urgent tasks fill
// every hole, and what becomes free was kept for restarts that fit only seconds later.
func TestRestartsUseAllRoomInAFullCell(t *testing.T) {
	for _, seed := range []uint64{3, 4, 7} {
		f := newRecoveringCell(t, seed, 350)
		f.startLasting(88)
		for range 50 {
			f.step(25)
		}
		f.loseWorkers(35)
		waiting := len(f.waiting)
		for range 100 {
			f.step(25)
		}
		t.Logf("seed %d: %d of %d restarts started in 10 s; two workers had room for a waiting one for %v", seed, f.restarted, waiting, f.longest)
		require.Less(t, f.longest, maxUnusedRoom, "seed %d", seed)
	}
}

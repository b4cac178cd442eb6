package placement_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	rackSize      = 20
	rackSlowdown  = 3.0
	hotRack       = ident.Rack("r7")
	rackTaskCores = 4
)

// rackCell returns a cell of 20 racks. Its workers have 8 cores.
func rackCell(o placement.Options) *placement.Cell {
	c := placement.NewCell(7, o)
	c.SetTable(table.New(1, []table.Row{{Name: "web", Kind: table.LatencyCritical, Weight: 4}}))
	for i := range 20 * rackSize {
		c.UpsertWorker(placement.Worker{ID: rackWorker(i), Rack: rackOf(rackWorker(i)), Capacity: vec(8000, 32_000, 0)})
	}
	return c
}

func rackWorker(i int) ident.WorkerID { return ident.WorkerID(fmt.Sprint("w", i)) }

func rackOf(w ident.WorkerID) ident.Rack {
	var i int
	_, _ = fmt.Sscanf(string(w), "w%d", &i)
	return ident.Rack(fmt.Sprint("r", i/rackSize))
}

func rackTask(seq int, rack ident.Rack, run time.Duration, at time.Time) placement.Pending {
	return placement.Pending{
		Task: ident.TaskID{Job: ident.JobID{Cell: 1, Epoch: 1, Seq: uint64(seq)}}, Attempt: 1, Class: "web", Tenant: "t", Kind: table.LatencyCritical,
		Need: vec(rackTaskCores*1000, 500, 0), RunTime: run, Constraints: placement.Constraints{Rack: rack}, SubmittedAt: at,
	}
}

// Guards against tasks that run away from their data because none of the few workers looked at is on their rack.
func TestRackIsFoundInALargeCell(t *testing.T) {
	c := rackCell(placement.Options{Candidates: 16, OffRackSlowdown: rackSlowdown})
	const room = 2 * rackSize
	for i := range room {
		c.Submit([]placement.Pending{rackTask(i+1, hotRack, time.Second, epoch)})
	}
	for started := 0; started < room; {
		p := c.Plan(epoch, room)
		require.NotEmpty(t, p.Starts)
		for _, s := range p.Starts {
			require.Equal(t, hotRack, rackOf(s.Worker))
		}
		started += len(p.Starts)
	}
	nearlyDone := epoch.Add(900 * time.Millisecond)
	c.Plan(nearlyDone, 10)
	c.Submit([]placement.Pending{rackTask(room+1, hotRack, time.Second, nearlyDone)})
	require.Empty(t, c.Plan(nearlyDone, 10).Starts, "the rack has room in 0.1 s, elsewhere the task takes 2 s longer")
	require.Len(t, c.Plan(nearlyDone.Add(500*time.Millisecond), 10).Starts, 1, "the forecast was wrong")
}

// playHotRack plays 8 s in which a share of the tasks wants one rack, and returns the times from their submission to their ends.
func playHotRack(seed uint64, hotShare float64, o placement.Options) (total time.Duration, onRack int) {
	const tick = 10 * time.Millisecond
	rng := rand.New(rand.NewPCG(seed, 1))
	c := rackCell(o)
	submitted := map[ident.TaskID]time.Duration{}
	wants := map[ident.TaskID]placement.Pending{}
	ends := map[time.Duration][]ident.TaskID{}
	for now, seq := time.Duration(0), 0; now < 30*time.Second; now += tick {
		for _, id := range ends[now] {
			c.Release(id)
			total += now - submitted[id]
		}
		// 80 tasks a second of 0.85 s. A rack holds 40 tasks.
		for range rng.IntN(9) * boolToInt(now < 8*time.Second && now%(50*time.Millisecond) == 0) {
			seq++
			rack := ident.Rack(fmt.Sprint("r", rng.IntN(20)))
			if rng.Float64() < hotShare {
				rack = hotRack
			}
			run := time.Duration(0.85 * (0.5 + rng.Float64()) * float64(time.Second)).Truncate(tick)
			p := rackTask(seq, rack, run, epoch.Add(now))
			submitted[p.Task], wants[p.Task] = now, p
			c.Submit([]placement.Pending{p})
		}
		for more := true; more; {
			p := c.Plan(epoch.Add(now), 64)
			more = p.More
			for _, s := range p.Starts {
				run := wants[s.Task].RunTime
				if rackOf(s.Worker) == wants[s.Task].Constraints.Rack {
					onRack++
				} else {
					run = time.Duration(rackSlowdown * float64(run)).Truncate(tick)
				}
				ends[now+run+tick] = append(ends[now+run+tick], s.Task)
			}
		}
	}
	return total, onRack
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// Load: for 8 s, 40 to 80 % of all tasks want one rack, from less than it holds to 1.4 times as much. Both orders are played: run
// elsewhere at once, or wait for the rack while that costs less. Guards against tasks that take three times as long elsewhere
// although the rack has room a moment later, and against a queue that costs more than it gains under lasting overload.
func TestTasksWaitForAHotRack(t *testing.T) {
	for seed := range uint64(12) {
		share := []float64{0.4, 0.5, 0.6, 0.8}[seed%4]
		for _, noLookAhead := range []bool{false, true} {
			atOnce, atOnceOnRack := playHotRack(seed, share, placement.Options{Candidates: 64, NoLookAhead: noLookAhead})
			waiting, waitingOnRack := playHotRack(seed, share, placement.Options{Candidates: 64, NoLookAhead: noLookAhead, OffRackSlowdown: rackSlowdown})
			t.Logf("seed %d, share %.1f: at once %s with %d on the rack, waiting %s with %d", seed, share, atOnce, atOnceOnRack, waiting, waitingOnRack)
			require.LessOrEqual(t, waiting, atOnce)
			if !noLookAhead {
				require.GreaterOrEqual(t, waitingOnRack, atOnceOnRack)
			}
		}
	}
}

package jobs_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/internal/check"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// speculativeSpec describes a job whose tasks may be copied and take a second.
func speculativeSpec(tasks int) lifecycle.JobSpec {
	s := spec("urgent", tasks, "work=1s")
	s.Groups[0].Speculative, s.Groups[0].Volatile = true, true
	s.Groups[0].Constraints.Image = "image"
	return s
}

func everyTask(ident.TaskID) bool { return true }

// runOnSlowWorker runs jobs of four tasks while one worker of eight is eight times slower, and returns the longest time of a
// job after the first ten.
func runOnSlowWorker(t *testing.T, fx *fixture, h *host) (longest time.Duration) {
	fx.giveCell(h)
	time.Sleep(time.Second)
	fx.fleet["w3"].SetFault(worker.Fault{SlowFactor: 8})
	for i := range 30 {
		begun := time.Now()
		id := h.submit(speculativeSpec(4))
		h.awaitDone(time.Minute, id)
		if i >= 10 {
			longest = max(longest, time.Since(begun))
		}
		time.Sleep(500 * time.Millisecond)
	}
	time.Sleep(20 * time.Second)
	require.Empty(t, check.ExecutionsWithCopies(fx.recorder, everyTask))
	return longest
}

// Guards against jobs that wait for a task on a slow worker although others are idle, and against copies while they are
// switched off.
func TestCopiesOfTasksOnASlowWorker(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 8)
		defer fx.close()
		h := fx.host()
		longest := runOnSlowWorker(t, fx, h)
		stats := h.svc.Stats()
		t.Logf("longest job %s, %d copies, %d won, wasted %s", longest, stats.CopiesStarted.Load(), stats.CopiesWon.Load(),
			time.Duration(stats.WastedCopyTime.Load()))
		require.Less(t, longest, 4*time.Second)
		require.Positive(t, stats.CopiesWon.Load())
		require.Equal(t, stats.CopiesStarted.Load(), stats.CopiesWon.Load()+stats.CopiesLost.Load())
		require.Positive(t, stats.WastedCopyTime.Load())
		require.Zero(t, h.svc.Load().RunningCopies)
		require.Positive(t, fx.decisions.count(jobs.EventCopyStarted))
		require.Positive(t, fx.decisions.count(jobs.EventCopyWon))
	})
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 8)
		defer fx.close()
		h := fx.hostWith(func(cfg *jobs.Config) {
			cfg.Policy = lifecycle.DefaultPolicy()
			cfg.Policy.SpeculativeCopies = false
		})
		longest := runOnSlowWorker(t, fx, h)
		t.Logf("longest job without copies %s", longest)
		require.Greater(t, longest, 7*time.Second)
		require.Zero(t, h.svc.Stats().CopiesStarted.Load())
		require.Zero(t, fx.decisions.count(jobs.EventCopyStarted))
	})
}

// Guards against a third attempt, or a lost one, when the owner dies or hands the cell over while copies run.
func TestOwnerChangesWhileCopiesRun(t *testing.T) {
	for _, how := range []string{"dies", "drains"} {
		t.Run(how, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFixture(t, 8)
				defer fx.close()
				h := fx.host()
				fx.giveCell(h)
				time.Sleep(time.Second)
				for range 10 {
					h.awaitDone(time.Minute, h.submit(speculativeSpec(4)))
				}
				for i := range 4 {
					fx.fleet[ident.WorkerID(fmt.Sprintf("w%d", i))].SetFault(worker.Fault{SlowFactor: 50})
				}
				id := h.submit(speculativeSpec(20))
				time.Sleep(2200 * time.Millisecond)
				require.Positive(t, h.svc.Load().RunningCopies)
				next := fx.host()
				if how == "dies" {
					fx.kill(h)
				} else {
					require.NoError(t, h.svc.Drain(bg, cell))
				}
				fx.giveCell(next)
				next.awaitDone(2*time.Minute, id)
				time.Sleep(time.Minute)
				require.Empty(t, check.ExecutionsWithCopies(fx.recorder, everyTask))
				require.Empty(t, check.Job(fx.recorder, next.get(id)))
				require.Zero(t, next.svc.Load().RunningCopies)
			})
		})
	}
}

// Guards against faults of second attempts that only combinations of failures cause. Tasks are short, so that there is
// room for copies, and each action meets a job of which some tasks run on a slow worker.
func TestRandomFailuresWithCopies(t *testing.T) {
	var started int64
	rapid.Check(t, func(rt *rapid.T) {
		plan := rapid.SliceOfN(steps(), 4, 24).Draw(rt, "steps")
		for i := range plan {
			if plan[i].Command == "work=8m" || plan[i].Command == "work=70s" {
				plan[i].Command = "work=3s"
			}
			plan[i].Wait %= 4 * time.Second
		}
		var faults []string
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, chaosWorkerCount)
			defer fx.close()
			c := &chaos{fixture: fx, owner: fx.host(), copies: true}
			fx.giveCell(c.owner)
			time.Sleep(time.Second)
			for range 4 {
				c.submit(step{Class: "urgent", Command: "work=1s", Tasks: 6})
			}
			time.Sleep(5 * time.Second)
			for _, s := range plan {
				fx.fleet["w0"].SetFault(worker.Fault{SlowFactor: 30})
				c.submit(step{Class: "urgent", Command: "work=1s", Tasks: 10})
				time.Sleep(time.Duration(1500+s.Seed) * time.Millisecond)
				c.perform(s)
			}
			faults = c.finalFaults()
			for _, h := range fx.hosts {
				started += h.svc.Stats().CopiesStarted.Load()
			}
		})
		if len(faults) > 0 {
			rt.Fatalf("%d faults, the first: %s", len(faults), faults[0])
		}
	})
	t.Logf("%d copies", started)
	require.Positive(t, started)
}

// runSlowTasks runs jobs of ten tasks, one each interval, on 64 cores. It returns the mean time of the jobs and the share that
// took more than 4 s.
func runSlowTasks(t *testing.T, command string, interval time.Duration, copies bool) (mean time.Duration, late float64, stats *jobs.Stats) {
	const jobCount = 300
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 16)
		defer fx.close()
		h := fx.hostWith(func(cfg *jobs.Config) {
			cfg.Policy = lifecycle.DefaultPolicy()
			cfg.Policy.SpeculativeCopies = copies
		})
		fx.giveCell(h)
		time.Sleep(time.Second)
		took := make(chan time.Duration, jobCount)
		for range jobCount {
			s := speculativeSpec(10)
			s.Groups[0].Command = command
			begun := time.Now()
			id := h.submit(s)
			go func() {
				h.awaitDone(time.Minute, id)
				took <- time.Since(begun)
			}()
			time.Sleep(interval)
		}
		for range jobCount {
			d := <-took
			mean += d / jobCount
			if d > 4*time.Second {
				late += 1.0 / jobCount
			}
		}
		time.Sleep(20 * time.Second)
		require.Empty(t, check.ExecutionsWithCopies(fx.recorder, everyTask))
		stats = h.svc.Stats()
	})
	return mean, late, stats
}

// Guards against copies that do not shorten jobs with slow tasks, and against copies without end where a second run of a
// slow task is as long as the first. Three tasks in a hundred take seven times as long, with a spread of the others; the
// load is about half of the capacity, and more than all of it in the last case.
func TestCopiesOfSlowTasks(t *testing.T) {
	const command = "work=880ms;spread=0.5;slow=0.03,7"
	report := func(name, command string, interval time.Duration, copies bool) (mean time.Duration, late float64, started int64) {
		mean, late, stats := runSlowTasks(t, command, interval, copies)
		t.Logf("%s, copies %t: mean %.2f s, over 4 s %.3f, %d copies, %d won, wasted %.0f s", name, copies, mean.Seconds(), late,
			stats.CopiesStarted.Load(), stats.CopiesWon.Load(), time.Duration(stats.WastedCopyTime.Load()).Seconds())
		return mean, late, stats.CopiesStarted.Load()
	}
	without, lateWithout, _ := report("new draw", command, 400*time.Millisecond, false)
	with, lateWith, started := report("new draw", command, 400*time.Millisecond, true)
	require.Less(t, with, without*8/10)
	require.Less(t, lateWith, lateWithout/3)
	require.Less(t, started, int64(300*10/10), "at most one task in ten")

	without, _, _ = report("same draw", command+";slow_tasks=1", 400*time.Millisecond, false)
	with, _, started = report("same draw", command+";slow_tasks=1", 400*time.Millisecond, true)
	require.InDelta(t, without.Seconds(), with.Seconds(), 0.3)
	require.Less(t, started, int64(80), "a few at first, then probes")

	without, _, _ = report("overload", command, 140*time.Millisecond, false)
	with, _, _ = report("overload", command, 140*time.Millisecond, true)
	require.Less(t, with, without*11/10, "copies do not delay tasks that wait")
}

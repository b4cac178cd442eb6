package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// restartWithin is the target time within which a lasting task must run again if a worker has capacity for it.
const restartWithin = 6 * time.Second

// quarantineWorker makes quarantineFailures jobs fail on a worker.
func (f *fixture) quarantineWorker(w ident.WorkerID) {
	for range quarantineFailures {
		attempt := f.startTask(ident.TaskID{Job: f.submit(1)}, w)
		f.reportEnds(w, EndedAttempt{AttemptID: attempt, End: EndFailed})
	}
	require.True(f.t, f.c.workers[w].health.quarantined)
}

// waitForProbe advances the time until the worker may be probed, which must be within restartWithin.
func (f *fixture) waitForProbe(w ident.WorkerID) {
	for since := f.now; !f.c.workers[w].health.probing; {
		f.tickUntil(f.now.Add(100 * time.Millisecond))
		f.reportEnds(w)
		require.LessOrEqual(f.t, f.now.Sub(since), restartWithin)
	}
}

// Guards against a recovered worker that stays in quarantine for longer than a lasting task may wait for capacity: a
// lasting probe never ends, and a filler without progress ends late.
func TestLongRunningProbeEndsQuarantine(t *testing.T) {
	for name, g := range map[string]TaskGroup{
		"lasting": {Count: 1, Need: oneCore, Lasting: true},
		"filler":  {Count: 1, Need: oneCore, Constraints: placement.Constraints{Filler: true}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, "w", "sound")
			f.quarantineWorker("w")
			since := f.now
			f.waitForProbe("w")
			f.startTask(taskID(f.accept(JobSpec{Groups: []TaskGroup{g}}), 0, 0), "w")
			f.reportEnds("w")
			require.True(t, f.c.workers["w"].health.quarantined, "the probe has not run for provenRunTime")
			for f.now.Sub(since) < restartWithin {
				f.tickUntil(f.now.Add(100 * time.Millisecond))
				f.reportEnds("w")
			}
			require.False(t, f.c.workers["w"].health.quarantined)
			puts := commandsOf[PutWorker](f)
			require.False(t, puts[len(puts)-1].Worker.Quarantined)
		})
	}
}

// Guards against a quarantine that is lifted by attempts from before it: a worker may fail all new attempts while the
// running ones continue.
func TestEarlierAttemptsDoNotEndTheQuarantine(t *testing.T) {
	f := newFixture(t, 1, "w", "sound")
	f.startTask(taskID(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore, Lasting: true}}}), 0, 0), "w")
	f.now = f.now.Add(time.Second)
	f.reportEnds("w")
	f.quarantineWorker("w")
	for range 100 {
		f.tickUntil(f.now.Add(100 * time.Millisecond))
		f.reportEnds("w")
	}
	require.True(t, f.c.workers["w"].health.quarantined)
}

// Guards against frequent probes of a worker that still fails everything: each probe costs a task an attempt.
func TestProbePauseGrowsAfterFailures(t *testing.T) {
	f := newFixture(t, 1, "w", "sound")
	f.quarantineWorker("w")
	last := time.Duration(0)
	for range 5 {
		since := f.now
		for !f.c.workers["w"].health.probing {
			f.tickUntil(f.now.Add(100 * time.Millisecond))
			f.reportEnds("w")
		}
		require.Greater(t, f.now.Sub(since), last)
		last = f.now.Sub(since)
		f.reportEnds("w", EndedAttempt{AttemptID: f.startTask(ident.TaskID{Job: f.submit(1)}, "w"), End: EndFailed})
	}
	require.True(t, f.c.workers["w"].health.quarantined)
}

// Guards against a start on a worker that does not answer: only a worker that fails its attempts is a last resort.
func TestSilentWorkerIsNoLastResort(t *testing.T) {
	f := newFixture(t, 1, "w", "sound")
	last := func() placement.Worker {
		puts := commandsOf[PutWorker](f)
		return puts[len(puts)-1].Worker
	}
	require.False(t, last().LastResort)
	f.quarantineWorker("w")
	require.True(t, last().LastResort)
	f.tickUntil(f.now.Add(silentAfter))
	require.True(t, last().Quarantined)
	require.False(t, last().LastResort)
}

// Guards against quarantining a sound worker on which lasting tasks of two jobs failed after they had run: they may
// fail at any time, and they never succeed, which would clear the blame.
func TestLastingTaskFailureAfterRunIsNotBlamed(t *testing.T) {
	f := newFixture(t, 1, "w", "sound")
	var jobs []ident.JobID
	for range quarantineFailures {
		jobs = append(jobs, f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore, Lasting: true}}}))
	}
	for _, ranFor := range []time.Duration{time.Minute, 0} {
		for _, id := range jobs {
			attempt := f.startTask(taskID(id, 0, 0), "w")
			for until := f.now.Add(ranFor); f.now.Before(until); {
				f.tickUntil(f.now.Add(time.Second))
				f.reportEnds("w")
				f.reportEnds("sound")
			}
			f.reportEnds("w", EndedAttempt{AttemptID: attempt, End: EndFailed})
		}
		require.Equal(t, ranFor == 0, f.c.workers["w"].health.quarantined, "ran for %v", ranFor)
	}
}

// Guards against a quarantine that is lifted when a task from before it completes while the worker is probed: the
// worker may still fail everything that it starts.
func TestEarlierSuccessDoesNotEndTheQuarantine(t *testing.T) {
	f := newFixture(t, 1, "w", "sound")
	earlier := f.startTask(ident.TaskID{Job: f.submit(1)}, "w")
	f.now = f.now.Add(time.Second)
	f.reportEnds("w")
	f.quarantineWorker("w")
	f.waitForProbe("w")
	f.reportEnds("w", EndedAttempt{AttemptID: earlier, End: EndDone})
	require.True(t, f.c.workers["w"].health.quarantined)
	probe := f.startTask(ident.TaskID{Job: f.submit(1)}, "w")
	f.now = f.now.Add(time.Second)
	f.reportEnds("w", EndedAttempt{AttemptID: probe, End: EndDone})
	require.False(t, f.c.workers["w"].health.quarantined)
}

// Guards against jobs that fail by themselves and put all workers in quarantine: nothing would run although all workers
// are sound.
func TestFailingJobsPutAtMostHalfOfTheWorkersInQuarantine(t *testing.T) {
	workers := []ident.WorkerID{"w1", "w2", "w3", "w4"}
	f := newFixture(t, 1, "w1", "w2", "w3", "w4")
	inQuarantine := func() (n int) {
		for _, w := range workers {
			if f.c.workers[w].health.quarantined {
				n++
			}
		}
		return n
	}
	failOn := func(w ident.WorkerID, job ident.JobID) {
		attempt := f.startTask(ident.TaskID{Job: job}, w)
		f.reportEnds(w, EndedAttempt{AttemptID: attempt, End: EndFailed})
	}
	for range quarantineFailures {
		for _, w := range workers {
			failOn(w, f.submit(1))
		}
	}
	require.Equal(t, 2, inQuarantine())
	// A job that succeeds elsewhere shows that a worker is at fault.
	job := f.submit(2)
	succeeding := f.startTask(ident.TaskID{Job: job, Index: 1}, "w4")
	f.reportEnds("w4", EndedAttempt{AttemptID: succeeding, End: EndDone})
	failOn("w3", job)
	require.True(t, f.c.workers["w3"].health.quarantined)
}

// quarantineByHopelessJobs lets single-task jobs that succeed nowhere fail on workers, and returns how many of them are in
// quarantine.
func (f *fixture) quarantineByHopelessJobs(workers ...ident.WorkerID) (quarantined int) {
	for range 2 * quarantineFailures {
		for _, w := range workers {
			f.reportEnds(w, EndedAttempt{AttemptID: f.startTask(ident.TaskID{Job: f.submit(1)}, w), End: EndFailed})
		}
	}
	for _, w := range workers {
		if f.c.workers[w].health.quarantined {
			quarantined++
		}
	}
	return quarantined
}

// Guards against jobs that fail by themselves and put every worker that takes tasks in quarantine, because workers that
// leave count as being out of it.
func TestLeavingWorkersDoNotCountAsOutOfQuarantine(t *testing.T) {
	f := newFixture(t, 1, "w1", "w2", "leaving1", "leaving2")
	f.apply(f.c.SetMembers(f.now, []Member{
		{ID: "w1"}, {ID: "w2"}, {ID: "leaving1", Leaving: true}, {ID: "leaving2", Leaving: true},
	}))
	require.Less(t, f.quarantineByHopelessJobs("w1", "w2"), 2)
}

// Guards against jobs that fail by themselves and put every worker of their pool in quarantine, because the workers of other
// pools are out of it.
func TestWorkersOfOtherPoolsDoNotCountAsOutOfQuarantine(t *testing.T) {
	f := newFixture(t, 1, "a1", "a2", "b1", "b2")
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "a1", Pool: "a"}, {ID: "a2", Pool: "a"}, {ID: "b1", Pool: "b"}, {ID: "b2", Pool: "b"}}))
	require.Less(t, f.quarantineByHopelessJobs("a1", "a2"), 2)
}

// Guards against failures that a worker collects without bound because it must not be quarantined: each further failure
// looks at all of them.
func TestFailuresOfWorkersOutOfQuarantineAreBounded(t *testing.T) {
	workers := []ident.WorkerID{"w1", "w2", "w3", "w4"}
	f := newFixture(t, 1, workers...)
	for range 500 {
		for _, w := range workers {
			job := f.submit(1)
			f.reportEnds(w, EndedAttempt{AttemptID: f.startTask(ident.TaskID{Job: job}, w), End: EndFailed})
			eff, _, err := f.c.Cancel(f.now, job)
			require.NoError(t, err)
			f.apply(eff)
		}
	}
	for _, w := range workers {
		require.LessOrEqual(t, len(f.c.workers[w].health.failuresByJob), 100, "worker %s", w)
	}
}

package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// restartWithin is the target: a lasting task runs again within this time while there is room.
const restartWithin = 6 * time.Second

// quarantine lets three jobs fail on a worker.
func (f *fixture) quarantine(w ident.WorkerID) {
	for range quarantineAfter {
		r := f.running(ident.TaskID{Job: f.submit(1)}, w)
		f.ends(w, EndedAttempt{AttemptID: r, End: EndFailed})
	}
	require.True(f.t, f.c.workers[w].health.quarantined)
}

// untilProbed passes the time until the worker may be probed, within the target.
func (f *fixture) untilProbed(w ident.WorkerID) {
	for since := f.now; !f.c.workers[w].health.probing; {
		f.tickUntil(f.now.Add(100 * time.Millisecond))
		f.ends(w)
		require.LessOrEqual(f.t, f.now.Sub(since), restartWithin)
	}
}

// Guards against a worker that is sound again and stays in quarantine for longer than a lasting task may wait for its room:
// a probe that lasts never ends, and a filler that stands still ends late.
func TestProbeThatGoesOnEndsTheQuarantine(t *testing.T) {
	for name, g := range map[string]TaskGroup{
		"lasting": {Count: 1, Need: need, Lasting: true},
		"filler":  {Count: 1, Need: need, Constraints: placement.Constraints{Filler: true}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, "w")
			f.quarantine("w")
			since := f.now
			f.untilProbed("w")
			f.running(taskOf(f.accept(JobSpec{Groups: []TaskGroup{g}}), 0, 0), "w")
			f.ends("w")
			require.True(t, f.c.workers["w"].health.quarantined, "it may fail any moment")
			for f.now.Sub(since) < restartWithin {
				f.tickUntil(f.now.Add(100 * time.Millisecond))
				f.ends("w")
			}
			require.False(t, f.c.workers["w"].health.quarantined)
			puts := commandsOf[PutWorker](f)
			require.False(t, puts[len(puts)-1].Worker.Quarantined)
		})
	}
}

// Guards against a quarantine that is lifted by what ran before it: a worker may fail all that it starts and not what runs.
func TestEarlierAttemptsDoNotEndTheQuarantine(t *testing.T) {
	f := newFixture(t, 1, "w")
	f.running(taskOf(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: need, Lasting: true}}}), 0, 0), "w")
	f.now = f.now.Add(time.Second)
	f.ends("w")
	f.quarantine("w")
	for range 100 {
		f.tickUntil(f.now.Add(100 * time.Millisecond))
		f.ends("w")
	}
	require.True(t, f.c.workers["w"].health.quarantined)
}

// Guards against a worker that still fails what it starts and is probed again and again: each probe costs a task an attempt.
func TestFailedProbesBecomeRarer(t *testing.T) {
	f := newFixture(t, 1, "w")
	f.quarantine("w")
	last := time.Duration(0)
	for range 5 {
		since := f.now
		for !f.c.workers["w"].health.probing {
			f.tickUntil(f.now.Add(100 * time.Millisecond))
			f.ends("w")
		}
		require.Greater(t, f.now.Sub(since), last)
		last = f.now.Sub(since)
		f.ends("w", EndedAttempt{AttemptID: f.running(ident.TaskID{Job: f.submit(1)}, "w"), End: EndFailed})
	}
	require.True(t, f.c.workers["w"].health.quarantined)
}

// Guards against a restart that is sent to a worker that does not answer: only one that fails what it starts is a last resort.
func TestSilentWorkerIsNoLastResort(t *testing.T) {
	f := newFixture(t, 1, "w")
	last := func() placement.Worker {
		puts := commandsOf[PutWorker](f)
		return puts[len(puts)-1].Worker
	}
	require.False(t, last().LastResort)
	f.quarantine("w")
	require.True(t, last().LastResort)
	f.tickUntil(f.now.Add(silentAfter))
	require.True(t, last().Quarantined)
	require.False(t, last().LastResort)
}

// Guards against a sound worker that is put in quarantine because lasting tasks of two jobs failed there after they had run:
// they may fail at any time by themselves, and no success of theirs ever ends the blame.
func TestLastingTaskThatHasRunIsNoBlameForItsWorker(t *testing.T) {
	f := newFixture(t, 1, "w")
	var jobs []ident.JobID
	for range quarantineAfter {
		jobs = append(jobs, f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: need, Lasting: true}}}))
	}
	for _, ranFor := range []time.Duration{time.Minute, 0} {
		for _, id := range jobs {
			r := f.running(taskOf(id, 0, 0), "w")
			for until := f.now.Add(ranFor); f.now.Before(until); {
				f.tickUntil(f.now.Add(time.Second))
				f.ends("w")
			}
			f.ends("w", EndedAttempt{AttemptID: r, End: EndFailed})
		}
		require.Equal(t, ranFor == 0, f.c.workers["w"].health.quarantined, "ran for %v", ranFor)
	}
}

// Guards against a quarantine that is lifted by a task that was running before it and is done while the worker is probed: the
// worker still fails what it starts.
func TestEarlierSuccessDoesNotEndTheQuarantine(t *testing.T) {
	f := newFixture(t, 1, "w")
	earlier := f.running(ident.TaskID{Job: f.submit(1)}, "w")
	f.now = f.now.Add(time.Second)
	f.ends("w")
	f.quarantine("w")
	f.untilProbed("w")
	f.ends("w", EndedAttempt{AttemptID: earlier, End: EndDone})
	require.True(t, f.c.workers["w"].health.quarantined)
	probe := f.running(ident.TaskID{Job: f.submit(1)}, "w")
	f.now = f.now.Add(time.Second)
	f.ends("w", EndedAttempt{AttemptID: probe, End: EndDone})
	require.False(t, f.c.workers["w"].health.quarantined)
}

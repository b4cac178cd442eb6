package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// successor returns the next owner of the cell, on a host whose clock differs. It restores the snapshot of the cell, or
// replays its log.
func (f *fixture) successor(clockDifference time.Duration, fromSnapshot bool) *fixture {
	next := &fixture{t: f.t, c: NewCell(1, f.c.epoch+1, f.c.table), now: f.now.Add(clockDifference)}
	if fromSnapshot {
		next.c.RestoreSnapshot(f.c.Snapshot(f.now, false))
	} else {
		for _, r := range f.log {
			next.c.Replay(r)
		}
	}
	next.c.SetAuthority(next.now, true, true)
	next.apply(next.c.Recover(next.now, false, []Member{{ID: "w"}}))
	next.claim("w", Report{})
	return next
}

// Guards against finished jobs that are forgotten, and answered as unknown, after a change to an owner whose clock is
// ahead, and against a retention that restarts with a step back.
func TestFinishedJobIsKeptByOwnerWithOtherClock(t *testing.T) {
	for _, fromSnapshot := range []bool{false, true} {
		for _, difference := range []time.Duration{25 * time.Hour, -25 * time.Hour} {
			f := newFixture(t, 1, "w")
			id := f.submit(1)
			f.reportEnds("w", EndedAttempt{AttemptID: f.startTask(taskID(id, 0, 0), "w"), End: EndDone})
			finishedAt := f.now
			f.now = f.now.Add(time.Minute)
			f.submit(1)

			next := f.successor(difference, fromSnapshot)
			next.c.Snapshot(next.now, false)
			v, err := next.c.Get(id, 0, 1)
			require.NoError(t, err)
			require.Equal(t, Done, v.State)
			require.Equal(t, finishedAt, v.FinishedAt)
			next.c.Snapshot(next.now.Add(FinishedRetention+time.Millisecond), false)
			_, err = next.c.Get(id, 0, 1)
			require.Error(t, err)
		}
	}
}

// Guards against a failed job that is forgotten at once because the snapshot was taken before its last task had ended,
// so that it lacks the time of the end.
func TestFailedJobWithoutTimeOfItsEndIsKept(t *testing.T) {
	f := newFixture(t, 1, "w")
	id := f.accept(JobSpec{FailFast: true, Groups: []TaskGroup{{Count: 2, Need: oneCore}}})
	for range 2 {
		f.reportEnds("w", EndedAttempt{AttemptID: f.startTask(taskID(id, 0, 0), "w"), End: EndFailed})
		f.tickUntil(f.now.Add(time.Minute))
	}
	failing, running := f.startTask(taskID(id, 0, 0), "w"), f.startTask(taskID(id, 0, 1), "w")
	f.holdLog, f.log = true, nil
	f.reportEnds("w", EndedAttempt{AttemptID: failing, End: EndFailed}, EndedAttempt{AttemptID: running, End: EndDone})
	require.Len(t, f.log, 2)
	f.apply(f.c.RecordsCommitted(f.now, f.log[:1]))

	next := f.successor(0, true)
	next.c.Snapshot(next.now, false)
	v, err := next.c.Get(id, 0, 2)
	require.NoError(t, err)
	require.Equal(t, Failed, v.State)
	require.Equal(t, next.now, v.FinishedAt)
}

// deadlines returns the time left of the queued tasks, by task.
func (f *fixture) deadlines() map[ident.TaskID]time.Duration {
	left := make(map[ident.TaskID]time.Duration)
	for _, e := range commandsOf[Enqueue](f) {
		for _, p := range e.Tasks {
			left[p.Task] = p.Deadline.At.Sub(f.now)
		}
	}
	return left
}

// Guards against accepted tasks that start after all newer ones, or before them, because the clock of the new owner
// differs from that of the old one.
func TestDeadlinesDoNotDependOnClockOfOwner(t *testing.T) {
	for _, fromSnapshot := range []bool{false, true} {
		for _, difference := range []time.Duration{-time.Hour, 0, time.Hour} {
			f := newFixture(t, 1, "w")
			spec := JobSpec{Grace: time.Minute, Groups: []TaskGroup{{Count: 1, Need: oneCore}}}
			older := f.accept(spec)
			f.now = f.now.Add(20 * time.Second)
			newer := f.accept(spec)
			left := f.successor(difference, fromSnapshot).deadlines()
			require.Equal(t, 20*time.Second, left[taskID(newer, 0, 0)]-left[taskID(older, 0, 0)])
			require.LessOrEqual(t, left[taskID(newer, 0, 0)], time.Minute)
			require.GreaterOrEqual(t, left[taskID(newer, 0, 0)], time.Minute-maxUnownedTime)
		}
	}
}

// Guards against ranks of restored tasks that change when the time of day of the owner is set: only a time with a
// monotonic reading is safe from that.
func TestRestoredDeadlineHasMonotonicReading(t *testing.T) {
	f := newFixture(t, 1, "w")
	f.accept(JobSpec{Grace: time.Minute, Groups: []TaskGroup{{Count: 1, Need: oneCore}}})
	f.now = time.Now()
	next := f.successor(0, false)
	for _, e := range commandsOf[Enqueue](next) {
		for _, p := range e.Tasks {
			require.NotEqual(t, p.Deadline.At, p.Deadline.At.Round(0))
			require.NotEqual(t, p.SubmittedAt, p.SubmittedAt.Round(0))
		}
	}
	require.NotEmpty(t, commandsOf[Enqueue](next))
}

// Guards against a task of which no checkpoint is taken until the clock of its owner has caught up with that of the
// predecessor.
func TestCheckpointOfPredecessorWithClockAhead(t *testing.T) {
	f := newFixture(t, 1, "w")
	id := f.submit(1)
	attempt := f.startTask(taskID(id, 0, 0), "w")
	active := ActiveAttempt{AttemptID: attempt, Checkpoint: Checkpoint{ID: "c"}}
	f.apply(f.c.SyncAnswered(f.now, "w", 1<<40, "p1", nil, Report{Capacity: capacity, Token: "token", Active: []ActiveAttempt{active}}))

	next := &fixture{t: t, c: NewCell(1, 2, f.c.table), now: f.now.Add(-time.Hour)}
	for _, r := range f.log {
		next.c.Replay(r)
	}
	next.c.SetAuthority(next.now, true, true)
	next.apply(next.c.Recover(next.now, false, []Member{{ID: "w"}}))
	next.claim("w", Report{Active: []ActiveAttempt{{AttemptID: attempt}}})
	next.now = next.now.Add(checkpointInterval)
	next.sync("w", []AttemptID{attempt})
	require.Equal(t, []CheckpointTask{{AttemptID: attempt, Worker: "w"}}, commandsOf[CheckpointTask](next))
}

// Guards against a job whose record has no time and that counts as accepted in the year 1.
func TestJobWithoutTimeOfAcceptance(t *testing.T) {
	f := newFixture(t, 1, "w")
	f.accept(JobSpec{Grace: time.Minute, Groups: []TaskGroup{{Count: 1, Need: oneCore}}})
	for i, r := range f.log {
		if accepted, ok := r.(JobAccepted); ok {
			accepted.At = time.Time{}
			f.log[i] = accepted
		}
	}
	left := f.successor(0, false).deadlines()
	require.Len(t, left, 1)
	for _, d := range left {
		require.GreaterOrEqual(t, d, time.Minute-maxUnownedTime)
	}
}

// Guards against a job that is unknown right after it has finished, because the cell has many finished jobs: those that
// finished first are forgotten, whatever their ids are.
func TestJobsThatFinishedFirstAreForgotten(t *testing.T) {
	f := newFixture(t, 1, "w")
	finish := func(id ident.JobID) {
		eff, _, err := f.c.Cancel(f.now, id)
		require.NoError(t, err)
		f.apply(eff)
		f.now = f.now.Add(time.Millisecond)
	}
	last := f.submit(1)
	for range maxFinishedJobs {
		finish(f.submit(1))
	}
	finish(last)
	f.c.Snapshot(f.now, false)
	_, err := f.c.Get(last, 0, 1)
	require.NoError(t, err)
	require.Len(t, f.c.jobs, maxFinishedJobs)
}

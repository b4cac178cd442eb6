package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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

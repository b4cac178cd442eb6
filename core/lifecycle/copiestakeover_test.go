package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/speculation"
)

func (f *fixture) kind() speculation.Kind {
	return speculation.Kind{Class: "batch", Image: "image"}
}

// takeover returns the next owner of the cell of f, before any worker has answered.
func takeover(f *fixture, clean bool) *fixture {
	next := &fixture{t: f.t, c: NewCell(1, 8, f.c.table), now: f.now.Add(time.Second)}
	next.c.SetAuthority(next.now, true, true)
	if clean {
		next.c.RestoreSnapshot(f.c.Snapshot(f.now, true))
	} else {
		for _, r := range f.log {
			next.c.Replay(r)
		}
	}
	members := []Member{{ID: "w1"}, {ID: "w2"}, {ID: "w3"}}
	next.apply(next.c.Recover(next.now, clean, members))
	next.apply(next.c.SetMembers(next.now, members))
	next.learn()
	return next
}

// Guards against a third attempt and against bookings that the next owner does not know, in whatever order the workers
// answer: it takes over both attempts.
func TestTakeoverWithBothAttemptsRunning(t *testing.T) {
	for _, clean := range []bool{false, true} {
		for _, order := range [][]ident.WorkerID{{"w1", "w2", "w3"}, {"w2", "w1", "w3"}, {"w3", "w2", "w1"}} {
			old, task, first, second := withCopy(t)
			f := takeover(old, clean)
			active := map[ident.WorkerID][]ActiveAttempt{"w1": {{AttemptID: first}}, "w2": {{AttemptID: second}}}
			for _, w := range order {
				f.claim(w, Report{Active: active[w]})
			}
			require.False(t, f.c.Recovering())
			require.Empty(t, commandsOf[StopTasks](f))
			require.Empty(t, f.takeEnqueued())
			f.syncAll(5*time.Second, map[ident.WorkerID][]AttemptID{"w1": {first}, "w2": {second}})
			require.Empty(t, f.c.CopyCandidates(f.now), "no third attempt")
			require.Equal(t, ident.WorkerID("w1"), f.taskView(task.Job, 0).Worker)

			f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndDone})
			require.True(t, f.stopped(first))
			f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndStopped})
			require.Equal(t, Done, f.taskView(task.Job, 0).State)
			require.Equal(t, 1, f.released(task))
			require.Equal(t, 1, f.released(task.Copy()))
			require.Equal(t, []CopyEventKind{CopyWon}, eventKinds(f.c.TakeCopyEvents()))
		}
	}
}

// Guards against bookings under the wrong id after a takeover.
func TestTakeoverBooksBothAttempts(t *testing.T) {
	old, task, first, second := withCopy(t)
	f := takeover(old, false)
	f.claim("w2", Report{Active: []ActiveAttempt{{AttemptID: second}}})
	f.claim("w1", Report{Active: []ActiveAttempt{{AttemptID: first}}})
	f.claim("w3", Report{})
	booked := f.booked()
	require.Len(t, booked, 2)
	require.Equal(t, ident.WorkerID("w2"), booked[task], "listed first")
	require.Equal(t, ident.WorkerID("w1"), booked[task.Copy()])
}

// Guards against a first attempt that the next owner stops because its copy, with a higher number, has failed.
func TestTakeoverAfterTheCopyFailed(t *testing.T) {
	for _, clean := range []bool{false, true} {
		old, task, first, second := withCopy(t)
		old.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndFailed})
		f := takeover(old, clean)
		f.claim("w2", Report{Ended: []EndedAttempt{{AttemptID: second, End: EndFailed}}})
		f.claim("w1", Report{Active: []ActiveAttempt{{AttemptID: first}}})
		f.claim("w3", Report{})
		require.Empty(t, commandsOf[StopTasks](f))
		require.Equal(t, 1, f.taskView(task.Job, 0).Failures, "counted once")
		require.Equal(t, Running, f.taskView(task.Job, 0).State)
		f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndDone})
		require.Equal(t, Done, f.taskView(task.Job, 0).State)
	}
}

// Guards against a third attempt while the worker of one of the two has not answered, although the other attempt has
// ended.
func TestTakeoverWaitsForBothWorkers(t *testing.T) {
	for _, clean := range []bool{false, true} {
		old, task, first, second := withCopy(t)
		f := takeover(old, clean)
		f.takeEnqueued()
		f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: first, End: EndLapsed}}})
		f.claim("w3", Report{})
		f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndLapsed})
		require.Empty(t, f.takeEnqueued(), "the copy may run on w2")
		f.claim("w2", Report{Active: []ActiveAttempt{{AttemptID: second}}})
		require.Empty(t, f.takeEnqueued())
		require.Empty(t, commandsOf[StopTasks](f))
		view := f.taskView(task.Job, 0)
		require.Equal(t, ident.WorkerID("w2"), view.Worker)
		require.Equal(t, Running, view.State)
	}
}

// Guards against attempt numbers that are used again after a takeover.
func TestAttemptNumbersRiseAfterTakeover(t *testing.T) {
	for _, clean := range []bool{false, true} {
		old, task, first, second := withCopy(t)
		f := takeover(old, clean)
		for _, w := range []ident.WorkerID{"w1", "w2", "w3"} {
			f.claim(w, Report{Ended: map[ident.WorkerID][]EndedAttempt{
				"w1": {{AttemptID: first, End: EndLapsed}}, "w2": {{AttemptID: second, End: EndLapsed}},
			}[w]})
		}
		require.False(t, f.c.Recovering())
		next := f.planStart(task, "w3")
		require.Greater(t, next.Attempt, second.Attempt)
	}
}

// Guards against a copy of the predecessor that starts after the success was acknowledged: its start may still be on its
// way to a worker that the next owner has not claimed.
func TestTakeoverAcknowledgesNoSuccessBeforeAllWorkersAreClaimed(t *testing.T) {
	old, task, first, _ := withCopy(t)
	f := takeover(old, false)
	done := EndedAttempt{AttemptID: first, End: EndDone}
	f.claim("w1", Report{Ended: []EndedAttempt{done}})
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
	f.claim("w3", Report{})
	f.sync("w1", nil, done)
	require.Empty(t, f.acks("w1"))
	f.claim("w2", Report{})
	f.sync("w1", nil, done)
	require.Equal(t, []AttemptID{first}, f.acks("w1"))
}

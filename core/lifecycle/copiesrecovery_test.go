package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Guards against a false NotRun verdict: the copy has run and ended before it is known that the first attempt never
// started.
func TestCopyThatRanForbidsNotRun(t *testing.T) {
	for name, refused := range map[string]bool{"refused": true, "never started": false} {
		for _, end := range []End{EndFailed, EndLapsed} {
			f := newFixture(t, 7, "w1", "w2", "w3")
			f.learn()
			task := ident.TaskID{Job: f.submitSpeculative(1)}
			first := f.planStart(task, "w1")
			f.now = f.now.Add(3 * time.Second)
			second := f.startCopy("w2")
			f.apply(f.c.StartAnswered(f.now, "w2", second, Answer{Outcome: Applied}))
			f.sync("w2", nil, EndedAttempt{AttemptID: second, End: end})
			if refused {
				f.apply(f.c.StartAnswered(f.now, "w1", first, Answer{Outcome: Refused, Reason: ReasonCapacity}))
			} else {
				f.apply(f.c.StartAnswered(f.now, "w1", first, Answer{}))
				f.apply(f.c.StopAnswered(f.now, "w1", []AttemptID{first}, Answer{Outcome: Applied}, "p1",
					[]EndedAttempt{{AttemptID: first, End: EndNeverStarted}}))
			}
			eff, _, err := f.c.Cancel(f.now, task.Job)
			require.NoError(t, err)
			f.apply(eff)
			require.Equal(t, Cancelled, f.taskView(task.Job, 0).State)
			require.NotEqual(t, verdict.NotRun, f.taskView(task.Job, 0).Verdict, "%s, %v", name, end)
		}
	}
}

// Guards against a task that is shown as being moved while its first attempt runs: the copy was listed first, and was told
// to move before the first attempt was listed.
func TestFirstAttemptIsListedAfterTheCopyIsEvicted(t *testing.T) {
	old, task, first, second := withCopy(t)
	f := takeover(old, false)
	f.claim("w2", Report{Active: []ActiveAttempt{{AttemptID: second}}})
	f.apply(f.c.ApplyPlan(f.now, placement.Plan{Evictions: []placement.Evict{{Task: task, Attempt: second.Attempt, Worker: "w2"}}}))
	require.Equal(t, Evicting, f.taskView(task.Job, 0).State)
	f.claim("w1", Report{Active: []ActiveAttempt{{AttemptID: first}}})
	f.claim("w3", Report{})
	require.Equal(t, Running, f.taskView(task.Job, 0).State)
	f.apply(f.c.CheckpointAnswered(f.now, "w2", second, Answer{Outcome: Applied}, EndedAttempt{AttemptID: second, End: EndEvicted}))
	require.Equal(t, Running, f.taskView(task.Job, 0).State)
	require.Equal(t, ident.WorkerID("w1"), f.taskView(task.Job, 0).Worker)
}

// Guards against a first attempt that a second new owner stops: the first new owner had moved the copy before the worker of
// the first attempt answered, and the log shows only that move.
func TestEvictionOfTheCopyDoesNotEndTheFirstAttempt(t *testing.T) {
	old, task, first, second := withCopy(t)
	f := takeover(old, false)
	f.log = append(old.log, f.log...)
	f.claim("w2", Report{Active: []ActiveAttempt{{AttemptID: second}}})
	f.apply(f.c.ApplyPlan(f.now, placement.Plan{Evictions: []placement.Evict{{Task: task, Attempt: second.Attempt, Worker: "w2"}}}))
	f.apply(f.c.CheckpointAnswered(f.now, "w2", second, Answer{Outcome: Applied},
		EndedAttempt{AttemptID: second, End: EndEvicted, Checkpoint: Checkpoint{ID: "c2"}}))
	require.Contains(t, f.acks("w2"), second)

	next := takeover(f, false)
	next.claim("w2", Report{})
	next.claim("w1", Report{Active: []ActiveAttempt{{AttemptID: first}}})
	next.claim("w3", Report{})
	require.Empty(t, commandsOf[StopTasks](next))
	require.Equal(t, ident.WorkerID("w1"), next.taskView(task.Job, 0).Worker)
	require.Equal(t, 1, next.c.task(task).evictions)
	require.True(t, next.c.task(task).hasEnded(second.Attempt))
}

// Guards against a copy that is given up, or a third attempt, when the process of its worker starts again.
func TestWorkerOfTheCopyRestarts(t *testing.T) {
	f, task, first, second := withCopy(t)
	f.apply(f.c.ClaimAnswered(f.now, "w2", f.c.NextClaimSeq(), "p2", Report{Capacity: capacity, Token: "token"}))
	require.Equal(t, 1, f.released(task.Copy()))
	require.Empty(t, f.c.CopyCandidates(f.now.Add(time.Hour)))
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndDone})
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndLapsed})
	require.Contains(t, f.acks("w2"), second)
	require.Len(t, commandsOf[StartTask](f), 2)
}

// Guards against a third attempt, and a success that is never acknowledged, if the worker of one of the two attempts does
// not answer the next owner before its leases have lapsed.
func TestTakeoverWithOneAttemptOnASilentWorker(t *testing.T) {
	for _, clean := range []bool{false, true} {
		old, task, first, second := withCopy(t)
		f := takeover(old, clean)
		f.c.CallFailed("w1")
		f.claim("w2", Report{Active: []ActiveAttempt{{AttemptID: second}}})
		f.claim("w3", Report{})
		f.sync("w2", []AttemptID{second})
		f.tickUntil(f.now.Add(f.c.policy.lapseAfter() / 2))
		require.True(t, f.c.Recovering())
		require.Empty(t, f.c.CopyCandidates(f.now), "the first attempt may run")
		done := EndedAttempt{AttemptID: second, End: EndDone}
		f.sync("w2", nil, done)
		require.Equal(t, Done, f.taskView(task.Job, 0).State)
		f.sync("w2", nil, done)
		require.Empty(t, f.acks("w2"), "a start may be on its way to w1")
		f.tickUntil(f.now.Add(f.c.policy.lapseAfter()))
		require.False(t, f.c.Recovering())
		f.sync("w2", nil, done)
		require.Equal(t, []AttemptID{second}, f.acks("w2"))

		f.claim("w1", Report{Active: []ActiveAttempt{{AttemptID: first}}})
		require.True(t, f.stopped(first))
		f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndStopped})
		require.Equal(t, []AttemptID{first}, f.acks("w1"))
		require.Empty(t, commandsOf[StartTask](f))
	}
}

// Guards against a copy that is stopped, or a task that starts again, because the worker of the copy has not listed all ends
// when it is claimed.
func TestTakeoverWithTheCopyInAPartialReport(t *testing.T) {
	for _, clean := range []bool{false, true} {
		old, task, first, second := withCopy(t)
		f := takeover(old, clean)
		f.takeEnqueued()
		f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: first, End: EndLapsed}}})
		f.claim("w3", Report{})
		f.claim("w2", Report{Active: []ActiveAttempt{{AttemptID: second}}, Partial: true})
		require.True(t, f.c.Recovering())
		require.Empty(t, f.takeEnqueued())
		other := AttemptID{Task: ident.TaskID{Job: ident.JobID{Cell: 1, Epoch: 3, Seq: 1}}, Attempt: 1}
		f.syncPartial("w2", []ActiveAttempt{{AttemptID: second}}, EndedAttempt{AttemptID: other, End: EndDone})
		require.Empty(t, commandsOf[StopTasks](f))
		require.Empty(t, f.c.CopyCandidates(f.now.Add(time.Hour)))
		f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndFailed})
		require.False(t, f.c.Recovering())
		f.tickUntil(f.now.Add(1500 * time.Millisecond))
		require.Equal(t, []ident.TaskID{task}, f.takeEnqueued(), "once")
		require.Greater(t, f.planStart(task, "w3").Attempt, second.Attempt)
	}
}

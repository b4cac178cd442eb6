package lifecycle

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// evictAndLapse evicts a task on w1, loses the answer and lets w1 lapse. It returns the end that w1 reports later.
func evictAndLapse(t *testing.T) (*fixture, ident.TaskID, EndedAttempt) {
	f := newFixture(t, 7, "w1", "w2")
	task := ident.TaskID{Job: f.submit(1)}
	attempt := f.startTask(task, "w1")
	f.apply(f.c.ApplyPlan(f.now, placement.Plan{Evictions: []placement.Evict{{Task: task, Worker: "w1"}}}))
	f.c.CallFailed("w1")
	f.tickUntil(f.now.Add(LeaseDuration + LeaseMargin))
	f.claim("w2", Report{})
	require.Equal(t, Queued, f.taskView(task.Job, 0).State)
	return f, task, EndedAttempt{AttemptID: attempt, End: EndEvicted, Checkpoint: Checkpoint{ID: "late"}}
}

// Guards against lost work: a checkpoint that a worker reports after it was given up is used if no attempt has run
// since.
func TestLateCheckpointIsResumed(t *testing.T) {
	f, task, late := evictAndLapse(t)
	f.claim("w1", Report{Ended: []EndedAttempt{late}})
	f.planStart(task, "w2")
	starts := commandsOf[StartTask](f)
	require.Equal(t, "late", starts[len(starts)-1].Checkpoint)
}

// Guards against discarding a late checkpoint before it is known whether the next attempt has run.
func TestLateCheckpointWaitsForTheStartInProgress(t *testing.T) {
	f, task, late := evictAndLapse(t)
	next := f.planStart(task, "w2")
	f.claim("w1", Report{Ended: []EndedAttempt{late}})
	req, _ := f.c.SyncRequest("w1")
	require.Empty(t, req.Acks, "the worker must report the checkpoint again")
	f.apply(f.c.StartAnswered(f.now, "w2", next, Answer{Outcome: Refused, Reason: ReasonCapacity}))
	f.sync("w1", nil, late)
	f.now = f.now.Add(time.Second)
	f.apply(f.c.Tick(f.now))
	f.planStart(task, "w2")
	starts := commandsOf[StartTask](f)
	require.Equal(t, "late", starts[len(starts)-1].Checkpoint)
}

// Guards against an old checkpoint that replaces a newer one after a change of owner.
func TestLateCheckpointDoesNotReplaceANewerOne(t *testing.T) {
	f, task, late := evictAndLapse(t)
	attempt := f.startTask(task, "w2")
	f.apply(f.c.ApplyPlan(f.now, placement.Plan{Evictions: []placement.Evict{{Task: task, Worker: "w2"}}}))
	newer := EndedAttempt{AttemptID: attempt, End: EndEvicted, Checkpoint: Checkpoint{ID: "newer"}}
	f.apply(f.c.CheckpointAnswered(f.now, "w2", attempt, Answer{Outcome: Applied}, newer))
	for name, restore := range map[string]func(c *Cell){
		"log": func(c *Cell) {
			for _, rec := range f.log {
				c.Replay(rec)
			}
		},
		"snapshot": func(c *Cell) { c.RestoreSnapshot(f.c.Snapshot(f.now, false)) },
	} {
		next := &fixture{t: t, c: NewCell(1, 9, f.c.table), now: f.now}
		restore(next.c)
		next.c.SetAuthority(next.now, true, true)
		next.apply(next.c.Recover(next.now, false, []Member{{ID: "w1"}, {ID: "w2"}}))
		next.claim("w1", Report{Ended: []EndedAttempt{late}})
		next.claim("w2", Report{})
		next.planStart(task, "w2")
		starts := commandsOf[StartTask](next)
		require.Len(t, starts, 1, name)
		require.Equal(t, "newer", starts[0].Checkpoint, name)
	}
}

// Guards against a booking that stays too low: a throttle whose answer was lost is sent again after the next report
// that lists the attempt, and only then, with the latest fraction.
func TestLostThrottleIsSentAgainAfterTheNextSync(t *testing.T) {
	f := newFixture(t, 7, "w1")
	task := ident.TaskID{Job: f.submit(1)}
	attempt := f.startTask(task, "w1")
	throttle := func(fraction float64) {
		plan := placement.Plan{Throttles: []placement.Throttle{{Task: task, Attempt: attempt.Attempt, Worker: "w1", Fraction: fraction}}}
		f.apply(f.c.ApplyPlan(f.now, plan))
	}
	sync := func(active ...ActiveAttempt) int {
		req, _ := f.c.SyncRequest("w1")
		f.apply(f.c.SyncAnswered(f.now, "w1", req.Seq, "p1", nil, Report{Capacity: capacity, Token: "token", Active: active}))
		return len(commandsOf[ThrottleTask](f))
	}
	throttle(0.5)
	f.apply(f.c.ThrottleAnswered("w1", attempt, 0.5, Answer{}))
	require.Equal(t, 2, sync(ActiveAttempt{AttemptID: attempt}), "the lost throttle was not sent again")
	sent := commandsOf[ThrottleTask](f)
	require.Equal(t, sent[0], sent[1])
	require.Equal(t, 2, sync(ActiveAttempt{AttemptID: attempt}), "sent again although its answer is on the way")
	f.apply(f.c.ThrottleAnswered("w1", attempt, 0.5, Answer{Outcome: Applied}))
	require.Equal(t, 2, sync(ActiveAttempt{AttemptID: attempt}), "sent again although it took effect")
	throttle(0.8)
	f.apply(f.c.ThrottleAnswered("w1", attempt, 0.5, Answer{}))
	require.Equal(t, 3, sync(ActiveAttempt{AttemptID: attempt}), "a lost answer to an earlier fraction counted as lost for the current one")
}

// Guards against a result that is acknowledged to its worker although nothing of it is durable, neither the cancellation of
// its job nor the result of another attempt. After the loss of the owner the task would run again.
func TestResultIsKeptUntilItsTaskIsFinalInTheLog(t *testing.T) {
	for _, end := range []End{EndDone, EndFailed} {
		for name, settle := range map[string]func(f *fixture, task ident.TaskID, first AttemptID, next AttemptID) EndedAttempt{
			"cancelled, late result": func(f *fixture, task ident.TaskID, first, _ AttemptID) EndedAttempt {
				eff, pending, err := f.c.Cancel(f.now, task.Job)
				require.NoError(f.t, err)
				require.True(f.t, pending)
				f.apply(eff)
				return EndedAttempt{AttemptID: first, End: end}
			},
			"done by an earlier attempt": func(f *fixture, _ ident.TaskID, first, next AttemptID) EndedAttempt {
				f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: first, End: EndDone}}})
				return EndedAttempt{AttemptID: next, End: end}
			},
		} {
			t.Run(fmt.Sprintf("%s, end %d", name, end), func(t *testing.T) {
				f := newFixture(t, 7, "w1", "w2")
				task := ident.TaskID{Job: f.submit(1)}
				first := f.startTask(task, "w1")
				f.c.CallFailed("w1")
				f.sync("w2", nil)
				f.tickUntil(f.now.Add(LeaseDuration + LeaseMargin))
				f.claim("w2", Report{})
				next := f.startTask(task, "w2")
				f.holdLog = true
				logged := len(f.log)
				late := settle(f, task, first, next)
				w := ident.WorkerID("w1")
				if late.AttemptID == next {
					w = "w2"
				} else {
					f.claim(w, Report{})
				}
				acks := func() []AttemptID {
					f.sync(w, nil, late)
					req, _ := f.c.SyncRequest(w)
					return req.Acks
				}
				require.NotContains(t, acks(), late.AttemptID)
				require.NotContains(t, acks(), late.AttemptID, "reported again")
				f.holdLog = false
				f.apply(f.c.RecordsCommitted(f.now, f.log[logged:]))
				require.Contains(t, acks(), late.AttemptID)
			})
		}
	}
}

package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// Guards against a refused task whose pauses leave too little of the time in which it must start again for several
// tries, and against one that pauses on although a worker with room for it accepts starts again.
func TestRefusedTaskRetriesWithinTarget(t *testing.T) {
	const startWithin = 3 * time.Second
	for name, tc := range map[string]struct {
		lasting bool
		pause   time.Duration
	}{"lasting": {true, restartWithin / 4}, "other": {false, startWithin * 3 / 4}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 1, "w")
			task := taskID(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore, Lasting: tc.lasting}}}), 0, 0)
			for range 20 {
				f.apply(f.c.StartAnswered(f.now, "w", f.planStart(task, "w"), Answer{Outcome: Refused, Reason: ReasonUnhealthy}))
				f.commands = nil
				f.now = f.now.Add(tc.pause)
				f.apply(f.c.Tick(f.now))
				require.Equal(t, []ident.TaskID{task}, f.takeEnqueued())
				f.reportEnds("w")
			}
		})
	}
}

// Guards against a lasting task that is not restarted while the store is down, because so many of its attempts are
// unlogged that it waits for a record.
func TestLastingTaskDoesNotWaitForTheLog(t *testing.T) {
	f := newFixture(t, 1, "w")
	task := taskID(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore, Lasting: true}}}), 0, 0)
	fail := func(times int) {
		for range times {
			f.now = f.now.Add(time.Minute)
			f.reportEnds("w", EndedAttempt{AttemptID: f.startTask(task, "w"), End: EndFailed})
		}
	}
	fail(attemptStride - 10)
	f.holdLog = true
	f.commands = nil
	fail(20)
	require.Len(t, f.takeEnqueued(), 20)
	f.holdLog = false
	fail(2 * attemptStride)
	require.Len(t, f.takeEnqueued(), 2*attemptStride)
}

// Guards against a lasting task that goes before all new starts although it has never run: its first start was refused.
func TestRefusedFirstStartIsNoRestart(t *testing.T) {
	f := newFixture(t, 7, "w1")
	task := f.acceptLasting()
	lastQueued := func() placement.Pending {
		queued := commandsOf[Enqueue](f)
		return queued[len(queued)-1].Tasks[0]
	}
	require.False(t, lastQueued().Restart)
	attempt := f.planStart(task, "w1")
	f.apply(f.c.StartAnswered(f.now, "w1", attempt, Answer{Outcome: Refused, Reason: ReasonCapacity}))
	f.tickUntil(f.now.Add(startRetryPause))
	require.EqualValues(t, 2, lastQueued().Attempt)
	require.False(t, lastQueued().Restart)

	attempt = f.planStart(task, "w1")
	f.apply(f.c.StartAnswered(f.now, "w1", attempt, Answer{}))
	never := []EndedAttempt{{AttemptID: attempt, End: EndNeverStarted}}
	f.apply(f.c.StopAnswered(f.now, "w1", []AttemptID{attempt}, Answer{Outcome: Applied}, "p1", never))
	require.EqualValues(t, 3, lastQueued().Attempt)
	require.False(t, lastQueued().Restart, "the worker says that the attempt never ran")

	f.sync("w1", nil, EndedAttempt{AttemptID: f.startTask(task, "w1"), End: EndFailed})
	require.EqualValues(t, 4, lastQueued().Attempt)
	require.True(t, lastQueued().Restart)
	attempt = f.planStart(task, "w1")
	f.apply(f.c.StartAnswered(f.now, "w1", attempt, Answer{Outcome: Refused, Reason: ReasonCapacity}))
	f.tickUntil(f.now.Add(startRetryPause))
	require.True(t, lastQueued().Restart, "a later refusal does not change that it has run")
}

// Guards against a task that goes to the same worker again and again, which refuses what it is sent: it runs nothing
// and therefore has the most room.
func TestRefusedTaskTriesAnotherWorker(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3", "w4")
	task := ident.TaskID{Job: f.submit(1)}
	avoided := func() []ident.WorkerID {
		f.tickUntil(f.now.Add(startRetryPause << 2))
		queued := commandsOf[Enqueue](f)
		return queued[len(queued)-1].Tasks[0].Avoid
	}
	refuse := func(w ident.WorkerID, reason RefusalReason) {
		f.apply(f.c.StartAnswered(f.now, w, f.planStart(task, w), Answer{Outcome: Refused, Reason: reason}))
	}
	refuse("w1", ReasonCapacity)
	require.Empty(t, avoided())
	refuse("w1", ReasonUnhealthy)
	require.Equal(t, []ident.WorkerID{"w1"}, avoided())
	refuse("w2", ReasonUnhealthy)
	require.Equal(t, []ident.WorkerID{"w2", "w1"}, avoided())
	attempt := f.startTask(task, "w3")
	f.sync("w3", nil, EndedAttempt{AttemptID: attempt, End: EndStopped})
	require.Empty(t, avoided())
}

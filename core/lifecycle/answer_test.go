package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against a task that runs again although it is done: an owner that is slow gave up a worker whose answer had
// arrived and only waited to be taken over. The answer listed the task as done.
func TestWorkerWhoseAnswerWaitsIsNotGivenUp(t *testing.T) {
	for name, calls := range map[string]func(c *Cell){
		"call in progress":       func(*Cell) {},
		"answer waits":           func(c *Cell) { c.AnswerArrived("w1") },
		"answer after a failure": func(c *Cell) { c.CallFailed("w1"); c.AnswerArrived("w1") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 7, "w1", "w2")
			task := ident.TaskID{Job: f.submit(1)}
			r := f.running(task, "w1")
			req, _ := f.c.SyncRequest("w1")
			calls(f.c)
			f.cmds = nil
			f.tickUntil(f.now.Add(time.Minute))
			require.Empty(t, commandsOf[DropWorker](f))
			require.Empty(t, commandsOf[Enqueue](f), "the task is to start again")
			done := Report{Token: "token", Ended: []EndedAttempt{{AttemptID: r, End: EndDone}}}
			f.apply(f.c.SyncAnswered(f.now, "w1", req.Seq, "p1", nil, done))
			require.Equal(t, Done, f.view(task.Job, 0).State)
		})
	}
}

// Guards against a worker that is given up at once after its report was taken over late: the owner has not asked it since.
func TestWorkerIsAskedAgainAfterALateReport(t *testing.T) {
	f := newFixture(t, 7, "w1")
	r := f.running(ident.TaskID{Job: f.submit(1)}, "w1")
	f.c.CallFailed("w1")
	f.now = f.now.Add(time.Minute)
	f.sync("w1", []AttemptID{r})
	f.tickUntil(f.now.Add(time.Minute))
	require.Equal(t, Running, f.view(r.Task.Job, 0).State)
	f.c.CallFailed("w1")
	f.apply(f.c.Tick(f.now))
	require.Equal(t, Queued, f.view(r.Task.Job, 0).State, "the worker does not answer")
}

// Guards against a task that runs again after a change of owner although the inventory that shows its end has arrived:
// a slow successor freed what it held before it had taken the inventory over.
func TestRecoveryWaitsForTheInventoryInHand(t *testing.T) {
	old := newFixture(t, 7, "w1")
	task := ident.TaskID{Job: old.submit(1)}
	r := old.place(task, "w1")
	f := &fixture{t: t, c: NewCell(1, 9, old.c.table), now: old.now}
	for _, rec := range old.log {
		f.c.Replay(rec)
	}
	f.c.SetAuthority(f.now, true, true)
	f.apply(f.c.Recover(f.now, false, []Member{{ID: "w1"}}))
	f.c.CallFailed("w1")
	f.c.AnswerArrived("w1")
	f.tickUntil(f.now.Add(time.Minute))
	require.True(t, f.c.Recovering())
	require.Empty(t, commandsOf[Enqueue](f), "the task is to start again")
	f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: r, End: EndDone}}})
	require.False(t, f.c.Recovering())
	require.Equal(t, Done, f.view(task.Job, 0).State)
	require.Empty(t, commandsOf[Enqueue](f))
}

// Guards against a second run of a task that is done: its start waited to be sent while a worker that had been given up
// listed the first run as done.
func TestStartIsNotWantedOnceItsReasonIsGone(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	task := ident.TaskID{Job: f.submit(1)}
	first := f.running(task, "w1")
	f.c.CallFailed("w1")
	f.tickUntil(f.now.Add(LeaseDuration + LeaseMargin))
	second := f.place(task, "w2")
	require.True(t, f.c.ShouldSendStart("w2", second))
	require.False(t, f.c.ShouldSendStart("w3", second))
	require.False(t, f.c.ShouldSendStart("w1", first))
	f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: first, End: EndDone}}})
	require.False(t, f.c.ShouldSendStart("w2", second))
	f.apply(f.c.StartAnswered(f.now, "w2", second, Answer{Outcome: Refused, Reason: ReasonUnsent}))
	require.Equal(t, Done, f.view(task.Job, 0).State)
}

// Guards against a start that is sent while the cancellation of its job is being made durable.
func TestStartIsNotWantedOnceItsJobIsCancelled(t *testing.T) {
	f := newFixture(t, 7, "w1")
	r := f.place(ident.TaskID{Job: f.submit(1)}, "w1")
	f.held = true
	eff, _, err := f.c.Cancel(f.now, r.Task.Job)
	require.NoError(t, err)
	f.apply(eff)
	require.False(t, f.c.ShouldSendStart("w1", r))
}

// Guards against an end that is dropped because another attempt was asked for.
func TestEndsBesideTheAnswerToAStopCount(t *testing.T) {
	f := newFixture(t, 7, "w1")
	task := ident.TaskID{Job: f.submit(1)}
	r := f.running(task, "w1")
	asked := AttemptID{Task: ident.TaskID{Job: f.submit(1)}, Attempt: 1}
	ends := []EndedAttempt{{AttemptID: asked, End: EndNeverStarted}, {AttemptID: r, End: EndDone}}
	f.apply(f.c.StopAnswered(f.now, "w1", []AttemptID{asked}, Answer{Outcome: Applied}, "p1", ends))
	require.Equal(t, Done, f.view(task.Job, 0).State)
	req, _ := f.c.SyncRequest("w1")
	require.Contains(t, req.Acks, r)
}

// Guards against a task that runs again although it is done: its end was not in a report, because a worker lists only so
// many ends at a time until the earlier ones are acknowledged.
func TestShortenedListOfEndsProvesNothing(t *testing.T) {
	f := newFixture(t, 7, "w1")
	id := f.submit(2)
	first := f.running(ident.TaskID{Job: id, Index: 0}, "w1")
	second := f.running(ident.TaskID{Job: id, Index: 1}, "w1")
	f.cmds = nil
	report := func(partial bool, ended ...EndedAttempt) {
		req, _ := f.c.SyncRequest("w1")
		f.apply(f.c.SyncAnswered(f.now, "w1", req.Seq, "p1", req.Acks, Report{Token: "token", Ended: ended, Partial: partial}))
	}
	report(true, EndedAttempt{AttemptID: first, End: EndDone})
	require.Empty(t, commandsOf[Enqueue](f), "the second task is to start again")
	report(false, EndedAttempt{AttemptID: second, End: EndDone})
	require.Equal(t, Done, f.view(id, 1).State)
	require.Empty(t, commandsOf[Enqueue](f))
}

// Guards against the same after a change of owner: the inventory holds only the first ends.
func TestShortenedInventoryFreesNothing(t *testing.T) {
	old := newFixture(t, 7, "w1")
	id := old.submit(2)
	first := old.place(ident.TaskID{Job: id, Index: 0}, "w1")
	second := old.place(ident.TaskID{Job: id, Index: 1}, "w1")
	for name, clean := range map[string]bool{"owner lost": false, "hand-over": true} {
		t.Run(name, func(t *testing.T) {
			f := &fixture{t: t, c: NewCell(1, 9, old.c.table), now: old.now}
			f.c.RestoreSnapshot(old.c.Snapshot(old.now, clean))
			f.c.SetAuthority(f.now, true, true)
			f.apply(f.c.Recover(f.now, clean, []Member{{ID: "w1"}}))
			f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: first, End: EndDone}}, Partial: true})
			require.Empty(t, commandsOf[Enqueue](f), "the second task is to start again")
			require.True(t, f.c.Recovering())
			f.sync("w1", nil, EndedAttempt{AttemptID: second, End: EndDone})
			require.False(t, f.c.Recovering())
			require.Equal(t, Done, f.view(id, 1).State)
			require.Empty(t, commandsOf[Enqueue](f))
		})
	}
}

// Guards against a loop that does not rest: a time that has passed is named as the next one while inventories are awaited.
func TestNoTickIsDueWhileInventoriesAreAwaited(t *testing.T) {
	f := &fixture{t: t, c: NewCell(1, 9, newFixture(t, 7).c.table), now: start0}
	f.c.SetAuthority(f.now, true, true)
	f.apply(f.c.Recover(f.now, false, []Member{{ID: "w1"}}))
	require.Zero(t, f.c.NextTick(), "the claim is not answered yet")
	f.c.CallFailed("w1")
	require.Equal(t, start0.Add(LeaseDuration+LeaseMargin), f.c.NextTick())
	f.claim("w1", Report{Partial: true})
	f.tickUntil(f.now.Add(time.Hour))
	require.True(t, f.c.Recovering())
	require.Zero(t, f.c.NextTick(), "the worker has not listed everything")
}

// Guards against two runs of a task at a time: a worker was claimed again at a new address, and an attempt that started
// there after the inventory was taken, but was confirmed first, counted as gone.
func TestInventoryOfASecondClaimIsOlderThanLaterStarts(t *testing.T) {
	f := newFixture(t, 7, "w1")
	before := f.running(ident.TaskID{Job: f.submit(1)}, "w1")
	id := f.submit(1)
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1", Address: "moved"}}))
	require.Len(t, commandsOf[ClaimWorker](f), 2)
	seq := f.c.NextClaimSeq()
	f.running(ident.TaskID{Job: id}, "w1")
	f.cmds = nil
	f.apply(f.c.ClaimAnswered(f.now, "w1", seq, "p1", Report{Token: "token"}))
	require.Equal(t, Running, f.view(id, 0).State)
	require.Equal(t, Queued, f.view(before.Task.Job, 0).State, "the attempt ran before the claim and is gone")
}

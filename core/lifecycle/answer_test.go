package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against a completed task that runs again: a slow owner gave up a worker although the worker's answer, which
// listed the task as done, had arrived and was only waiting to be handled.
func TestUnprocessedAnswerKeepsWorkerClaimed(t *testing.T) {
	for name, calls := range map[string]func(c *Cell){
		"call in progress":       func(*Cell) {},
		"answer not handled yet": func(c *Cell) { c.AnswerArrived("w1") },
		"answer after a failure": func(c *Cell) { c.CallFailed("w1"); c.AnswerArrived("w1") },
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 7, "w1", "w2")
			task := ident.TaskID{Job: f.submit(1)}
			attempt := f.startTask(task, "w1")
			req, _ := f.c.SyncRequest("w1")
			calls(f.c)
			f.commands = nil
			f.tickUntil(f.now.Add(time.Minute))
			require.Empty(t, commandsOf[DropWorker](f))
			require.Empty(t, commandsOf[Enqueue](f), "the task was queued again")
			done := Report{Token: "token", Ended: []EndedAttempt{{AttemptID: attempt, End: EndDone}}}
			f.apply(f.c.SyncAnswered(f.now, "w1", req.Seq, "p1", nil, done))
			require.Equal(t, Done, f.taskView(task.Job, 0).State)
		})
	}
}

// Guards against a worker that is given up right after its late report, before the owner has called it again.
func TestLateReportPostponesLapse(t *testing.T) {
	f := newFixture(t, 7, "w1")
	attempt := f.startTask(ident.TaskID{Job: f.submit(1)}, "w1")
	f.c.CallFailed("w1")
	f.now = f.now.Add(time.Minute)
	f.sync("w1", []AttemptID{attempt})
	f.tickUntil(f.now.Add(time.Minute))
	require.Equal(t, Running, f.taskView(attempt.Task.Job, 0).State)
	f.c.CallFailed("w1")
	f.apply(f.c.Tick(f.now))
	require.Equal(t, Queued, f.taskView(attempt.Task.Job, 0).State, "the worker does not answer")
}

// Guards against a completed task that runs again after a change of owner: a slow successor released its held tasks
// before it handled an inventory that had already arrived and showed the end of the task.
func TestRecoveryWaitsForReceivedInventory(t *testing.T) {
	old := newFixture(t, 7, "w1")
	task := ident.TaskID{Job: old.submit(1)}
	attempt := old.planStart(task, "w1")
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
	require.Empty(t, commandsOf[Enqueue](f), "the task was queued again")
	f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: attempt, End: EndDone}}})
	require.False(t, f.c.Recovering())
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
	require.Empty(t, commandsOf[Enqueue](f))
}

// Guards against a second run of a completed task: while the second start waited to be sent, a worker that had been
// given up reported the first run as done.
func TestNoStartOfCompletedTask(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	task := ident.TaskID{Job: f.submit(1)}
	first := f.startTask(task, "w1")
	f.c.CallFailed("w1")
	f.tickUntil(f.now.Add(LeaseDuration + LeaseMargin))
	second := f.planStart(task, "w2")
	require.True(t, f.c.ShouldSendStart("w2", second))
	require.False(t, f.c.ShouldSendStart("w3", second))
	require.False(t, f.c.ShouldSendStart("w1", first))
	f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: first, End: EndDone}}})
	require.False(t, f.c.ShouldSendStart("w2", second))
	f.apply(f.c.StartAnswered(f.now, "w2", second, Answer{Outcome: Refused, Reason: ReasonUnsent}))
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
}

// Guards against a start that is sent while the record of the job's cancellation is being written.
func TestNoStartOfCancelledJob(t *testing.T) {
	f := newFixture(t, 7, "w1")
	attempt := f.planStart(ident.TaskID{Job: f.submit(1)}, "w1")
	f.holdLog = true
	eff, _, err := f.c.Cancel(f.now, attempt.Task.Job)
	require.NoError(t, err)
	f.apply(eff)
	require.False(t, f.c.ShouldSendStart("w1", attempt))
}

// Guards against losing an end that arrives with the answer to the stop of another attempt.
func TestStopAnswerReportsOtherEnds(t *testing.T) {
	f := newFixture(t, 7, "w1")
	task := ident.TaskID{Job: f.submit(1)}
	attempt := f.startTask(task, "w1")
	asked := AttemptID{Task: ident.TaskID{Job: f.submit(1)}, Attempt: 1}
	ends := []EndedAttempt{{AttemptID: asked, End: EndNeverStarted}, {AttemptID: attempt, End: EndDone}}
	f.apply(f.c.StopAnswered(f.now, "w1", []AttemptID{asked}, Answer{Outcome: Applied}, "p1", ends))
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
	req, _ := f.c.SyncRequest("w1")
	require.Contains(t, req.Acks, attempt)
}

// Guards against a completed task that runs again: a worker lists only a limited number of ends until earlier ones are
// acknowledged, so a report may lack the end of the task.
func TestPartialReportLosesNoTask(t *testing.T) {
	f := newFixture(t, 7, "w1")
	id := f.submit(2)
	first := f.startTask(ident.TaskID{Job: id, Index: 0}, "w1")
	second := f.startTask(ident.TaskID{Job: id, Index: 1}, "w1")
	f.commands = nil
	report := func(partial bool, ended ...EndedAttempt) {
		req, _ := f.c.SyncRequest("w1")
		f.apply(f.c.SyncAnswered(f.now, "w1", req.Seq, "p1", req.Acks, Report{Token: "token", Ended: ended, Partial: partial}))
	}
	report(true, EndedAttempt{AttemptID: first, End: EndDone})
	require.Empty(t, commandsOf[Enqueue](f), "the second task was queued again")
	report(false, EndedAttempt{AttemptID: second, End: EndDone})
	require.Equal(t, Done, f.taskView(id, 1).State)
	require.Empty(t, commandsOf[Enqueue](f))
}

// Guards against a completed task that runs again after a change of owner because the inventory of its worker lacks
// the end of the task.
func TestPartialInventoryHoldsTasks(t *testing.T) {
	old := newFixture(t, 7, "w1")
	id := old.submit(2)
	first := old.planStart(ident.TaskID{Job: id, Index: 0}, "w1")
	second := old.planStart(ident.TaskID{Job: id, Index: 1}, "w1")
	for name, clean := range map[string]bool{"owner lost": false, "hand-over": true} {
		t.Run(name, func(t *testing.T) {
			f := &fixture{t: t, c: NewCell(1, 9, old.c.table), now: old.now}
			f.c.RestoreSnapshot(old.c.Snapshot(old.now, clean))
			f.c.SetAuthority(f.now, true, true)
			f.apply(f.c.Recover(f.now, clean, []Member{{ID: "w1"}}))
			f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: first, End: EndDone}}, Partial: true})
			require.Empty(t, commandsOf[Enqueue](f), "the second task was queued again")
			require.True(t, f.c.Recovering())
			f.sync("w1", nil, EndedAttempt{AttemptID: second, End: EndDone})
			require.False(t, f.c.Recovering())
			require.Equal(t, Done, f.taskView(id, 1).State)
			require.Empty(t, commandsOf[Enqueue](f))
		})
	}
}

// Guards against an owner that spins because NextTick returns a time in the past while inventories are awaited.
func TestNoTickIsDueWhileInventoriesAreAwaited(t *testing.T) {
	f := &fixture{t: t, c: NewCell(1, 9, newFixture(t, 7).c.table), now: testStart}
	f.c.Replay(WorkerAdded{Worker: "w1"})
	f.c.SetAuthority(f.now, true, true)
	f.apply(f.c.Recover(f.now, false, []Member{{ID: "w1"}}))
	require.Zero(t, f.c.NextTick(), "the claim is not answered yet")
	f.c.CallFailed("w1")
	require.Equal(t, testStart.Add(silentAfter), f.c.NextTick(), "the silence is recorded")
	for at := testStart.Add(silentAfter); at.Before(testStart.Add(LeaseDuration + LeaseMargin)); at = at.Add(silenceInterval) {
		require.Equal(t, at, f.c.NextTick())
		f.tickUntil(at)
	}
	require.Equal(t, testStart.Add(LeaseDuration+LeaseMargin), f.c.NextTick())
	f.claim("w1", Report{Partial: true})
	f.tickUntil(f.now.Add(time.Hour))
	require.True(t, f.c.Recovering())
	require.Zero(t, f.c.NextTick(), "the worker has not listed everything")
}

// Guards against two concurrent runs of a task: a worker was claimed again at a new address, and an attempt that
// started after the inventory was taken, but was confirmed before it arrived, was counted as gone.
func TestSecondClaimKeepsLaterStarts(t *testing.T) {
	f := newFixture(t, 7, "w1")
	before := f.startTask(ident.TaskID{Job: f.submit(1)}, "w1")
	id := f.submit(1)
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1", Address: "moved"}}))
	require.Len(t, commandsOf[ClaimWorker](f), 2)
	seq := f.c.NextClaimSeq()
	f.startTask(ident.TaskID{Job: id}, "w1")
	f.commands = nil
	f.apply(f.c.ClaimAnswered(f.now, "w1", seq, "p1", Report{Token: "token"}))
	require.Equal(t, Running, f.taskView(id, 0).State)
	require.Equal(t, Queued, f.taskView(before.Task.Job, 0).State, "the attempt ran before the claim and is gone")
}

// Guards against an owner that fell behind and gave its sound workers no tasks, because it counted their silence until
// it handled an answer rather than until the answer arrived.
func TestAnswerThatWaitsIsNoSilence(t *testing.T) {
	f := newFixture(t, 7, "w1")
	silences := func() int {
		n := 0
		for _, put := range commandsOf[PutWorker](f) {
			n += boolToInt(put.Silent)
		}
		return n
	}
	for range 3 {
		f.now = f.now.Add(2 * time.Second)
		f.c.AnswerArrived("w1")
		f.tickUntil(f.now.Add(2 * time.Second))
		f.sync("w1", nil)
	}
	require.Zero(t, silences(), "each answer arrived in time")

	f.now = f.now.Add(2 * time.Second)
	f.c.AnswerArrived("w1")
	f.sync("w1", nil)
	f.c.StopArrived("w1")
	f.tickUntil(f.now.Add(silentAfter - time.Millisecond))
	require.Zero(t, silences())
	f.tickUntil(f.now.Add(time.Millisecond))
	require.Equal(t, 1, silences(), "the next sync was not answered")
}

// Guards against a worker that never counts as silent because its last answer was dropped: a claim at another address
// replaced the sync.
func TestDroppedAnswerEndsWithTheNextFailedCall(t *testing.T) {
	f := newFixture(t, 7, "w1")
	f.c.AnswerArrived("w1")
	f.c.CallFailed("w1")
	f.tickUntil(f.now.Add(silentAfter))
	require.True(t, f.c.workers["w1"].silent)
}

// Guards against a task that runs twice: its attempt counted as gone because a report lacked a running attempt.
func TestReportWithoutAllRunningAttemptsLosesNoTask(t *testing.T) {
	f := newFixture(t, 7, "w1")
	attempt := f.startTask(ident.TaskID{Job: f.submit(1)}, "w1")
	req, _ := f.c.SyncRequest("w1")
	f.apply(f.c.SyncAnswered(f.now, "w1", req.Seq, "p1", nil, Report{Token: "token", PartialActive: true}))
	require.Equal(t, Running, f.taskView(attempt.Task.Job, 0).State)
	f.sync("w1", nil)
	require.Equal(t, Queued, f.taskView(attempt.Task.Job, 0).State, "a report that lists everything lacks it")
}

// Load: workers go down and up by turns, and each start finds out anew that one of them is down. Guards against urgent tasks that
// lose their slack to pauses, and to one start after the other on a worker that runs nothing because it is down.
func TestTasksLeaveWorkersThatStartsDoNotReach(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2")
	f.sync("w1", nil)
	f.sync("w2", nil)
	job := f.submit(1)
	task := ident.TaskID{Job: job}
	unsent := Answer{Outcome: Refused, Reason: ReasonUnsent}
	takesTasks := func() bool {
		puts := commandsOf[PutWorker](f)
		return !puts[len(puts)-1].Worker.Quarantined
	}
	attempt := f.planStart(task, "w1")
	f.commands = nil
	f.apply(f.c.StartAnswered(f.now, "w1", attempt, unsent))
	require.False(t, takesTasks())
	require.Equal(t, []ident.TaskID{task}, f.takeEnqueued(), "queued again without a pause")
	f.sync("w1", nil)
	require.True(t, takesTasks(), "the worker has answered")

	// A start that this host has withheld says nothing about the worker.
	attempt = f.planStart(task, "w2")
	f.commands = nil
	f.apply(f.c.StartAnswered(f.now, "w2", attempt, Answer{Outcome: Refused, Reason: ReasonWithheld}))
	require.Empty(t, commandsOf[PutWorker](f))
	require.Empty(t, f.takeEnqueued())
	f.tickUntil(f.now.Add(2 * startRetryPause))
	require.Equal(t, []ident.TaskID{task}, f.takeEnqueued())
}

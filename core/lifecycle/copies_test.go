package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// booked returns the bookings that the commands so far leave in the planner.
func (f *fixture) booked() map[ident.TaskID]ident.WorkerID {
	left := make(map[ident.TaskID]ident.WorkerID)
	for _, c := range f.commands {
		switch typed := c.(type) {
		case Restore:
			left[typed.Running.Task] = typed.Running.Worker
		case Release:
			delete(left, typed.Task)
		case DropWorker:
			for id, w := range left {
				if w == typed.Worker {
					delete(left, id)
				}
			}
		}
	}
	return left
}

// submitSpeculative submits one group that allows copies.
func (f *fixture) submitSpeculative(tasks int) ident.JobID {
	id, eff, err := f.c.Accept(f.now, JobSpec{Class: "batch", Groups: []TaskGroup{{
		Count: tasks, Need: resource.Vector{MilliCPU: 1000}, Speculative: true, Volatile: true, Constraints: placement.Constraints{Image: "image"},
	}}})
	require.NoError(f.t, err)
	f.apply(eff)
	return id
}

// learn makes the cell expect run times of a second for the image.
func (f *fixture) learn() {
	for range 40 {
		f.c.learner.TaskEnded(f.kind(), false, time.Second)
	}
}

// startCopy starts a copy of a running task as the owner would. The start is not answered.
func (f *fixture) startCopy(w ident.WorkerID) AttemptID {
	requests := f.c.CopyCandidates(f.now)
	require.Len(f.t, requests, 1)
	r := requests[0]
	require.Equal(f.t, r.Task.Original().Copy(), r.Task)
	f.apply(f.c.StartCopies(f.now, requests, []placement.Start{{Task: r.Task, Attempt: r.Attempt, Worker: w}}))
	starts := commandsOf[StartTask](f)
	last := starts[len(starts)-1]
	require.Equal(f.t, r.Task.Original(), last.Task, "workers know the copy under the id of the task")
	return last.AttemptID
}

// withCopy returns a cell in which the first attempt of a task runs on w1 and its copy on w2.
func withCopy(t *testing.T) (f *fixture, task ident.TaskID, first, second AttemptID) {
	f = newFixture(t, 7, "w1", "w2", "w3")
	f.learn()
	task = ident.TaskID{Job: f.submitSpeculative(1)}
	first = f.startTask(task, "w1")
	f.c.task(task).run.booked = resource.Vector{MilliCPU: 1000}
	require.Empty(t, f.c.CopyCandidates(f.now))
	f.syncAll(3*time.Second, map[ident.WorkerID][]AttemptID{"w1": {first}})
	second = f.startCopy("w2")
	require.Equal(t, first.Attempt+1, second.Attempt)
	f.apply(f.c.StartAnswered(f.now, "w2", second, Answer{Outcome: Applied}))
	f.sync("w2", []AttemptID{second})
	require.Empty(t, f.c.CopyCandidates(f.now.Add(time.Hour)), "one copy")
	return f, task, first, second
}

// syncAll lets time pass while the workers answer.
func (f *fixture) syncAll(passed time.Duration, active map[ident.WorkerID][]AttemptID) {
	for end := f.now.Add(passed); f.now.Before(end); {
		f.tickUntil(f.now.Add(time.Second))
		for _, w := range []ident.WorkerID{"w1", "w2", "w3"} {
			f.sync(w, active[w])
		}
	}
}

func (f *fixture) stopped(attempt AttemptID) bool {
	for _, s := range commandsOf[StopTasks](f) {
		for _, a := range s.Attempts {
			if a == attempt {
				return true
			}
		}
	}
	return false
}

func (f *fixture) released(id ident.TaskID) int {
	n := 0
	for _, r := range commandsOf[Release](f) {
		if r.Task == id {
			n++
		}
	}
	return n
}

func eventKinds(events []CopyEvent) (kinds []CopyEventKind) {
	for _, e := range events {
		kinds = append(kinds, e.Kind)
	}
	return kinds
}

// Guards against a copy that does not stop the first attempt, ends that are never acknowledged and bookings that are kept.
func TestCopyWins(t *testing.T) {
	f, task, first, second := withCopy(t)
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndDone})
	require.True(t, f.stopped(first))
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
	require.Contains(t, f.acks("w2"), second)
	require.Equal(t, 1, f.released(task.Copy()))
	require.Zero(t, f.released(task), "the first attempt still runs")
	f.now = f.now.Add(time.Second)
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndStopped})
	require.Contains(t, f.acks("w1"), first)
	require.Equal(t, 1, f.released(task))
	require.Zero(t, f.c.CopyUsage().Running)
	require.Equal(t, 4*time.Second, f.c.CopyUsage().Wasted, "one core for 4 s")
	require.Equal(t, []CopyEventKind{CopyStarted, CopyWon}, eventKinds(f.c.TakeCopyEvents()))
	require.Empty(t, f.c.speculative)
	require.Len(t, commandsOf[StartTask](f), 2)
}

// Guards against a copy that runs on after the first attempt has succeeded.
func TestFirstAttemptWins(t *testing.T) {
	f, task, first, second := withCopy(t)
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndDone})
	require.True(t, f.stopped(second))
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndStopped})
	require.Contains(t, f.acks("w2"), second)
	require.Equal(t, 1, f.released(task))
	require.Equal(t, 1, f.released(task.Copy()))
	require.Equal(t, []CopyEventKind{CopyStarted, CopyStopped}, eventKinds(f.c.TakeCopyEvents()))
	require.Empty(t, f.taskView(task.Job, 0).Worker)
}

// Guards against a task that ends twice, or an end that is acknowledged before the record of the result is durable.
func TestBothAttemptsSucceedAtTheSameTime(t *testing.T) {
	f, task, first, second := withCopy(t)
	f.holdLog = true
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndDone})
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndDone})
	require.Empty(t, f.acks("w1"))
	require.Empty(t, f.acks("w2"))
	done := 0
	for _, r := range f.log {
		if _, ok := r.(TaskDone); ok {
			done++
		}
	}
	require.Equal(t, 1, done)
	f.holdLog = false
	f.apply(f.c.RecordsCommitted(f.now, []Record{f.log[len(f.log)-1]}))
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndDone})
	require.Contains(t, f.acks("w1"), first)
	require.Contains(t, f.acks("w2"), second)
	require.Equal(t, 1, f.released(task))
	require.Equal(t, 1, f.released(task.Copy()))
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
}

// Guards against a third attempt while it is not known whether the copy runs, and against a booking that is freed before.
func TestUnansweredStartOfCopy(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	f.learn()
	task := ident.TaskID{Job: f.submitSpeculative(1)}
	first := f.startTask(task, "w1")
	f.syncAll(3*time.Second, map[ident.WorkerID][]AttemptID{"w1": {first}})
	second := f.startCopy("w2")
	f.apply(f.c.StartAnswered(f.now, "w2", second, Answer{}))
	require.True(t, f.stopped(second))
	require.Zero(t, f.released(task.Copy()))
	require.Equal(t, Running, f.taskView(task.Job, 0).State)

	// The first attempt ends without a result while the copy may still run.
	f.takeEnqueued()
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndLapsed})
	require.Empty(t, f.takeEnqueued())
	f.apply(f.c.StopAnswered(f.now, "w2", []AttemptID{second}, Answer{Outcome: Applied}, "p1", []EndedAttempt{{AttemptID: second, End: EndNeverStarted}}))
	require.Equal(t, []ident.TaskID{task}, f.takeEnqueued())
	require.Equal(t, Queued, f.taskView(task.Job, 0).State)
	third := f.planStart(task, "w3")
	require.Equal(t, second.Attempt+1, third.Attempt)
}

// Guards against a first attempt that ends with its refused copy, and against a booking that the copy leaves behind.
func TestRefusedStartOfCopy(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	f.learn()
	task := ident.TaskID{Job: f.submitSpeculative(1)}
	first := f.startTask(task, "w1")
	f.syncAll(3*time.Second, map[ident.WorkerID][]AttemptID{"w1": {first}})
	second := f.startCopy("w2")
	f.apply(f.c.StartAnswered(f.now, "w2", second, Answer{Outcome: Refused, Reason: ReasonCapacity}))
	require.Equal(t, 1, f.released(task.Copy()))
	require.Zero(t, f.released(task))
	require.Equal(t, Running, f.taskView(task.Job, 0).State)
	require.Empty(t, f.c.CopyCandidates(f.now.Add(time.Hour)))
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndDone})
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
}

// Guards against a third attempt when the worker of the first run is lost: the copy takes its place.
func TestWorkerOfFirstAttemptIsLost(t *testing.T) {
	f, task, _, second := withCopy(t)
	f.takeEnqueued()
	f.c.CallFailed("w1")
	for range 15 {
		f.now = f.now.Add(time.Second)
		f.sync("w2", []AttemptID{second})
		f.sync("w3", nil)
		f.apply(f.c.Tick(f.now))
	}
	require.Equal(t, 1, len(commandsOf[DropWorker](f)))
	require.Empty(t, f.takeEnqueued())
	view := f.taskView(task.Job, 0)
	require.Equal(t, Running, view.State)
	require.Equal(t, ident.WorkerID("w2"), view.Worker)
	require.Empty(t, f.c.CopyCandidates(f.now), "no second copy")
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndDone})
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
}

// Guards against a task that waits although its copy fails after the first run was lost.
func TestCopyFailsAfterItTookThePlace(t *testing.T) {
	f, task, first, second := withCopy(t)
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndFailed})
	require.Equal(t, Running, f.taskView(task.Job, 0).State)
	require.Equal(t, 1, f.taskView(task.Job, 0).Failures)
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndFailed})
	require.Equal(t, 2, f.taskView(task.Job, 0).Failures)
	require.Equal(t, Queued, f.taskView(task.Job, 0).State)
	require.Equal(t, 1, f.released(task))
	require.Equal(t, 1, f.released(task.Copy()))
	f.takeEnqueued()
	f.syncAll(3*time.Second, nil)
	require.Equal(t, []ident.TaskID{task}, f.takeEnqueued())
	third := f.startTask(task, "w3")
	require.Equal(t, second.Attempt+1, third.Attempt)
	f.syncAll(5*time.Second, map[ident.WorkerID][]AttemptID{"w3": {third}})
	require.Empty(t, f.c.CopyCandidates(f.now), "no second copy")
	f.sync("w3", nil, EndedAttempt{AttemptID: third, End: EndFailed})
	require.Equal(t, Failed, f.taskView(task.Job, 0).State, "three failures are the limit")
}

// Guards against the first attempt being given up, or a failure that does not count, when the copy fails.
func TestCopyFails(t *testing.T) {
	f, task, first, second := withCopy(t)
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndFailed})
	require.Equal(t, 1, f.taskView(task.Job, 0).Failures)
	require.Equal(t, Running, f.taskView(task.Job, 0).State)
	require.False(t, f.stopped(first))
	require.Contains(t, f.acks("w2"), second)
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndDone})
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
}

// Guards against more failures than the class allows: both attempts could fail.
func TestNoCopyPastTheAttemptLimit(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	f.learn()
	task := ident.TaskID{Job: f.submitSpeculative(1)}
	for range 2 {
		attempt := f.startTask(task, "w3")
		f.sync("w3", nil, EndedAttempt{AttemptID: attempt, End: EndFailed})
		f.syncAll(5*time.Second, nil)
	}
	last := f.startTask(task, "w1")
	f.syncAll(10*time.Second, map[ident.WorkerID][]AttemptID{"w1": {last}})
	require.Empty(t, f.c.CopyCandidates(f.now), "one failure is left, and two attempts may fail")
	f.apply(f.c.SetTable(f.now, table.New(2, []table.Row{{Name: "batch", Kind: table.Batch, Retries: 3}})))
	require.Len(t, f.c.CopyCandidates(f.now), 1)
}

// Guards against stopped copies that count as failed attempts.
func TestStoppedAttemptsDoNotCount(t *testing.T) {
	f, task, first, second := withCopy(t)
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndStopped})
	require.Zero(t, f.taskView(task.Job, 0).Failures)
	require.Equal(t, Running, f.taskView(task.Job, 0).State)
	f.takeEnqueued()
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndLapsed})
	require.Equal(t, []ident.TaskID{task}, f.takeEnqueued(), "after both have ended")
}

// Guards against cancelled work that goes on: both attempts are stopped and neither is started again.
func TestCancellationStopsBothAttempts(t *testing.T) {
	f, task, first, second := withCopy(t)
	eff, _, err := f.c.Cancel(f.now, task.Job)
	require.NoError(t, err)
	f.apply(eff)
	require.True(t, f.stopped(first))
	require.True(t, f.stopped(second))
	f.takeEnqueued()
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndStopped})
	require.True(t, f.c.jobs[task.Job].hasRunningAttempts(), "the job is kept until the copy has ended")
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndStopped})
	require.False(t, f.c.jobs[task.Job].hasRunningAttempts())
	require.Empty(t, f.takeEnqueued())
	require.Equal(t, Cancelled, f.taskView(task.Job, 0).State)
}

// Guards against a start after the end of the task: the copy was decided and not sent when the first attempt succeeded.
func TestQueuedCopyIsNotSentAfterSuccess(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	f.learn()
	task := ident.TaskID{Job: f.submitSpeculative(1)}
	first := f.startTask(task, "w1")
	f.syncAll(3*time.Second, map[ident.WorkerID][]AttemptID{"w1": {first}})
	second := f.startCopy("w2")
	require.True(t, f.c.ShouldSendStart("w2", second))
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndDone})
	require.False(t, f.c.ShouldSendStart("w2", second))
	f.apply(f.c.StartAnswered(f.now, "w2", second, Answer{Outcome: Refused, Reason: ReasonUnsent}))
	require.Equal(t, 1, f.released(task.Copy()))
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
	require.Zero(t, f.c.CopyUsage().Running)
}

// Guards against a start after the success was acknowledged: the start of the copy is still on its way.
func TestSuccessIsNotAcknowledgedBeforeTheCopyIsKnown(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	f.learn()
	task := ident.TaskID{Job: f.submitSpeculative(1)}
	first := f.startTask(task, "w1")
	f.syncAll(3*time.Second, map[ident.WorkerID][]AttemptID{"w1": {first}})
	second := f.startCopy("w2")
	done := EndedAttempt{AttemptID: first, End: EndDone}
	f.sync("w1", nil, done)
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
	f.sync("w1", nil, done)
	require.Empty(t, f.acks("w1"))
	f.apply(f.c.StartAnswered(f.now, "w2", second, Answer{}))
	f.sync("w1", nil, done)
	require.Empty(t, f.acks("w1"))
	f.apply(f.c.StopAnswered(f.now, "w2", []AttemptID{second}, Answer{Outcome: Applied}, "p1", []EndedAttempt{{AttemptID: second, End: EndNeverStarted}}))
	f.sync("w1", nil, done)
	require.Equal(t, []AttemptID{first}, f.acks("w1"))
}

// Guards against the success of a stopped attempt that its worker lists late: it is acknowledged and changes nothing.
func TestSuccessOfStoppedAttemptIsListedLate(t *testing.T) {
	f, task, first, second := withCopy(t)
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndDone})
	f.c.CallFailed("w1")
	for range 15 {
		f.now = f.now.Add(time.Second)
		f.sync("w2", nil)
		f.sync("w3", nil)
		f.apply(f.c.Tick(f.now))
	}
	require.Zero(t, f.c.CopyUsage().Running)
	records := len(f.log)
	f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: first, End: EndDone}}})
	require.Equal(t, []Record{WorkerAdded{Worker: "w1"}}, f.log[records:], "the end of the silence is the only record")
	require.Contains(t, f.acks("w1"), first)
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
}

// Guards against a success that is ignored because its worker was given up while the copy went on.
func TestLateSuccessOfLostFirstAttemptStopsTheCopy(t *testing.T) {
	f, task, first, second := withCopy(t)
	f.c.CallFailed("w1")
	for range 15 {
		f.now = f.now.Add(time.Second)
		f.sync("w2", []AttemptID{second})
		f.sync("w3", nil)
		f.apply(f.c.Tick(f.now))
	}
	f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: first, End: EndDone}}})
	require.True(t, f.stopped(second))
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
}

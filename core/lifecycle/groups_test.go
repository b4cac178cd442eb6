package lifecycle

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

var oneCore = resource.Vector{MilliCPU: 1000}

func (f *fixture) accept(spec JobSpec) ident.JobID {
	spec.Class = "batch"
	id, eff, err := f.c.Accept(f.now, spec)
	require.NoError(f.t, err)
	f.apply(eff)
	return id
}

// reportEnds reports ends of attempts on a worker. The other attempts of the worker are reported as running.
func (f *fixture) reportEnds(w ident.WorkerID, ends ...EndedAttempt) {
	report := Report{Capacity: capacity, Token: "token", Ended: ends}
	f.c.mu.Lock()
	f.c.callSeq++
	seq := f.c.callSeq
	for _, r := range f.c.workers[w].sortedRuns() {
		if !slices.ContainsFunc(ends, func(e EndedAttempt) bool { return e.AttemptID == r.AttemptID }) {
			report.Active = append(report.Active, ActiveAttempt{AttemptID: r.AttemptID})
		}
	}
	f.c.mu.Unlock()
	f.apply(f.c.SyncAnswered(f.now, w, seq, "p1", nil, report))
}

func taskID(id ident.JobID, group, member int) ident.TaskID {
	return ident.TaskID{Job: id, Index: ident.TaskIndex(group, member)}
}

// takeEnqueued returns the tasks that were passed to the planner since the last call and forgets all commands so far.
func (f *fixture) takeEnqueued() []ident.TaskID {
	var ids []ident.TaskID
	for _, c := range f.commands {
		if e, ok := c.(Enqueue); ok {
			for _, p := range e.Tasks {
				ids = append(ids, p.Task)
			}
		}
	}
	f.commands = nil
	return ids
}

// Guards against a group that starts before the groups on which it depends are done, or that never starts.
func TestGroupWaitsForEarlierGroups(t *testing.T) {
	f := newFixture(t, 1, "w")
	id := f.accept(JobSpec{Groups: []TaskGroup{{Count: 2, Need: oneCore}, {Count: 1, Need: oneCore, After: []int{0}}}})
	require.Equal(t, []ident.TaskID{taskID(id, 0, 0), taskID(id, 0, 1)}, f.takeEnqueued())
	first, second := f.startTask(taskID(id, 0, 0), "w"), f.startTask(taskID(id, 0, 1), "w")
	f.reportEnds("w", EndedAttempt{AttemptID: first, End: EndDone})
	require.Empty(t, f.takeEnqueued())
	f.holdLog = true
	f.reportEnds("w", EndedAttempt{AttemptID: second, End: EndDone})
	require.Equal(t, []ident.TaskID{taskID(id, 1, 0)}, f.takeEnqueued(), "the record of the end need not be durable yet")
}

// Guards against a successor that starts a group too early or twice because it miscounts the completed tasks.
func TestSuccessorKeepsTheOrderOfGroups(t *testing.T) {
	f := newFixture(t, 1, "w")
	id := f.accept(JobSpec{Groups: []TaskGroup{{Count: 2, Need: oneCore}, {Count: 1, Need: oneCore, After: []int{0}}}})
	done := f.startTask(taskID(id, 0, 0), "w")
	f.reportEnds("w", EndedAttempt{AttemptID: done, End: EndDone})
	next := newFixture(t, 2)
	for _, r := range f.log {
		next.c.Replay(r)
		next.c.Replay(r)
	}
	next.apply(next.c.Recover(next.now, false, []Member{{ID: "w"}}))
	next.claim("w", Report{})
	require.Equal(t, []ident.TaskID{taskID(id, 0, 1)}, next.takeEnqueued())
}

// Guards against a FailFast job that continues after a final failure or is shown as cancelled.
func TestFailFastJobEndsWithFirstFinalFailure(t *testing.T) {
	f := newFixture(t, 1, "w")
	id := f.accept(JobSpec{FailFast: true, Groups: []TaskGroup{{Count: 2, Need: oneCore}, {Count: 1, Need: oneCore, After: []int{0}}}})
	other := f.startTask(taskID(id, 0, 1), "w")
	for range 3 {
		f.now = f.now.Add(time.Minute)
		f.reportEnds("w", EndedAttempt{AttemptID: f.startTask(taskID(id, 0, 0), "w"), End: EndFailed})
	}
	v, err := f.c.Get(id, 0, 0)
	require.NoError(t, err)
	require.Equal(t, Failed, v.State)
	require.Contains(t, f.commands, StopTasks{Worker: "w", Attempts: []AttemptID{other}})
	next := newFixture(t, 2)
	for _, r := range f.log {
		next.c.Replay(r)
	}
	v, err = next.c.Get(id, 0, 0)
	require.NoError(t, err)
	require.Equal(t, Failed, v.State)
}

// Guards against a cancellation without a record: a job whose last failure is not durable yet is not cancelled for good.
func TestCancellationOfAFailingJobHasItsOwnRecord(t *testing.T) {
	f := newFixture(t, 1, "w")
	id := f.accept(JobSpec{FailFast: true, Groups: []TaskGroup{{Count: 2, Need: oneCore}}})
	for n := range 3 {
		f.now = f.now.Add(time.Minute)
		f.holdLog = n == 2
		f.reportEnds("w", EndedAttempt{AttemptID: f.startTask(taskID(id, 0, 0), "w"), End: EndFailed})
	}
	eff, pending, err := f.c.Cancel(f.now, id)
	require.NoError(t, err)
	require.True(t, pending)
	require.Len(t, eff.Records, 1)
	require.IsType(t, JobCancelled{}, eff.Records[0])
	again, pending, err := f.c.Cancel(f.now, id)
	require.NoError(t, err)
	require.True(t, pending)
	require.Empty(t, again.Records, "a repeat waits for the same record")
	f.log = append(f.log, eff.Records...)
	for _, r := range f.log[len(f.log)-2:] {
		f.apply(f.c.RecordsCommitted(f.now, []Record{r}))
	}
	v, err := f.c.Get(id, 0, 0)
	require.NoError(t, err)
	require.Equal(t, Failed, v.State, "the failure came first")
	_, pending, err = f.c.Cancel(f.now, id)
	require.NoError(t, err)
	require.False(t, pending)
}

// Guards against a lasting task that is not restarted after it ended or failed, or that uses up its retries.
func TestLastingTaskRestartsAfterEveryEnd(t *testing.T) {
	f := newFixture(t, 1, "w")
	id := f.accept(JobSpec{FailFast: true, Groups: []TaskGroup{{Count: 1, Need: oneCore, Lasting: true}}})
	f.takeEnqueued()
	for _, end := range []End{EndDone, EndFailed, EndFailed, EndFailed, EndFailed, EndStopped, EndLapsed} {
		f.reportEnds("w", EndedAttempt{AttemptID: f.startTask(taskID(id, 0, 0), "w"), End: end})
		require.Equal(t, []ident.TaskID{taskID(id, 0, 0)}, f.takeEnqueued(), end)
	}
	v, err := f.c.Get(id, 0, 0)
	require.NoError(t, err)
	require.Equal(t, Queued, v.State)
}

// Guards against a repeat of a withdrawn submission that is answered as accepted although no record of it is durable.
func TestWithdrawnSubmissionIsAcceptedAgain(t *testing.T) {
	f := newFixture(t, 1, "w")
	spec := JobSpec{Class: "batch", ClientNumber: 7, Groups: []TaskGroup{{Count: 1, Need: oneCore}}}
	id, eff, err := f.c.Accept(f.now, spec)
	require.NoError(t, err)
	require.Equal(t, ident.CallerAssignedJobID(1, 7), id)
	require.Len(t, eff.Records, 1)
	again, eff, err := f.c.Accept(f.now, spec)
	require.NoError(t, err)
	require.Equal(t, id, again)
	require.Empty(t, eff.Records)
	f.c.Withdraw(id, spec)
	_, eff, err = f.c.Accept(f.now, spec)
	require.NoError(t, err)
	require.Len(t, eff.Records, 1)
}

// Guards against a count of waiting jobs that lacks jobs after a change of owner or after a refused start.
func TestWaitingJobsExcludesJobsThatRan(t *testing.T) {
	f := newFixture(t, 1, "w")
	waiting := f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore}}})
	refused := f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore}}})
	started := f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore}}})
	attempt := f.planStart(taskID(refused, 0, 0), "w")
	f.apply(f.c.StartAnswered(f.now, "w", attempt, Answer{Outcome: Refused, Reason: ReasonCapacity}))
	f.reportEnds("w", EndedAttempt{AttemptID: f.startTask(taskID(started, 0, 0), "w"), End: EndFailed})
	require.Equal(t, map[ident.ClassName]int{"batch": 2}, f.c.WaitingJobs())
	next := newFixture(t, 2)
	snapshot := f.c.Snapshot(f.now, false)
	next.c.RestoreSnapshot(snapshot)
	next.apply(next.c.Recover(next.now, false, []Member{{ID: "w"}}))
	require.Equal(t, map[ident.ClassName]int{"batch": 2}, next.c.WaitingJobs())
	third := newFixture(t, 3)
	third.c.RestoreSnapshot(next.c.Snapshot(f.now, false))
	require.Equal(t, map[ident.ClassName]int{"batch": 2}, third.c.WaitingJobs(), waiting)
}

// Guards against a response time that is passed on as processor usage, or as the tail of a task without a TailTarget.
func TestMeasurementsReachPlanner(t *testing.T) {
	f := newFixture(t, 1, "w")
	id := f.accept(JobSpec{Groups: []TaskGroup{
		{Count: 1, Need: oneCore, Lasting: true, TailTarget: 200 * time.Millisecond, Constraints: placement.Constraints{Serving: true}},
		{Count: 1, Need: oneCore, Constraints: placement.Constraints{Filler: true}},
		{Count: 1, Need: oneCore},
	}})
	var active []ActiveAttempt
	for g, measure := range []float64{150, 700, 900} {
		active = append(active, ActiveAttempt{AttemptID: f.startTask(taskID(id, g, 0), "w"), Measurement: measure})
	}
	f.commands = nil
	f.apply(f.c.SyncAnswered(f.now, "w", 1<<40, "p1", nil, Report{Capacity: capacity, Token: "token", Active: active}))
	require.Contains(t, f.commands, Observe{Observations: []placement.Observation{
		{Task: taskID(id, 0, 0), TailRatio: 0.75, At: f.now},
		{Task: taskID(id, 1, 0), Usage: resource.Vector{MilliCPU: 700}, At: f.now},
	}})
}

// Guards against workers without capacity after the loss of all hosts: a successor claims the workers in the log before
// it has read the host list, which states their capacity.
func TestHostListSuppliesMissingCapacity(t *testing.T) {
	f := newFixture(t, 1, "w")
	next := &fixture{t: t, c: NewCell(1, 2, f.c.table), now: f.now}
	next.c.SetAuthority(next.now, true, true)
	for _, r := range f.log {
		next.c.Replay(r)
	}
	next.apply(next.c.Recover(next.now, false, nil))
	next.apply(next.c.ClaimAnswered(next.now, "w", next.c.NextClaimSeq(), "p1", Report{Token: "token"}))
	next.commands = nil
	next.apply(next.c.SetMembers(next.now, []Member{{ID: "w", Pool: "p", Capacity: capacity}}))
	put := PutWorker{Worker: placement.Worker{ID: "w", Pool: "p", Labels: []string{}, Capacity: capacity}}
	require.Contains(t, next.commands, put)
	next.commands = nil
	next.apply(next.c.SyncAnswered(next.now, "w", 1<<40, "p1", nil, Report{Token: "token"}))
	require.Empty(t, next.commands, "a report without a capacity must not reset the known one")
}

// Guards against an end that is acknowledged by the record of an earlier checkpoint of the same attempt: if the owner
// then dies before the end is durable, the task runs a second time.
func TestCheckpointRecordDoesNotAcknowledgeAnEnd(t *testing.T) {
	f := newFixture(t, 1, "w")
	id := f.submit(1)
	attempt := f.startTask(taskID(id, 0, 0), "w")
	f.holdLog = true
	f.log = nil
	active := ActiveAttempt{AttemptID: attempt, Checkpoint: Checkpoint{ID: "c1"}}
	f.apply(f.c.SyncAnswered(f.now, "w", 1<<40, "p1", nil, Report{Capacity: capacity, Token: "token", Active: []ActiveAttempt{active}}))
	require.Len(t, f.log, 1)
	saved := f.log
	f.reportEnds("w", EndedAttempt{AttemptID: attempt, End: EndDone, Checkpoint: Checkpoint{ID: "c1"}})
	f.apply(f.c.RecordsCommitted(f.now, saved))
	req, ok := f.c.SyncRequest("w")
	require.True(t, ok)
	require.Empty(t, req.Acks)
	f.apply(f.c.RecordsCommitted(f.now, f.log[1:]))
	req, _ = f.c.SyncRequest("w")
	require.Equal(t, []AttemptID{attempt}, req.Acks)
}

// Guards against a task that runs more often than its class allows: after a change of owner, failures of earlier
// attempts may be reported after that of the current attempt.
func TestLateFailureCountsAgainstTheRetries(t *testing.T) {
	f := newFixture(t, 1, "v", "w", "x")
	id := f.submit(1)
	next := &fixture{t: t, c: NewCell(1, 2, f.c.table), now: f.now}
	next.c.SetAuthority(next.now, true, true)
	for _, r := range f.log {
		next.c.Replay(r)
	}
	next.apply(next.c.Recover(next.now, false, []Member{{ID: "v"}, {ID: "w"}, {ID: "x"}}))
	attemptOf := func(a ident.Attempt) AttemptID { return AttemptID{Task: taskID(id, 0, 0), Attempt: a} }
	next.claim("x", Report{Ended: []EndedAttempt{{AttemptID: attemptOf(3), End: EndFailed}}})
	next.claim("v", Report{Ended: []EndedAttempt{{AttemptID: attemptOf(1), End: EndFailed}}})
	next.claim("w", Report{Ended: []EndedAttempt{{AttemptID: attemptOf(2), End: EndFailed}}})
	v, err := next.c.Get(id, 0, 1)
	require.NoError(t, err)
	require.Equal(t, Failed, v.State)
	require.Equal(t, 3, v.Tasks[0].Failures)
	for _, id := range []ident.WorkerID{"v", "w", "x"} {
		req, ok := next.c.SyncRequest(id)
		require.True(t, ok)
		require.Len(t, req.Acks, 1, "the failure is durable")
	}
}

// Guards against an attempt that runs at full speed although the planner has throttled it: a report may list the
// attempt, and the planner may decide, before the answer to the start arrives.
func TestThrottleWaitsForStartAnswer(t *testing.T) {
	f := newFixture(t, 1, "w")
	id := f.submit(1)
	attempt := f.planStart(taskID(id, 0, 0), "w")
	f.commands = nil
	f.apply(f.c.ApplyPlan(f.now, placement.Plan{Throttles: []placement.Throttle{{Task: attempt.Task, Attempt: 1, Worker: "w", Fraction: 0.5}}}))
	require.Empty(t, f.commands)
	f.apply(f.c.StartAnswered(f.now, "w", attempt, Answer{Outcome: Applied}))
	f.reportEnds("w")
	require.Contains(t, f.commands, ThrottleTask{AttemptID: attempt, Worker: "w", Fraction: 0.5})
}

// Guards against tasks that wait for every worker after a planned hand-over. Tasks that certainly do not run start at
// once, and running ones are adopted from the workers that answer, even if another worker has gone.
func TestCleanHandOverReleasesIdleTasks(t *testing.T) {
	f := newFixture(t, 1, "gone", "w")
	id := f.submit(4)
	left := f.startTask(taskID(id, 0, 0), "gone")
	running := f.startTask(taskID(id, 0, 1), "w")
	f.startTask(taskID(id, 0, 2), "w")
	next := &fixture{t: t, c: NewCell(1, 2, f.c.table), now: f.now}
	next.c.SetAuthority(next.now, true, true)
	next.c.RestoreSnapshot(f.c.Snapshot(f.now, true))
	next.apply(next.c.Recover(next.now, true, []Member{{ID: "w"}}))
	require.Equal(t, []ident.TaskID{taskID(id, 0, 3)}, next.takeEnqueued(), "the task that was never started")
	next.claim("w", Report{Active: []ActiveAttempt{{AttemptID: running}}})
	require.Equal(t, []ident.TaskID{taskID(id, 0, 2)}, next.takeEnqueued(), "the task that the worker no longer runs")
	require.True(t, next.c.Recovering(), "task %v may still run on the worker that does not answer", left.Task)
	next.c.CallFailed("gone")
	next.now = next.now.Add(LeaseDuration + LeaseMargin)
	next.reportEnds("w")
	next.commands = nil
	next.apply(next.c.Tick(next.now))
	require.Equal(t, []ident.TaskID{left.Task}, next.takeEnqueued())
}

// Guards against a task that runs twice because an owner drained before all workers had answered: it does not know what
// runs on the others, so its hand-over must not release any task.
func TestHandOverDuringRecoveryHoldsTasks(t *testing.T) {
	first := newFixture(t, 1, "v", "w")
	id := first.submit(1)
	running := first.startTask(taskID(id, 0, 0), "w")
	second := &fixture{t: t, c: NewCell(1, 2, first.c.table), now: first.now}
	second.c.SetAuthority(second.now, true, true)
	for _, r := range first.log {
		second.c.Replay(r)
	}
	second.apply(second.c.Recover(second.now, false, []Member{{ID: "v"}, {ID: "w"}}))
	second.claim("v", Report{})
	require.True(t, second.c.Recovering())
	handOver := second.c.Snapshot(second.now, true)
	third := &fixture{t: t, c: NewCell(1, 3, first.c.table), now: first.now}
	third.c.SetAuthority(third.now, true, true)
	third.c.RestoreSnapshot(handOver)
	third.apply(third.c.Recover(third.now, handOver.Clean, []Member{{ID: "v"}, {ID: "w"}}))
	require.Empty(t, third.takeEnqueued())
	third.claim("v", Report{})
	third.claim("w", Report{Active: []ActiveAttempt{{AttemptID: running}}})
	require.Empty(t, third.takeEnqueued(), "the attempt is taken over")
}

// Guards against a task that runs twice because a snapshot older than its current attempt names another worker.
func TestOldSnapshotHoldsTasks(t *testing.T) {
	f := newFixture(t, 1, "v", "w")
	id := f.submit(1)
	first := f.startTask(taskID(id, 0, 0), "v")
	snapshot := f.c.Snapshot(f.now, false)
	f.log = nil
	f.reportEnds("v", EndedAttempt{AttemptID: first, End: EndFailed})
	f.now = f.now.Add(time.Minute)
	second := f.startTask(taskID(id, 0, 0), "w")
	next := &fixture{t: t, c: NewCell(1, 2, f.c.table), now: f.now}
	next.c.SetAuthority(next.now, true, true)
	next.c.RestoreSnapshot(snapshot)
	for _, r := range f.log {
		next.c.Replay(r)
	}
	next.apply(next.c.Recover(next.now, false, []Member{{ID: "v"}, {ID: "w"}}))
	next.claim("v", Report{})
	require.Empty(t, next.takeEnqueued())
	next.claim("w", Report{Active: []ActiveAttempt{{AttemptID: second}}})
	require.Empty(t, next.takeEnqueued(), "the attempt is taken over")
}

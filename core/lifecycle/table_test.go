package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// successorWithoutTable returns the next owner of the cell, which does not know the table yet and has claimed no worker.
func (f *fixture) successorWithoutTable(workers ...ident.WorkerID) *fixture {
	next := &fixture{t: f.t, c: NewCell(1, f.c.epoch+2, nil), now: f.now}
	for _, r := range f.log {
		next.c.Replay(r)
	}
	next.c.SetAuthority(next.now, true, true)
	var members []Member
	for _, id := range workers {
		members = append(members, Member{ID: id})
	}
	next.apply(next.c.Recover(next.now, false, members))
	return next
}

// failTask lets the next attempt of a task fail on a worker.
func (f *fixture) failTask(task ident.TaskID, w ident.WorkerID) {
	attempt := f.startTask(task, w)
	f.reportEnds(w, EndedAttempt{AttemptID: attempt, End: EndFailed})
}

// acks returns the attempts that the next sync acknowledges to a worker.
func (f *fixture) acks(w ident.WorkerID) []AttemptID {
	req, ok := f.c.SyncRequest(w)
	require.True(f.t, ok)
	return req.Acks
}

// Guards against a start after the last retry: a new owner that does not know the table yet took five retries for the
// two of the class, and started a task that had used them up.
func TestFailuresWaitForTheTable(t *testing.T) {
	for name, tc := range map[string]struct {
		logged int
		state  State
	}{
		"retries left": {logged: 1, state: Queued},
		"last retry":   {logged: 2, state: Failed},
	} {
		t.Run(name, func(t *testing.T) {
			old := newFixture(t, 7, "w1", "w2")
			task := ident.TaskID{Job: old.submit(1)}
			for range tc.logged {
				old.failTask(task, "w1")
			}
			last := old.startTask(task, "w1")

			f := old.successorWithoutTable("w1", "w2")
			f.claim("w2", Report{})
			failed := EndedAttempt{AttemptID: last, End: EndFailed}
			f.claim("w1", Report{Ended: []EndedAttempt{failed}})
			f.sync("w1", nil, failed)
			f.tickUntil(f.now.Add(time.Minute))
			f.sync("w1", nil, failed)
			require.Empty(t, commandsOf[Enqueue](f))
			require.Empty(t, f.acks("w1"), "the end is not settled")
			require.Equal(t, string(WaitTable), f.taskView(task.Job, 0).Reason)

			f.apply(f.c.SetTable(f.now, old.c.table))
			require.Equal(t, tc.state, f.taskView(task.Job, 0).State)
			require.Equal(t, []AttemptID{last}, f.acks("w1"))
			require.Equal(t, tc.state == Queued, len(f.takeEnqueued()) == 1)
		})
	}
}

// Guards against a late failure that is counted by the default number of retries: the attempt of a task that runs
// elsewhere by now.
func TestLateFailureWaitsForTheTable(t *testing.T) {
	old := newFixture(t, 7, "w1", "w2")
	task := ident.TaskID{Job: old.submit(1)}
	old.failTask(task, "w1")
	lost := old.startTask(task, "w1")
	old.c.CallFailed("w1")
	old.tickUntil(old.now.Add(LeaseDuration + LeaseMargin))
	running := old.startTask(task, "w2")

	f := old.successorWithoutTable("w1", "w2")
	f.claim("w2", Report{Active: []ActiveAttempt{{AttemptID: running}}})
	f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: lost, End: EndFailed}}})
	require.Empty(t, f.acks("w1"))
	require.Equal(t, Running, f.taskView(task.Job, 0).State)
	f.apply(f.c.SetTable(f.now, old.c.table))
	require.Equal(t, Running, f.taskView(task.Job, 0).State, "one retry is left")
	require.Equal(t, []AttemptID{lost}, f.acks("w1"))
	f.sync("w2", nil, EndedAttempt{AttemptID: running, End: EndFailed})
	require.Equal(t, Failed, f.taskView(task.Job, 0).State)
}

// Guards against accepted work that is lost: each task that could not start without the table starts once it is known.
func TestTasksThatWaitForTheTableStart(t *testing.T) {
	old := newFixture(t, 7, "w1", "w2")
	fresh := ident.TaskID{Job: old.submit(1)}
	retried := ident.TaskID{Job: old.submit(1)}
	old.failTask(retried, "w1")
	gone := ident.TaskID{Job: old.submit(1)}
	old.startTask(gone, "w1")
	lasting := taskID(old.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore, Lasting: true}}}), 0, 0)
	ended := old.startTask(lasting, "w1")
	chain := old.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore}, {Count: 1, Need: oneCore, After: []int{0}}}})
	done := old.startTask(taskID(chain, 0, 0), "w2")
	evicted := ident.TaskID{Job: old.submit(1)}
	saved := old.startTask(evicted, "w2")

	f := old.successorWithoutTable("w1", "w2")
	f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: ended, End: EndFailed}}})
	f.claim("w2", Report{Ended: []EndedAttempt{
		{AttemptID: done, End: EndDone}, {AttemptID: saved, End: EndEvicted, Checkpoint: Checkpoint{ID: "saved"}},
	}})
	f.tickUntil(f.now.Add(time.Minute))
	require.Empty(t, commandsOf[Enqueue](f))
	require.True(t, f.c.Recovering())
	require.Equal(t, Done, f.taskView(chain, 0).State, "a success needs no table")

	f.apply(f.c.SetTable(f.now, old.c.table))
	require.False(t, f.c.Recovering())
	require.ElementsMatch(t, []ident.TaskID{fresh, retried, gone, lasting, taskID(chain, 1, 0), evicted}, f.takeEnqueued())
}

// Guards against tasks that start without the table after a planned hand-over, when no worker has to be waited for.
func TestCleanHandOverWaitsForTheTable(t *testing.T) {
	old := newFixture(t, 7, "gone", "w1")
	id := old.submit(2)
	old.startTask(taskID(id, 0, 0), "gone")
	f := &fixture{t: t, c: NewCell(1, 9, nil), now: old.now}
	f.c.SetAuthority(f.now, true, true)
	f.c.RestoreSnapshot(old.c.Snapshot(old.now, true))
	f.apply(f.c.Recover(f.now, true, []Member{{ID: "gone"}, {ID: "w1"}}))
	f.claim("w1", Report{})
	require.Empty(t, f.takeEnqueued())
	require.False(t, f.c.Snapshot(f.now, true).Clean, "ends may be undecided")
	f.apply(f.c.SetTable(f.now, old.c.table))
	require.Equal(t, []ident.TaskID{taskID(id, 0, 1)}, f.takeEnqueued(), "the other may run on the worker that has not answered")
}

// Guards against an owner that wakes up all the time while it waits for the table.
func TestOwnerWithoutTableDoesNotWakeUp(t *testing.T) {
	old := newFixture(t, 7, "w1")
	old.startTask(ident.TaskID{Job: old.submit(1)}, "w1")
	f := old.successorWithoutTable("w1")
	f.claim("w1", Report{})
	f.now = f.now.Add(time.Minute)
	f.apply(f.c.Tick(f.now))
	next := f.c.NextTick()
	require.True(t, next.IsZero() || next.After(f.now), "%v", next)
}

// Guards against a refusal for good of a job whose class is in the table, and against a repeat that is refused although
// the job is accepted.
func TestSubmissionsWithoutTheTable(t *testing.T) {
	old := newFixture(t, 7, "w1")
	spec := JobSpec{Class: "batch", ClientNumber: 5, Groups: []TaskGroup{{Count: 1, Need: oneCore}}}
	id, eff, err := old.c.Accept(old.now, spec)
	require.NoError(t, err)
	old.apply(eff)

	f := old.successorWithoutTable("w1")
	repeated, eff, err := f.c.Accept(f.now, spec)
	require.NoError(t, err)
	require.Equal(t, id, repeated)
	require.Empty(t, eff.Records)
	spec.ClientNumber = 6
	_, _, err = f.c.Accept(f.now, spec)
	e := verdict.FromError(err)
	require.Equal(t, verdict.NotRun, e.Verdict)
	require.Equal(t, verdict.CodeUnavailable, e.Code)
	require.Positive(t, e.RetryAfter)
	f.apply(f.c.SetTable(f.now, table.New(2, nil)))
	_, _, err = f.c.Accept(f.now, spec)
	require.Equal(t, verdict.CodeInvalid, verdict.FromError(err).Code, "the class has been taken out")
}

// Guards against cancelled work that runs on, and against its ends that are reported for ever, because the table is not
// known.
func TestCancellationNeedsNoTable(t *testing.T) {
	old := newFixture(t, 7, "w1")
	id := old.submit(2)
	running, failed := old.startTask(taskID(id, 0, 0), "w1"), old.startTask(taskID(id, 0, 1), "w1")
	f := old.successorWithoutTable("w1")
	f.claim("w1", Report{Active: []ActiveAttempt{{AttemptID: running}}, Ended: []EndedAttempt{{AttemptID: failed, End: EndFailed}}})
	eff, pending, err := f.c.Cancel(f.now, id)
	require.NoError(t, err)
	require.True(t, pending)
	f.apply(eff)
	stops := commandsOf[StopTasks](f)
	require.Len(t, stops, 1)
	require.Equal(t, []AttemptID{running}, stops[0].Attempts)
	f.apply(f.c.SetTable(f.now, old.c.table))
	require.Equal(t, []AttemptID{failed}, f.acks("w1"))
	require.Equal(t, Cancelled, f.taskView(id, 1).State)
	require.Empty(t, f.takeEnqueued())
}

// Guards against undecided failures that are lost with their worker, or counted twice once it is back.
func TestUndecidedFailureOfALostWorker(t *testing.T) {
	old := newFixture(t, 7, "w1", "w2")
	task := ident.TaskID{Job: old.submit(1)}
	old.failTask(task, "w1")
	old.failTask(task, "w1")
	failed := EndedAttempt{AttemptID: old.startTask(task, "w1"), End: EndFailed}
	f := old.successorWithoutTable("w1", "w2")
	f.claim("w2", Report{})
	f.claim("w1", Report{Ended: []EndedAttempt{failed}})
	f.c.CallFailed("w1")
	f.tickUntil(f.now.Add(LeaseDuration + LeaseMargin))
	f.claim("w1", Report{Ended: []EndedAttempt{failed}})
	f.apply(f.c.SetTable(f.now, old.c.table))
	require.Equal(t, Failed, f.taskView(task.Job, 0).State)
	require.Equal(t, 3, f.taskView(task.Job, 0).Failures)
	require.Equal(t, []AttemptID{failed.AttemptID}, f.acks("w1"))
	require.Empty(t, f.takeEnqueued())
}

// Guards against a start after the last retry, or a task that is given up before it, once the class of the task has been
// taken out of the table. The retries are those of the last table that had the class, for the next owner, too.
func TestRetriesOfAClassThatIsTakenOut(t *testing.T) {
	for name, tc := range map[string]struct {
		edited  *table.Table
		retries int
	}{
		"as accepted":         {nil, 2},
		"changed before that": {table.New(2, []table.Row{{Name: "batch", Retries: 1}}), 1},
		"no retries":          {table.New(2, []table.Row{{Name: "batch"}}), 0},
	} {
		for _, handOver := range []string{"same owner", "snapshot"} {
			t.Run(name+"/"+handOver, func(t *testing.T) {
				f := newFixture(t, 7, "w1")
				task := ident.TaskID{Job: f.submit(1)}
				if tc.edited != nil {
					f.apply(f.c.SetTable(f.now, tc.edited))
				}
				f.apply(f.c.SetTable(f.now, table.New(3, nil)))
				if handOver == "snapshot" {
					next := &fixture{t: t, c: NewCell(1, 9, f.c.table), now: f.now}
					next.c.SetAuthority(next.now, true, true)
					next.c.RestoreSnapshot(f.c.Snapshot(f.now, false))
					next.apply(next.c.Recover(next.now, false, []Member{{ID: "w1"}}))
					next.claim("w1", Report{})
					f = next
				}
				for range tc.retries {
					f.failTask(task, "w1")
					require.Equal(t, Queued, f.taskView(task.Job, 0).State)
				}
				f.failTask(task, "w1")
				require.Equal(t, Failed, f.taskView(task.Job, 0).State)
			})
		}
	}
}

// Guards against jobs of earlier builds, whose records do not say the retries, that are given up at the first failure.
func TestRetriesOfAnOldRecordWithoutItsClass(t *testing.T) {
	f := &fixture{t: t, c: NewCell(1, 9, table.New(3, nil)), now: testStart}
	id := ident.JobID{Cell: 1, Epoch: 7, Seq: 1}
	f.c.Replay(JobAccepted{Job: id, At: testStart, Spec: JobSpec{Class: "batch", Groups: []TaskGroup{{Count: 1, Need: oneCore}}}})
	f.c.SetAuthority(f.now, true, true)
	f.apply(f.c.Recover(f.now, false, []Member{{ID: "w1"}}))
	f.claim("w1", Report{})
	for range defaultRetries {
		f.failTask(ident.TaskID{Job: id}, "w1")
		require.Equal(t, Queued, f.taskView(id, 0).State)
	}
	f.failTask(ident.TaskID{Job: id}, "w1")
	require.Equal(t, Failed, f.taskView(id, 0).State)
}

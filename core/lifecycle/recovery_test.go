package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// takeOver returns a successor of the cell of f that has claimed no worker yet.
func (f *fixture) takeOver(clean bool, workers ...ident.WorkerID) *fixture {
	next := &fixture{t: f.t, c: NewCell(1, f.c.epoch+1, f.c.table), now: f.now}
	next.c.RestoreSnapshot(f.c.Snapshot(f.now, clean))
	next.c.SetAuthority(next.now, true, true)
	var members []Member
	for _, id := range workers {
		members = append(members, Member{ID: id})
	}
	next.apply(next.c.Recover(next.now, clean, members))
	return next
}

func (f *fixture) acceptLasting() ident.TaskID {
	need := resource.Vector{MilliCPU: 1000}
	return taskID(f.accept(JobSpec{Class: "batch", Groups: []TaskGroup{{Count: 1, Need: need, Lasting: true}}}), 0, 0)
}

// syncPartial answers a sync with ends, and with more to list.
func (f *fixture) syncPartial(w ident.WorkerID, active []ActiveAttempt, ended ...EndedAttempt) {
	req, ok := f.c.SyncRequest(w)
	require.True(f.t, ok)
	report := Report{Capacity: capacity, Token: "token", Active: active, Ended: ended, Partial: true}
	f.apply(f.c.SyncAnswered(f.now, w, req.Seq, "p1", req.Acks, report))
}

// Guards against a lasting task that does not run for as long as some worker has further ends to list: none of them
// can complete it.
func TestMissingEndsDoNotHoldLastingTasks(t *testing.T) {
	for name, clean := range map[string]bool{"owner lost": false, "hand-over": true} {
		t.Run(name, func(t *testing.T) {
			old := newFixture(t, 7, "w1", "w2")
			lasting, batch := old.acceptLasting(), ident.TaskID{Job: old.submit(1)}
			old.startTask(lasting, "w1")
			old.startTask(batch, "w1")
			f := old.takeOver(clean, "w1", "w2")
			f.claim("w1", Report{Partial: true})
			if !clean {
				require.Empty(t, f.takeEnqueued(), "both may run on w2")
			}
			f.claim("w2", Report{})
			require.Equal(t, []ident.TaskID{lasting}, f.takeEnqueued(), "the end of the other task may be missing")

			attempt := f.startTask(lasting, "w2")
			f.sync("w2", nil, EndedAttempt{AttemptID: attempt, End: EndFailed})
			require.Equal(t, []ident.TaskID{lasting}, f.takeEnqueued(), "the recovery held a restart")
		})
	}
}

// Guards against a worker that holds up the recovery for as long as it has more ends than it can list at a time.
func TestLaterEndsDoNotHoldUpRecovery(t *testing.T) {
	old := newFixture(t, 7, "w1", "w2")
	var attempts []AttemptID
	for range 4 {
		attempts = append(attempts, old.startTask(ident.TaskID{Job: old.submit(1)}, "w1"))
	}
	f := old.takeOver(false, "w1", "w2")
	f.claim("w2", Report{})
	running := []ActiveAttempt{{AttemptID: attempts[2]}}
	f.claim("w1", Report{Active: running, Ended: []EndedAttempt{{AttemptID: attempts[0], End: EndDone}}, Partial: true})
	f.syncPartial("w1", running, EndedAttempt{AttemptID: attempts[1], End: EndDone})
	require.True(t, f.c.Recovering(), "the fourth task may have ended before the claim")
	require.Empty(t, f.takeEnqueued())
	f.syncPartial("w1", nil, EndedAttempt{AttemptID: attempts[2], End: EndDone})
	require.False(t, f.c.Recovering(), "the third task ran when the worker was claimed")
	require.Equal(t, []ident.TaskID{attempts[3].Task}, f.takeEnqueued())
}

// Guards against a hand-over in which the tasks of a lost worker wait for the ends of another one.
func TestMissingEndsDoNotHoldTasksOfOtherWorkers(t *testing.T) {
	old := newFixture(t, 7, "w1", "w2")
	task := ident.TaskID{Job: old.submit(1)}
	old.startTask(task, "w1")
	f := old.takeOver(true, "w1", "w2")
	f.claim("w2", Report{Partial: true})
	f.c.CallFailed("w1")
	f.tickUntil(f.now.Add(LeaseDuration + LeaseMargin - time.Millisecond))
	require.Empty(t, f.takeEnqueued())
	f.tickUntil(f.now.Add(time.Millisecond))
	require.Equal(t, []ident.TaskID{task}, f.takeEnqueued())
}

// Guards against a leaving worker that keeps its lasting tasks while another one has ends to list.
func TestMissingEndsDoNotKeepLastingTasksOnLeavingWorkers(t *testing.T) {
	old := newFixture(t, 7, "w1", "w2")
	lasting, batch := old.acceptLasting(), ident.TaskID{Job: old.submit(1)}
	active := []ActiveAttempt{{AttemptID: old.startTask(lasting, "w1")}, {AttemptID: old.startTask(batch, "w1")}}
	f := old.takeOver(false, "w1", "w2")
	f.claim("w2", Report{Partial: true})
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1", Leaving: true}, {ID: "w2"}}))
	f.claim("w1", Report{Active: active})
	moved := commandsOf[CheckpointTask](f)
	require.Len(t, moved, 1, "the batch task would be held after it was stopped")
	require.Equal(t, lasting, moved[0].Task)
}

// Guards against a new worker that holds up the recovery although the predecessor cannot have started anything on it.
func TestWorkersThatAreNotInTheLogDoNotHoldUpRecovery(t *testing.T) {
	old := newFixture(t, 7, "w1")
	task := ident.TaskID{Job: old.submit(1)}
	old.startTask(task, "w1")
	f := old.takeOver(false, "w1", "unreachable")
	f.c.CallFailed("unreachable")
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1"}, {ID: "unreachable"}, {ID: "joined"}}))
	require.Empty(t, f.takeEnqueued())
	f.claim("w1", Report{})
	require.Equal(t, []ident.TaskID{task}, f.takeEnqueued())
	require.False(t, f.c.Recovering())
}

// Guards against a start on a worker that the log does not name: the worker came back before the record of its removal
// was durable.
func TestRemovedWorkerIsLoggedAgain(t *testing.T) {
	f := newFixture(t, 7, "w1")
	f.c.CallFailed("w1")
	f.tickUntil(f.now.Add(time.Minute))
	f.holdLog = true
	f.log = nil
	f.apply(f.c.SetMembers(f.now, nil))
	require.Equal(t, []Record{WorkerRemoved{Worker: "w1"}}, f.log)
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1"}}))
	f.commands = nil
	f.claim("w1", Report{})
	require.Empty(t, commandsOf[PutWorker](f))
	require.Equal(t, []Record{WorkerRemoved{Worker: "w1"}, WorkerAdded{Worker: "w1"}}, f.log)
	f.apply(f.c.RecordsCommitted(f.now, f.log))
	require.Len(t, commandsOf[PutWorker](f), 1)
	require.Contains(t, f.c.Snapshot(f.now, false).Workers, WorkerAdded{Worker: "w1"})
}

// Guards against a start after the last retry: a snapshot held a failure whose record never became durable, so that the
// next owner did not count it when the worker reported it again.
func TestSnapshotHoldsNoFailureWithoutDurableRecord(t *testing.T) {
	old := newFixture(t, 7, "w1", "w2")
	task := ident.TaskID{Job: old.submit(1)}
	old.failTask(task, "w1")
	old.failTask(task, "w2")
	last := old.startTask(task, "w1")
	old.holdLog = true
	old.reportEnds("w1", EndedAttempt{AttemptID: last, End: EndFailed})

	f := old.takeOver(false, "w1", "w2")
	f.claim("w2", Report{})
	f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: last, End: EndFailed}}})
	require.Empty(t, f.takeEnqueued(), "the task has no retries left")
	require.Equal(t, Failed, f.taskView(task.Job, 0).State)
	require.Contains(t, f.acks("w1"), last)
	require.Len(t, f.c.Snapshot(f.now, false).Jobs[0].Tasks[0].Failures, 3, "the next snapshot holds it")
}

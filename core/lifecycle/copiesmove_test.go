package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
)

// Guards against an eviction of the copy that ends the first run, and of the first run that ends the copy.
func TestEvictionOfEitherAttempt(t *testing.T) {
	f, task, _, second := withCopy(t)
	f.apply(f.c.ApplyPlan(f.now, placement.Plan{Evictions: []placement.Evict{{Task: task.Copy(), Attempt: second.Attempt, Worker: "w2"}}}))
	require.True(t, f.stopped(second))
	require.Empty(t, commandsOf[CheckpointTask](f), "progress of a copy is not used")
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndEvicted, Checkpoint: Checkpoint{ID: "c2"}})
	require.Equal(t, Running, f.taskView(task.Job, 0).State)
	require.Contains(t, f.acks("w2"), second)
	require.Empty(t, f.c.task(task).checkpoint.ID)

	f, task, first, second := withCopy(t)
	f.apply(f.c.ApplyPlan(f.now, placement.Plan{Evictions: []placement.Evict{{Task: task, Attempt: first.Attempt, Worker: "w1"}}}))
	require.Len(t, commandsOf[CheckpointTask](f), 1)
	f.takeEnqueued()
	f.apply(f.c.CheckpointAnswered(f.now, "w1", first, Answer{Outcome: Applied}, EndedAttempt{AttemptID: first, End: EndEvicted, Checkpoint: Checkpoint{ID: "c1"}}))
	require.Empty(t, f.takeEnqueued())
	require.Equal(t, Running, f.taskView(task.Job, 0).State)
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndDone})
	require.Equal(t, Done, f.taskView(task.Job, 0).State)
}

// Guards against a copy that ends the first run, or is moved, when the worker of either leaves.
func TestWorkerOfEitherAttemptLeaves(t *testing.T) {
	members := func(leaving ident.WorkerID) []Member {
		return []Member{{ID: "w1", Leaving: leaving == "w1"}, {ID: "w2", Leaving: leaving == "w2"}, {ID: "w3"}}
	}
	f, task, first, second := withCopy(t)
	f.c.task(task).group.Volatile = false
	f.apply(f.c.SetMembers(f.now, members("w2")))
	require.True(t, f.stopped(second))
	require.False(t, f.stopped(first))
	require.Empty(t, commandsOf[CheckpointTask](f))

	f, task, first, second = withCopy(t)
	f.c.task(task).group.Volatile = false
	f.apply(f.c.SetMembers(f.now, members("w1")))
	require.False(t, f.stopped(second))
	require.Equal(t, []CheckpointTask{{AttemptID: first, Worker: "w1", Stop: true}}, commandsOf[CheckpointTask](f))
	f.apply(f.c.CheckpointAnswered(f.now, "w1", first, Answer{Outcome: Applied}, EndedAttempt{AttemptID: first, End: EndStopped}))
	require.Equal(t, ident.WorkerID("w2"), f.taskView(task.Job, 0).Worker)
}

// Guards against copies of tasks with saved progress, and against checkpoints of two attempts that replace each other.
func TestCopiesAndCheckpoints(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	f.learn()
	task := ident.TaskID{Job: f.submitSpeculative(1)}
	first := f.startTask(task, "w1")
	f.syncAll(3*time.Second, map[ident.WorkerID][]AttemptID{"w1": {first}})
	requests := f.c.CopyCandidates(f.now)
	require.Len(t, requests, 1)
	report := func(w ident.WorkerID, a AttemptID, saved string) {
		req, ok := f.c.SyncRequest(w)
		require.True(t, ok)
		f.apply(f.c.SyncAnswered(f.now, w, req.Seq, "p1", nil, Report{
			Capacity: capacity, Active: []ActiveAttempt{{AttemptID: a, Checkpoint: Checkpoint{ID: saved}}},
		}))
	}
	report("w1", first, "c1")
	require.Empty(t, f.c.CopyCandidates(f.now))
	start := placement.Start{Task: requests[0].Task, Attempt: requests[0].Attempt, Worker: "w2"}
	f.apply(f.c.StartCopies(f.now, requests, []placement.Start{start}))
	require.Equal(t, 1, f.released(task.Copy()), "the progress was saved after the copy was placed")
	require.Len(t, commandsOf[StartTask](f), 1)

	f, task, first, second := withCopy(t)
	report("w1", first, "c1")
	report("w2", second, "c2")
	require.Equal(t, "c1", f.c.task(task).checkpoint.ID)
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndLapsed})
	report("w2", second, "c3")
	require.Equal(t, "c3", f.c.task(task).checkpoint.ID, "the copy has taken the place of the first attempt")
}

// Guards against copies on the worker of the first attempt, and in states in which the owner may not start anything.
func TestCopiesThatMayNotStart(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	f.learn()
	task := ident.TaskID{Job: f.submitSpeculative(1)}
	first := f.startTask(task, "w1")
	f.syncAll(3*time.Second, map[ident.WorkerID][]AttemptID{"w1": {first}})
	requests := f.c.CopyCandidates(f.now)
	require.Len(t, requests, 1)
	try := func(w ident.WorkerID) {
		f.apply(f.c.StartCopies(f.now, requests, []placement.Start{{Task: requests[0].Task, Attempt: requests[0].Attempt, Worker: w}}))
	}
	try("w1")
	try("unknown")
	f.apply(f.c.SetAuthority(f.now, false, true))
	require.Empty(t, f.c.CopyCandidates(f.now))
	try("w2")
	require.Equal(t, 3, f.released(task.Copy()))
	require.Len(t, commandsOf[StartTask](f), 1)
	f.apply(f.c.SetAuthority(f.now, true, true))
	require.Len(t, f.c.CopyCandidates(f.now), 1)

	p := DefaultPolicy()
	p.SpeculativeCopies = false
	f.c.SetPolicy(p)
	require.Empty(t, f.c.CopyCandidates(f.now), "switched off")
}

// Guards against two attempts of a task whose group does not allow copies.
func TestNoCopyWithoutPermission(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	f.learn()
	task := ident.TaskID{Job: f.submit(1)}
	first := f.startTask(task, "w1")
	f.syncAll(20*time.Second, map[ident.WorkerID][]AttemptID{"w1": {first}})
	require.Empty(t, f.c.CopyCandidates(f.now))
	p := f.c.pending(f.c.task(task))
	p.Task = task.Copy()
	f.apply(f.c.StartCopies(f.now, []CopyRequest{{Copy: placement.Copy{Pending: p}}}, []placement.Start{{Task: task.Copy(), Attempt: 2, Worker: "w2"}}))
	require.Len(t, commandsOf[StartTask](f), 1)
}

// Guards against attempts that run on after their job has failed fast, and against failures that are not counted because
// the copy was about to be stopped.
func TestFailFastStopsBothAttempts(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	f.learn()
	id, eff, err := f.c.Accept(f.now, JobSpec{Class: "batch", FailFast: true, Groups: []TaskGroup{{
		Count: 2, Need: resource.Vector{MilliCPU: 1000}, Speculative: true, Volatile: true, Constraints: placement.Constraints{Image: "image"},
	}}})
	require.NoError(t, err)
	f.apply(eff)
	task, other := ident.TaskID{Job: id}, ident.TaskID{Job: id, Index: 1}
	first := f.startTask(task, "w1")
	f.syncAll(3*time.Second, map[ident.WorkerID][]AttemptID{"w1": {first}})
	second := f.startCopy("w2")
	f.apply(f.c.StartAnswered(f.now, "w2", second, Answer{Outcome: Applied}))
	for range 3 {
		attempt := f.startTask(other, "w3")
		f.sync("w3", nil, EndedAttempt{AttemptID: attempt, End: EndFailed})
		f.syncAll(5*time.Second, map[ident.WorkerID][]AttemptID{"w1": {first}, "w2": {second}})
	}
	require.True(t, f.stopped(first))
	require.True(t, f.stopped(second))
	f.sync("w1", nil, EndedAttempt{AttemptID: first, End: EndStopped})
	f.sync("w2", nil, EndedAttempt{AttemptID: second, End: EndStopped})
	require.Equal(t, 1, f.released(task.Copy()))
	require.Equal(t, Failed, f.c.jobs[id].state())
	require.False(t, f.c.jobs[id].hasRunningAttempts())
}

// Guards against tasks that wait for the lease of a worker that stands still: the start on it is not answered.
func TestCopyOfUnansweredStart(t *testing.T) {
	for name, answer := range map[string]*Answer{"none": nil, "unknown": {}} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, 7, "w1", "w2", "w3")
			f.learn()
			task := ident.TaskID{Job: f.submitSpeculative(1)}
			first := f.planStart(task, "w1")
			if answer != nil {
				f.apply(f.c.StartAnswered(f.now, "w1", first, *answer))
			}
			f.now = f.now.Add(1600 * time.Millisecond)
			require.Empty(t, f.c.CopyCandidates(f.now))
			f.now = f.now.Add(200 * time.Millisecond)
			second := f.startCopy("w2")
			f.apply(f.c.StartAnswered(f.now, "w2", second, Answer{Outcome: Applied}))
			done := EndedAttempt{AttemptID: second, End: EndDone}
			f.sync("w2", nil, done)
			require.Equal(t, Done, f.taskView(task.Job, 0).State)
			require.True(t, f.stopped(first))
			f.sync("w2", nil, done)
			require.Empty(t, f.acks("w2"), "the first start may still take effect")
			f.apply(f.c.StopAnswered(f.now, "w1", []AttemptID{first}, Answer{Outcome: Applied}, "p1", []EndedAttempt{{AttemptID: first, End: EndNeverStarted}}))
			f.sync("w2", nil, done)
			require.Equal(t, []AttemptID{second}, f.acks("w2"))
			require.Equal(t, 1, f.released(task))
		})
	}
}

// Guards against a false NotRun verdict: the first start was refused, and its copy may run.
func TestRefusedFirstStartBesideACopy(t *testing.T) {
	f := newFixture(t, 7, "w1", "w2", "w3")
	f.learn()
	task := ident.TaskID{Job: f.submitSpeculative(1)}
	first := f.planStart(task, "w1")
	f.now = f.now.Add(3 * time.Second)
	second := f.startCopy("w2")
	f.takeEnqueued()
	f.apply(f.c.StartAnswered(f.now, "w1", first, Answer{Outcome: Refused, Reason: ReasonCapacity}))
	require.Empty(t, f.takeEnqueued(), "the copy takes the place of the first attempt")
	require.Equal(t, ident.WorkerID("w2"), f.taskView(task.Job, 0).Worker)
	require.True(t, f.c.task(task).maybeSent)
	f.apply(f.c.StartAnswered(f.now, "w2", second, Answer{Outcome: Applied}))
	require.Equal(t, Running, f.taskView(task.Job, 0).State)
}

package lifecycle

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// lastingGroup accepts a job of lasting tasks and starts them on the given workers.
func (f *fixture) lastingGroup(budget int, workers ...ident.WorkerID) []AttemptID {
	id := f.accept(JobSpec{Groups: []TaskGroup{{Count: len(workers), Need: oneCore, Lasting: true, DisruptionBudget: budget}}})
	var started []AttemptID
	for i, w := range workers {
		started = append(started, f.startTask(taskID(id, 0, i), w))
	}
	return started
}

// report lists the attempts of a worker, all of them ready or none.
func (f *fixture) report(w ident.WorkerID, ready bool, attempts ...AttemptID) {
	req, ok := f.c.SyncRequest(w)
	require.True(f.t, ok)
	rep := Report{Capacity: capacity, Token: "token"}
	for _, a := range attempts {
		rep.Active = append(rep.Active, ActiveAttempt{AttemptID: a, Ready: ready})
	}
	f.apply(f.c.SyncAnswered(f.now, w, req.Seq, "p1", req.Acks, rep))
}

// moved lists the tasks that were told to move since the last call.
func (f *fixture) moved() (tasks []ident.TaskID) {
	for _, m := range commandsOf[CheckpointTask](f) {
		tasks = append(tasks, m.Task)
	}
	f.commands = nil
	return tasks
}

// pass lets one look for moves pass.
func (f *fixture) pass() { f.tickUntil(f.now.Add(moveInterval)) }

// Guards against moves of a second task of a group before the first is ready again, and against moves that never come.
func TestMovesWaitForReadiness(t *testing.T) {
	f := newTwoCentreFixture(t, 2)
	f.evacuate()
	group := f.lastingGroup(2, "n0", "n1", "p0")
	f.evacuate("nelson")
	f.pass()
	require.Empty(t, f.moved(), "no task has been seen ready")
	f.report("n0", true, group[0])
	f.report("n1", true, group[1])
	f.report("p0", true, group[2])
	f.pass()
	first := f.moved()
	require.Len(t, first, 1)
	f.pass()
	require.Empty(t, f.moved())
	i := first[0].Member()
	f.apply(f.c.CheckpointAnswered(f.now, group[i].workerIn(f), group[i], Answer{Outcome: Applied}, EndedAttempt{AttemptID: group[i], End: EndEvicted}))
	again := f.startTask(first[0], "p1")
	f.pass()
	require.Empty(t, f.moved(), "the moved task is not ready")
	f.report("p1", true, again)
	f.pass()
	require.Len(t, f.moved(), 1)
}

func (a AttemptID) workerIn(f *fixture) ident.WorkerID { return f.c.task(a.Task).run.worker }

// Guards against a disruption of a group without a budget.
func TestGroupWithoutBudgetStays(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	f.evacuate()
	group := f.lastingGroup(0, "n0")
	f.report("n0", true, group[0])
	f.evacuate("nelson")
	for range 10 {
		f.pass()
	}
	require.Empty(t, f.moved())
}

// Guards against a group that loses more tasks than its budget because one of them is unavailable for another reason.
func TestTaskThatIsNotReadyUsesTheBudget(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	f.evacuate()
	group := f.lastingGroup(1, "n0", "p0")
	f.report("n0", true, group[0])
	f.report("p0", false, group[1])
	f.evacuate("nelson")
	f.pass()
	require.Empty(t, f.moved())
	f.report("p0", true, group[1])
	f.pass()
	require.Equal(t, []ident.TaskID{group[0].Task}, f.moved())
}

// Guards against a task that is stopped although no other worker can take it.
func TestMoveNeedsRoom(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	f.evacuate()
	full := f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: capacity, Lasting: true}}})
	occupied := AttemptID{Task: taskID(full, 0, 0), Attempt: 1}
	f.apply(f.c.ApplyPlan(f.now, placement.Plan{Starts: []placement.Start{{Task: occupied.Task, Attempt: 1, Worker: "p0", Booked: capacity}}}))
	f.apply(f.c.StartAnswered(f.now, "p0", occupied, Answer{Outcome: Applied}))
	group := f.lastingGroup(1, "n0")
	f.report("n0", true, group[0])
	f.evacuate("nelson")
	f.pass()
	require.Empty(t, f.moved())
	f.apply(f.c.StopAnswered(f.now, "p0", []AttemptID{occupied}, Answer{Outcome: Applied}, "p1", []EndedAttempt{{AttemptID: occupied, End: EndStopped}}))
	f.pass()
	require.Len(t, f.moved(), 1)
}

// Guards against a new owner that disrupts a group of which its predecessor has just moved a task, or of which it has not
// seen the tasks.
func TestTakeoverDisruptsNothingBeforeTasksAreReady(t *testing.T) {
	old := newTwoCentreFixture(t, 1)
	old.evacuate()
	group := old.lastingGroup(1, "n0", "p0")
	f := &fixture{t: t, c: NewCell(1, 2, old.c.table), now: old.now}
	for _, r := range old.log {
		f.c.Replay(r)
	}
	f.c.SetAuthority(f.now, true, true)
	members := []Member{{ID: "n0", DataCentre: "nelson"}, {ID: "p0", DataCentre: "picton"}}
	f.apply(f.c.Recover(f.now, false, members))
	f.apply(f.c.SetMembers(f.now, members))
	f.evacuate("nelson")
	f.claim("n0", Report{Active: []ActiveAttempt{{AttemptID: group[0], Ready: true}}})
	f.claim("p0", Report{Active: []ActiveAttempt{{AttemptID: group[1]}}})
	f.pass()
	require.Empty(t, f.moved())
	f.report("p0", true, group[1])
	f.pass()
	require.Len(t, f.moved(), 1)
}

// Guards against evictions of lasting tasks by the planner that the budget forbids, and against a planner that waits for
// the end of such a task.
func TestPlannedEvictionOfLastingTaskNeedsBudget(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	f.evacuate()
	bound, free := f.lastingGroup(0, "p0"), f.lastingGroup(1, "p0")
	f.report("p0", true, bound[0], free[0])
	f.commands = nil
	f.apply(f.c.ApplyPlan(f.now, placement.Plan{Evictions: []placement.Evict{
		{Task: bound[0].Task, Attempt: 1, Worker: "p0"}, {Task: free[0].Task, Attempt: 1, Worker: "p0"},
	}}))
	restored := commandsOf[Restore](f)
	require.Len(t, restored, 1)
	require.Equal(t, bound[0], AttemptID{restored[0].Running.Task, restored[0].Running.Attempt})
	require.Equal(t, []ident.TaskID{free[0].Task}, f.moved())
}

// Guards against a task that is stopped while the store is down, and that waits for its record until the store returns.
func TestNothingMovesWhileTheLogFails(t *testing.T) {
	f := newTwoCentreFixture(t, 1)
	f.evacuate()
	group := f.lastingGroup(1, "n0")
	f.report("n0", true, group[0])
	f.evacuate("nelson")
	f.c.SetLogFailing(true)
	f.pass()
	require.Empty(t, f.moved())
	f.c.SetLogFailing(false)
	f.pass()
	require.Len(t, f.moved(), 1)
}

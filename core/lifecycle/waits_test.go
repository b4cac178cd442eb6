package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against tasks that wait in the cell without being listed with their reason, and against tasks that are listed
// although they run, wait for the planner or wait for earlier groups.
func TestTasksThatWaitInTheCellAreListed(t *testing.T) {
	f := newFixture(t, 1, "w")
	id := f.submit(3)
	require.Empty(t, f.c.WaitingTasks(10), "tasks that wait for the planner")
	failed := f.startTask(f.c.jobs[id].tasks[0].id, "w")
	f.startTask(f.c.jobs[id].tasks[1].id, "w")
	require.Empty(t, f.c.WaitingTasks(10))
	f.sync("w", nil, EndedAttempt{AttemptID: failed, End: EndFailed})
	require.Equal(t, []TaskWait{{Task: failed.Task, Class: "batch", Reason: WaitBackoff}}, f.c.WaitingTasks(10))
	f.tickUntil(f.now.Add(5 * time.Minute))
	require.Empty(t, f.c.WaitingTasks(10))
	require.Equal(t, "backoff", WaitBackoff.Code())
}

// Guards against tasks that wait for the workers of a predecessor and are not listed, and against a sweep that costs
// more with more tasks or never reaches some.
func TestListOfWaitingTasksIsBoundedAndReachesEveryJob(t *testing.T) {
	const jobs, limit = 30, 4
	f := newFixture(t, 1, "w1")
	for range jobs {
		f.submit(1)
	}
	next := &fixture{t: t, c: NewCell(1, 2, f.c.table), now: f.now}
	for _, r := range f.log {
		next.c.Replay(r)
	}
	next.c.SetAuthority(next.now, true, false)
	next.apply(next.c.Recover(next.now, false, []Member{{ID: "w1"}, {ID: "w2"}}))
	seen := map[ident.TaskID]int{}
	for range jobs/limit + 1 {
		found := next.c.WaitingTasks(limit)
		require.LessOrEqual(t, len(found), limit)
		for _, w := range found {
			require.Equal(t, WaitRecovery, w.Reason)
			seen[w.Task]++
		}
	}
	require.Len(t, seen, jobs)
}

// Guards against a reason for which tasks wait that has no identifier: the event and the metric of the wait then name none.
func TestEveryReasonOfAWaitInTheCellHasACode(t *testing.T) {
	old := newFixture(t, 7, "w1")
	failed := old.startTask(ident.TaskID{Job: old.submit(1)}, "w1")
	f := old.successorWithoutTable("w1")
	f.claim("w1", Report{Ended: []EndedAttempt{{AttemptID: failed, End: EndFailed}}})
	found := f.c.WaitingTasks(10)
	require.Len(t, found, 1)
	require.Equal(t, WaitTable, found[0].Reason)
	require.NotEmpty(t, found[0].Reason.Code())
}

// Guards against a task that is shown as waiting for workers, all of which have answered: it waits for the table.
func TestTaskThatWaitsOnlyForTheTableSaysSo(t *testing.T) {
	old := newFixture(t, 7, "w1")
	job := old.submit(1)
	f := old.successorWithoutTable("w1")
	f.claim("w1", Report{})
	f.tickUntil(f.now.Add(time.Minute))
	require.Equal(t, string(WaitTable), f.taskView(job, 0).Reason)
}

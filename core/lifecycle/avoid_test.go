package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against a task that keeps avoiding a worker that refused it, although too few workers are left.
func TestRefusedTaskIsQueuedAgainWhenWorkersLeave(t *testing.T) {
	f := newFixture(t, 1, "w1", "w2")
	task := ident.TaskID{Job: f.submit(1)}
	attempt := f.planStart(task, "w1")
	f.apply(f.c.StartAnswered(f.now, "w1", attempt, Answer{Outcome: Refused, Reason: ReasonUnhealthy}))
	f.tickUntil(f.now.Add(time.Second))
	queued := commandsOf[Enqueue](f)
	require.Equal(t, []ident.WorkerID{"w1"}, queued[len(queued)-1].Tasks[0].Avoid)
	f.apply(f.c.SetMembers(f.now, []Member{{ID: "w1"}, {ID: "w2", Leaving: true}}))
	queued = commandsOf[Enqueue](f)
	require.Empty(t, queued[len(queued)-1].Tasks[0].Avoid, "w1 is the only worker left")
}

// Guards against a rack that falls silent at once and makes the cell queue each failed task again once for each worker.
func TestFailedTasksAreQueuedAgainOnceForARack(t *testing.T) {
	var workers []ident.WorkerID
	for i := range 48 {
		workers = append(workers, ident.WorkerID("w"+string(rune('A'+i))))
	}
	f := newFixture(t, 1, workers...)
	job := f.submit(500)
	for i := range 500 {
		w := workers[i%len(workers)]
		f.reportEnds(w, EndedAttempt{AttemptID: f.startTask(ident.TaskID{Job: job, Index: uint32(i)}, w), End: EndFailed})
	}
	for _, w := range workers {
		f.sync(w, nil)
	}
	f.tickUntil(f.now.Add(2 * time.Second))
	for _, w := range workers[16:] {
		f.sync(w, nil)
	}
	f.commands = nil
	f.now = f.now.Add(time.Second)
	started := time.Now()
	f.apply(f.c.Tick(f.now))
	took := time.Since(started)
	tasks := 0
	for _, c := range commandsOf[Enqueue](f) {
		tasks += len(c.Tasks)
	}
	require.LessOrEqual(t, tasks, 500, "one Tick took %v", took)
}

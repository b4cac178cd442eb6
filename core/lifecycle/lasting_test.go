package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against a refused lasting task whose pauses leave too little of the restart target for several tries.
func TestRefusedLastingTaskRetriesWithinTarget(t *testing.T) {
	f := newFixture(t, 1, "w")
	task := taskID(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore, Lasting: true}}}), 0, 0)
	for range 20 {
		f.apply(f.c.StartAnswered(f.now, "w", f.planStart(task, "w"), Answer{Outcome: Refused, Reason: ReasonUnhealthy}))
		f.commands = nil
		f.now = f.now.Add(restartWithin / 4)
		f.apply(f.c.Tick(f.now))
		require.Equal(t, []ident.TaskID{task}, f.takeEnqueued())
		f.reportEnds("w")
	}
}

// Guards against a lasting task that is not restarted while the store is down, because so many of its attempts are
// unlogged that it waits for a record.
func TestLastingTaskDoesNotWaitForTheLog(t *testing.T) {
	f := newFixture(t, 1, "w")
	task := taskID(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: oneCore, Lasting: true}}}), 0, 0)
	fail := func(times int) {
		for range times {
			f.now = f.now.Add(time.Minute)
			f.reportEnds("w", EndedAttempt{AttemptID: f.startTask(task, "w"), End: EndFailed})
		}
	}
	fail(attemptStride - 10)
	f.holdLog = true
	f.commands = nil
	fail(20)
	require.Len(t, f.takeEnqueued(), 20)
	f.holdLog = false
	fail(2 * attemptStride)
	require.Len(t, f.takeEnqueued(), 2*attemptStride)
}

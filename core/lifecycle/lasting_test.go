package lifecycle

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

// Guards against a lasting task that stays away because workers refused it: no pause may take so much of the time within
// which it has to run again that not several tries are left.
func TestRefusedLastingTaskIsTriedAgainInTime(t *testing.T) {
	f := newFixture(t, 1, "w")
	task := taskOf(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: need, Lasting: true}}}), 0, 0)
	for range 20 {
		f.apply(f.c.StartAnswered(f.now, "w", f.place(task, "w"), Answer{Outcome: Refused, Reason: ReasonUnhealthy}))
		f.cmds = nil
		f.now = f.now.Add(restartWithin / 4)
		f.apply(f.c.Tick(f.now))
		require.Equal(t, []ident.TaskID{task}, f.queuedWith())
		f.ends("w")
	}
}

// Guards against a lasting task that stays away for as long as the store is down, because so many of its attempts are not in
// the log that it waits for a record.
func TestLastingTaskDoesNotWaitForTheLog(t *testing.T) {
	f := newFixture(t, 1, "w")
	task := taskOf(f.accept(JobSpec{Groups: []TaskGroup{{Count: 1, Need: need, Lasting: true}}}), 0, 0)
	fail := func(times int) {
		for range times {
			f.now = f.now.Add(time.Minute)
			f.ends("w", EndedAttempt{AttemptID: f.running(task, "w"), End: EndFailed})
		}
	}
	fail(attemptStride - 10)
	f.held = true
	f.cmds = nil
	fail(20)
	require.Len(t, f.queuedWith(), 20)
	f.held = false
	fail(2 * attemptStride)
	require.Len(t, f.queuedWith(), 2*attemptStride)
}

package lifecycle

import (
	"testing"

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

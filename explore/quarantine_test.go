package explore

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/internal/check"
)

// Guards against accepted tasks that wait although all workers are idle and sound: tasks that fail by themselves before
// them put all workers in quarantine, and each probe goes to another task that fails.
func TestSoundTasksRunBehindTasksThatFailByThemselves(t *testing.T) {
	const (
		failingJobs = 60
		soundJobs   = 8
		// waitLimit is the time after which a task that could run counts as lost: 14 s, and 3 s with nothing running.
		waitLimit = 17 * time.Second
		runTime   = time.Second
	)
	synctest.Test(t, func(t *testing.T) {
		c := newJobCell(t)
		c.readable.Store(outageTable(1, 10))
		p := c.start()
		defer func() { c.close(p) }()
		p.submit(t.Context(), "batch", "work=1s")
		time.Sleep(2 * time.Second)
		for range failingJobs {
			p.submit(t.Context(), "fragile", "work=400ms;fail=exit 1")
		}
		var sound []ident.JobID
		for range soundJobs {
			sound = append(sound, p.submit(t.Context(), "fragile", "work=1s"))
		}
		ctx, cancel := context.WithTimeout(t.Context(), waitLimit+runTime)
		defer cancel()
		for _, id := range sound {
			require.Empty(t, check.UnfinishedTasks(p.awaitFinal(ctx, id)))
		}
	})
}

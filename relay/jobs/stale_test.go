package jobs_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
)

// Guards against a process that was paused and, before it notices that its grant has run out, stops work that belongs to
// the next owner: here the first event after the pause is a host list that shows a worker as leaving.
func TestOwnerThatWakesUpWithoutGrantStopsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		defer fx.close()
		old, next := fx.host(), fx.host()
		fx.giveCell(old)
		id := old.submit(spec("batch", 1, "x"))
		time.Sleep(2 * time.Second)
		require.Equal(t, lifecycle.Running, old.get(id).State)

		old.setGrant(func(g *ownership.Grant) { g.Authority = ownership.None })
		leaving := fx.members()
		for i := range leaving {
			leaving[i].Leaving = true
		}
		old.svc.SetMembers(cell, leaving)
		time.Sleep(300 * time.Millisecond)
		fx.giveCell(next)
		time.Sleep(time.Minute)
		view, err := next.svc.Get(bg, id, 0, 1)
		require.NoError(t, err)
		require.Equal(t, lifecycle.Done, view.State)
		require.Zero(t, view.Tasks[0].Evictions)
		require.Len(t, fx.recorder.Executions(), 1)
	})
}

package jobs_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
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

// Guards against an owner that the store turns away and that says of the jobs of its successor that they do not exist:
// a caller takes this for the end of a cancelled job, which runs on.
func TestOwnerInDoubtDoesNotDenyJobs(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		known := h.submit(spec("batch", 1, "work=60s"))
		time.Sleep(time.Second)
		unknown := ident.CallerAssignedJobID(cell, 7)
		for authority, want := range map[ownership.Authority]verdict.Code{
			ownership.Full: verdict.CodeNotFound, ownership.InDoubt: verdict.CodeUnavailable, ownership.None: verdict.CodeUnavailable,
		} {
			h.setGrant(func(g *ownership.Grant) { g.Authority = authority })
			require.Equal(t, want, verdict.FromError(h.svc.Cancel(bg, unknown)).Code, authority)
			_, err := h.svc.Get(bg, unknown, 0, 1)
			require.Equal(t, want, verdict.FromError(err).Code, authority)
			_, err = h.svc.Watch(bg, unknown)
			require.Equal(t, want, verdict.FromError(err).Code, authority)
			require.Equal(t, lifecycle.Running, h.get(known).State, "what the owner knows stays true")
		}
	})
}

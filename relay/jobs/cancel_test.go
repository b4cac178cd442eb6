package jobs_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
)

// Guards against a cancellation that overtakes the submission of its job. It would be answered as for an unknown job,
// and the job would run nevertheless.
func TestCancellationDoesNotOvertakeTheSubmission(t *testing.T) {
	slowPlannerScenario(t, 2, func(fx *fixture, h *host, slow *planDelay) {
		time.Sleep(time.Second)
		slow.nextPlan.Store(int64(time.Second))
		h.svc.SetMembers(cell, fx.membersWithLabel(1))
		time.Sleep(100 * time.Millisecond)
		// The owner is in Plan. Another event, the submission and the cancellation are queued behind it, in this order.
		h.svc.SetMembers(cell, fx.membersWithLabel(2))
		s := spec("batch", 4, "work=1s")
		s.ClientNumber = 7
		submitted := make(chan error, 1)
		go func() {
			_, err := h.svc.Submit(bg, cell, s)
			submitted <- err
		}()
		time.Sleep(100 * time.Millisecond)
		id := ident.CallerAssignedJobID(cell, 7)
		cancelled := h.svc.Cancel(bg, id)
		require.NoError(t, <-submitted)
		time.Sleep(time.Minute)
		require.NoError(t, cancelled)
		require.Equal(t, lifecycle.Cancelled, h.get(id).State)
	})
}

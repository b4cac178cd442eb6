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

// Guards against a cancellation that is acknowledged without a record: a task of the job has failed for good while the store
// was down, so that the job counted as being cancelled. After the loss of its owner the job ran to the end.
func TestCancellationOfAFailingJobIsAcknowledgedOnlyOnceItIsStored(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		failing := spec("batch", 1, "work=1h")
		failing.FailFast = true
		failing.Groups = append(failing.Groups, lifecycle.TaskGroup{Count: 1, Need: oneCore, RunTime: time.Second, Command: "work=2s fail=no"})
		id := h.submit(failing)
		// The retries end in the last of four failures, which the store does not take any more.
		for h.get(id).Tasks[1].Failures < 3 {
			time.Sleep(100 * time.Millisecond)
		}
		time.Sleep(100 * time.Millisecond)
		fx.engine.Stop()
		time.Sleep(10 * time.Second)
		for range 2 {
			require.Error(t, h.svc.Cancel(bg, id), "no record can be durable")
		}
		fx.engine.Start()
		require.NoError(t, h.svc.Cancel(bg, id))
		fx.kill(h)
		next := fx.host()
		fx.giveCell(next)
		require.True(t, next.get(id).State.Final())
	})
}

package daemon

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a draining host that accepts calls until its time is over because a cell is handed over slowly, and
// then cuts off the last calls without an answer.
func TestSlowHandOverDoesNotKeepCallersOpen(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	notice := make(chan time.Time, 1)
	closed := make(chan struct{})
	errSlow, errBusy := errors.New("cells not handed over"), errors.New("calls in progress")
	leave := func(ctx context.Context) error {
		<-ctx.Done()
		return errSlow
	}
	shutdown := func(context.Context) error {
		close(closed)
		return errBusy
	}
	done := make(chan error, 1)
	go func() { done <- leaveAndClose(ctx, notice, leave, shutdown) }()
	select {
	case <-closed:
		require.Fail(t, "callers are closed before the notice is over")
	default:
	}
	notice <- time.Time{}
	// leave is still blocked here: it returns only when ctx ends.
	<-closed
	cancel()
	err := <-done
	require.ErrorIs(t, err, errSlow)
	require.ErrorIs(t, err, errBusy)
}

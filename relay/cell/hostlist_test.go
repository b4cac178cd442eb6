package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Guards against a host that was paused and, on resuming, sends requests to a target that left meanwhile, because its
// host list is out of date. A request that lay in the socket of a paused host reached a target 7 s after it had
// announced that it was leaving.
func TestResumedHostPollsHostListBeforeSending(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFakeTargets(succeed)
		s := newService(f, 1, nil)
		s.HostListPolled(time.Now())
		_, err := s.Execute(t.Context(), 0, urgent("before"))
		require.NoError(t, err)

		time.Sleep(7 * time.Second)
		ended := make(chan error, 1)
		go func() {
			answer, err := s.Execute(t.Context(), 0, urgent("after"))
			require.Equal(t, "t1", string(answer.Target))
			ended <- err
		}()
		synctest.Wait()
		require.Len(t, f.ids, 1, "nothing is sent before the host list has been polled")
		s.SetTargets(0, []routing.Target{{ID: "t0", Leaving: true}, {ID: "t1"}})
		s.HostListPolled(time.Now())
		require.NoError(t, <-ended)
	})
}

// Guards against requests that wait for a host list that cannot be read, and against a waiting request that is not
// refused with NotRun at its deadline.
func TestUnreadableHostListBlocksNoRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(newFakeTargets(succeed), 1, nil)
		for range 10 {
			// A read that fails after its timeout of 1 s.
			began := time.Now()
			time.Sleep(time.Second)
			s.HostListPolled(began)
			time.Sleep(900 * time.Millisecond)
			_, err := s.Execute(t.Context(), 0, urgent("r"))
			require.NoError(t, err)
		}
		time.Sleep(7 * time.Second)
		_, err := s.Execute(t.Context(), 0, urgent("late"))
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	})
}

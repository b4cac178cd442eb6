package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/routing"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
)

// Guards against a host that stood still sending requests to a target that left meanwhile, by the host list from before.
// Soak runs saw it: a request that lay in the socket of a frozen host reached a target 7 s after it had announced to leave.
func TestResumedHostAsksForTheListFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFake(good)
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
		require.Len(t, f.ids, 1, "nothing is sent before the list has been asked for")
		s.SetTargets(0, []routing.Target{{ID: "t0", Leaving: true}, {ID: "t1"}})
		s.HostListPolled(time.Now())
		require.NoError(t, <-ended)
	})
}

// Guards against requests that wait for a host list that cannot be read, and against a waiting request that is not
// refused with proof at its deadline.
func TestUnreadableListStopsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newService(newFake(good), 1, nil)
		for range 10 {
			// A read that fails after its time-out of 1 s.
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

package evacuation

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Guards against an owner that takes "not read yet" for "no data centre is under evacuation".
func TestZeroSetIsNotCurrent(t *testing.T) {
	require.False(t, Set{}.Known())
	require.False(t, Set{}.Current())
	require.False(t, Set{}.ReadSince(time.Time{}).Current())
	require.True(t, NewSet(1, start, nil).Current())
}

// Guards against a new owner that starts tasks by a list that its host read before the takeover.
func TestSetReadBeforeATakeoverIsStale(t *testing.T) {
	s := NewSet(7, start, []Request{{DataCentre: "nelson", Revision: 5}})
	require.True(t, s.ReadSince(start).Current())
	late := s.ReadSince(start.Add(time.Millisecond))
	require.False(t, late.Current())
	require.True(t, late.Contains("nelson"), "a stale set still says which workers are evacuated")
	require.True(t, s.Current(), "sets are immutable")
}

// Guards against an age that starts again with each read of the list, and against one that includes an earlier,
// withdrawn request.
func TestAgeOfRequest(t *testing.T) {
	first := NewSet(7, start, []Request{{DataCentre: "nelson", Revision: 5, Since: start}, {DataCentre: "picton", Revision: 6, Since: start}})
	later := start.Add(time.Minute)
	second := first.KeepTimes([]Request{{DataCentre: "nelson", Revision: 5, Since: later}, {DataCentre: "picton", Revision: 9, Since: later}})
	require.Equal(t, start, second[0].Since)
	require.Equal(t, later, second[1].Since)
}

// Guards against a return of all workers at once, and against workers that never return.
func TestRampReturnsSharesOfWorkers(t *testing.T) {
	const workers = 1000
	ids := make([]ident.WorkerID, workers)
	for i := range ids {
		ids[i] = ident.WorkerID(fmt.Sprintf("i-%04d", i))
	}
	r := NewRamp(start)
	returned, before := 0, -1
	for !r.Done() {
		returned = 0
		for _, id := range ids {
			if !r.Holds(id) {
				returned++
			}
		}
		if before >= 0 {
			require.InDelta(t, workers/rampSteps, returned-before, workers/rampSteps/2)
		}
		before = returned
		require.Equal(t, r.released, r.Advance(r.Next().Add(-time.Nanosecond)).released)
		next := r.Advance(r.Next())
		require.Equal(t, r.released+1, next.released)
		r = next
	}
	require.False(t, r.Holds(ids[0]))
	require.True(t, NewRamp(start).Advance(start.Add(RampTime)).Done())
}

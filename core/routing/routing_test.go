package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTargets(n int) *Targets {
	ts := NewTargets(rand.New(rand.NewPCG(1, 2)))
	ts.SetSlotsPerTarget(SlotsPerTarget)
	ts.Set(targetList(n))
	return ts
}

func targetList(n int) []Target {
	list := make([]Target, n)
	for i := range list {
		list[i] = Target{ID: ident.TargetID(fmt.Sprintf("t%d", i))}
	}
	return list
}

// runSequentially runs n requests one after the other and returns how many each target got. observe returns the
// observation of a request at a target.
func runSequentially(ts *Targets, now time.Time, n int, observe func(ident.TargetID) Observation) map[ident.TargetID]int {
	got := map[ident.TargetID]int{}
	for range n {
		ts.ExpirePauses(now)
		t, ok := ts.Pick(now, "")
		if !ok {
			break
		}
		got[t.ID]++
		ts.Observe(now, t.ID, observe(t.ID))
		ts.Release(t.ID)
	}
	return got
}

func always(s Signal) func(ident.TargetID) Observation {
	return func(ident.TargetID) Observation { return Observation{s, time.Millisecond} }
}

// Guards against a target getting more requests than it has slots, also when the slots are reduced under load.
func TestSlotsAreNeverExceeded(t *testing.T) {
	ts := newTargets(5)
	got := map[ident.TargetID]int{}
	for {
		target, ok := ts.Pick(start, "")
		if !ok {
			break
		}
		got[target.ID]++
	}
	require.Len(t, got, 5)
	for id, n := range got {
		require.Equal(t, SlotsPerTarget, n, id)
	}
	ts.SetSlotsPerTarget(SlotsPerTarget / 2)
	for range 4 {
		_, ok := ts.Pick(start, "")
		require.False(t, ok)
		ts.Release("t0")
	}
	require.Equal(t, 36, ts.Capacity(), "requests in progress above the new number of slots stay counted")
	ts.Release("t0")
	target, ok := ts.Pick(start, "")
	require.True(t, ok)
	require.Equal(t, ident.TargetID("t0"), target.ID)
}

// Guards against a failing target getting more than probes, against pauses that do not grow, and against a target that
// gets no requests after it has recovered.
func TestBreakerOpensProbesAndCloses(t *testing.T) {
	ts := newTargets(4)
	broken := func(id ident.TargetID) Observation {
		if id == "t0" {
			return Observation{SignalFailed, time.Millisecond}
		}
		return Observation{SignalOK, time.Millisecond}
	}
	require.Equal(t, int(openThreshold), runSequentially(ts, start, 1000, broken)["t0"])
	now, last := start, time.Duration(0)
	for range 5 {
		pause := ts.ExpirePauses(now).Sub(now)
		require.Greater(t, pause, last)
		last = pause
		now = now.Add(pause)
		require.Equal(t, 1, runSequentially(ts, now, 1000, broken)["t0"], "one probe in each pause")
	}
	now = ts.ExpirePauses(now)
	require.GreaterOrEqual(t, runSequentially(ts, now, 1000, always(SignalOK))["t0"], probesToClose)
	require.Zero(t, ts.openBreakers)
	require.Greater(t, runSequentially(ts, now.Add(latencyDecay), 1000, always(SignalOK))["t0"], probesToClose)
}

// Guards against a target being probed by two requests at a time.
func TestOneProbeAtATime(t *testing.T) {
	ts := newTargets(1)
	runSequentially(ts, start, 10, always(SignalFailed))
	now := ts.ExpirePauses(start)
	ts.ExpirePauses(now)
	_, ok := ts.Pick(now, "")
	require.True(t, ok)
	_, ok = ts.Pick(now, "")
	require.False(t, ok)
}

// Guards against callers' faults, short deadlines, cancellations and refusals opening the breaker, and against requests
// that fail everywhere pausing all targets of the cell.
func TestCallerFaultsDoNotOpenBreaker(t *testing.T) {
	for _, s := range []Signal{SignalCallerFault, SignalNone, SignalNoSlot, SignalRateLimited} {
		ts := newTargets(4)
		now := start
		for range 100 {
			now = now.Add(backoffPause)
			runSequentially(ts, now, 10, always(s))
		}
		require.Zero(t, ts.openBreakers, s)
	}
	ts := newTargets(4)
	runSequentially(ts, start, 100, always(SignalOK))
	runSequentially(ts, start, 100, func(ident.TargetID) Observation { return Observation{SignalTimedOut, 2 * time.Millisecond} })
	require.Zero(t, ts.openBreakers, "a deadline of twice the usual latency is the caller's fault")
	before := ts.Latency()
	runSequentially(ts, start, 100, func(ident.TargetID) Observation { return Observation{SignalTimedOut, time.Microsecond} })
	require.Equal(t, before, ts.Latency(), "a short deadline does not make a target look fast")
	ts = newTargets(8)
	runSequentially(ts, start, 10_000, always(SignalErrorStatus))
	require.Equal(t, 4, ts.openBreakers)
}

// Guards against a target that never answers getting further requests.
func TestBlackHoleTargetOpensBreaker(t *testing.T) {
	ts := newTargets(4)
	got := runSequentially(ts, start, 1000, func(id ident.TargetID) Observation {
		if id == "t0" {
			return Observation{SignalTimedOut, time.Second}
		}
		return Observation{SignalOK, time.Millisecond}
	})
	require.LessOrEqual(t, got["t0"], int(openThreshold))
}

// Guards against a leaving target getting requests after the host list, the target's own report or a closed connection
// has shown that it is leaving.
func TestLeavingTargetGetsNoRequests(t *testing.T) {
	ts := newTargets(4)
	runSequentially(ts, start, 100, always(SignalOK))
	for _, s := range []Signal{SignalLeaving, SignalClosing} {
		ts.Observe(start, "t0", Observation{s, time.Millisecond})
		require.Zero(t, runSequentially(ts, start.Add(closingPause/2), 1000, always(SignalOK))["t0"], s)
		runSequentially(ts, start.Add(time.Hour), 1000, always(SignalOK))
	}
	list := targetList(4)
	list[1].Leaving = true
	ts.Set(list)
	require.Zero(t, runSequentially(ts, start.Add(time.Hour), 1000, always(SignalOK))["t1"])
	require.Equal(t, 3, ts.NumUsable())
	require.Equal(t, 3*SlotsPerTarget, ts.Capacity())
}

// Guards against a slow target getting an equal share of the requests, and against it getting none after it has
// recovered.
func TestSlowTargetGetsLess(t *testing.T) {
	ts := newTargets(4)
	slow := func(id ident.TargetID) Observation {
		if id == "t0" {
			return Observation{SignalOK, 100 * time.Millisecond}
		}
		return Observation{SignalOK, time.Millisecond}
	}
	require.Less(t, runSequentially(ts, start, 1000, slow)["t0"], 20)
	require.Greater(t, runSequentially(ts, start.Add(10*latencyDecay), 1000, always(SignalOK))["t0"], 100)
}

// Guards against the state of a removed target being dropped while it runs requests, or being kept afterwards.
func TestRemovedTargetStaysUntilIdle(t *testing.T) {
	ts := newTargets(1)
	_, ok := ts.Pick(start, "")
	require.True(t, ok)
	ts.Set(nil)
	require.Equal(t, 1, ts.Capacity())
	ts.Release("t0")
	require.Zero(t, ts.Capacity())
	require.Empty(t, ts.byID)
}

// Guards against retries that multiply an overload.
func TestRetryBudgetIsAShareOfTraffic(t *testing.T) {
	ts := newTargets(2)
	var class RetryBudget
	retries := 0
	for range 10_000 {
		class.Deposit()
		ts.DepositRetryBudget("t0")
		if ts.TakeRetry(&class, "t0") {
			retries++
		}
	}
	require.InDelta(t, 10_000*retryRatio, retries, maxSavedRetries)
}

// Guards against a request leaving its data centre without need, against it staying there although all cells are
// saturated, and against a loaded cell getting as many requests as an idle one.
func TestChooseCell(t *testing.T) {
	rng := rand.New(rand.NewPCG(5, 6))
	cells := make([]CellLoad, 9)
	for i := range cells {
		dc := ident.DataCentre([]string{"nelson", "richmond", "motueka"}[i%3])
		cells[i] = CellLoad{Cell: ident.CellID(i), DataCentre: dc, Usable: true, Capacity: 40, Latency: time.Millisecond}
	}
	choose := func() map[ident.CellID]int {
		got := map[ident.CellID]int{}
		for range 3000 {
			c, ok := ChooseCell(rng, "nelson", cells)
			require.True(t, ok)
			got[c]++
		}
		return got
	}
	cells[3].Outstanding = 40
	got := choose()
	require.Equal(t, 3000, got[0]+got[3]+got[6])
	require.Zero(t, got[3], "the busiest of three cells is never the better of two")
	for _, i := range []int{0, 3, 6} {
		cells[i].Waiting = 100
	}
	got = choose()
	require.Zero(t, got[0]+got[3]+got[6])
	for i := range cells {
		cells[i].Waiting = 100
	}
	got = choose()
	require.Equal(t, 3000, got[0]+got[3]+got[6], "all data centres are saturated, so that requests stay")
	for i := range cells {
		cells[i].Usable = i == 4
	}
	require.Equal(t, 3000, choose()[4])
	cells[4].Usable = false
	_, ok := ChooseCell(rng, "nelson", cells)
	require.False(t, ok)
}

// Guards against one of two targets that answers every request with status 500 being probed without pauses. Each
// request takes 40 ms and one arrives every 10 ms, so that the good target is always busy.
func TestErrorStatusPausesOneOfTwoTargets(t *testing.T) {
	ts := NewTargets(rand.New(rand.NewPCG(1, 1)))
	ts.SetSlotsPerTarget(SlotsPerTarget)
	ts.Set([]Target{{ID: "bad", Address: "a"}, {ID: "good", Address: "b"}})
	now := time.Unix(0, 0)
	running := make([]Target, 0, 4)
	bad := 0
	for range 1000 {
		now = now.Add(10 * time.Millisecond)
		ts.ExpirePauses(now)
		if len(running) == cap(running) {
			ended := running[0]
			running = append(running[:0], running[1:]...)
			signal := SignalOK
			if ended.ID == "bad" {
				signal = SignalErrorStatus
			}
			ts.Observe(now, ended.ID, Observation{Signal: signal, Latency: 40 * time.Millisecond})
			ts.Release(ended.ID)
		}
		picked, ok := ts.Pick(now, "")
		require.True(t, ok)
		if picked.ID == "bad" {
			bad++
		}
		running = append(running, picked)
	}
	require.LessOrEqual(t, bad, 20, "about ten until the breaker opens, then one probe after each pause of 0.5, 1, 2 and 4 s")
}

// Guards against all attempts of a request going to a stopped target while the slots of all other targets are taken.
func TestRetryWaitsForABusyTarget(t *testing.T) {
	ts := newTargets(2)
	for range 2 * SlotsPerTarget {
		_, ok := ts.Pick(start, "")
		require.True(t, ok)
	}
	refused := func(now time.Time) {
		ts.Observe(now, "t0", Observation{Signal: SignalUnreachable})
		ts.Release("t0")
		_, ok := ts.Pick(now, "t0")
		require.False(t, ok, "a retry must wait for t1")
	}
	refused(start)
	for range SlotsPerTarget - 1 {
		ts.Release("t0")
	}
	now := ts.ExpirePauses(start)
	require.False(t, now.IsZero())
	require.Zero(t, ts.ExpirePauses(now), "the pause has ended")
	_, ok := ts.Pick(now, "t0")
	require.False(t, ok, "the probe must not be the request that failed there")
	probe, ok := ts.Pick(now, "")
	require.True(t, ok)
	require.Equal(t, ident.TargetID("t0"), probe.ID)
	refused(now)
	ts.Release("t1")
	next, ok := ts.Pick(now, "t0")
	require.True(t, ok)
	require.Equal(t, ident.TargetID("t1"), next.ID)
}

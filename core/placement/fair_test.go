package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

// dominantWeight is so large that its class always goes first, as without fair shares.
const dominantWeight = 1_000_000_000

// runFlood simulates 10 workers for 2 minutes. The flooding class submits tasks for 20 times the capacity at the
// start, the other class a constant load of otherLoad times the capacity. It returns the model and the fraction of
// the used processors that the other class held in the last minute.
func runFlood(webWeight, etlWeight int, flooding ident.ClassName, otherLoad float64) (*simModel, float64) {
	const workers, cores = 10, 4
	s := newSim(21, workers, []table.Row{
		{Name: "etl", Kind: table.Batch, Weight: etlWeight, Evictions: 2},
		{Name: "web", Kind: table.LatencyCritical, Weight: webWeight},
	}, nil, placement.Options{})
	class, other := 0, 1
	if flooding == "web" {
		class, other = 1, 0
	}
	for range 20 * workers * 64 / cores {
		s.submit(class, vec(1000*cores, 4000, 0), 10*time.Second)
	}
	dueTasks := 0.0
	for i := range 480 {
		// A task holds 4 processors for 10 s.
		for dueTasks += otherLoad * workers * 64 / cores * simStep.Seconds() / 10; dueTasks >= 1; dueTasks-- {
			s.submit(other, vec(1000*cores, 4000, 0), 10*time.Second)
		}
		s.step()
		if i == 239 {
			clear(s.heldCoreSeconds)
		}
	}
	return s, s.heldCoreSeconds[s.names[other]] / (s.heldCoreSeconds["etl"] + s.heldCoreSeconds["web"])
}

// Guards against a flood of one kind that takes the weighted share of the other kind. The weights are 3 for urgent
// and 1 for batch work. In the urgent flood batch work demands half the cell and must hold a quarter. In the batch
// flood urgent work demands 60 %, which is within its share; it must get that and start within 1.5 s.
func TestFloodLeavesOtherClassItsShare(t *testing.T) {
	t.Logf("%-14s %-22s %12s %16s %10s", "flood", "policy", "other's share", "p99 urgent wait", "evictions")
	run := func(name, policy string, web, etl int, flooding ident.ClassName, otherLoad float64) (*simModel, float64) {
		s, got := runFlood(web, etl, flooding, otherLoad)
		t.Logf("%-14s %-22s %12.3f %15.2fs %10d", name, policy, got, quantile(s.waitSeconds["web"], 0.99), s.evictions)
		return s, got
	}
	_, without := run("20x urgent", "without fair shares", dominantWeight, 1, "web", 0.5)
	_, with := run("20x urgent", "fair shares", 3, 1, "web", 0.5)
	require.GreaterOrEqual(t, with, 0.25-4.0/640)
	require.Less(t, without, with)
	_, without = run("20x batch", "without fair shares", 1, dominantWeight, "etl", 0.6)
	s, with := run("20x batch", "fair shares", 3, 1, "etl", 0.6)
	require.GreaterOrEqual(t, with, 0.6-4.0/640)
	require.Less(t, without, with)
	require.LessOrEqual(t, quantile(s.waitSeconds["web"], 0.99), 1.5)
}

// Guards against evictions after which nothing starts, and against tasks evicted more often than their class
// allows. Memory is the scarce resource here, so that throttling does not help.
func TestEvictionsAreBoundedAndFollowedByStarts(t *testing.T) {
	s := newSim(4, 10, []table.Row{
		{Name: "etl", Kind: table.Batch, Weight: 1, Evictions: 2},
		{Name: "web", Kind: table.LatencyCritical, Weight: 3},
	}, nil, placement.Options{})
	for range 2000 {
		s.submit(0, vec(1000, 20_000+s.rng.Int64N(20_000), 0), 20*time.Second)
	}
	for i := range 480 {
		if i%2 == 0 && i < 440 {
			s.submit(1, vec(1000, 10_000+s.rng.Int64N(40_000), 0), 5*time.Second)
		}
		s.step()
	}
	t.Logf("%d evictions, at most %d of one task, p99 urgent wait %.2f s", s.evictions, s.maxEvictions, quantile(s.waitSeconds["web"], 0.99))
	require.Positive(t, s.evictions)
	require.LessOrEqual(t, s.maxEvictions, 2)
	require.Empty(t, s.awaitedOn, "tasks were evicted for these tasks, which have not started")
	require.Zero(t, s.misplaced)
	require.LessOrEqual(t, quantile(s.waitSeconds["web"], 0.99), 1.5)
}

// Guards against large tasks that never start because small ones fill every gap: a task as large as a worker must
// start although small tasks keep arriving. Without reservations it does not.
func TestLargeTasksDoNotStarve(t *testing.T) {
	run := func(reserveAfter time.Duration) float64 {
		s := newSim(9, 8, []table.Row{{Name: "etl", Kind: table.Batch, Weight: 1}}, nil,
			placement.Options{ReserveAfter: reserveAfter})
		for range 400 {
			s.submit(0, vec(4000, 4000, 0), time.Duration(5000+s.rng.IntN(5000))*time.Millisecond)
		}
		s.step()
		large := s.submit(0, vec(64_000, 4000, 0), 10*time.Second)
		for i := range 800 {
			for range 8 {
				s.submit(0, vec(4000, 4000, 0), time.Duration(5000+s.rng.IntN(5000))*time.Millisecond)
			}
			s.step()
			if _, runs := s.tasks[large]; runs {
				return float64(i+1) * simStep.Seconds()
			}
		}
		return -1
	}
	with, without := run(2*time.Second), run(time.Hour)
	t.Logf("start of the large task after %.2f s with reservations, %.2f s without (-1: not in 200 s)", with, without)
	require.Positive(t, with)
	require.Negative(t, without)
}

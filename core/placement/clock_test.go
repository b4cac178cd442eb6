package placement_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
)

// planUntilStart plans every 10 ms for a second, and returns how long it takes until something starts.
func planUntilStart(c *placement.Cell, now time.Time) (time.Duration, bool) {
	const (
		interval = 10 * time.Millisecond
		limit    = time.Second
	)
	for waited := time.Duration(0); waited <= limit; waited += interval {
		if len(c.Plan(now.Add(waited), 10).Starts) > 0 {
			return waited, true
		}
	}
	return limit, false
}

// fillerWithoutWorker returns a cell in which a Plan at a time found no worker for a filler, and one that would take it
// has joined since.
func fillerWithoutWorker(t *testing.T, at time.Time) *placement.Cell {
	c := placement.NewCell(1, placement.Options{})
	worker := placement.Worker{ID: "w", Rack: "r", Pool: "other", Capacity: vec(8000, 8000, 0)}
	c.UpsertWorker(worker)
	filler := pendingTask(1, "etl", vec(4000, 4000, 0))
	filler.Constraints.Filler, filler.Pool = true, "etl"
	c.Submit([]placement.Pending{filler})
	require.Empty(t, c.Plan(at, 10).Starts)
	worker.Pool = "etl"
	c.UpsertWorker(worker)
	return c
}

// Guards against a filler that found no worker and is not tried again until the clock of the host, which was set back,
// shows the time of the search again.
func TestFillerStartsAlthoughClockWasSetBack(t *testing.T) {
	c := fillerWithoutWorker(t, epoch)
	waited, started := planUntilStart(c, epoch.Add(-10*time.Minute))
	require.True(t, started)
	require.LessOrEqual(t, waited, 100*time.Millisecond)
}

// Guards against a planner whose time runs ahead because the times of two Plans arrive in the wrong order.
func TestPlanTimesInWrongOrderCountOnce(t *testing.T) {
	begin := time.Now() // has a monotonic reading
	c := fillerWithoutWorker(t, begin)
	for range 5 {
		require.Empty(t, c.Plan(begin.Add(20*time.Millisecond), 10).Starts)
		require.Empty(t, c.Plan(begin, 10).Starts)
	}
}

// Guards against a restart that waits for the clock of the host, which was set back: the pause after a failed attempt to
// make room for it would last until the clock shows its end again.
func TestRestartStartsAlthoughClockWasSetBack(t *testing.T) {
	c := placement.NewCell(1, placement.Options{})
	worker := placement.Worker{ID: "w", Rack: "r", Capacity: vec(8000, 8000, 0), Quarantined: true}
	c.UpsertWorker(worker)
	restart := pendingTask(1, "etl", vec(1000, 1000, 0))
	restart.Lasting, restart.Restart, restart.Attempt = true, true, 2
	c.Submit([]placement.Pending{restart})
	require.Empty(t, c.Plan(epoch, 10).Starts)
	worker.LastResort = true
	c.UpsertWorker(worker)
	_, started := planUntilStart(c, epoch.Add(-10*time.Minute))
	require.True(t, started)
}

// Guards against a worker that is never reserved for a large task, because the clock of the host was set back after the
// task first failed to fit.
func TestLargeTaskIsReservedAlthoughClockWasSetBack(t *testing.T) {
	c := placement.NewCell(1, placement.Options{})
	c.UpsertWorker(placement.Worker{ID: "w", Rack: "r", Capacity: vec(4000, 4000, 0)})
	small := func(seq int) placement.Pending { return pendingTask(seq, "etl", vec(1000, 1000, 0)) }
	large := pendingTask(100, "train", vec(4000, 4000, 0))
	var running []ident.TaskID
	for seq := range 4 {
		c.Submit([]placement.Pending{small(seq)})
		running = append(running, small(seq).Task)
	}
	require.Len(t, c.Plan(epoch, 10).Starts, 4)
	c.Submit([]placement.Pending{large})
	require.Empty(t, c.Plan(epoch, 10).Starts)
	now := epoch.Add(-10 * time.Minute)
	for seq := 4; seq < 40; seq++ {
		now = now.Add(250 * time.Millisecond)
		c.Release(running[0])
		running = running[1:]
		c.Submit([]placement.Pending{small(seq)})
		for _, s := range c.Plan(now, 10).Starts {
			if s.Task == large.Task {
				return
			}
			running = append(running, s.Task)
		}
		if len(running) == 0 {
			running = append(running, small(seq).Task)
		}
	}
	t.Fatal("the large task did not start within 9 s")
}

package jobs_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// meter keeps the longest of each time.
type meter struct {
	// mu guards the fields below: the loop and the writer of the log measure beside each other.
	mu            sync.Mutex
	loop, durable time.Duration
}

func (m *meter) LoopDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loop = max(m.loop, d)
}

func (m *meter) CommitDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durable = max(m.durable, d)
}

// longest returns the longest times since the last call.
func (m *meter) longest() (loop, durable time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	loop, durable = m.loop, m.durable
	m.loop, m.durable = 0, 0
	return loop, durable
}

// Guards against a saturated owner that looks like a slow store or like silent workers in the log and the metrics.
func TestSaturatedOwnerIsToldFromSlowStoreAndSilentWorkers(t *testing.T) {
	scenario(t, 3, func(w *world, h *host) {
		w.kill(h)
		var slow slowness
		m := &meter{}
		h = w.hostWith(func(cfg *jobs.Config) {
			cfg.Meter = m
			cfg.NewPlanner = func(ident.CellID, *table.Table) placement.Planner {
				return slowPlanner{Planner: placement.NewCell(1, placement.Options{Cell: cell}), slow: &slow}
			}
		})
		w.own(h)
		id := h.submit(spec("batch", 6, "work=1h"))
		time.Sleep(5 * time.Second)
		require.Zero(t, w.notes.count(jobs.EventOwnerLate))
		m.longest()

		w.engine.SetFault(kv.Fault{Delay: time.Second})
		h.submit(spec("batch", 1, "work=1h"))
		loop, durable := m.longest()
		require.Less(t, loop, lifecycle.LateThreshold)
		require.GreaterOrEqual(t, durable, time.Second)
		w.engine.SetFault(kv.Fault{})

		h.link.Cut("w0", true)
		time.Sleep(8 * time.Second)
		load := h.svc.Load()
		require.Equal(t, 1, load.SilentWorkers)
		require.Greater(t, load.LongestSilence, 3*time.Second)
		h.link.Cut("w0", false)
		time.Sleep(5 * time.Second)
		require.Zero(t, w.notes.count(jobs.EventOwnerLate))

		slow.each.Store(int64(2 * lifecycle.LateThreshold))
		for range 5 {
			h.submit(spec("batch", 1, "work=1h"))
		}
		loop, _ = m.longest()
		require.GreaterOrEqual(t, loop, lifecycle.LateThreshold)
		require.Equal(t, 1, h.svc.Load().LateCells)
		slow.each.Store(0)
		time.Sleep(5 * time.Second)
		require.Zero(t, h.svc.Load().LateCells)
		require.Equal(t, 1, w.notes.count(jobs.EventOwnerLate))
		require.Equal(t, 1, w.notes.count(jobs.EventOwnerOnTime))
		require.NoError(t, h.svc.Cancel(bg, id))
	})
}

// Guards against gauges that keep what waited in a cell after it was handed over, or that drift with each event.
func TestLoadOfAnIdleHostIsZero(t *testing.T) {
	scenario(t, 3, func(w *world, h *host) {
		id := h.submit(spec("batch", 30, "work=1s"))
		time.Sleep(20 * time.Millisecond)
		require.NotZero(t, h.svc.Load().QueuedTasks+h.svc.Load().QueuedCalls)
		h.finished(10*time.Minute, id)
		time.Sleep(5 * time.Second)
		load := h.svc.Load()
		require.Zero(t, load.QueuedTasks)
		require.Zero(t, load.QueuedCalls)
		require.Zero(t, load.QueuedEvents)
		require.EqualValues(t, 3, load.SyncsInProgress)
		w.kill(h)
		require.Equal(t, jobs.Load{}, h.svc.Load())
	})
}

// Guards against an owner that plans again after each end of a task, because a Plan takes longer than the time between two
// Plans on a host without processor time: with many workers the ends come much faster than they are performed.
func TestSlowPlansLeaveHalfOfTheTimeToEvents(t *testing.T) {
	scenario(t, 60, func(w *world, h *host) {
		w.kill(h)
		var slow slowness
		m := &meter{}
		h = w.hostWith(func(cfg *jobs.Config) {
			cfg.Meter = m
			cfg.NewPlanner = func(ident.CellID, *table.Table) placement.Planner {
				return slowPlanner{Planner: placement.NewCell(1, placement.Options{Cell: cell}), slow: &slow}
			}
		})
		w.own(h)
		time.Sleep(5 * time.Second)
		const plan = 20 * time.Millisecond
		slow.each.Store(int64(plan))
		m.longest()
		id := h.submit(spec("batch", 1000, "work=500ms"))
		h.finished(10*time.Minute, id)
		loop, _ := m.longest()
		// An event may come at the beginning of a Plan, and wait for those that came before it.
		require.LessOrEqual(t, loop, 3*plan)
		w.verify(h, id)
	})
}

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

// maxMeter is a Meter that keeps the maximum of each delay.
type maxMeter struct {
	// mu guards the fields below: the loop and the log writer record at the same time.
	mu           sync.Mutex
	loop, commit time.Duration
}

func (m *maxMeter) LoopDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.loop = max(m.loop, d)
}

func (m *maxMeter) CommitDelay(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.commit = max(m.commit, d)
}

func (*maxMeter) LongestWait(ident.CellID, ident.ClassName, time.Duration) {}
func (*maxMeter) TaskWaits(string)                                         {}
func (*maxMeter) InboxWait(time.Duration)                                  {}

// takeMax returns the maxima since the last call.
func (m *maxMeter) takeMax() (loop, commit time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	loop, commit = m.loop, m.commit
	m.loop, m.commit = 0, 0
	return loop, commit
}

// Guards against a saturated owner that the log and the metrics cannot tell from a slow store or from silent workers.
func TestSaturatedOwnerIsDistinguishedFromSlowStoreAndSilentWorkers(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		fx.kill(h)
		var slow planDelay
		m := &maxMeter{}
		h = fx.hostWith(func(cfg *jobs.Config) {
			cfg.Meter = m
			cfg.NewPlanner = func(ident.CellID, *table.Table) placement.Planner {
				return slowPlanner{Planner: placement.NewCell(1, placement.Options{Cell: cell}), delay: &slow}
			}
		})
		fx.giveCell(h)
		id := h.submit(spec("batch", 6, "work=1h"))
		time.Sleep(5 * time.Second)
		require.Zero(t, fx.decisions.count(jobs.EventOwnerLate))
		m.takeMax()

		fx.engine.SetFault(kv.Fault{Delay: time.Second})
		h.submit(spec("batch", 1, "work=1h"))
		loop, commit := m.takeMax()
		require.Less(t, loop, lifecycle.LateThreshold)
		require.GreaterOrEqual(t, commit, time.Second)
		fx.engine.SetFault(kv.Fault{})

		h.link.SetCut("w0", true)
		time.Sleep(8 * time.Second)
		load := h.svc.Load()
		require.Equal(t, 1, load.SilentWorkers)
		require.Greater(t, load.LongestSilence, 3*time.Second)
		h.link.SetCut("w0", false)
		time.Sleep(5 * time.Second)
		require.Zero(t, fx.decisions.count(jobs.EventOwnerLate))

		slow.everyPlan.Store(int64(2 * lifecycle.LateThreshold))
		for range 5 {
			h.submit(spec("batch", 1, "work=1h"))
		}
		loop, _ = m.takeMax()
		require.GreaterOrEqual(t, loop, lifecycle.LateThreshold)
		require.Equal(t, 1, h.svc.Load().LateCells)
		slow.everyPlan.Store(0)
		time.Sleep(5 * time.Second)
		require.Zero(t, h.svc.Load().LateCells)
		require.Equal(t, 1, fx.decisions.count(jobs.EventOwnerLate))
		require.Equal(t, 1, fx.decisions.count(jobs.EventOwnerOnTime))
		require.NoError(t, h.svc.Cancel(bg, id))
	})
}

// Guards against gauges that still count a cell's queued work after a hand-over, or that drift with each event.
func TestLoadOfAnIdleHostIsZero(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 30, "work=1s"))
		time.Sleep(20 * time.Millisecond)
		require.NotZero(t, h.svc.Load().QueuedTasks+h.svc.Load().QueuedCalls)
		h.awaitDone(10*time.Minute, id)
		time.Sleep(5 * time.Second)
		load := h.svc.Load()
		require.Zero(t, load.QueuedTasks)
		require.Zero(t, load.QueuedCalls)
		require.Zero(t, load.QueuedEvents)
		require.EqualValues(t, 3, load.SyncsInProgress)
		fx.kill(h)
		require.Equal(t, jobs.Load{}, h.svc.Load())
	})
}

// Guards against an owner that plans again after each end of a task. On a host that is short of processor time a Plan
// takes longer than the interval between Plans, and with many workers tasks end much faster than the owner then
// processes their ends.
func TestSlowPlansLeaveHalfOfTheTimeToEvents(t *testing.T) {
	scenario(t, 60, func(fx *fixture, h *host) {
		fx.kill(h)
		var slow planDelay
		m := &maxMeter{}
		h = fx.hostWith(func(cfg *jobs.Config) {
			cfg.Meter = m
			cfg.NewPlanner = func(ident.CellID, *table.Table) placement.Planner {
				return slowPlanner{Planner: placement.NewCell(1, placement.Options{Cell: cell}), delay: &slow}
			}
		})
		fx.giveCell(h)
		time.Sleep(5 * time.Second)
		const plan = 20 * time.Millisecond
		slow.everyPlan.Store(int64(plan))
		m.takeMax()
		id := h.submit(spec("batch", 1000, "work=500ms"))
		h.awaitDone(10*time.Minute, id)
		loop, _ := m.takeMax()
		// An event may arrive at the start of a Plan, and wait behind those that arrived before it.
		require.LessOrEqual(t, loop, 3*plan)
		fx.verify(h, id)
	})
}

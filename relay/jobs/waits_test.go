package jobs_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// waitMeter is a Meter that keeps the longest waits and counts the tasks that wait.
type waitMeter struct {
	maxMeter

	mu      sync.Mutex
	longest map[ident.ClassName]time.Duration
	reasons map[string]int
}

func (m *waitMeter) LongestWait(_ ident.CellID, class ident.ClassName, d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.longest[class] = d
}

func (m *waitMeter) InboxWait(time.Duration) {}

func (m *waitMeter) TaskWaits(reason string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.reasons[reason]++
}

func (m *waitMeter) longestWait(class ident.ClassName) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.longest[class]
}

func (m *waitMeter) count(reason string) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.reasons[reason]
}

func waitScenario(t *testing.T, f func(fx *fixture, h *host, m *waitMeter)) {
	scenario(t, 1, func(fx *fixture, h *host) {
		fx.kill(h)
		m := &waitMeter{longest: map[ident.ClassName]time.Duration{}, reasons: map[string]int{}}
		h = fx.hostWith(func(cfg *jobs.Config) { cfg.Meter = m })
		fx.giveCell(h)
		f(fx, h, m)
	})
}

// Guards against tasks that wait without a line that says why, and against lines without bound: a task that waits for
// one reason gets a line only when its wait has doubled.
func TestLinesOnWaitingTasksAreBounded(t *testing.T) {
	waitScenario(t, func(fx *fixture, h *host, m *waitMeter) {
		const waiting = 20
		running := h.submit(spec("batch", 4, "work=1h"))
		time.Sleep(2 * time.Second)
		require.Zero(t, fx.decisions.count(jobs.EventTaskWaits))
		id := h.submit(spec("batch", waiting, "work=1s"))
		time.Sleep(20 * time.Second)
		require.GreaterOrEqual(t, m.count("room"), waiting-1, "every task but one, for which room may be kept")
		require.Contains(t, h.get(id).Tasks[waiting-1].Reason, "no worker has enough free capacity")
		time.Sleep(5 * time.Minute)
		lines := fx.decisions.count(jobs.EventTaskWaits)
		// From 3 s to 320 s a wait doubles at most 7 times, and one task may have a second reason.
		require.LessOrEqual(t, lines, waiting*8+1)
		require.GreaterOrEqual(t, lines, waiting*3)
		require.GreaterOrEqual(t, m.longestWait("batch"), 5*time.Minute)
		require.NoError(t, h.svc.Cancel(bg, running))
		h.awaitDone(time.Minute, id)
		time.Sleep(2 * time.Second)
		require.Zero(t, m.longestWait("batch"))
	})
}

// Guards against an owner that may start nothing and blames the workers.
func TestTasksOfOwnerWithoutAuthorityAreExplained(t *testing.T) {
	waitScenario(t, func(fx *fixture, h *host, m *waitMeter) {
		h.submit(spec("batch", 4, "work=1h"))
		id := h.submit(spec("batch", 1, "work=1s"))
		time.Sleep(time.Second)
		h.setGrant(func(g *ownership.Grant) { g.Authority = ownership.InDoubt; g.ShareShift = 1 })
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, m.count("authority"))
		require.Contains(t, h.get(id).Tasks[0].Reason, "until the owner of its cell may start tasks")
	})
}

// Guards against callers who are told that their task waits for room, and not until when.
func TestWaitForRoomSaysByWhen(t *testing.T) {
	waitScenario(t, func(fx *fixture, h *host, _ *waitMeter) {
		h.submit(spec("batch", 4, "work=30s"))
		time.Sleep(2 * time.Second)
		id := h.submit(spec("batch", 8, "work=30s"))
		time.Sleep(5 * time.Second)
		require.Regexp(t, `no worker has enough free capacity; 0 workers have room; room is expected within [0-9.]+ s`, h.get(id).Tasks[7].Reason)
		require.NotZero(t, h.svc.Stats().LookAhead.Reserved.Load())
	})
}

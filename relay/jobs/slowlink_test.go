package jobs_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// slowLink carries the starts of a host one after another, each for the time that its bytes take.
type slowLink struct {
	jobs.WorkerPort
	perStart time.Duration

	mu sync.Mutex
	// freeAt is when the link has carried all starts sent so far, longest the longest time that one of them waited.
	freeAt  time.Time
	longest time.Duration
}

func (l *slowLink) Start(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, s lifecycle.StartTask) lifecycle.Answer {
	l.mu.Lock()
	now := time.Now()
	if l.freeAt.Before(now) {
		l.freeAt = now
	}
	l.freeAt = l.freeAt.Add(l.perStart)
	wait := l.freeAt.Sub(now)
	l.longest = max(l.longest, wait)
	l.mu.Unlock()
	time.Sleep(wait)
	return l.WorkerPort.Start(ctx, m, epoch, s)
}

// slowLinkScenario is a scenario with an owner whose link carries a start of 600 bytes, with its answer, in 2.4 ms: 2 Mbit/s.
func slowLinkScenario(t *testing.T, workers int, f func(fx *fixture, h *host, link *slowLink)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, workers)
		defer fx.close()
		link := &slowLink{perStart: 2400 * time.Microsecond}
		h := fx.hostWith(func(cfg *jobs.Config) {
			link.WorkerPort = cfg.Workers
			cfg.Workers = link
		})
		fx.giveCell(h)
		f(fx, h, link)
	})
}

func smallTasks(class ident.ClassName, n int) lifecycle.JobSpec {
	small := resource.Vector{MilliCPU: 100, MemoryMB: 100}
	return lifecycle.JobSpec{Class: class, Groups: []lifecycle.TaskGroup{{Count: n, Need: small, Command: "work=1s"}}}
}

// Guards against an owner that loses its cell by its own work: on a slow link it sent all starts of a plan at once, so that the
// renewal of its lease waited behind up to 8 starts for each worker. A connection to the store is given up after 700 ms.
func TestStartsDoNotFillSlowLink(t *testing.T) {
	slowLinkScenario(t, 100, func(fx *fixture, h *host, link *slowLink) {
		id := h.submit(smallTasks("batch", 1000))
		h.awaitDone(time.Minute, id)
		fx.verify(h, id)
		link.mu.Lock()
		defer link.mu.Unlock()
		require.Less(t, link.longest, 700*time.Millisecond)
	})
}

// Guards against urgent tasks that start late behind batch tasks that were planned before them and wait for a slow link. An
// urgent task starts within 1.5 s, so that one of 1 s ends within 2.5 s.
func TestUrgentTaskDoesNotWaitBehindPlannedStarts(t *testing.T) {
	slowLinkScenario(t, 100, func(fx *fixture, h *host, _ *slowLink) {
		flood := h.submit(smallTasks("batch", 3000))
		time.Sleep(time.Second)
		began := time.Now()
		urgent := h.submit(smallTasks("urgent", 1))
		h.awaitDone(time.Minute, urgent)
		require.Less(t, time.Since(began), 2500*time.Millisecond)
		h.awaitDone(time.Minute, flood)
		fx.verify(h, urgent, flood)
	})
}

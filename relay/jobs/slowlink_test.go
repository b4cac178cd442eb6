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

// Guards against an owner that loses its cell by its own work: on a link of 2 Mbit/s it sent all starts of a plan at once, so
// that the renewal of its lease waited behind up to 8 starts for each worker. A connection to the store is given up after
// 700 ms. A start takes 2.4 ms of such a link: 600 bytes with its answer.
func TestStartsDoNotFillSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 100)
		defer fx.close()
		link := &slowLink{perStart: 2400 * time.Microsecond}
		h := fx.hostWith(func(cfg *jobs.Config) {
			link.WorkerPort = cfg.Workers
			cfg.Workers = link
		})
		fx.giveCell(h)
		small := resource.Vector{MilliCPU: 100, MemoryMB: 100}
		id := h.submit(lifecycle.JobSpec{Class: "batch", Groups: []lifecycle.TaskGroup{{Count: 1000, Need: small, Command: "work=1s"}}})
		h.awaitDone(time.Minute, id)
		fx.verify(h, id)
		link.mu.Lock()
		defer link.mu.Unlock()
		require.Less(t, link.longest, 700*time.Millisecond)
	})
}

package jobs_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

// losingWorkers loses the next syncs: they neither take effect nor get an answer.
type losingWorkers struct {
	*worker.Link
	losses atomic.Int64
}

func (w *losingWorkers) Sync(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, r lifecycle.SyncRequest, wait time.Duration) jobs.ClaimAnswer {
	if w.losses.Add(-1) >= 0 {
		<-ctx.Done()
		return jobs.ClaimAnswer{}
	}
	return w.Link.Sync(ctx, m, epoch, r, wait)
}

// Guards against work on a sound worker that is given up, and started again elsewhere, because a few renewals in a row got
// no answer: each of them was awaited for so long that none was left before the leases lapsed.
func TestLostSyncsDoNotLapseLeases(t *testing.T) {
	for _, losses := range []int64{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			fx := newFixture(t, 1)
			defer fx.close()
			workers := &losingWorkers{}
			h := fx.hostWith(func(cfg *jobs.Config) {
				workers.Link = cfg.Workers.(*worker.Link)
				cfg.Workers = workers
			})
			fx.giveCell(h)
			s := spec("batch", 1, "x")
			s.Groups[0].RunTime = 40 * time.Second
			id := h.submit(s)
			time.Sleep(5 * time.Second)
			workers.losses.Store(losses)
			time.Sleep(time.Minute)
			require.Equal(t, lifecycle.Done, h.get(id).State)
			require.Len(t, fx.recorder.Executions(), 1, "%d lost syncs", losses)
		})
	}
}

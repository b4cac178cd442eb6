package jobs_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

// redundantSyncCounter counts the syncs of one worker that acknowledge nothing and return an ended attempt that an
// earlier sync has returned.
type redundantSyncCounter struct {
	jobs.WorkerPort
	worker     ident.WorkerID
	listedEnds atomic.Int64
	redundant  atomic.Int64
}

func (v *redundantSyncCounter) Sync(ctx context.Context, m lifecycle.Member, e ident.Epoch, r lifecycle.SyncRequest, wait time.Duration) jobs.ClaimAnswer {
	c := v.WorkerPort.Sync(ctx, m, e, r, wait)
	if m.ID != v.worker || len(c.Report.Ended) == 0 {
		return c
	}
	if len(r.Acks) == 0 && v.listedEnds.Load() > 0 {
		v.redundant.Add(1)
	}
	v.listedEnds.Store(int64(len(c.Report.Ended)))
	return c
}

// Guards against a sync with every worker that has an ended attempt after every commit, whatever the commit holds.
// Each of these syncs would return the same ends at once and cost the owner time.
func TestCommitWakesOnlyWorkersWithAcknowledgedEnds(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		fx.kill(h)
		counted := &redundantSyncCounter{worker: "w0"}
		h = fx.hostWith(func(cfg *jobs.Config) {
			counted.WorkerPort = cfg.Workers
			cfg.Workers = counted
			cfg.CommitInterval = 20 * time.Millisecond
		})
		fx.giveCell(h)
		time.Sleep(time.Second)
		fx.engine.SetFault(kv.Fault{Delay: 30 * time.Millisecond})
		for range 40 {
			h.submit(spec("batch", 4, "work=77ms"))
		}
		time.Sleep(10 * time.Second)
		require.NotZero(t, counted.listedEnds.Load())
		require.Zero(t, counted.redundant.Load())
	})
}

// Guards against a second job_finished event and a second latency measurement when the last attempt of a cancelled
// job ends.
func TestCancelledJobIsFinishedOnce(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 4, "work=1h"))
		time.Sleep(5 * time.Second)
		require.NoError(t, h.svc.Cancel(bg, id))
		time.Sleep(5 * time.Second)
		require.Equal(t, lifecycle.Cancelled, h.get(id).State)
		require.Equal(t, 1, fx.decisions.count(jobs.EventJobFinished))
	})
}

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

// vainSyncs counts the syncs that acknowledge nothing and list an end again that an earlier one has listed.
type vainSyncs struct {
	jobs.WorkerPort
	worker ident.WorkerID
	listed atomic.Int64
	vain   atomic.Int64
}

func (v *vainSyncs) Sync(ctx context.Context, m lifecycle.Member, e ident.Epoch, r lifecycle.SyncRequest, wait time.Duration) jobs.ClaimAnswer {
	c := v.WorkerPort.Sync(ctx, m, e, r, wait)
	if m.ID != v.worker || len(c.Report.Ended) == 0 {
		return c
	}
	if len(r.Acks) == 0 && v.listed.Load() > 0 {
		v.vain.Add(1)
	}
	v.listed.Store(int64(len(c.Report.Ended)))
	return c
}

// Guards against a sync with every worker that has an end after every commit, whatever is in it: each of them returns at
// once with the same end, and takes the time of the owner.
func TestCommitWakesOnlyWorkersWhoseEndsItHolds(t *testing.T) {
	scenario(t, 2, func(w *world, h *host) {
		w.kill(h)
		counted := &vainSyncs{worker: "w0"}
		h = w.hostWith(func(cfg *jobs.Config) {
			counted.WorkerPort = cfg.Workers
			cfg.Workers = counted
			cfg.CommitInterval = 20 * time.Millisecond
		})
		w.own(h)
		time.Sleep(time.Second)
		w.engine.SetFault(kv.Fault{Delay: 30 * time.Millisecond})
		for range 40 {
			h.submit(spec("batch", 4, "work=77ms"))
		}
		time.Sleep(10 * time.Second)
		require.NotZero(t, counted.listed.Load())
		require.Zero(t, counted.vain.Load())
	})
}

// Guards against a second job_finished line, and a second measurement, when the last attempt of a cancelled job ends.
func TestCancelledJobIsFinishedOnce(t *testing.T) {
	scenario(t, 2, func(w *world, h *host) {
		id := h.submit(spec("batch", 4, "work=1h"))
		time.Sleep(5 * time.Second)
		require.NoError(t, h.svc.Cancel(bg, id))
		time.Sleep(5 * time.Second)
		require.Equal(t, lifecycle.Cancelled, h.get(id).State)
		require.Equal(t, 1, w.notes.count(jobs.EventJobFinished))
	})
}

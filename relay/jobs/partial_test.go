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
)

// unreadableWorkers is a port to workers whose lists of running attempts cannot be read for a while.
type unreadableWorkers struct {
	jobs.WorkerPort
	unreadable atomic.Bool
}

func (w *unreadableWorkers) read(a jobs.ClaimAnswer) jobs.ClaimAnswer {
	if w.unreadable.Load() {
		a.Report.Active, a.Report.PartialActive = nil, true
	}
	return a
}

func (w *unreadableWorkers) Claim(ctx context.Context, m lifecycle.Member, c ident.CellID, e ident.Epoch) jobs.ClaimAnswer {
	return w.read(w.WorkerPort.Claim(ctx, m, c, e))
}

func (w *unreadableWorkers) Sync(
	ctx context.Context, m lifecycle.Member, e ident.Epoch, r lifecycle.SyncRequest, wait time.Duration,
) jobs.ClaimAnswer {
	return w.read(w.WorkerPort.Sync(ctx, m, e, r, wait))
}

// Guards against tasks that run twice because a row in the list of running attempts cannot be read, before and after a
// change of owner. If the list stays unreadable, the new owner must not wait for it for ever.
func TestUnreadableListOfRunningAttempts(t *testing.T) {
	for name, unreadableFor := range map[string]time.Duration{"briefly": 5 * time.Second, "for long": 50 * time.Second} {
		t.Run(name, func(t *testing.T) {
			scenario(t, 2, func(fx *fixture, first *host) {
				var port *unreadableWorkers
				id := first.submit(spec("batch", 4, "work=20s"))
				time.Sleep(time.Second)
				require.Equal(t, 4, first.get(id).Counts[lifecycle.Running])
				fx.kill(first)
				next := fx.hostWith(func(cfg *jobs.Config) {
					port = &unreadableWorkers{WorkerPort: cfg.Workers}
					cfg.Workers = port
				})
				port.unreadable.Store(true)
				fx.giveCell(next)
				time.Sleep(unreadableFor)
				port.unreadable.Store(false)
				time.Sleep(2 * time.Second)
				port.unreadable.Store(true)
				time.Sleep(2 * time.Second)
				port.unreadable.Store(false)
				next.awaitDone(time.Minute, id)
				fx.verify(next, id)
				runs := 4
				if unreadableFor > lifecycle.LeaseDuration {
					runs = 8 // The first runs have lapsed.
				}
				require.Len(t, fx.recorder.Executions(), runs)
			})
		})
	}
}

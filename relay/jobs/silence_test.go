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

// restartBound is the time after the loss of a worker within which its lasting tasks run again, whoever owns the cell: one
// lease with its margin, and the time in which a new owner claims the other workers.
const restartBound = lifecycle.LeaseDuration + lifecycle.LeaseMargin + 2*time.Second

// submitLasting submits a lasting task and returns the worker that runs it.
func (fx *fixture) submitLasting(h *host) ident.WorkerID {
	s := spec("batch", 1, "work=1h")
	s.Groups[0].Lasting = true
	h.submit(s)
	time.Sleep(time.Second)
	for id, x := range fx.fleet {
		if x.RunningTasks() > 0 {
			return id
		}
	}
	require.Fail(fx.t, "the lasting task does not run")
	return ""
}

// replaceWithout kills the owner and gives the cell to a new host that does not reach the worker.
func (fx *fixture) replaceWithout(h *host, lost ident.WorkerID) *host {
	fx.kill(h)
	next := fx.host()
	next.link.SetCut(lost, true)
	fx.giveCell(next)
	return next
}

// Guards against a lasting task that waits for two leases: its worker is lost, the owner ends before the leases on the
// worker have lapsed, and the next one counts a whole lease from its own beginning.
func TestLastingTaskOfALostWorkerDoesNotWaitForASecondLease(t *testing.T) {
	for _, killedAfter := range []time.Duration{5 * time.Second, 10 * time.Second} {
		scenario(t, 3, func(fx *fixture, h *host) {
			lost := fx.submitLasting(h)
			h.link.SetCut(lost, true)
			time.Sleep(killedAfter)
			fx.replaceWithout(h, lost)
			time.Sleep(restartBound - killedAfter)
			require.Equal(t, 2, len(fx.recorder.Executions()), "owner killed %s after the loss", killedAfter)
			require.Equal(t, 1, fx.decisions.count(jobs.EventRecoveryReleased))
			fx.verify(h)
		})
	}
}

// Guards against a wait that begins anew with each further owner that ends while it waits.
func TestSilenceOutlastsTwoChangesOfOwner(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		lost := fx.submitLasting(h)
		h.link.SetCut(lost, true)
		time.Sleep(5 * time.Second)
		next := fx.replaceWithout(h, lost)
		time.Sleep(4 * time.Second)
		fx.replaceWithout(next, lost)
		time.Sleep(restartBound - 9*time.Second)
		require.Equal(t, 2, len(fx.recorder.Executions()))
		fx.verify(h)
	})
}

// Guards against a wait that begins anew if the worker was lost just before the first of two owners.
func TestSilenceSinceTheFirstTakeoverIsKnownAfterTheSecond(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		lost := fx.submitLasting(h)
		h.link.SetCut(lost, true)
		next := fx.replaceWithout(h, lost)
		time.Sleep(8 * time.Second)
		fx.replaceWithout(next, lost)
		time.Sleep(restartBound - 8*time.Second)
		require.Equal(t, 2, len(fx.recorder.Executions()))
		fx.verify(h)
	})
}

// Guards against a task that starts while it still runs: its worker had been silent and answered again, and the next owner
// counted the lease from the silence.
func TestWorkerThatAnswersAgainIsNotTakenForLapsed(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		silent := fx.submitLasting(h)
		h.link.SetCut(silent, true)
		time.Sleep(7 * time.Second)
		h.link.SetCut(silent, false)
		time.Sleep(5 * time.Second)
		fx.replaceWithout(h, silent)
		time.Sleep(lifecycle.LeaseDuration - 3*time.Second)
		require.Len(t, fx.recorder.Executions(), 1)
		time.Sleep(restartBound)
		require.Len(t, fx.recorder.Executions(), 2)
		fx.verify(h)
	})
}

// Guards against a lease that is renewed after a silence while the log still tells of it: the store was down when the
// worker answered again.
func TestNoLeaseIsRenewedBeforeTheEndOfASilenceIsDurable(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		silent := fx.submitLasting(h)
		h.link.SetCut(silent, true)
		time.Sleep(6 * time.Second)
		fx.engine.SetFault(kv.Fault{Down: true})
		h.link.SetCut(silent, false)
		time.Sleep(3 * time.Second)
		h.link.SetCut(silent, true)
		fx.kill(h)
		fx.engine.SetFault(kv.Fault{})
		next := fx.host()
		next.link.SetCut(silent, true)
		fx.giveCell(next)
		time.Sleep(restartBound)
		require.Len(t, fx.recorder.Executions(), 2)
		fx.verify(next)
	})
}

// Guards against work that is lost although its worker answers again in time: the renewal waited for another sync.
func TestLeaseIsRenewedAfterASilence(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		silent := fx.submitLasting(h)
		h.link.SetCut(silent, true)
		time.Sleep(8 * time.Second)
		h.link.SetCut(silent, false)
		time.Sleep(time.Minute)
		require.Len(t, fx.recorder.Executions(), 1)
	})
}

// Guards against leases that are counted from the end of a slow read of the log instead of the change of owner.
func TestSlowReadOfTheLogDoesNotLengthenTheWait(t *testing.T) {
	for name, lostBefore := range map[string]time.Duration{"silence in the log": 6 * time.Second, "lost with the owner": 0} {
		t.Run(name, func(t *testing.T) {
			scenario(t, 3, func(fx *fixture, h *host) {
				lost := fx.submitLasting(h)
				h.link.SetCut(lost, true)
				time.Sleep(lostBefore)
				fx.kill(h)
				const slowness = 4 * time.Second
				next := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store {
					return storeWithHook{Store: s, hook: func() { time.Sleep(slowness) }}
				})
				next.link.SetCut(lost, true)
				fx.giveCell(next)
				time.Sleep(restartBound - lostBefore - slowness)
				require.Len(t, fx.recorder.Executions(), 2)
				fx.verify(next)
			})
		})
	}
}

// Guards against a task that starts while it still runs: the store was slow when a silent worker answered again, so that
// the owner recorded the passing of time by the worker's silence behind the record that ends it.
func TestEndOfASilenceIsTheLastRecordOfIt(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		silent := fx.submitLasting(h)
		h.link.SetCut(silent, true)
		time.Sleep(4 * time.Second)
		fx.engine.SetFault(kv.Fault{Delay: 600 * time.Millisecond})
		h.link.SetCut(silent, false)
		time.Sleep(8 * time.Second)
		fx.engine.SetFault(kv.Fault{})
		fx.replaceWithout(h, silent)
		time.Sleep(lifecycle.LeaseDuration - 3*time.Second)
		require.Len(t, fx.recorder.Executions(), 1)
		time.Sleep(restartBound)
		require.Len(t, fx.recorder.Executions(), 2)
		fx.verify(h)
	})
}

// promptWorkers answers a sync without a token at once, as workers of the platform do, and counts the syncs.
type promptWorkers struct {
	jobs.WorkerPort
	syncs atomic.Int64
}

func (p *promptWorkers) Sync(ctx context.Context, m lifecycle.Member, epoch ident.Epoch, r lifecycle.SyncRequest, hold time.Duration) jobs.ClaimAnswer {
	p.syncs.Add(1)
	if r.Token == "" {
		hold = 0
	}
	return p.WorkerPort.Sync(ctx, m, epoch, r, hold)
}

// Guards against a lease that lapses although its worker has answered and the end of its silence is durable: the worker
// held a sync that renewed nothing, so that the next one came too late.
func TestSyncWithoutRenewalIsNotHeld(t *testing.T) {
	scenario(t, 3, func(fx *fixture, h *host) {
		silent := fx.submitLasting(h)
		h.link.SetCut(silent, true)
		time.Sleep(6 * time.Second)
		fx.engine.SetFault(kv.Fault{Delay: 300 * time.Millisecond})
		h.link.SetCut(silent, false)
		time.Sleep(time.Minute)
		require.Len(t, fx.recorder.Executions(), 1)
	})
}

// Guards against an owner that calls workers ten times a second and renews nothing while the store is down.
func TestWorkersAreNotCalledOftenWhileTheEndOfASilenceWaits(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		fx.kill(h)
		var workers *promptWorkers
		h = fx.hostWith(func(cfg *jobs.Config) {
			workers = &promptWorkers{WorkerPort: cfg.Workers}
			cfg.Workers = workers
		})
		fx.giveCell(h)
		silent := fx.submitLasting(h)
		h.link.SetCut(silent, true)
		time.Sleep(6 * time.Second)
		fx.engine.SetFault(kv.Fault{Down: true})
		h.link.SetCut(silent, false)
		time.Sleep(3 * time.Second)
		before := workers.syncs.Load()
		time.Sleep(10 * time.Second)
		require.LessOrEqual(t, workers.syncs.Load()-before, int64(11))
	})
}

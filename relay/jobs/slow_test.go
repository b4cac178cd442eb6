package jobs_test

import (
	"context"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// planDelay is how long the planner blocks, so that the events of the cell have to wait.
type planDelay struct {
	// nextPlan delays the next Plan only, everyPlan each Plan. Both are in nanoseconds.
	nextPlan, everyPlan atomic.Int64
}

type slowPlanner struct {
	placement.Planner
	delay *planDelay
}

func (p slowPlanner) Plan(now time.Time, limit int) placement.Plan {
	time.Sleep(time.Duration(p.delay.nextPlan.Swap(0) + p.delay.everyPlan.Load()))
	return p.Planner.Plan(now, limit)
}

// slowPlannerScenario is a scenario with an owner whose planner can be slowed down.
func slowPlannerScenario(t *testing.T, workers int, f func(fx *fixture, h *host, slow *planDelay)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, workers)
		defer fx.close()
		var slow planDelay
		h := fx.hostWith(func(cfg *jobs.Config) {
			plain := cfg.NewPlanner
			cfg.NewPlanner = func(c ident.CellID, t *table.Table) placement.Planner {
				return slowPlanner{Planner: plain(c, t), delay: &slow}
			}
		})
		fx.giveCell(h)
		f(fx, h, &slow)
	})
}

// Guards against a task that runs again although it is done: an owner that was blocked for longer than a lease
// dropped its workers before it processed their answers, which had arrived meanwhile.
func TestSlowOwnerProcessesAnswersBeforeItDropsWorkers(t *testing.T) {
	slowPlannerScenario(t, 4, func(fx *fixture, h *host, slow *planDelay) {
		id := h.submit(spec("batch", 6, "work=8s"))
		time.Sleep(6 * time.Second)
		slow.nextPlan.Store(int64(14 * time.Second))
		h.awaitDone(time.Minute, id)
		fx.verify(h, id)
		for _, v := range h.get(id).Tasks {
			require.EqualValues(t, 1, v.Attempts, "task %v", v.Task)
		}
	})
}

// membersWithLabel returns the workers with a label that differs for each i, so that the planner has to process them
// again.
func (fx *fixture) membersWithLabel(i int) []lifecycle.Member {
	members := fx.members()
	for n := range members {
		members[n].Labels = strconv.Itoa(i)
	}
	return members
}

// Guards against tasks that start after the cancellation of their job was requested. If the cancellation is queued
// behind the other events of a busy cell, its callers time out again and again, and the job is never cancelled.
func TestCancellationDoesNotWaitBehindOtherEvents(t *testing.T) {
	slowPlannerScenario(t, 2, func(fx *fixture, h *host, slow *planDelay) {
		id := h.submit(spec("batch", 20, "work=1s"))
		slow.everyPlan.Store(int64(50 * time.Millisecond))
		time.Sleep(time.Second)
		for i := range 400 {
			go h.svc.SetMembers(cell, fx.membersWithLabel(i))
		}
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(bg, 3*time.Second)
		defer cancel()
		require.NoError(t, h.svc.Cancel(ctx, id))
		acknowledged := time.Now()
		time.Sleep(time.Minute)
		for _, e := range fx.recorder.Executions() {
			require.False(t, e.Task.Job == id && e.StartedAt.After(acknowledged), "task %v started", e.Task)
		}
	})
}

// Guards against tasks that start after the cancellation of their job was acknowledged, because their start commands
// were queued behind earlier calls to the same worker.
func TestQueuedStartIsNotSentAfterCancellation(t *testing.T) {
	const delay = time.Second
	scenario(t, 1, func(fx *fixture, h *host) {
		time.Sleep(time.Second)
		h.link.SetDelay(func() time.Duration { return delay })
		small := resource.Vector{MilliCPU: 100, MemoryMB: 100}
		id := h.submit(lifecycle.JobSpec{Class: "batch", Groups: []lifecycle.TaskGroup{{Count: 40, Need: small, Command: "work=9s"}}})
		time.Sleep(delay / 2)
		require.Equal(t, 40, h.get(id).Counts[lifecycle.Starting])
		require.NoError(t, h.svc.Cancel(bg, id))
		arrived := time.Now().Add(delay)
		time.Sleep(time.Minute)
		for _, e := range fx.recorder.Executions() {
			require.False(t, e.StartedAt.After(arrived), "task %v was sent at %s", e.Task, e.StartedAt.Add(-delay))
		}
		require.Equal(t, 40, h.get(id).Counts[lifecycle.Cancelled])
		fx.verify(h, id)
	})
}

// slowLinkStore sends the values of a transaction at a bounded rate, as a loaded host on a slow link does. A call
// that ends before everything is sent does not reach the store.
type slowLinkStore struct {
	jobs.Store
	bytesPerSecond int
}

func (s slowLinkStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	size := 0
	for _, op := range ops {
		size += len(op.Value)
	}
	sent := time.NewTimer(time.Duration(size) * time.Second / time.Duration(s.bytesPerSecond))
	defer sent.Stop()
	select {
	case <-sent.C:
		return s.Store.Txn(ctx, compares, ops)
	case <-ctx.Done():
		return store.TxnResult{}, ctx.Err()
	}
}

// Guards against a log that is blocked for good by a commit with more data than the host can send within the timeout
// of a call: the commit is repeated unchanged, while jobs, cancellations and ends wait behind it.
func TestCommitFitsSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		defer fx.close()
		h := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store { return slowLinkStore{Store: s, bytesPerSecond: 150_000} })
		fx.giveCell(h)
		h.submit(spec("batch", 1, ""))
		// The writer pauses between two commits, so that its next commit could hold the records of all these jobs.
		outcomes := make(chan error, 100)
		for range 100 {
			go func() {
				_, err := h.svc.Submit(bg, cell, spec("batch", 1, strings.Repeat("x", lifecycle.MaxCommandBytes)))
				outcomes <- err
			}()
		}
		for range 100 {
			require.NoError(t, <-outcomes)
		}
	})
}

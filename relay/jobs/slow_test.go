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

// slowness is for how long the planner stands still, so that the events of the cell have to wait.
type slowness struct {
	// next counts for the next Plan only, each for every Plan.
	next, each atomic.Int64
}

type slowPlanner struct {
	placement.Planner
	slow *slowness
}

func (p slowPlanner) Plan(now time.Time, limit int) placement.Plan {
	time.Sleep(time.Duration(p.slow.next.Swap(0) + p.slow.each.Load()))
	return p.Planner.Plan(now, limit)
}

// slowScenario is a scenario with an owner whose planner is slow.
func slowScenario(t *testing.T, workers int, f func(w *world, h *host, slow *slowness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, workers)
		defer w.close()
		var slow slowness
		h := w.hostWith(func(cfg *jobs.Config) {
			plain := cfg.NewPlanner
			cfg.NewPlanner = func(c ident.CellID, t *table.Table) placement.Planner {
				return slowPlanner{Planner: plain(c, t), slow: &slow}
			}
		})
		w.own(h)
		f(w, h, &slow)
	})
}

// Guards against a task that runs again although it is done: an owner that stood still for longer than a lease lasts
// gave its workers up before it looked at their answers, which had arrived meanwhile.
func TestSlowOwnerTakesAnswersOverBeforeItGivesWorkersUp(t *testing.T) {
	slowScenario(t, 4, func(w *world, h *host, slow *slowness) {
		id := h.submit(spec("batch", 6, "work=8s"))
		time.Sleep(6 * time.Second)
		slow.next.Store(int64(14 * time.Second))
		h.finished(time.Minute, id)
		w.verify(h, id)
		for _, v := range h.get(id).Tasks {
			require.EqualValues(t, 1, v.Attempts, "task %v", v.Task)
		}
	})
}

// labelled lists the workers with a label that differs for each i, so that the planner has to look at them again.
func (w *world) labelled(i int) []lifecycle.Member {
	members := w.members()
	for n := range members {
		members[n].Labels = strconv.Itoa(i)
	}
	return members
}

// Guards against tasks that start after their job's cancellation was asked for: behind the events of a busy cell, the
// cancellation waited for longer than its callers did, again and again, and no trace of it was left.
func TestCancellationDoesNotWaitBehindOtherEvents(t *testing.T) {
	slowScenario(t, 2, func(w *world, h *host, slow *slowness) {
		id := h.submit(spec("batch", 20, "work=1s"))
		slow.each.Store(int64(50 * time.Millisecond))
		time.Sleep(time.Second)
		for i := range 400 {
			go h.svc.SetMembers(cell, w.labelled(i))
		}
		time.Sleep(time.Second)
		ctx, cancel := context.WithTimeout(bg, 3*time.Second)
		defer cancel()
		require.NoError(t, h.svc.Cancel(ctx, id))
		acknowledged := time.Now()
		time.Sleep(time.Minute)
		for _, e := range w.rec.Executions() {
			require.False(t, e.Task.Job == id && e.Start.After(acknowledged), "task %v started", e.Task)
		}
	})
}

// Guards against tasks that start after their job's cancellation was acknowledged: their starts had been decided before
// and waited for earlier calls to the same worker.
func TestWaitingStartIsNotSentAfterTheCancellation(t *testing.T) {
	const delay = time.Second
	scenario(t, 1, func(w *world, h *host) {
		time.Sleep(time.Second)
		h.link.SetDelay(func() time.Duration { return delay })
		small := resource.Vector{MilliCPU: 100, MemoryMB: 100}
		id := h.submit(lifecycle.JobSpec{Class: "batch", Groups: []lifecycle.TaskGroup{{Count: 40, Need: small, Command: "work=9s"}}})
		time.Sleep(delay / 2)
		require.Equal(t, 40, h.get(id).Counts[lifecycle.Starting])
		require.NoError(t, h.svc.Cancel(bg, id))
		arrived := time.Now().Add(delay)
		time.Sleep(time.Minute)
		for _, e := range w.rec.Executions() {
			require.False(t, e.Start.After(arrived), "task %v was sent at %s", e.Task, e.Start.Add(-delay))
		}
		require.Equal(t, 40, h.get(id).Counts[lifecycle.Cancelled])
		w.verify(h, id)
	})
}

// thinStore sends the values of a transaction at a bounded rate, as a loaded host on a thin link does. A call that ends
// before all is sent has no effect that its caller knows of.
type thinStore struct {
	jobs.Store
	bytesPerSecond int
}

func (s thinStore) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
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

// Guards against a log that stands still for good: a commit that held more than the host can send within the time limit
// of a call was repeated as it was, while jobs, cancellations and ends waited behind it.
func TestCommitGetsThroughAThinLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, 2)
		defer w.close()
		h := w.hostOn(func(_ *host, s jobs.Store) jobs.Store { return thinStore{Store: s, bytesPerSecond: 150_000} })
		w.own(h)
		h.submit(spec("batch", 1, ""))
		// The writer pauses between two commits, so that the records of all these jobs are ready for its next one.
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

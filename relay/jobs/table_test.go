package jobs_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// oneRetryTable allows two attempts.
var oneRetryTable = table.New(3, []table.Row{{Name: "batch", Kind: table.Batch, Tenant: "team", Retries: 1}})

// hostWithTable returns a new host that starts with the given table, or without one.
func (fx *fixture) hostWithTable(t *table.Table) *host {
	h := fx.host()
	h.svc = jobs.New(h.cfg, t)
	return h
}

// startsOf counts the attempts of a job that workers have started.
func (fx *fixture) startsOf(id ident.JobID) int {
	n := 0
	for _, e := range fx.recorder.Executions() {
		if e.Task.Job == id {
			n++
		}
	}
	return n
}

// storeWithHook calls hook before the estimates are read, the last read of an acquisition.
type storeWithHook struct {
	jobs.Store
	hook func()
}

func (s storeWithHook) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	if strings.HasSuffix(key, "/learnt") {
		s.hook()
	}
	return s.Store.Get(ctx, key)
}

// Guards against an owner that never gets a table which came while it was reading the state of the cell, so that its
// tasks wait until the next change of the table.
func TestTableThatComesDuringTheAcquisitionIsUsed(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		id := h.submit(spec("batch", 8, "work=5s"))
		fx.kill(h)
		h = fx.hostOn(func(h *host, s jobs.Store) jobs.Store {
			return storeWithHook{Store: s, hook: func() { h.svc.SetTable(testTable) }}
		})
		h.svc = jobs.New(h.cfg, nil)
		fx.giveCell(h)
		h.awaitDone(time.Minute, id)
	})
}

// Guards against decisions by an empty table: an owner that got its cell before its table started a task again whose
// retries were used up. What waits meanwhile must run once the table is there, and what runs must go on.
func TestOwnerWithoutTableDecidesNothingByDefaults(t *testing.T) {
	scenario(t, 2, func(fx *fixture, h *host) {
		fx.kill(h)
		h = fx.hostWithTable(oneRetryTable)
		fx.giveCell(h)
		failing := h.submit(spec("batch", 1, "work=2s;fail=x;fail_at=1s"))
		long := h.submit(spec("batch", 5, "work=40s"))
		for range 50 {
			if time.Sleep(100 * time.Millisecond); fx.startsOf(failing) == 2 {
				break
			}
		}
		require.Equal(t, 2, fx.startsOf(failing))
		large := spec("batch", 2, "work=1s")
		large.Groups[0].Need = resource.Vector{MilliCPU: 3000, MemoryMB: 1000}
		waiting := h.submit(large)
		fx.kill(h)

		h = fx.hostWithTable(nil)
		fx.giveCell(h)
		time.Sleep(20 * time.Second)
		require.Equal(t, 2, fx.startsOf(failing))
		require.Zero(t, fx.startsOf(waiting))
		require.NotEqual(t, lifecycle.Failed, h.get(failing).State)
		_, err := h.svc.Submit(bg, cell, spec("batch", 1, "work=1s"))
		require.Error(t, err)

		h.svc.SetTable(oneRetryTable)
		h.awaitDone(time.Minute, long, waiting)
		require.Equal(t, lifecycle.Failed, h.get(failing).State)
		require.Equal(t, 2, fx.startsOf(failing))
		require.Equal(t, 5, fx.startsOf(long), "what runs goes on")
		fx.verify(h, long, waiting)
	})
}

// Guards against a cell that waits for the table without a trace in the logs and the metrics.
func TestWaitForTheTableIsReported(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		require.Zero(t, fx.decisions.count(jobs.EventTableMissing))
		fx.kill(h)
		h = fx.hostWithTable(nil)
		fx.giveCell(h)
		time.Sleep(5 * time.Second)
		require.Equal(t, 5*time.Second, h.svc.Load().TableWait)
		require.Equal(t, 1, fx.decisions.count(jobs.EventTableMissing))
		require.Zero(t, fx.decisions.count(jobs.EventTableReceived))
		h.svc.SetTable(testTable)
		h.svc.SetTable(oneRetryTable)
		time.Sleep(5 * time.Second)
		require.Zero(t, h.svc.Load().TableWait)
		require.Equal(t, 1, fx.decisions.count(jobs.EventTableReceived))
		require.Equal(t, int64(5*time.Second), h.svc.Stats().TableWait.Load())

		fx.kill(h)
		h = fx.hostWithTable(nil)
		fx.giveCell(h)
		time.Sleep(2 * time.Second)
		fx.kill(h)
		require.Equal(t, int64(2*time.Second), h.svc.Stats().TableWait.Load(), "the owner stopped without a table")
	})
}

package jobs_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/verdict"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// twoCells is a directory in which cell 1 is owned by another host and cell 2 by none.
type twoCells struct{ cells []ident.CellID }

func (d *twoCells) Cells() []ident.CellID { return d.cells }

func (d *twoCells) Owner(c ident.CellID) (string, bool, bool) { return "peer", false, c == cell }

// direct passes the calls of a peer to a service in the same process.
type direct struct{ svc *jobs.Service }

func (d direct) Submit(ctx context.Context, _ string, c ident.CellID, s lifecycle.JobSpec) (ident.JobID, error) {
	return d.svc.Submit(ctx, c, s)
}

func (d direct) Get(ctx context.Context, _ string, id ident.JobID, from, limit int, version uint64, wait time.Duration) (lifecycle.JobView, error) {
	if wait > 0 {
		return d.svc.WaitFor(ctx, id, from, limit, version, wait)
	}
	return d.svc.Get(ctx, id, from, limit)
}

func (d direct) List(ctx context.Context, _ string, c ident.CellID, after ident.JobID, limit int) ([]lifecycle.JobView, error) {
	return d.svc.List(ctx, c, after, limit)
}

func (d direct) Cancel(ctx context.Context, _ string, id ident.JobID) error {
	return d.svc.Cancel(ctx, id)
}

func (d direct) WaitingJobs(ctx context.Context, _ string, c ident.CellID) (map[ident.ClassName]int, error) {
	return d.svc.WaitingJobs(ctx, c)
}

// Guards against a repeated submission that ends in another cell and runs twice, against a job that is refused
// although another cell takes it, and against a watch that ends while the job runs on another host.
func TestRouter(t *testing.T) {
	scenario(t, 1, func(w *world, h *host) {
		d := &twoCells{cells: []ident.CellID{2, cell}}
		r := jobs.NewRouter(nil, d, direct{h.svc})
		free, err := r.Submit(bg, spec("batch", 1, "work=30s"))
		require.NoError(t, err, "cell 2 refuses with proof, cell 1 takes the job")
		s := spec("batch", 1, "")
		for _, token := range []string{"a", "b", "c", "d", "e", "f"} {
			s.ClientToken = token
			first, err := r.Submit(bg, s)
			slices.Reverse(d.cells)
			again, errAgain := r.Submit(bg, s)
			require.Equal(t, first, again)
			require.Equal(t, err == nil, errAgain == nil)
			if err != nil {
				require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
			}
		}
		updates, err := r.Watch(bg, free)
		require.NoError(t, err)
		var last lifecycle.JobView
		for last = range updates {
		}
		require.Equal(t, lifecycle.Done, last.State)
		require.NoError(t, r.Cancel(bg, free))
		w.verify(h, free)
	})
}

// lateOwner is a directory of one cell whose owner is known only from a time on.
type lateOwner struct{ from time.Time }

func (d lateOwner) Cells() []ident.CellID { return []ident.CellID{cell} }

func (d lateOwner) Owner(ident.CellID) (string, bool, bool) {
	return "peer", false, !time.Now().Before(d.from)
}

// Guards against jobs being refused in the moments after a store outage in which the owners claim their cells anew, and
// against a submission that waits longer than the 5 s that a job waits while the store is down.
func TestSubmissionWaitsForAnOwner(t *testing.T) {
	scenario(t, 1, func(w *world, h *host) {
		begin := time.Now()
		id, err := jobs.NewRouter(nil, lateOwner{begin.Add(2 * time.Second)}, direct{h.svc}).Submit(bg, spec("batch", 1, ""))
		require.NoError(t, err)
		h.finished(time.Minute, id)
		w.verify(h, id)

		begin = time.Now()
		_, err = jobs.NewRouter(nil, lateOwner{begin.Add(time.Minute)}, direct{h.svc}).Submit(bg, spec("batch", 1, ""))
		require.Error(t, err)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		require.LessOrEqual(t, time.Since(begin), 5*time.Second)
	})
}

// Guards against an unknown verdict for a job that meets an owner whose lease has ended: the store has proved that the
// record was not written, and the job can go to another cell.
func TestJobOfReplacedOwnerIsNotRun(t *testing.T) {
	scenario(t, 1, func(w *world, h *host) {
		next := w.host()
		key := fmt.Sprintf("/own/%d", cell)
		_, err := w.engine.Txn(bg, nil, []store.Op{{Key: key, Delete: true}})
		require.NoError(t, err)
		_, err = h.svc.Submit(bg, cell, spec("batch", 1, ""))
		require.Error(t, err)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		w.kill(h)
		w.own(next)
		list, err := next.svc.List(bg, cell, lifecycle.JobView{}.Job, 10)
		require.NoError(t, err)
		require.Empty(t, list, "the job that was refused must not exist")
	})
}

// stopAtRead is a store that ends the ownership when the writer of the log reads back what became of its write.
type stopAtRead struct {
	jobs.Store
	stop func()
}

func (s *stopAtRead) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	if !strings.Contains(key, "/log/") {
		return s.Store.Get(ctx, key)
	}
	go s.stop()
	<-ctx.Done()
	return store.Entry{}, false, store.NewError("get", store.Unknown, ctx.Err())
}

// Guards against an unknown verdict for a job whose owner is stopped after the store refused the write and before the
// writer has read why.
func TestJobOfStoppedOwnerIsNotRun(t *testing.T) {
	scenario(t, 1, func(w *world, _ *host) {
		h := w.hostOn(func(h *host, s jobs.Store) jobs.Store {
			return &stopAtRead{Store: s, stop: func() { h.svc.StopCell(cell) }}
		})
		w.own(h)
		_, err := w.engine.Txn(bg, nil, []store.Op{{Key: fmt.Sprintf("/own/%d", cell), Delete: true}})
		require.NoError(t, err)
		_, err = h.svc.Submit(bg, cell, spec("batch", 1, ""))
		require.Error(t, err)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	})
}

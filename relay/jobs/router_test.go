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

// oneOwnedCell is a directory in which cell 1 is owned by another host and cell 2 has no owner.
type oneOwnedCell struct{ cells []ident.CellID }

func (d *oneOwnedCell) Cells() []ident.CellID { return d.cells }

func (d *oneOwnedCell) Owner(c ident.CellID) (string, bool, bool) { return "peer", false, c == cell }

// localPeer is a Peer that calls a service in the same process.
type localPeer struct{ svc *jobs.Service }

func (d localPeer) Submit(ctx context.Context, _ string, c ident.CellID, s lifecycle.JobSpec) (ident.JobID, error) {
	return d.svc.Submit(ctx, c, s)
}

func (d localPeer) Get(ctx context.Context, _ string, id ident.JobID, from, limit int, version uint64, wait time.Duration) (lifecycle.JobView, error) {
	if wait > 0 {
		return d.svc.WaitFor(ctx, id, from, limit, version, wait)
	}
	return d.svc.Get(ctx, id, from, limit)
}

func (d localPeer) List(ctx context.Context, _ string, c ident.CellID, after ident.JobID, limit int) ([]lifecycle.JobView, error) {
	return d.svc.List(ctx, c, after, limit)
}

func (d localPeer) Cancel(ctx context.Context, _ string, id ident.JobID) error {
	return d.svc.Cancel(ctx, id)
}

func (d localPeer) WaitingJobs(ctx context.Context, _ string, c ident.CellID) (map[ident.ClassName]int, error) {
	return d.svc.WaitingJobs(ctx, c)
}

// Guards against a repeated submission that reaches another cell and runs twice, against refusing a job that another
// cell can accept, and against a watch that ends while the job runs on another host.
func TestRouter(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		d := &oneOwnedCell{cells: []ident.CellID{2, cell}}
		r := jobs.NewRouter(nil, d, localPeer{h.svc})
		free, err := r.Submit(bg, spec("batch", 1, "work=30s"))
		require.NoError(t, err, "cell 2 certainly refuses, cell 1 accepts the job")
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
		fx.verify(h, free)
	})
}

// lateOwnerDirectory is a directory of one cell whose owner is unknown until a given time.
type lateOwnerDirectory struct{ ownedFrom time.Time }

func (d lateOwnerDirectory) Cells() []ident.CellID { return []ident.CellID{cell} }

func (d lateOwnerDirectory) Owner(ident.CellID) (string, bool, bool) {
	return "peer", false, !time.Now().Before(d.ownedFrom)
}

// Guards against refusing jobs right after a store outage, while the owners claim their cells again, and against a
// submission that waits for longer than the 5 s that it would wait for the store.
func TestSubmissionWaitsForAnOwner(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		begin := time.Now()
		id, err := jobs.NewRouter(nil, lateOwnerDirectory{begin.Add(2 * time.Second)}, localPeer{h.svc}).Submit(bg, spec("batch", 1, ""))
		require.NoError(t, err)
		h.awaitDone(time.Minute, id)
		fx.verify(h, id)

		begin = time.Now()
		_, err = jobs.NewRouter(nil, lateOwnerDirectory{begin.Add(time.Minute)}, localPeer{h.svc}).Submit(bg, spec("batch", 1, ""))
		require.Error(t, err)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		require.LessOrEqual(t, time.Since(begin), 5*time.Second)
	})
}

// Guards against an unknown verdict for a job whose owner has lost its lease: the store has proved that the record
// was not written, so that the job can go to another cell.
func TestJobOfReplacedOwnerIsNotRun(t *testing.T) {
	scenario(t, 1, func(fx *fixture, h *host) {
		next := fx.host()
		key := fmt.Sprintf("/own/%d", cell)
		_, err := fx.engine.Txn(bg, nil, []store.Op{{Key: key, Delete: true}})
		require.NoError(t, err)
		_, err = h.svc.Submit(bg, cell, spec("batch", 1, ""))
		require.Error(t, err)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
		fx.kill(h)
		fx.giveCell(next)
		list, err := next.svc.List(bg, cell, lifecycle.JobView{}.Job, 10)
		require.NoError(t, err)
		require.Empty(t, list, "the job that was refused must not exist")
	})
}

// stopOnReadStore is a store that stops the owner when its log writer reads back the outcome of a write.
type stopOnReadStore struct {
	jobs.Store
	stop func()
}

func (s *stopOnReadStore) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	if !strings.Contains(key, "/log/") {
		return s.Store.Get(ctx, key)
	}
	go s.stop()
	<-ctx.Done()
	return store.Entry{}, false, store.NewError("get", store.Unknown, ctx.Err())
}

// Guards against an unknown verdict for a job whose owner is stopped after the store refused the write and before the
// log writer has read the reason.
func TestJobOfStoppedOwnerIsNotRun(t *testing.T) {
	scenario(t, 1, func(fx *fixture, _ *host) {
		h := fx.hostOn(func(h *host, s jobs.Store) jobs.Store {
			return &stopOnReadStore{Store: s, stop: func() { h.svc.StopCell(cell) }}
		})
		fx.giveCell(h)
		_, err := fx.engine.Txn(bg, nil, []store.Op{{Key: fmt.Sprintf("/own/%d", cell), Delete: true}})
		require.NoError(t, err)
		_, err = h.svc.Submit(bg, cell, spec("batch", 1, ""))
		require.Error(t, err)
		require.Equal(t, verdict.NotRun, verdict.FromError(err).Verdict)
	})
}

package jobs_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// busyCell submits tasks of which one ends every 25 ms for 10 s, and waits until the first have ended.
func busyCell(h *host) (ids []ident.JobID) {
	const (
		jobCount  = 8
		taskCount = 50
	)
	for j := range jobCount {
		s := lifecycle.JobSpec{Class: "batch"}
		for i := range taskCount {
			work := 2*time.Second + time.Duration(i*jobCount+j)*25*time.Millisecond
			s.Groups = append(s.Groups, lifecycle.TaskGroup{Count: 1, Need: oneCore, Command: fmt.Sprintf("work=%s", work)})
		}
		ids = append(ids, h.submit(s))
	}
	time.Sleep(3 * time.Second)
	return ids
}

// handOverSoon hands the cell over to another host within 500 ms, and waits until the jobs are done.
func (fx *fixture) handOverSoon(h *host, ids []ident.JobID) {
	limit, cancel := context.WithTimeout(bg, 500*time.Millisecond)
	defer cancel()
	require.NoError(fx.t, h.svc.Drain(limit, cell))
	next := fx.host()
	fx.giveCell(next)
	next.awaitDone(time.Minute, ids...)
	fx.verify(next, ids...)
}

// Guards against a planned hand-over that waits for a moment at which no task ends. A cell with many tasks has no
// such moment: here, one task ends every 25 ms for 10 s.
func TestBusyCellIsHandedOverSoon(t *testing.T) {
	scenario(t, 100, func(fx *fixture, h *host) {
		fx.handOverSoon(h, busyCell(h))
	})
}

// Guards against a planned hand-over that goes on for as long as workers join, because each one adds a record.
func TestJoiningWorkersDoNotDelayHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 1000)
		defer fx.close()
		all := fx.members()
		fx.listed = all[:10]
		h := fx.host()
		fx.giveCell(h)
		time.Sleep(time.Second)
		id := h.submit(spec("batch", 10, "work=2s"))
		go func() {
			for n := range len(all) - 10 {
				h.svc.SetMembers(cell, all[:10+n])
				time.Sleep(time.Millisecond)
			}
		}()
		time.Sleep(100 * time.Millisecond)
		fx.handOverSoon(h, []ident.JobID{id})
	})
}

// slowWrites is a store whose transactions take delay.
type slowWrites struct {
	jobs.Store
	delay *atomic.Int64
}

func (s slowWrites) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	time.Sleep(time.Duration(s.delay.Load()))
	return s.Store.Txn(ctx, compares, ops)
}

// Guards against a hand-over that waits for records that will never be written: another host has the cell, so that the log
// writer has ended. The host that handed over announced its departure only seconds later.
func TestHandOverEndsWithTheLogWriter(t *testing.T) {
	scenario(t, 2, func(fx *fixture, previous *host) {
		fx.kill(previous)
		delay := new(atomic.Int64)
		h := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store { return slowWrites{s, delay} })
		fx.giveCell(h)
		running := h.submit(spec("batch", 1, "work=1h"))
		time.Sleep(time.Second)
		delay.Store(int64(time.Second))
		// The first record is written while the hand-over waits for it. The second is queued meanwhile, and the cell is lost
		// before it is written.
		answers := make(chan error, 2)
		go func() {
			_, err := h.svc.Submit(bg, cell, spec("batch", 1, "work=1s"))
			answers <- err
		}()
		time.AfterFunc(400*time.Millisecond, func() { answers <- h.svc.Cancel(bg, running) })
		time.AfterFunc(1500*time.Millisecond, func() {
			_, _ = fx.engine.Txn(bg, nil, []store.Op{{Key: fmt.Sprintf("/own/%d", cell), Delete: true}})
		})
		time.Sleep(200 * time.Millisecond)
		limit, cancel := context.WithTimeout(bg, time.Minute)
		defer cancel()
		begin := time.Now()
		require.Error(t, h.svc.Drain(limit, cell))
		require.Less(t, time.Since(begin), 5*time.Second)
		require.NoError(t, <-answers, "the submission")
		require.Error(t, <-answers, "the cancellation")
	})
}

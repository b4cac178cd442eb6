package jobs_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// slowReads is a store whose next read of a key takes delay.
type slowReads struct {
	jobs.Store
	delay *atomic.Int64
}

func (s slowReads) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	e, found, err := s.Store.Get(ctx, key)
	time.Sleep(time.Duration(s.delay.Swap(0)))
	return e, found, err
}

// slowAcquisition starts an acquisition under a first grant whose read of the store takes 2 s, and calls next meanwhile.
// It returns the result of the acquisition.
func slowAcquisition(fx *fixture, next func(h *host)) (*host, error) {
	var delay atomic.Int64
	delay.Store(int64(2 * time.Second))
	h := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store { return slowReads{s, &delay} })
	first := fx.grantCell(h)
	result := make(chan error, 1)
	go func() { result <- h.svc.Acquire(bg, first, fx.members()) }()
	time.Sleep(time.Second)
	next(h)
	return h, <-result
}

// Guards against an acquisition under an earlier grant that ends last and replaces the owner under the present one. That
// owner would run on unseen: it would get no jobs, tables or workers, and nothing would stop it.
func TestEarlierAcquisitionDoesNotReplaceTheOwner(t *testing.T) {
	scenario(t, 2, func(fx *fixture, previous *host) {
		fx.kill(previous)
		h, err := slowAcquisition(fx, func(h *host) { fx.giveCell(h) })
		require.Error(t, err)
		id := h.submit(spec("batch", 2, "work=1s"))
		h.awaitDone(time.Minute, id)
		fx.verify(h, id)
	})
}

// Guards against an owner that stays after its host has lost the cell, because its acquisition ended only then.
func TestLostCellIsNotAcquiredLater(t *testing.T) {
	scenario(t, 2, func(fx *fixture, previous *host) {
		fx.kill(previous)
		h, err := slowAcquisition(fx, func(h *host) {
			h.setGrant(func(g *ownership.Grant) { *g = ownership.Grant{Cell: cell} })
			h.svc.StopCell(cell)
		})
		require.Error(t, err)
		_, err = h.svc.List(bg, cell, ident.JobID{}, 1)
		require.Error(t, err)
	})
}

package jobs_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
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

// hookedReads is a store that calls before ahead of each read, which fails if before does.
type hookedReads struct {
	jobs.Store
	before func(ctx context.Context) error
}

func (s hookedReads) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	if err := s.before(ctx); err != nil {
		return store.Entry{}, false, err
	}
	return s.Store.Get(ctx, key)
}

func (s hookedReads) Range(ctx context.Context, prefix string) (store.RangeResult, error) {
	if err := s.before(ctx); err != nil {
		return store.RangeResult{}, err
	}
	return s.Store.Range(ctx, prefix)
}

// loseRead loses the answer to one read, given by its number. reads counts the reads.
func loseRead(reads *atomic.Int64, lost int64) func(context.Context) error {
	return func(ctx context.Context) error {
		if reads.Add(1) != lost {
			return nil
		}
		<-ctx.Done()
		return ctx.Err()
	}
}

// delayReads makes each read take the given time.
func delayReads(delay time.Duration) func(context.Context) error {
	return func(ctx context.Context) error { return sleep.For(ctx, delay) }
}

// Guards against a cell without work for good: the store does not answer one of the reads by which a new owner loads the
// state, and the owner waits for it while it keeps the grant.
func TestLostReadDoesNotBlockTheTakeover(t *testing.T) {
	const readsOfATakeover = 2
	for lost := int64(1); lost <= readsOfATakeover; lost++ {
		t.Run(fmt.Sprintf("read %d", lost), func(t *testing.T) {
			scenario(t, 2, func(fx *fixture, previous *host) {
				id := previous.submit(spec("batch", 2, "work=1s"))
				fx.kill(previous)
				reads := new(atomic.Int64)
				h := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store {
					return hookedReads{s, loseRead(reads, lost)}
				})
				ctx, cancel := context.WithTimeout(bg, 10*time.Second)
				defer cancel()
				require.NoError(t, h.svc.Acquire(ctx, fx.grantCell(h), fx.members()))
				h.awaitDone(time.Minute, id)
				require.Greater(t, reads.Load(), lost)
			})
		})
	}
}

// Guards against a cell that is never taken over because its state needs more time than a read has at first, and against
// reads that go on after the host has lost the grant.
func TestReadsOfATakeoverGetMoreTimeWhileTheGrantLasts(t *testing.T) {
	const readTime = 7 * time.Second
	scenario(t, 2, func(fx *fixture, previous *host) {
		id := previous.submit(spec("batch", 2, "work=1s"))
		fx.kill(previous)
		h := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store { return hookedReads{s, delayReads(readTime)} })
		require.NoError(t, h.svc.Acquire(bg, fx.grantCell(h), fx.members()))
		h.awaitDone(time.Minute, id)
		fx.kill(h)
		stuck := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store { return hookedReads{s, delayReads(time.Hour)} })
		g := fx.grantCell(stuck)
		time.AfterFunc(time.Second, func() { stuck.setGrant(func(g *ownership.Grant) { *g = ownership.Grant{Cell: cell} }) })
		begin := time.Now()
		require.Error(t, stuck.svc.Acquire(bg, g, fx.members()))
		require.Less(t, time.Since(begin), 5*time.Second)
	})
}

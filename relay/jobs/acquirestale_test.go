package jobs_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// slowKeys is a store whose reads and writes of keys with a prefix take delay before they are sent.
type slowKeys struct {
	jobs.Store
	prefix string
	delay  *atomic.Int64
}

func (s slowKeys) Get(ctx context.Context, key string) (store.Entry, bool, error) {
	if strings.HasPrefix(key, s.prefix) {
		time.Sleep(time.Duration(s.delay.Load()))
	}
	return s.Store.Get(ctx, key)
}

func (s slowKeys) Txn(ctx context.Context, compares []store.Compare, ops []store.Op) (store.TxnResult, error) {
	if len(ops) > 0 && strings.HasPrefix(ops[0].Key, s.prefix) {
		time.Sleep(time.Duration(s.delay.Load()))
	}
	return s.Store.Txn(ctx, compares, ops)
}

// Guards against an owner that keeps an old table, because the table was replaced while its acquisition read the store.
func TestTableSetDuringAcquisitionIsUsed(t *testing.T) {
	scenario(t, 2, func(fx *fixture, previous *host) {
		fx.kill(previous)
		var delay atomic.Int64
		delay.Store(int64(time.Second))
		h := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store { return slowKeys{s, "/cell/1/learnt", &delay} })
		h.svc = jobs.New(h.cfg, table.New(0, nil))
		g := fx.grantCell(h)
		result := make(chan error, 1)
		go func() { result <- h.svc.Acquire(bg, g, fx.members()) }()
		time.Sleep(500 * time.Millisecond)
		h.svc.SetTable(testTable)
		require.NoError(t, <-result)
		time.Sleep(10 * time.Second)
		_, err := h.svc.Submit(bg, cell, spec("batch", 1, "work=1s"))
		require.NoError(t, err)
	})
}

// Guards against a planner that keeps a reduced share of the limits, because the share grew while the acquisition read
// the store.
func TestShareThatGrowsDuringAcquisitionIsUsed(t *testing.T) {
	limited := table.New(1, []table.Row{{Name: "batch", Kind: table.Batch, Tenant: "team", Weight: 1, Concurrency: 4}})
	scenario(t, 2, func(fx *fixture, previous *host) {
		fx.kill(previous)
		var delay atomic.Int64
		delay.Store(int64(time.Second))
		h := fx.hostOn(func(_ *host, s jobs.Store) jobs.Store { return slowKeys{s, "/cell/1/learnt", &delay} })
		h.cfg.Cells = 1
		h.cfg.NewPlanner = func(id ident.CellID, _ *table.Table) placement.Planner {
			return placement.NewCell(1, placement.Options{Cell: id, Cells: 1, ShareShift: h.Grant(id).ShareShift})
		}
		h.svc = jobs.New(h.cfg, limited)
		fx.grantCell(h)
		h.setGrant(func(g *ownership.Grant) { g.ShareShift = 1 })
		result := make(chan error, 1)
		go func() { result <- h.svc.Acquire(bg, h.Grant(cell), fx.members()) }()
		time.Sleep(500 * time.Millisecond)
		h.setGrant(func(g *ownership.Grant) { g.ShareShift = 0 })
		require.NoError(t, <-result)
		id := h.submit(spec("batch", 4, "work=60s"))
		time.Sleep(30 * time.Second)
		require.Equal(t, 4, h.get(id).Counts[lifecycle.Running])
	})
}

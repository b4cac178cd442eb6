package explore

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/internal/check"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

func outageTable(revision table.Revision, weight int) *table.Table {
	return table.New(revision, []table.Row{
		{Name: "batch", Kind: table.Batch, Tenant: "team", Weight: weight, Retries: 5, Evictions: 100},
		{Name: "fragile", Kind: table.Batch, Tenant: "team", Weight: 10, Retries: 1, Evictions: 100},
	})
}

const (
	// timeResolution is the unit to which the times of an outage are rounded.
	timeResolution = 10 * time.Millisecond
	// finalTimeout bounds the time until all jobs are final. The failing jobs put all workers in quarantine, and the last
	// ones wait for probes, which come every 5 min at the least.
	finalTimeout = time.Hour
)

// outage is a schedule in which the owner of a cell is killed during an outage of the store and starts again before its
// end. Times count from the first job.
type outage struct {
	storeDown, ownerKilled, ownerStarted, storeUp time.Duration
	// tableDelay is the time from the end of the outage until the table can be read.
	tableDelay time.Duration
}

// playOutage submits jobs whose two attempts fail around the begin of the outage, and jobs that succeed. The table
// changes before the outage and again when it ends.
func playOutage(t *testing.T, o outage) {
	ctx, cancel := context.WithTimeout(t.Context(), finalTimeout)
	defer cancel()
	c := newJobCell(t)
	c.readable.Store(outageTable(1, 10))
	p := c.start()
	defer func() { c.close(p) }()
	var fragile, sound []ident.JobID
	p.submit(ctx, "batch", "work=1s")
	c.readable.Store(outageTable(2, 20))
	begin := time.Now()
	waitUntil := func(at time.Duration) { time.Sleep(at - time.Since(begin)) }
	for i := 0; time.Since(begin) < o.storeDown-500*time.Millisecond; i++ {
		fragile = append(fragile, p.submit(ctx, "fragile", fmt.Sprintf("work=%dms;fail=exit 1", 200+i%5*200)))
		sound = append(sound, p.submit(ctx, "batch", fmt.Sprintf("work=%ds", 1+i%20)))
		time.Sleep(50 * time.Millisecond)
	}
	waitUntil(o.storeDown)
	c.store.SetFault(kv.Fault{Down: true})
	c.readable.Store(nil)
	waitUntil(o.ownerKilled)
	p.kill()
	waitUntil(o.ownerStarted)
	p = c.start()
	waitUntil(o.storeUp)
	c.store.SetFault(kv.Fault{})
	waitUntil(o.storeUp + o.tableDelay)
	c.readable.Store(outageTable(3, 30))
	for _, id := range sound {
		require.Empty(t, check.UnfinishedTasks(p.awaitFinal(ctx, id)))
	}
	for _, id := range fragile {
		v := p.awaitFinal(ctx, id)
		require.Equal(t, lifecycle.Failed, v.State)
		require.Empty(t, check.Job(c.recorder, v))
	}
	require.Empty(t, check.Executions(c.recorder))
	failed := make(map[ident.JobID]int)
	endedInOutage := 0
	for _, e := range c.recorder.Executions() {
		if e.Stopped && e.End == lifecycle.EndFailed {
			failed[e.Task.Job]++
			if failed[e.Task.Job] == 2 && e.StoppedAt.Sub(begin) > o.storeDown {
				endedInOutage++
			}
		}
	}
	require.Positive(t, endedInOutage, "no second attempt failed during the outage")
	for id, n := range failed {
		require.LessOrEqual(t, n, 2, "job %s may be retried once", id)
	}
}

// randomOutage returns the outage of a seed.
func randomOutage(seed uint64) outage {
	rng := rand.New(rand.NewPCG(seed, 0))
	between := func(least, most time.Duration) time.Duration {
		return least + time.Duration(rng.Int64N(int64(most-least))).Round(timeResolution)
	}
	o := outage{storeDown: between(2*time.Second, 5*time.Second)}
	o.ownerKilled = o.storeDown + between(100*time.Millisecond, 2*time.Second)
	o.ownerStarted = o.ownerKilled + between(100*time.Millisecond, 4*time.Second)
	o.storeUp = o.ownerStarted + between(100*time.Millisecond, 6*time.Second)
	o.tableDelay = between(0, 8*time.Second)
	return o
}

// Guards against an owner that starts a task again after all its attempts have failed, because it was killed during an
// outage of the store and decides before it has read the table (issue 23).
func TestOwnerKilledDuringAStoreOutageKeepsTheRetries(t *testing.T) {
	outages := map[string]outage{
		"table_with_the_store":  {storeDown: 3 * time.Second, ownerKilled: 3500 * time.Millisecond, ownerStarted: 6 * time.Second, storeUp: 10 * time.Second},
		"table_after_the_store": {storeDown: 3 * time.Second, ownerKilled: 3500 * time.Millisecond, ownerStarted: 6 * time.Second, storeUp: 10 * time.Second, tableDelay: 3 * time.Second},
	}
	for seed := range uint64(8) {
		outages[fmt.Sprint("seed_", seed)] = randomOutage(seed)
	}
	for name, o := range outages {
		t.Run(name, func(t *testing.T) {
			t.Logf("store down at %s, owner killed at %s, started at %s, store up at %s, table %s later",
				o.storeDown, o.ownerKilled, o.ownerStarted, o.storeUp, o.tableDelay)
			synctest.Test(t, func(t *testing.T) { playOutage(t, o) })
		})
	}
}

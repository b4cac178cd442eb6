package jobs_test

import (
	"fmt"
	"slices"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/core/evacuation"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// evacuations returns a set that was read now.
func evacuations(dcs ...ident.DataCentre) evacuation.Set {
	var requests []evacuation.Request
	for _, dc := range dcs {
		requests = append(requests, evacuation.Request{DataCentre: dc, Revision: 1, Since: time.Now()})
	}
	return evacuation.NewSet(1, time.Now(), requests)
}

// listIn puts the workers whose number is in west in the data centre west, and the others in east.
func (fx *fixture) listIn(west ...ident.WorkerID) {
	fx.listed = nil
	all := fx.members()
	for i := range all {
		all[i].DataCentre = "east"
		for _, id := range west {
			if all[i].ID == id {
				all[i].DataCentre = "west"
			}
		}
	}
	fx.listed = all
}

// evacuableHost returns a host that awaits the requests for evacuations, and the number of times that it asked for them.
func (fx *fixture) evacuableHost(change ...func(cfg *jobs.Config)) (*host, *atomic.Int64) {
	asked := new(atomic.Int64)
	return fx.hostWith(func(cfg *jobs.Config) {
		cfg.RefreshEvacuations = func() { asked.Add(1) }
		for _, c := range change {
			c(cfg)
		}
	}), asked
}

// workersOf counts the running tasks of a job by worker.
func (h *host) workersOf(id ident.JobID) map[ident.WorkerID]int {
	counts := make(map[ident.WorkerID]int)
	for _, t := range h.get(id).Tasks {
		if t.State == lifecycle.Running {
			counts[t.Worker]++
		}
	}
	return counts
}

// Guards against starts by an owner that has not read the requests since its process started: after a restart of all
// hosts during an evacuation, none of them knows of it.
func TestOwnerWithoutEvacuationsStartsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 4)
		defer fx.close()
		fx.listIn("w0", "w1")
		h, asked := fx.evacuableHost()
		fx.giveCell(h)
		require.Positive(t, asked.Load())
		id := h.submit(spec("batch", 16, "work=10m"))
		time.Sleep(10 * time.Second)
		require.Empty(t, h.workersOf(id))
		require.Contains(t, h.get(id).Tasks[0].Reason, "under evacuation")
		h.svc.SetEvacuations(evacuations("west"))
		time.Sleep(2 * time.Second)
		require.Equal(t, map[ident.WorkerID]int{"w2": 4, "w3": 4}, h.workersOf(id))
		require.Equal(t, 1, fx.decisions.count(jobs.EventEvacuationStarted))
		h.svc.SetEvacuations(evacuations())
		time.Sleep(4 * time.Second)
		require.Len(t, h.workersOf(id), 4)
		require.Equal(t, 1, fx.decisions.count(jobs.EventEvacuationEnded))
	})
}

// Guards against starts in an evacuated data centre by the next owner, whose host has read the requests before the
// operator made this one, and by an owner whose list has become stale.
func TestNextOwnerReadsEvacuationsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 4)
		defer fx.close()
		fx.listIn("w0", "w1")
		first, _ := fx.evacuableHost()
		fx.giveCell(first)
		first.svc.SetEvacuations(evacuations("west"))
		id := first.submit(spec("batch", 16, "work=10m"))
		time.Sleep(2 * time.Second)
		require.Equal(t, map[ident.WorkerID]int{"w2": 4, "w3": 4}, first.workersOf(id))

		next, asked := fx.evacuableHost()
		next.svc.SetEvacuations(evacuations())
		fx.kill(first)
		time.Sleep(time.Second)
		fx.giveCell(next)
		require.Positive(t, asked.Load())
		time.Sleep(20 * time.Second)
		require.Equal(t, map[ident.WorkerID]int{"w2": 4, "w3": 4}, next.workersOf(id))
		next.svc.SetEvacuations(evacuations("west"))
		time.Sleep(5 * time.Second)
		require.Equal(t, map[ident.WorkerID]int{"w2": 4, "w3": 4}, next.workersOf(id))
		next.svc.SetEvacuations(evacuations().Stale())
		time.Sleep(5 * time.Second)
		require.Len(t, next.workersOf(id), 2, "a stale set starts nothing")
		next.svc.SetEvacuations(evacuations())
		time.Sleep(5 * time.Second)
		require.Len(t, next.workersOf(id), 4)
	})
}

// Guards against a request that waits behind the events and plans of an owner that does not keep up: starts that were
// decided before are sent after the bound.
func TestRequestDoesNotWaitForTheLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 20)
		defer fx.close()
		west := make([]ident.WorkerID, 10)
		for i := range west {
			west[i] = ident.WorkerID(fmt.Sprintf("w%d", i))
		}
		fx.listIn(west...)
		var slow planDelay
		h, _ := fx.evacuableHost(func(cfg *jobs.Config) {
			plain := cfg.NewPlanner
			cfg.NewPlanner = func(c ident.CellID, t *table.Table) placement.Planner {
				return slowPlanner{Planner: plain(c, t), delay: &slow}
			}
		})
		fx.giveCell(h)
		h.svc.SetEvacuations(evacuations())
		time.Sleep(time.Second)
		slow.everyPlan.Store(int64(3 * time.Second))
		h.submit(spec("batch", 800, "work=1s"))
		// The tasks that run end at 10 s, so that the plan that is in progress at 13 s has room.
		time.Sleep(13 * time.Second)
		h.svc.SetEvacuations(evacuations("west"))
		requested := time.Now()
		time.Sleep(30 * time.Second)
		var westBefore, westAfter, eastAfter int
		for _, e := range fx.recorder.Executions() {
			inWest := slices.Contains(west, e.Worker)
			switch after := e.StartedAt.After(requested); {
			case after && inWest:
				westAfter++
			case after:
				eastAfter++
			case inWest:
				westBefore++
			}
		}
		require.Positive(t, westBefore)
		require.Positive(t, eastAfter)
		require.Zero(t, westAfter)
	})
}

// Guards against an owner that regains its authority after a pause or a cut and starts tasks by the requests that it read
// before.
func TestRegainedAuthorityReadsEvacuationsAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFixture(t, 2)
		defer fx.close()
		h, asked := fx.evacuableHost()
		fx.giveCell(h)
		h.svc.SetEvacuations(evacuations())
		time.Sleep(5 * time.Second)
		before := asked.Load()
		h.setGrant(func(g *ownership.Grant) { g.Authority = ownership.InDoubt })
		time.Sleep(5 * time.Second)
		require.Equal(t, before, asked.Load())
		h.setGrant(func(g *ownership.Grant) { g.Authority = ownership.Full })
		time.Sleep(2 * time.Second)
		require.Equal(t, before+1, asked.Load())
	})
}

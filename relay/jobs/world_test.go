package jobs_test

import (
	"context"
	"fmt"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/adapter/cellpb"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/internal/check"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

const cell ident.CellID = 1

var (
	bg        = context.Background()
	size      = resource.Vector{MilliCPU: 4000, MemoryMB: 4000}
	one       = resource.Vector{MilliCPU: 1000, MemoryMB: 1000}
	testTable = table.New(1, []table.Row{
		{Name: "batch", Kind: table.Batch, Tenant: "team", Retries: 3, Evictions: 100},
		{Name: "urgent", Kind: table.LatencyCritical, Tenant: "team", Retries: 3},
	})
)

// world is one cell with its store and workers, and the hosts that own it in turn. It runs in a synctest bubble.
type world struct {
	t      *testing.T
	engine *kv.Engine
	rec    *worker.Recorder
	fleet  worker.Fleet
	hosts  []*host
	notes  *listedOnly
	// hidden names a worker that the host list does not show yet.
	hidden ident.WorkerID
}

// host is one owner of the cell.
type host struct {
	w    *world
	name string
	cfg  jobs.Config
	svc  *jobs.Service
	link *worker.Link

	mu    sync.Mutex
	grant ownership.Grant
}

func (h *host) Grant(ident.CellID) ownership.Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.grant
}

// withStallLimit ends the host's service and returns one that refuses new jobs while the store is down.
func (h *host) withStallLimit(limit time.Duration) *jobs.Service {
	h.svc.StopCell(cell)
	cfg := h.cfg
	cfg.StallLimit = limit
	return jobs.New(cfg, testTable)
}

// learningHost returns a host and the estimates of its planner.
func (w *world) learningHost() (*host, *placement.Estimator) {
	tails := placement.NewEstimatorWithPrior(0.1, 0.25)
	return w.hostWith(func(cfg *jobs.Config) {
		cfg.NewPlanner = func(ident.CellID, *table.Table) placement.Planner {
			return placement.NewCell(1, placement.Options{Cell: cell, Tails: tails})
		}
	}), tails
}

// withDoubtLimit gives the cell of a host to one that renews for a bounded time while its authority is in doubt.
func (w *world) withDoubtLimit(h *host, limit time.Duration) *host {
	w.kill(h)
	next := w.hostWith(func(cfg *jobs.Config) { cfg.DoubtLimit = limit })
	w.own(next)
	return next
}

func (h *host) setGrant(f func(g *ownership.Grant)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(&h.grant)
}

func newWorld(t *testing.T, workers int) *world {
	w := &world{t: t, engine: kv.New(kv.Config{}), rec: worker.NewRecorder(), fleet: worker.Fleet{}}
	w.notes = &listedOnly{t: t, counts: make(map[jobs.EventName]int)}
	for i := range workers {
		id := ident.WorkerID(fmt.Sprintf("w%d", i))
		w.fleet[id] = worker.New(worker.Config{
			ID: id, Rack: ident.Rack(fmt.Sprintf("rack%d", i/2)), Capacity: size, Recorder: w.rec,
		})
	}
	return w
}

func (w *world) members() []lifecycle.Member {
	var all []lifecycle.Member
	for id, x := range w.fleet {
		if id != w.hidden {
			all = append(all, x.Member())
		}
	}
	return all
}

// host returns a new host with its own link to the workers and its own session with the store.
func (w *world) host() *host {
	return w.hostOn(func(_ *host, s jobs.Store) jobs.Store { return s })
}

// hostWith returns a new host with other settings.
func (w *world) hostWith(change func(cfg *jobs.Config)) *host {
	h := w.host()
	change(&h.cfg)
	h.svc = jobs.New(h.cfg, testTable)
	return h
}

// hostOn returns a new host whose store is wrapped.
func (w *world) hostOn(wrap func(h *host, s jobs.Store) jobs.Store) *host {
	h := &host{w: w, name: fmt.Sprintf("h%d", len(w.hosts)), link: worker.NewLink(w.fleet)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h.cfg = jobs.Config{
		Store: wrap(h, w.engine.Client(h.name)), Codec: cellpb.Codec{}, Workers: h.link, Grants: h, Logger: logger,
		DecisionLog: w.notes,
		NewPlanner: func(ident.CellID, *table.Table) placement.Planner {
			return placement.NewCell(1, placement.Options{Cell: cell})
		},
	}
	h.svc = jobs.New(h.cfg, testTable)
	w.hosts = append(w.hosts, h)
	return h
}

// own gives the cell to a host with a new epoch, as the ownership does once the lease of the predecessor has ended.
func (w *world) own(h *host) {
	w.ownPart(h, 0)
}

// ownPart gives the cell to a host that takes only a part of its share, because its predecessor may still be active.
func (w *world) ownPart(h *host, shift uint8) {
	key := fmt.Sprintf("/own/%d", cell)
	_, err := w.engine.Txn(bg, nil, []store.Op{{Key: key, Delete: true}})
	require.NoError(w.t, err)
	res, err := w.engine.Txn(bg, nil, []store.Op{{Key: key, Value: []byte(h.name)}})
	require.NoError(w.t, err)
	h.setGrant(func(g *ownership.Grant) {
		*g = ownership.Grant{Cell: cell, Epoch: ident.Epoch(res.Revision), Authority: ownership.Full, ShareShift: shift}
	})
	require.NoError(w.t, h.svc.Acquire(bg, h.Grant(cell), w.members()))
}

// kill ends a host without any farewell.
func (w *world) kill(h *host) {
	h.setGrant(func(g *ownership.Grant) { g.Authority = ownership.None })
	h.link.Resume()
	h.svc.StopCell(cell)
}

// close stops everything that still runs in the bubble.
func (w *world) close() {
	for _, h := range w.hosts {
		w.kill(h)
	}
	for _, x := range w.fleet {
		x.Crash()
	}
	time.Sleep(time.Minute)
}

func spec(class ident.ClassName, tasks int, command string) lifecycle.JobSpec {
	return lifecycle.JobSpec{
		Class:  class,
		Groups: []lifecycle.TaskGroup{{Count: tasks, Need: one, RunTime: 10 * time.Second, Command: command}},
	}
}

func (h *host) submit(s lifecycle.JobSpec) ident.JobID {
	id, err := h.svc.Submit(bg, cell, s)
	require.NoError(h.w.t, err)
	return id
}

func (h *host) get(id ident.JobID) lifecycle.JobView {
	v, err := h.svc.Get(bg, id, 0, lifecycle.MaxPageSize)
	require.NoError(h.w.t, err)
	return v
}

// finished waits until every task of the jobs is done, and names those that are not.
func (h *host) finished(limit time.Duration, ids ...ident.JobID) {
	h.w.t.Helper()
	ctx, cancel := context.WithTimeout(bg, limit)
	defer cancel()
	for _, id := range ids {
		updates, err := h.svc.Watch(ctx, id)
		require.NoError(h.w.t, err)
		for range updates {
		}
		require.Empty(h.w.t, check.UnfinishedTasks(h.get(id)))
	}
}

// verify checks the record of the workers and what callers were told about the jobs.
func (w *world) verify(h *host, ids ...ident.JobID) {
	w.t.Helper()
	require.Empty(w.t, check.Executions(w.rec))
	for _, id := range ids {
		require.Empty(w.t, check.Job(w.rec, h.get(id)))
	}
}

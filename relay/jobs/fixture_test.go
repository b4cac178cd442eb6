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
	bg             = context.Background()
	workerCapacity = resource.Vector{MilliCPU: 4000, MemoryMB: 4000}
	oneCore        = resource.Vector{MilliCPU: 1000, MemoryMB: 1000}
	testTable      = table.New(1, []table.Row{
		{Name: "batch", Kind: table.Batch, Tenant: "team", Retries: 3, Evictions: 100},
		{Name: "urgent", Kind: table.LatencyCritical, Tenant: "team", Retries: 3},
	})
)

// fixture is one cell with its store and workers, and the hosts that own the cell one after another. It runs in a
// synctest bubble.
type fixture struct {
	t         *testing.T
	engine    *kv.Engine
	recorder  *worker.Recorder
	fleet     worker.Fleet
	hosts     []*host
	decisions *checkedDecisionLog
	// unlistedWorker is a worker that the host list does not show yet.
	unlistedWorker ident.WorkerID
	// hostListUnread is set while the hosts have not read the host list.
	hostListUnread bool
	// listed are the workers that the host list shows; all but unlistedWorker if nil.
	listed []lifecycle.Member
}

// host is a relay host that may own the cell.
type host struct {
	fixture *fixture
	name    string
	cfg     jobs.Config
	svc     *jobs.Service
	link    *worker.Link

	mu    sync.Mutex
	grant ownership.Grant
}

func (h *host) Grant(ident.CellID) ownership.Grant {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.grant
}

// withStallLimit stops the host's service and returns one that refuses new jobs while the store is down.
func (h *host) withStallLimit(limit time.Duration) *jobs.Service {
	h.svc.StopCell(cell)
	cfg := h.cfg
	cfg.StallLimit = limit
	return jobs.New(cfg, testTable)
}

// learningHost returns a host and the estimator of its planner.
func (fx *fixture) learningHost() (*host, *placement.Estimator) {
	tails := placement.NewEstimatorWithPrior(0.1, 0.25)
	return fx.hostWith(func(cfg *jobs.Config) {
		cfg.NewPlanner = func(ident.CellID, *table.Table) placement.Planner {
			return placement.NewCell(1, placement.Options{Cell: cell, Tails: tails})
		}
	}), tails
}

// withDoubtLimit moves the cell to a host that renews leases for a bounded time while its authority is in doubt.
func (fx *fixture) withDoubtLimit(h *host, limit time.Duration) *host {
	fx.kill(h)
	next := fx.hostWith(func(cfg *jobs.Config) { cfg.DoubtLimit = limit })
	fx.giveCell(next)
	return next
}

func (h *host) setGrant(f func(g *ownership.Grant)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	f(&h.grant)
}

func newFixture(t *testing.T, workers int) *fixture {
	fx := &fixture{t: t, engine: kv.New(kv.Config{}), recorder: worker.NewRecorder(), fleet: worker.Fleet{}}
	fx.decisions = &checkedDecisionLog{t: t, counts: make(map[jobs.EventName]int)}
	for i := range workers {
		id := ident.WorkerID(fmt.Sprintf("w%d", i))
		fx.fleet[id] = worker.New(worker.Config{
			ID: id, Rack: ident.Rack(fmt.Sprintf("rack%d", i/2)), Capacity: workerCapacity, Recorder: fx.recorder,
		})
	}
	return fx
}

func (fx *fixture) members() []lifecycle.Member {
	if fx.listed != nil {
		return fx.listed
	}
	var all []lifecycle.Member
	if fx.hostListUnread {
		return nil
	}
	for id, x := range fx.fleet {
		if id != fx.unlistedWorker {
			all = append(all, x.Member())
		}
	}
	return all
}

// host returns a new host with its own link to the workers and its own client of the store.
func (fx *fixture) host() *host {
	return fx.hostOn(func(_ *host, s jobs.Store) jobs.Store { return s })
}

// hostWith returns a new host with a changed configuration.
func (fx *fixture) hostWith(change func(cfg *jobs.Config)) *host {
	h := fx.host()
	change(&h.cfg)
	h.svc = jobs.New(h.cfg, testTable)
	return h
}

// hostOn returns a new host whose store is wrapped.
func (fx *fixture) hostOn(wrap func(h *host, s jobs.Store) jobs.Store) *host {
	h := &host{fixture: fx, name: fmt.Sprintf("h%d", len(fx.hosts)), link: worker.NewLink(fx.fleet)}
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	h.cfg = jobs.Config{
		Store: wrap(h, fx.engine.Client(h.name)), Codec: cellpb.Codec{}, Workers: h.link, Grants: h, Logger: logger,
		DecisionLog: fx.decisions,
		NewPlanner: func(ident.CellID, *table.Table) placement.Planner {
			return placement.NewCell(1, placement.Options{Cell: cell})
		},
	}
	h.svc = jobs.New(h.cfg, testTable)
	fx.hosts = append(fx.hosts, h)
	return h
}

// giveCell gives the cell to a host with a new epoch, as ownership does once the lease of the predecessor has ended.
func (fx *fixture) giveCell(h *host) {
	fx.giveCellShare(h, 0)
}

// giveCellShare gives the cell to a host that may use only part of its share of the limits, because its predecessor
// may still be active.
func (fx *fixture) giveCellShare(h *host, shift uint8) {
	fx.grantCell(h)
	h.setGrant(func(g *ownership.Grant) { g.ShareShift = shift })
	require.NoError(fx.t, h.svc.Acquire(bg, h.Grant(cell), fx.members()))
	if !fx.hostListUnread {
		h.svc.SetMembers(cell, fx.members())
	}
}

// grantCell grants the cell to a host with a new epoch, and returns the grant.
func (fx *fixture) grantCell(h *host) ownership.Grant {
	key := fmt.Sprintf("/own/%d", cell)
	_, err := fx.engine.Txn(bg, nil, []store.Op{{Key: key, Delete: true}})
	require.NoError(fx.t, err)
	res, err := fx.engine.Txn(bg, nil, []store.Op{{Key: key, Value: []byte(h.name)}})
	require.NoError(fx.t, err)
	h.setGrant(func(g *ownership.Grant) {
		*g = ownership.Grant{Cell: cell, Epoch: ident.Epoch(res.Revision), Authority: ownership.Full}
	})
	return h.Grant(cell)
}

// kill stops a host without a hand-over.
func (fx *fixture) kill(h *host) {
	h.setGrant(func(g *ownership.Grant) { g.Authority = ownership.None })
	h.link.Resume()
	h.svc.StopCell(cell)
}

// close stops everything that still runs in the bubble.
func (fx *fixture) close() {
	for _, h := range fx.hosts {
		fx.kill(h)
	}
	for _, x := range fx.fleet {
		x.Crash()
	}
	time.Sleep(time.Minute)
}

func spec(class ident.ClassName, tasks int, command string) lifecycle.JobSpec {
	return lifecycle.JobSpec{
		Class:  class,
		Groups: []lifecycle.TaskGroup{{Count: tasks, Need: oneCore, RunTime: 10 * time.Second, Command: command}},
	}
}

func (h *host) submit(s lifecycle.JobSpec) ident.JobID {
	id, err := h.svc.Submit(bg, cell, s)
	require.NoError(h.fixture.t, err)
	return id
}

func (h *host) get(id ident.JobID) lifecycle.JobView {
	v, err := h.svc.Get(bg, id, 0, lifecycle.MaxPageSize)
	require.NoError(h.fixture.t, err)
	return v
}

// awaitDone waits until the jobs are final, and fails the test unless all their tasks are done.
func (h *host) awaitDone(limit time.Duration, ids ...ident.JobID) {
	h.fixture.t.Helper()
	ctx, cancel := context.WithTimeout(bg, limit)
	defer cancel()
	for _, id := range ids {
		updates, err := h.svc.Watch(ctx, id)
		require.NoError(h.fixture.t, err)
		for range updates {
		}
		require.Empty(h.fixture.t, check.UnfinishedTasks(h.get(id)))
	}
}

// verify checks what the workers executed, and that the state of the jobs agrees with it.
func (fx *fixture) verify(h *host, ids ...ident.JobID) {
	fx.t.Helper()
	require.Empty(fx.t, check.Executions(fx.recorder))
	for _, id := range ids {
		require.Empty(fx.t, check.Job(fx.recorder, h.get(id)))
	}
}

package daemon

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/bulrushrelay/bulrushrelay/adapter/cellpb"
	"github.com/bulrushrelay/bulrushrelay/adapter/clusterrecord"
	"github.com/bulrushrelay/bulrushrelay/adapter/peergrpc"
	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

const (
	// jobSyncWait is how long a worker may hold a sync that has nothing to report: a sixth of the usual lease of 6 s.
	jobSyncWait = time.Second
	// jobSyncGap lets ends of a worker share a sync. Each step of a job waits for half of it on average, and each sync
	// costs the owner about 0.2 ms of a core.
	jobSyncGap = 80 * time.Millisecond
	// jobDurableWait is how long a submission waits for the store and for an owner of its cell.
	jobDurableWait = 1500 * time.Millisecond
	// incarnationWait bounds the read of the last incarnation at the start.
	incarnationWait = 500 * time.Millisecond
	// jobStallLimit is how long a commit may fail before new jobs are refused at once: a hundred times what the store
	// takes for an answer.
	jobStallLimit = 400 * time.Millisecond
	// jobCommitInterval groups the records of a cell; each step of a job waits for half of it on average.
	jobCommitInterval = 20 * time.Millisecond
	// jobLogShare is the part of the store's writes that the cell logs may take together.
	jobLogShare = 0.5
	// The registrations of 48 workers change 30 times a second, because each carries a clock. Owners read them a few times
	// a second, others less often.
	ownerWorkersPause = 250 * time.Millisecond
	otherWorkersPause = 1500 * time.Millisecond
	// clockRates divides the lease of a worker; the result covers workers whose clocks run 2 % slow, twice over.
	clockRates = 25
	// stopSlack is how long the end of a stopped task takes to be listed after it stopped.
	stopSlack = 300 * time.Millisecond
	// unhealthyNotice is how long a host that stops goes on taking calls after it reports that it does: the balancer asks
	// each second and needs two answers.
	unhealthyNotice = 2200 * time.Millisecond
	// stopReserve is kept of the time until the process is killed.
	stopReserve = 800 * time.Millisecond
	// callerLimit bounds the connections of callers, and statusLimit those of checks and metrics readers.
	callerLimit = 1024
	statusLimit = 64
	// mostCandidates is how many workers are scored for one task: every one of a cell of a few racks.
	mostCandidates = 64
	// mostBackfill is how many tasks behind one that does not fit are tried: those of about 50 jobs.
	mostBackfill = 512
)

// JobHost is a relay host that runs jobs only, on a platform that lists the workers and holds the table.
type JobHost struct {
	settings JobSettings
	ports    JobPorts
	self     ident.Instance
	cellMap  cellmap.Map
	log      *logrus.Entry
	metrics  *telemetry.Registry

	pool    *peergrpc.Pool
	cluster *cluster.Service
	members *members
	jobs    *jobs.Service
	fleet   *fleet
	// outside holds the workers that are in no cell; only the goroutine that follows the workers uses it.
	outside map[ident.WorkerID]ident.DataCentre

	health   health
	hasTable atomic.Bool

	callers, status, counters *httpServer
	peers                     *grpc.Server
}

// NewJobHost assembles a host and opens its listeners.
func NewJobHost(s JobSettings, p JobPorts, log *logrus.Entry) (*JobHost, error) {
	s.Cells = s.CellCount()
	h := &JobHost{
		settings: s, ports: p, log: log,
		self:    ident.Instance{Host: s.HostID, Incarnation: nextIncarnation(s, p, log)},
		cellMap: cellmap.New(s.Cells, s.regions()),
		metrics: p.Metrics,
		pool:    peergrpc.NewPool(insecure.NewCredentials()),
	}
	h.fleet = newFleet(h.cellMap)
	h.assemble()
	return h, h.listen()
}

// nextIncarnation reads the last incarnation of the host, because the clock may have jumped back since. It does not wait
// long for the store: without an answer the host starts by the time alone.
func nextIncarnation(s JobSettings, p JobPorts, log *logrus.Entry) ident.Incarnation {
	ctx, cancel := context.WithTimeout(context.Background(), incarnationWait)
	defer cancel()
	next, err := cluster.NextIncarnation(ctx, p.Store, clusterrecord.Codec{}, s.HostID, time.Now())
	if err != nil {
		log.WithError(err).Warn("the last incarnation of this host is not known: it starts by its clock")
	}
	return next
}

func (h *JobHost) assemble() {
	codec := clusterrecord.Codec{}
	owning := ownership.ConfigForTTL(h.settings.leaseTime())
	owning.Self, owning.DataCentre = h.self, h.settings.Regions[h.settings.DataCentre]
	owning.Cells = ownedCells(h.cellMap)
	h.members = &members{self: h.self, cells: h.cellMap, store: h.ports.Store, codec: codec}
	h.cluster = cluster.New(cluster.Config{
		Ownership:   owning,
		PeerAddress: h.settings.PeerAddress,
		MilliCPU:    h.settings.MilliCPU,
		Store:       h.ports.Store,
		Transport:   peergrpc.NewGossipClient(h.self, h.pool),
		Codec:       codec,
		Seed:        uint64(h.self.Incarnation),
		Drain:       h.drainCell,
		Log:         h.log,
	})
	h.members.cluster = h.cluster
	h.jobs = jobs.New(jobs.Config{
		Store:          h.ports.Store,
		Codec:          cellpb.Codec{},
		Workers:        h.ports.Workers,
		Grants:         h.cluster,
		Clock:          jobs.SystemClock{},
		NewPlanner:     h.newPlanner,
		CommitInterval: h.settings.commitInterval(),
		Policy:         h.settings.policy(),
		SyncWait:       jobSyncWait,
		SyncGap:        jobSyncGap,
		DurableWait:    jobDurableWait,
		DoubtLimit:     owning.DoubtLimit,
		StallLimit:     jobStallLimit,
		Cells:          h.settings.Cells,
		Logger:         h.log.Logger,
		DecisionLog:    h.ports.Journal,
		Meter:          newOwnerMeter(h.metrics),
		RecordLatency: func(class ident.ClassName, took time.Duration) {
			h.metrics.Histogram("job_ms", telemetry.Label{Name: "class", Value: string(class)}).Update(took.Milliseconds())
		},
	}, table.New(0, nil))
}

func (h *JobHost) newPlanner(id ident.CellID, t *table.Table) placement.Planner {
	planner := placement.NewCell(rand.Uint64(), placement.Options{
		Cell: id, Cells: h.settings.Cells, ShareShift: h.cluster.Grant(id).ShareShift,
		Candidates: mostCandidates,
		// Tasks of one class differ much in size, and in where they may run.
		BackfillDepth: mostBackfill,
		// A worker's room does not grow when a task on it is slowed down.
		MinThrottle: 1,
	})
	planner.SetTable(t)
	return planner
}

func (h *JobHost) listen() error {
	servers := []struct {
		server      **httpServer
		address     string
		connections int
	}{
		{&h.callers, h.settings.CallerAddress, callerLimit},
		{&h.status, h.settings.StatusAddress, statusLimit},
		{&h.counters, h.settings.MetricsAddress, statusLimit},
	}
	for _, s := range servers {
		l, err := listenTCP(s.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", s.address, err)
		}
		*s.server = newHTTPServer(l, newHTTPLimits(s.connections, longestOperation), nil)
	}
	router := jobs.NewRouter(h.jobs, numberedCells{h.settings.Cells, h.members}, peergrpc.NewJobsClient(h.pool))
	h.callers.echo.Use(h.health.closeConnections)
	h.ports.RegisterCallers(h.callers.echo, router)
	h.ports.RegisterStatus(h.status.echo, h.ready)
	telemetry.Register(h.counters.echo, h.metrics)
	h.peers = grpc.NewServer(peergrpc.ServerOptions(insecure.NewCredentials())...)
	peerv1.RegisterJobsServer(h.peers, peergrpc.NewJobsServer(h.jobs))
	peergrpc.RegisterGossip(h.peers, h.cluster)
	return nil
}

// numberedCells tells the router where the cells are owned. It implements jobs.Directory.
type numberedCells struct {
	cells   int
	members *members
}

// Cells implements jobs.Directory. Jobs have numbers, which pick their cell, so that no order by room is needed.
func (d numberedCells) Cells() []ident.CellID {
	return CellIDs(d.cells)
}

// Owner implements jobs.Directory.
func (d numberedCells) Owner(cell ident.CellID) (address string, local, ok bool) {
	owner, address, ok := d.members.Owner(cell)
	return address, owner == d.members.self, ok
}

// ready reports whether the host takes callers: it has a table, knows an owner, and does not stop.
func (h *JobHost) ready() bool {
	if !h.health.is(phaseReady) || !h.hasTable.Load() {
		return false
	}
	for _, id := range CellIDs(h.settings.Cells) {
		if _, _, ok := h.members.Owner(id); ok {
			return true
		}
	}
	return false
}

// Run serves until ctx ends, and then hands over and stops.
func (h *JobHost) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	h.cluster.Listen(h.grantChanged(background))
	peerPort, err := listenTCP(h.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", h.settings.PeerAddress, err)
	}
	group.Go(func() error { return h.peers.Serve(netutil.LimitListener(peerPort, DefaultMaxPeerConnections)) })
	for _, s := range []*httpServer{h.callers, h.status, h.counters} {
		group.Go(s.serve)
	}
	h.cluster.Start()
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { h.ports.FollowTable(ctx, h.takeTable) },
		func(ctx context.Context) { h.ports.FollowWorkers(ctx, h.workersPause, h.takeWorkers) },
		every(countInterval, h.publish),
	} {
		group.Go(func() error {
			loop(background)
			return nil
		})
	}
	h.health.set(phaseReady)
	h.log.WithField("instance", h.self.String()).Info("host started")
	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	err = h.drain()
	stopBackground()
	return errors.Join(err, group.Wait())
}

func (h *JobHost) takeTable(t *table.Table) {
	h.jobs.SetTable(t)
	h.hasTable.Store(true)
	h.metrics.Gauge("table_revision").Update(int64(t.Revision()))
	h.log.WithField("revision", t.Revision()).Info("table in force")
}

// workersPause returns how late changes of the workers may be known: an owner must place nothing on a worker that leaves,
// the others need only know whom to claim when they become owners.
func (h *JobHost) workersPause() time.Duration {
	if len(h.owned()) > 0 {
		return ownerWorkersPause
	}
	return otherWorkersPause
}

// owned lists the cells in which this host has a grant.
func (h *JobHost) owned() []ident.CellID {
	return slices.DeleteFunc(CellIDs(h.settings.Cells), func(id ident.CellID) bool {
		return h.cluster.Grant(id).Authority == ownership.None
	})
}

// takeWorkers divides the workers over the cells.
func (h *JobHost) takeWorkers(list []lifecycle.Member) {
	next := h.divide(list)
	h.fleet.current.Store(next)
	for _, id := range CellIDs(h.settings.Cells) {
		h.jobs.SetMembers(id, next.workers[id])
	}
	h.metrics.Gauge("workers_listed").Update(int64(len(list)))
}

// divide logs a worker that is in no cell once and not with each later change of any worker.
func (h *JobHost) divide(list []lifecycle.Member) *hosts {
	next := &hosts{workers: make(map[ident.CellID][]lifecycle.Member)}
	outside := make(map[ident.WorkerID]ident.DataCentre)
	for _, m := range list {
		if id, ok := h.cellMap.Cell(h.settings.Regions[m.DataCentre], m.Rack); ok {
			next.workers[id] = append(next.workers[id], m)
			continue
		}
		outside[m.ID] = m.DataCentre
		if before, known := h.outside[m.ID]; !known || before != m.DataCentre {
			h.log.WithFields(logrus.Fields{"worker": m.ID, "data_centre": m.DataCentre}).Warn("a worker is in no cell")
		}
	}
	h.outside = outside
	return next
}

// publish gossips the cells of this host and copies the counters of the services into the metrics.
func (h *JobHost) publish() {
	var local cluster.LocalState
	for _, id := range h.owned() {
		local.Loads = append(local.Loads, membership.Load{Cell: id})
	}
	h.cluster.SetLocalState(local)
	exportCluster(h.metrics, h.cluster, h.settings.Cells)
	exportJobs(h.metrics, h.jobs.Stats())
	exportLoad(h.metrics, h.jobs.Load())
}

// grantChanged returns the listener that starts and ends the work in cells.
func (h *JobHost) grantChanged(ctx context.Context) func(cluster.GrantChange) {
	return func(c cluster.GrantChange) {
		switch {
		case c.New.Authority == ownership.None:
			h.jobs.StopCell(c.New.Cell)
		case c.Old.Authority == ownership.None || c.Old.Epoch != c.New.Epoch:
			go acquireCell(ctx, c.New, h.cluster, h.jobs, h.fleet, h.metrics)
		}
	}
}

func (h *JobHost) drainCell(ctx context.Context, id ident.CellID) {
	if err := h.jobs.Drain(ctx, id); err != nil {
		h.metrics.Counter("drain_failures_total").Inc(1)
		h.log.WithError(err).WithField("cell", id).Warn("a cell was not handed over cleanly")
	}
}

// leaveAndClose hands the cells over by leave and ends the calls of callers by shutdown once notice is over, also if the
// cells are handed over slowly: a call that is taken shortly before the process ends would be cut off unanswered.
func leaveAndClose(ctx context.Context, notice <-chan time.Time, leave, shutdown func(context.Context) error) error {
	left := make(chan error, 1)
	go func() { left <- leave(ctx) }()
	select {
	case <-notice:
	case <-ctx.Done():
	}
	err := shutdown(ctx)
	return errors.Join(err, <-left)
}

// drain stops the host as planned: it reports that it stops, hands its cells over, and finishes the calls of callers.
func (h *JobHost) drain() error {
	h.health.set(phaseDraining)
	h.log.Info("drain started")
	ctx, cancel := context.WithTimeout(context.Background(), max(h.settings.Grace-stopReserve, stopReserve))
	defer cancel()
	notice := time.NewTimer(unhealthyNotice)
	defer notice.Stop()
	err := leaveAndClose(ctx, notice.C, h.cluster.Leave, h.callers.shutdown)
	h.peers.Stop()
	for _, s := range []*httpServer{h.callers, h.status, h.counters} {
		_ = s.server.Close()
	}
	for _, id := range CellIDs(h.settings.Cells) {
		h.jobs.StopCell(id)
	}
	h.pool.Close()
	if err != nil {
		h.log.WithError(err).Error("drain ended early")
		return fmt.Errorf("%w: %w", ErrDrainTimeout, err)
	}
	h.log.Info("drain finished")
	return nil
}

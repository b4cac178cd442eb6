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
	"github.com/bulrushrelay/bulrushrelay/adapter/clientconn"
	"github.com/bulrushrelay/bulrushrelay/adapter/clusterrecord"
	"github.com/bulrushrelay/bulrushrelay/adapter/peergrpc"
	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/membership"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/internal/contain"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/relay/contact"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

const (
	// jobSyncWait is how long a worker may hold a sync without news: a sixth of the usual worker lease of 6 s.
	jobSyncWait = time.Second
	// jobSyncGap is the shortest time between two syncs of a worker, so that several ended tasks share one. Each step
	// of a job waits for half of it on average, and each sync costs the owner about 0.2 ms of a core.
	jobSyncGap = 80 * time.Millisecond
	// jobDurableWait is how long a submission waits for the store and for an owner of its cell.
	jobDurableWait = 1500 * time.Millisecond
	// jobStallLimit is how long the store may leave a commit unanswered before new jobs are refused at once: a
	// hundred times its usual response time.
	jobStallLimit = 400 * time.Millisecond
	// jobCommitInterval is the shortest time between two commits of a cell, which groups its records. Each step of a
	// job waits for half of it on average.
	jobCommitInterval = 20 * time.Millisecond
	// jobLogWriteShare is the share of the store's write rate that all cell logs together may use.
	jobLogWriteShare = 0.5
	// The lease margin is the worker lease divided by leaseMarginDivisor. That is 4 %, twice what a worker whose
	// clock runs 2 % slow needs.
	leaseMarginDivisor = 25
	// endListingDelay bounds the time from the end of a stopped task until the worker lists it.
	endListingDelay = 300 * time.Millisecond
	// jobDrainNoticePeriod is how long a draining host still accepts calls after its health check starts to report
	// the drain. The load balancer checks each second and needs two results.
	jobDrainNoticePeriod = 2200 * time.Millisecond
	// jobDrainReserve is the part of the grace period that the drain leaves unused before the process is killed.
	jobDrainReserve = 800 * time.Millisecond
	// Limits on the connections of callers, and on those of health checks or of metrics readers.
	maxJobCallerConnections = 1024
	maxStatusConnections    = 64
	// maxCandidates is how many workers are scored for one task: all workers of a cell of a few racks.
	maxCandidates = 64
	// maxBackfillTasks is how many tasks are tried behind one that does not fit: the tasks of about 50 jobs.
	maxBackfillTasks = 512
)

// JobHost is a relay host that runs only jobs, on a platform that lists the workers and holds the table.
type JobHost struct {
	settings JobSettings
	ports    JobPorts
	self     ident.Instance
	cellMap  cellmap.Map
	log      *logrus.Entry
	metrics  *telemetry.Registry

	pool    *peergrpc.Pool
	cluster *cluster.Service
	members *memberDirectory
	jobs    *jobs.Service
	contact *contact.Service
	fleet   *fleet
	// workersNeeded receives a value after this host has become the owner of a cell.
	workersNeeded chan struct{}
	// evacuations is nil if the platform has none.
	evacuations *evacuationFollower
	// unassigned holds the workers that belong to no cell. Only the goroutine that follows the workers uses it.
	unassigned map[ident.WorkerID]ident.DataCentre

	health   health
	hasTable atomic.Bool
	// wasReady is the answer to the last check of the platform.
	wasReady atomic.Bool

	guard                                     *clientconn.Guard
	callerServer, statusServer, metricsServer *httpServer
	peerServer                                *grpc.Server
	peerGuard                                 *peergrpc.Guard
	maxPeerConnections                        int
}

// NewJobHost creates a host and opens its listeners.
func NewJobHost(s JobSettings, p JobPorts, log *logrus.Entry) (*JobHost, error) {
	s.Cells = s.CellCount()
	h := &JobHost{
		settings: s, ports: p, log: log,
		self:    nextInstance(s.HostID, p.Store, log),
		cellMap: cellmap.New(s.Cells, s.regions()),
		metrics: p.Metrics,
		pool:    p.peerPool(),

		workersNeeded: make(chan struct{}, 1),
	}
	h.fleet = newFleet(h.cellMap)
	h.createServices()
	return h, h.listen()
}

func (h *JobHost) createServices() {
	codec := clusterrecord.Codec{}
	ownershipConfig := ownership.ConfigForTTL(h.settings.leaseTime())
	ownershipConfig.Self, ownershipConfig.DataCentre = h.self, h.settings.Regions[h.settings.DataCentre]
	ownershipConfig.Cells = ownershipCells(h.cellMap)
	h.members = &memberDirectory{self: h.self, cellMap: h.cellMap, store: h.ports.Store, codec: codec}
	h.cluster = cluster.New(cluster.Config{
		Ownership:   ownershipConfig,
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
	h.evacuations = h.newEvacuationFollower()
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
		DoubtLimit:     ownershipConfig.DoubtLimit,
		StallLimit:     jobStallLimit,
		Cells:          h.settings.Cells,
		Logger:         h.log.Logger,
		DecisionLog:    h.ports.DecisionLog,
		Inbox:          h.settings.inboxConfig(h.ports.Store, h.members.runningMembers),
		Meter:          newOwnerMeter(h.metrics),
		OnReplaced:     h.cluster.GiveUp,

		RefreshEvacuations: h.evacuations.refreshFunc(),
		RecordLatency: func(class ident.ClassName, took time.Duration) {
			h.metrics.Histogram("job_ms", telemetry.Label{Name: "class", Value: string(class)}).Update(took.Milliseconds())
		},
	}, nil)
	h.evacuations.serve(h.jobs)
	h.contact = newContact(h.settings.Cells, h.self, h.jobs, h.cluster, h.pool, h.ports.Workers, h.ports.DecisionLog, h.log)
}

func (h *JobHost) newPlanner(id ident.CellID, t *table.Table) placement.Planner {
	planner := placement.NewCell(rand.Uint64(), placement.Options{
		Cell: id, Cells: h.settings.Cells, ShareShift: h.cluster.Grant(id).ShareShift,
		Candidates: maxCandidates,
		// The tasks of one class differ much in size and in the workers that may run them.
		BackfillDepth: maxBackfillTasks,
		// Slowing down a task frees no capacity on its worker.
		MinThrottle:     1,
		OffRackSlowdown: h.settings.OffRackSlowdown,
		NoLookAhead:     !h.settings.LookAhead,
	})
	planner.SetTable(t)
	return planner
}

func (h *JobHost) listen() error {
	h.guard = h.settings.newGuard(h.metrics)
	connections := h.settings.connections(maxJobCallerConnections, maxStatusConnections, DefaultMaxPeerConnections)
	servers := []struct {
		server      **httpServer
		address     string
		connections int
	}{
		{&h.callerServer, h.settings.CallerAddress, connections.callers},
		{&h.statusServer, h.settings.StatusAddress, connections.status},
		{&h.metricsServer, h.settings.MetricsAddress, connections.status},
	}
	for _, s := range servers {
		l, err := h.ports.listen(s.address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", s.address, err)
		}
		limits := newHTTPLimits(s.connections, maxOperationTime)
		limits.guard = h.guard
		*s.server = newHTTPServer(l, limits, nil)
	}
	router := jobs.NewRouter(h.jobs, numberedCellDirectory{h.settings.Cells, h.members}, peergrpc.NewJobsClient(h.pool))
	h.callerServer.idle.closeResponse = h.ports.IdleCloseResponse
	h.callerServer.echo.Use(h.health.closeConnectionsOnDrain)
	h.ports.RegisterCallers(h.callerServer.echo, router)
	h.ports.RegisterStatus(h.statusServer.echo, h.ready)
	telemetry.Register(h.metricsServer.echo, h.metrics)
	h.peerGuard = peergrpc.NewGuard(h.guard.Budget(), connections.peers, h.guard.Count)
	h.maxPeerConnections = connections.peers
	h.peerServer = grpc.NewServer(slices.Concat(
		peergrpc.ServerOptions(insecure.NewCredentials()), h.peerGuard.ServerOptions(), peergrpc.ContainPanics(h.log))...)
	peerv1.RegisterJobsServer(h.peerServer, peergrpc.NewJobsServer(h.jobs))
	peergrpc.RegisterGossip(h.peerServer, h.cluster)
	peergrpc.RegisterContact(h.peerServer, h.contact)
	return nil
}

// numberedCellDirectory looks up the owners of cells for the router of jobs. It implements jobs.Directory.
type numberedCellDirectory struct {
	cells   int
	members *memberDirectory
}

// Cells implements jobs.Directory. The order does not matter, because the number of a job determines its cell.
func (d numberedCellDirectory) Cells() []ident.CellID {
	return CellIDs(d.cells)
}

// Owner implements jobs.Directory.
func (d numberedCellDirectory) Owner(cell ident.CellID) (address string, local, ok bool) {
	owner, address, ok := d.members.Owner(cell)
	return address, owner == d.members.self, ok
}

// ready answers a check of the platform, and reports each change.
func (h *JobHost) ready() bool {
	ready := h.canServe()
	if h.wasReady.Swap(ready) != ready {
		h.log.WithFields(logrus.Fields{"ready": ready, "store_contact": h.cluster.InContact()}).Info("readiness changed")
	}
	value := int64(0)
	if ready {
		value = 1
	}
	h.metrics.Gauge("ready").Update(value)
	return ready
}

// canServe reports whether the host has a table, can place jobs, and is not draining. With inboxes it can place jobs if it reaches
// the store or the owner of a cell, without them only if it knows the owner of a cell. A host that is cut off from both would
// keep its callers from the others.
func (h *JobHost) canServe() bool {
	if !h.health.inPhase(phaseReady) || !h.hasTable.Load() {
		return false
	}
	if h.settings.InboxWriteShare > 0 {
		return h.cluster.InContact() || slices.ContainsFunc(CellIDs(h.settings.Cells), h.members.reachesOwner)
	}
	return slices.ContainsFunc(CellIDs(h.settings.Cells), func(id ident.CellID) bool {
		_, _, ok := h.members.Owner(id)
		return ok
	})
}

// Run serves until ctx ends, and then hands its cells over and stops.
func (h *JobHost) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	h.cluster.Listen(h.grantChanged(background))
	peerListener, err := h.ports.listen(h.settings.PeerAddress)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", h.settings.PeerAddress, err)
	}
	group.Go(func() error {
		return h.peerServer.Serve(h.peerGuard.Listener(netutil.LimitListener(peerListener, h.maxPeerConnections)))
	})
	for _, s := range []*httpServer{h.callerServer, h.statusServer, h.metricsServer} {
		group.Go(s.serve)
	}
	h.cluster.Start()
	if h.evacuations != nil {
		group.Go(func() error {
			contain.Loop(background, h.log, "following the requests for evacuations", func(ctx context.Context) {
				h.evacuations.run(ctx, h.workerDemand)
			})
			return nil
		})
	}
	for _, loop := range []func(context.Context){
		func(ctx context.Context) { h.ports.FollowTable(ctx, h.setTable) },
		func(ctx context.Context) {
			h.ports.FollowWorkers(ctx, hostlist.DemandSource{Current: h.workerDemand, Raised: h.workersNeeded}, h.setWorkers)
		},
		h.contact.Run,
		func(ctx context.Context) { h.guard.Run(ctx, h.log) },
		every(metricsInterval, h.publishState),
		every(clockCheckInterval, newClockMonitor(h.log, h.metrics).check),
	} {
		group.Go(func() error {
			contain.Loop(background, h.log, "a background loop of the host", loop)
			return nil
		})
	}
	h.health.setPhase(phaseReady)
	h.log.WithField("instance", h.self.String()).Info("host started")
	select {
	case <-ctx.Done():
	case <-background.Done():
	}
	err = h.drain()
	stopBackground()
	return errors.Join(err, group.Wait())
}

// setTable puts a table in force.
func (h *JobHost) setTable(t *table.Table) {
	h.jobs.SetTable(t)
	h.hasTable.Store(true)
	h.metrics.Gauge("table_revision").Update(int64(t.Revision()))
	h.log.WithField("revision", t.Revision()).Info("table in force")
}

// publishState gossips the cells of this host and copies the counters of the services into the metrics registry.
func (h *JobHost) publishState() {
	var local cluster.LocalState
	for _, id := range h.ownedCells() {
		local.Loads = append(local.Loads, membership.Load{Cell: id})
	}
	h.cluster.SetLocalState(local)
	exportGuard(h.metrics, h.guard)
	exportCluster(h.metrics, h.cluster, h.settings.Cells)
	exportJobs(h.metrics, h.jobs.Stats())
	exportOwnerLoad(h.metrics, h.jobs.Load())
	exportEvacuated(h.metrics, h.jobs)
}

// grantChanged returns the listener that starts work in gained cells and ends it in lost ones.
func (h *JobHost) grantChanged(ctx context.Context) func(cluster.GrantChange) {
	return func(c cluster.GrantChange) {
		switch {
		case c.New.Authority == ownership.None:
			h.jobs.StopCell(c.New.Cell)
		case c.Old.Authority == ownership.None || c.Old.Epoch != c.New.Epoch:
			select {
			case h.workersNeeded <- struct{}{}:
			default:
			}
			go acquireCell(ctx, c.New, h.cluster, h.jobs, h.fleet, h.metrics, h.log)
		}
	}
}

// drainCell ends the work of this host in one cell before its hand-over.
func (h *JobHost) drainCell(ctx context.Context, id ident.CellID, cutOff bool) {
	if err := drainJobs(ctx, h.jobs, id, cutOff); err != nil {
		h.metrics.Counter("drain_failures_total").Inc(1)
		h.log.WithError(err).WithField("cell", id).Warn("cell drain incomplete")
	}
}

// leaveAndClose hands the cells over by leave, and calls shutdown once notice fires, even if leave has not returned:
// a call that is accepted shortly before the process ends would be cut off without an answer.
func leaveAndClose(ctx context.Context, notice <-chan time.Time, leave, shutdown func(context.Context) error) error {
	leaveResult := make(chan error, 1)
	go func() { leaveResult <- leave(ctx) }()
	select {
	case <-notice:
	case <-ctx.Done():
	}
	err := shutdown(ctx)
	return errors.Join(err, <-leaveResult)
}

// drain shuts the host down gracefully: it hands the cells over and finishes the calls of callers.
func (h *JobHost) drain() error {
	h.health.setPhase(phaseDraining)
	h.log.Info("drain started")
	ctx, cancel := context.WithTimeout(context.Background(), max(h.settings.Grace-jobDrainReserve, jobDrainReserve))
	defer cancel()
	notice := time.NewTimer(jobDrainNoticePeriod)
	defer notice.Stop()
	err := leaveAndClose(ctx, notice.C, h.cluster.Leave, h.callerServer.notifyIdleAndShutdown)
	h.peerServer.Stop()
	for _, s := range []*httpServer{h.callerServer, h.statusServer, h.metricsServer} {
		_ = s.server.Close()
	}
	for _, id := range CellIDs(h.settings.Cells) {
		h.jobs.StopCell(id)
	}
	h.pool.Close()
	if err != nil {
		h.log.WithError(err).Error("drain incomplete")
		return fmt.Errorf("%w: %w", ErrDrainTimeout, err)
	}
	h.log.Info("drain finished")
	return nil
}

package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/net/netutil"
	"golang.org/x/sync/errgroup"
	"google.golang.org/grpc"

	"github.com/bulrushrelay/bulrushrelay/adapter/callerhttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/cellpb"
	"github.com/bulrushrelay/bulrushrelay/adapter/clientconn"
	"github.com/bulrushrelay/bulrushrelay/adapter/clusterrecord"
	"github.com/bulrushrelay/bulrushrelay/adapter/hostlisthttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/jobhttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/kvgrpc"
	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/peergrpc"
	"github.com/bulrushrelay/bulrushrelay/adapter/tablepb"
	"github.com/bulrushrelay/bulrushrelay/adapter/targethttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	"github.com/bulrushrelay/bulrushrelay/adapter/workergrpc"
	peerv1 "github.com/bulrushrelay/bulrushrelay/api/peer/v1"
	"github.com/bulrushrelay/bulrushrelay/core/cellmap"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/ledger"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/core/placement"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/internal/contain"
	"github.com/bulrushrelay/bulrushrelay/relay/cell"
	"github.com/bulrushrelay/bulrushrelay/relay/cluster"
	"github.com/bulrushrelay/bulrushrelay/relay/config"
	"github.com/bulrushrelay/bulrushrelay/relay/contact"
	"github.com/bulrushrelay/bulrushrelay/relay/entry"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

// Version is the version of the programs. Whether hosts of two versions work together depends only on the version of
// the protocol between them, peergrpc.ProtocolVersion.
const Version = "0.1.0"

const (
	// watchersPerDataCentre is how many hosts of a data centre watch the table in the store. With two, one can fail
	// without delaying changes, and the number of store calls does not grow with the number of hosts.
	watchersPerDataCentre = 2
	// maxOperatorConnections bounds the connections of operators, metrics readers and the load balancer's health
	// checks.
	maxOperatorConnections = 256
	// maxOperationTime bounds the duration of a call about the table or a job. The longest is a watch of a job, which
	// is held for 30 s.
	maxOperationTime = 30 * time.Second
	bytesPerMB       = 1 << 20
)

// ErrDrainTimeout means that a graceful shutdown ran out of time with work still in progress.
var ErrDrainTimeout = errors.New("graceful shutdown timed out")

// Options replace the connections of a host in a program that embeds it. The zero value is for production.
type Options struct {
	// DialPeer replaces the TCP dialer for other relay hosts.
	DialPeer func(ctx context.Context, address string) (net.Conn, error)
	// DialStore replaces the TCP dialer for the key-value service.
	DialStore func(ctx context.Context, address string) (net.Conn, error)
	// Dial replaces the TCP dialer for targets, workers and the host list.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Listen replaces the TCP listeners.
	Listen func(address string) (net.Listener, error)
}

// Host is one relay host, which runs requests and jobs.
type Host struct {
	settings   Settings
	self       ident.Instance
	dataCentre ident.DataCentre
	cellMap    cellmap.Map
	log        *logrus.Entry

	metrics  *telemetry.Registry
	store    *kvgrpc.Client
	pool     *peergrpc.Pool
	targets  *targethttp.Client
	workers  *workergrpc.Client
	hostList *hostlisthttp.Client
	requests *peergrpc.RequestClient

	checkedStore *verifyingStore
	ledgers      *ledger.Set
	cluster      *cluster.Service
	members      *memberDirectory
	config       *config.Service
	cells        *cell.Service
	jobs         *jobs.Service
	contact      *contact.Service
	entry        *entry.Service
	fleet        *fleet
	// evacuations is nil if they are turned off.
	evacuations *evacuationFollower
	loanRouter  *loanRouter
	health      health

	guard          *clientconn.Guard
	callerServer   *httpServer
	operatorServer *httpServer
	peerServer     *grpc.Server
	peerListener   net.Listener
}

// Run runs a host until ctx ends, and then shuts it down gracefully: requests in progress are finished.
func Run(ctx context.Context, s Settings, logOut io.Writer) error {
	s.ClientLimits = s.ApplyMemoryLimit()
	h, err := New(s, Options{}, NewLogger(s, logOut))
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

// New creates a host and opens its listeners. The settings must be valid.
func New(s Settings, options Options, log *logrus.Entry) (*Host, error) {
	h := &Host{
		settings:   s,
		dataCentre: ident.DataCentre(s.DataCentre),
		log:        log,
		metrics:    telemetry.NewRegistry(),
	}
	dataCentres := make([]ident.DataCentre, len(s.DataCentres))
	for i, name := range s.DataCentres {
		dataCentres[i] = ident.DataCentre(name)
	}
	h.cellMap = cellmap.New(s.Cells, dataCentres)
	security, err := newTransportSecurity(s)
	if err != nil {
		return nil, err
	}
	if err := h.createClients(options, security); err != nil {
		return nil, err
	}
	h.self = nextInstance(ident.HostID(s.HostID), h.store, log)
	if err := h.listen(options, security); err != nil {
		return nil, err
	}
	h.createServices()
	return h, h.serveRoutes()
}

// createClients creates the clients of the platform and of other hosts. It does not dial yet.
func (h *Host) createClients(options Options, security transportSecurity) error {
	var peerOptions, storeOptions []grpc.DialOption
	if options.DialPeer != nil {
		peerOptions = append(peerOptions, grpc.WithContextDialer(options.DialPeer))
	}
	if options.DialStore != nil {
		storeOptions = append(storeOptions, grpc.WithContextDialer(options.DialStore))
	}
	store, err := kvgrpc.New(kvgrpc.Config{
		Endpoints:      h.settings.StoreEndpoints,
		CallsPerSecond: h.settings.StoreCallRate,
		Burst:          max(1, int(h.settings.StoreCallRate)),
		DialOptions:    storeOptions,
	})
	if err != nil {
		return fmt.Errorf("key-value service: %w", err)
	}
	h.store = store
	h.pool = peergrpc.NewPool(security.client, peerOptions...)
	h.requests = peergrpc.NewRequestClient(h.pool)
	h.targets = targethttp.New(targethttp.Options{Dial: options.Dial})
	var workerOptions []grpc.DialOption
	if options.Dial != nil {
		workerOptions = append(workerOptions, grpc.WithContextDialer(options.Dial))
	}
	h.workers = workergrpc.New(workerOptions...)
	h.hostList = hostlisthttp.New(h.settings.HostListURL, options.Dial)
	return nil
}

func (h *Host) listen(options Options, security transportSecurity) error {
	listen := options.Listen
	if listen == nil {
		listen = listenTCP
	}
	var listeners []net.Listener
	for _, address := range []string{h.settings.CallerAddress, h.settings.OperatorAddress, h.settings.PeerAddress} {
		l, err := listen(address)
		if err != nil {
			return fmt.Errorf("listen on %s: %w", address, err)
		}
		listeners = append(listeners, l)
	}
	maxAnswerTime := max(h.settings.LongestRequest, maxOperationTime)
	h.guard = h.settings.newGuard(h.metrics)
	connections := h.settings.connections(h.settings.MaxCallerConnections, maxOperatorConnections, h.settings.MaxPeerConnections)
	callers, operators := newHTTPLimits(connections.callers, maxAnswerTime), newHTTPLimits(connections.status, maxAnswerTime)
	callers.guard, operators.guard = h.guard, h.guard
	h.callerServer = newHTTPServer(listeners[0], callers, nil)
	h.operatorServer = newHTTPServer(listeners[1], operators, security.operators)
	peers := peergrpc.NewGuard(h.guard.Budget(), connections.peers, h.guard.Count)
	h.peerListener = peers.Listener(netutil.LimitListener(listeners[2], connections.peers))
	h.peerServer = grpc.NewServer(slices.Concat(peergrpc.ServerOptions(security.server), peers.ServerOptions(), peergrpc.ContainPanics(h.log))...)
	return nil
}

func (h *Host) createServices() {
	h.ledgers = ledger.NewSet(ledger.New(h.self, h.ledgerLimits()))
	h.checkedStore = newVerifyingStore(h.store, h.settings.sharedSettings())
	codec := clusterrecord.Codec{}
	recorder := telemetry.NewRequestMetrics(h.metrics)
	h.members = &memberDirectory{self: h.self, cellMap: h.cellMap, store: h.store, codec: codec}
	h.cells = cell.New(cell.Options{
		Cells:    h.settings.Cells,
		Sender:   h.targets,
		Grants:   clusterGrants{h},
		Seed:     uint64(h.self.Incarnation),
		Recorder: recorder,
	})
	h.cluster = cluster.New(cluster.Config{
		Ownership:     h.ownershipConfig(),
		PeerAddress:   h.settings.AdvertisedAddress(),
		CallerAddress: h.settings.CallerAddress,
		MilliCPU:      int64(h.settings.MilliCPU),
		Seeds:         h.settings.Seeds,
		Store:         h.checkedStore,
		Transport:     peergrpc.NewGossipClient(h.self, h.pool),
		Codec:         codec,
		Seed:          uint64(h.self.Incarnation),
		Drain:         h.drainCell,
		Log:           h.log,
	})
	h.members.cluster = h.cluster
	h.config = config.New(config.Settings{
		Self:    h.self,
		Store:   h.store,
		Codec:   tablepb.Codec{},
		Peers:   peergrpc.NewTableClient(h.pool, h.members),
		Members: h.members,
		Log:     h.log,
	})
	h.evacuations = h.newEvacuationFollower()
	h.jobs = jobs.New(jobs.Config{
		Store:          h.store,
		Codec:          cellpb.Codec{},
		Workers:        h.workers,
		Grants:         h.cluster,
		Clock:          jobs.SystemClock{},
		NewPlanner:     h.newPlanner,
		CommitInterval: commitInterval(h.settings.Cells),
		Policy:         h.settings.policy(),
		Logger:         h.log.Logger,
		Meter:          newOwnerMeter(h.metrics),
		OnReplaced:     h.cluster.GiveUp,

		RefreshEvacuations: h.evacuations.refreshFunc(),
	}, nil)
	h.evacuations.serve(h.jobs)
	h.contact = newContact(h.settings.Cells, h.self, h.jobs, h.cluster, h.pool, h.workers, nil, h.log)
	router := &cellRouter{
		self:       h.self,
		dataCentre: h.dataCentre,
		cellMap:    h.cellMap,
		directory:  h.members,
		local:      h.cells,
		peers:      h.requests,
		random:     rand.New(rand.NewPCG(uint64(h.self.Incarnation), 1)),
	}
	h.entry = entry.New(entry.Options{
		Self:     h.self,
		Ledgers:  h.ledgers,
		Tables:   tableProvider{h.config},
		Cells:    router,
		Issuers:  router,
		Recorder: recorder,

		LongestRequest: h.settings.LongestRequest,
	})
	h.loanRouter = &loanRouter{directory: h.members, self: h.self, local: h.cells, peers: peergrpc.NewLoanClient(h.pool)}
	h.fleet = newFleet(h.cellMap)
	h.health.view = h.view
}

// logWritesPerSecond is the share of the store's write rate, several hundred writes a second, that all cell logs
// together may use.
const logWritesPerSecond = 200

// commitInterval returns the shortest time between two commits of one cell, so that all cells together stay within
// logWritesPerSecond.
func commitInterval(cells int) time.Duration {
	return max(jobs.DefaultCommitInterval, time.Duration(cells)*time.Second/logWritesPerSecond)
}

func (h *Host) ledgerLimits() ledger.Limits {
	return ledger.Limits{Retention: h.settings.KeyRetention, Records: int64(h.settings.LedgerRecords), Bytes: int64(h.settings.LedgerMB) * bytesPerMB}
}

func (h *Host) ownershipConfig() ownership.Config {
	c := ownership.DefaultConfig()
	c.Self = h.self
	c.DataCentre = h.dataCentre
	c.MaxDeadline = h.settings.LongestRequest
	c.Cells = ownershipCells(h.cellMap)
	return c
}

// ownershipCells lists the cells of a deployment, each with the data centre whose hosts are preferred as its owners.
func ownershipCells(m cellmap.Map) []ownership.Cell {
	var cells []ownership.Cell
	for _, id := range CellIDs(m.Cells()) {
		cells = append(cells, ownership.Cell{ID: id, DataCentre: m.DataCentre(id)})
	}
	return cells
}

func (h *Host) newPlanner(id ident.CellID, t *table.Table) placement.Planner {
	options := placement.Options{}
	options.Cell = id
	options.Cells = h.settings.Cells
	options.ShareShift = h.cluster.Grant(id).ShareShift
	options.NoLookAhead = !h.settings.LookAhead
	options.OffRackSlowdown = h.settings.OffRackSlowdown
	planner := placement.NewCell(rand.Uint64(), options)
	planner.SetTable(t)
	return planner
}

func (h *Host) serveRoutes() error {
	h.callerServer.echo.Use(h.health.closeConnectionsOnDrain)
	callerhttp.Register(h.callerServer.echo, h.entry)
	h.health.register(h.operatorServer.echo)
	telemetry.Register(h.operatorServer.echo, h.metrics)
	tokens, err := operatorhttp.NewTokens(h.settings.ReadTokens, h.settings.EditTokens)
	if err != nil {
		return err
	}
	operators := operatorhttp.New(h.config, h.fleet, tokens)
	operators.Register(h.operatorServer.echo)
	operators.RegisterEvacuations(h.operatorServer.echo, h.evacuationService())
	router := jobs.NewRouter(h.jobs, &weightedCellDirectory{
		self:      h.self,
		cells:     h.settings.Cells,
		directory: h.members,
		fleet:     h.fleet,
	}, peergrpc.NewJobsClient(h.pool))
	jobRoutes := jobhttp.New(router)
	jobRoutes.Register(h.callerServer.echo)
	jobRoutes.Register(h.operatorServer.echo, operators.Protect)
	peerv1.RegisterJobsServer(h.peerServer, peergrpc.NewJobsServer(h.jobs))
	peerv1.RegisterRequestsServer(h.peerServer, peergrpc.NewRequestServer(&peerHandler{
		local:     h.cells,
		entry:     h.entry,
		ledgers:   h.ledgers,
		limits:    h.ledgerLimits(),
		onAdopted: func(ident.Instance) { h.publishLocalState() },
	}))
	peergrpc.RegisterTable(h.peerServer, h.config)
	peergrpc.RegisterLoans(h.peerServer, h.cells)
	peergrpc.RegisterGossip(h.peerServer, h.cluster)
	peergrpc.RegisterContact(h.peerServer, h.contact)
	return nil
}

// Run serves until ctx ends or the settings differ from those of the deployment, and then drains the host.
func (h *Host) Run(ctx context.Context) error {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	group, background := errgroup.WithContext(background)
	h.cluster.Listen(h.grantChanged(background))
	group.Go(h.callerServer.serve)
	group.Go(h.operatorServer.serve)
	group.Go(func() error { return h.peerServer.Serve(h.peerListener) })
	h.cluster.Start()
	for _, loop := range append(h.loops(), func(ctx context.Context) { h.guard.Run(ctx, h.log) }) {
		group.Go(func() error {
			contain.Loop(background, h.log, "a background loop of the host", loop)
			return nil
		})
	}
	h.health.setPhase(phaseReady)
	h.log.WithField("instance", h.self.String()).Info("host started")
	var failed error
	select {
	case <-ctx.Done():
	case <-background.Done():
	case failed = <-h.checkedStore.mismatch:
	}
	err := h.drain()
	stopBackground()
	return errors.Join(failed, err, group.Wait())
}

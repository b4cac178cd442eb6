// Package explore runs whole relay hosts in one process with in-memory connections, under a random schedule of
// failures. Under a fake clock (testing/synctest) the time in which nothing happens costs nothing.
package explore

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"google.golang.org/grpc"

	workerv1 "github.com/bulrushrelay/bulrushrelay/api/worker/v1"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/daemon"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/load"
	standinlist "github.com/bulrushrelay/bulrushrelay/standin/hostlist"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/network"
	"github.com/bulrushrelay/bulrushrelay/standin/target"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

const (
	operatorToken = "explore-edit-token-0123456789"
	// platformZone is the network zone of the callers, targets, workers, host list and store.
	platformZone network.Zone = "platform"

	hostCount   = 3
	targetCount = 3
	workerCount = 3
	serviceTime = 20 * time.Millisecond

	drainTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

var dataCentres = []string{"nelson", "richmond", "motueka"}

// Deployment is a deployment whose parts all run in one process.
type Deployment struct {
	transport   *network.MemoryTransport
	links       *network.Network
	recorder    *history.Recorder
	store       *kv.Engine
	targets     []*target.Target
	workers     []*worker.Worker
	executions  *worker.Recorder
	hostList    *standinlist.List
	listedHosts []standinlist.Host
	hosts       []*host
	httpClient  *http.Client
	closeFuncs  []func()
	goroutines  sync.WaitGroup
}

// host is a relay host and its current process.
type host struct {
	deployment *Deployment
	settings   daemon.Settings
	session    *kv.Session
	// processCount is the number of processes started so far. Each has a network zone of its own, so that a killed one
	// stays cut off from all others. It changes only between a stop and the next start.
	processCount int
	// cancel stops the current process. runErr then receives the result of its run.
	cancel context.CancelFunc
	runErr chan error
}

// NewDeployment starts a deployment: the platform's services, targets and workers, and then the relay hosts.
func NewDeployment() (*Deployment, error) {
	transport := network.NewMemoryTransport()
	d := &Deployment{
		transport: transport, links: network.NewInMemory(transport), recorder: history.NewRecorder(time.Now), store: kv.New(kv.Config{}),
		executions: worker.NewRecorder(),
	}
	dial := d.links.Dialer(platformZone)
	httpTransport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
	d.httpClient = &http.Client{Transport: httpTransport, Timeout: 5 * time.Second}
	d.closeFuncs = append(d.closeFuncs, httpTransport.CloseIdleConnections)
	if err := d.startPlatform(); err != nil {
		return nil, err
	}
	for i := range hostCount {
		if err := d.addHost(i); err != nil {
			return nil, err
		}
	}
	for _, h := range d.hosts {
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func addressOf(hostNumber int) string { return fmt.Sprintf("10.0.0.%d:1000", hostNumber) }

func (d *Deployment) listen(hostNumber int) (net.Listener, error) {
	d.links.SetZone(addressOf(hostNumber), platformZone)
	return d.transport.Listen(addressOf(hostNumber))
}

func (d *Deployment) startPlatform() error {
	for i := range targetCount {
		l, err := d.listen(10 + i)
		if err != nil {
			return err
		}
		t := target.Serve(l, serviceTime)
		id := fmt.Sprintf("target-%d", i)
		t.SetObserver(func(r *http.Request, started bool, running int) {
			e := history.Event{Kind: history.RunFinished, Operation: r.Header.Get(load.HeaderOperation), Target: id}
			if started {
				e.Kind, e.InProgress, e.Capacity = history.RunStarted, running, target.Slots
			}
			d.recorder.Add(e)
		})
		d.targets = append(d.targets, t)
		d.closeFuncs = append(d.closeFuncs, func() { _ = t.Close() })
		d.listedHosts = append(d.listedHosts, standinlist.Host{
			ID: id, Address: addressOf(10 + i), Kind: string(hostlist.Target), DataCentre: dataCentres[i%3], Rack: fmt.Sprint("t", i), State: "live",
		})
	}
	for i := range workerCount {
		l, err := d.listen(30 + i)
		if err != nil {
			return err
		}
		id := fmt.Sprintf("worker-%d", i)
		w := worker.New(worker.Config{
			ID: ident.WorkerID(id), Rack: ident.Rack(fmt.Sprint("w", i)), Capacity: resource.Vector{MilliCPU: 8000, MemoryMB: 16_000}, Recorder: d.executions,
		})
		server := grpc.NewServer()
		workerv1.RegisterWorkersServer(server, worker.NewServer(w))
		d.serve(server, l)
		d.workers = append(d.workers, w)
		d.listedHosts = append(d.listedHosts, standinlist.Host{
			ID: id, Address: addressOf(30 + i), Kind: string(hostlist.Worker), DataCentre: dataCentres[i%3], Rack: fmt.Sprint("w", i), State: "live",
		})
	}
	l, err := d.listen(1)
	if err != nil {
		return err
	}
	d.hostList = standinlist.Serve(l, 0)
	d.hostList.Set(d.listedHosts)
	d.closeFuncs = append(d.closeFuncs, func() { _ = d.hostList.Close() })
	return nil
}

func (d *Deployment) serve(server *grpc.Server, l net.Listener) {
	d.closeFuncs = append(d.closeFuncs, server.Stop)
	go func() { _ = server.Serve(l) }()
}

func (d *Deployment) addHost(index int) error {
	l, err := d.listen(50 + index)
	if err != nil {
		return err
	}
	h := &host{deployment: d, session: d.store.Client(fmt.Sprint("relay-", index))}
	server := grpc.NewServer()
	kv.Register(server, h.session)
	d.serve(server, l)
	h.settings = daemon.Settings{
		HostID: dataCentres[index%3] + "-1", DataCentre: dataCentres[index%3], DataCentres: dataCentres, Cells: hostCount,
		CallerAddress: addressOf(100 + index), PeerAddress: addressOf(120 + index), OperatorAddress: addressOf(140 + index),
		Seeds: []string{addressOf(120), addressOf(121)}, StoreEndpoints: []string{addressOf(50 + index)}, StoreCallRate: daemon.DefaultStoreCallRate,
		HostListURL: d.hostList.URL(), EditTokens: []string{operatorToken}, Plain: true, LogFormat: "text", LogLevel: "error",
		DrainTimeout: drainTimeout, LongestRequest: daemon.DefaultLongestRequest, MaxCallerConnections: 256,
		MaxPeerConnections: 64, KeyRetention: time.Hour, LedgerRecords: 100_000, LedgerMB: 64,
		EvacuationBound: 5 * time.Second,
	}
	if err := h.settings.Validate(); err != nil {
		return err
	}
	d.hosts = append(d.hosts, h)
	return nil
}

func (h *host) zone() network.Zone {
	return network.Zone(fmt.Sprintf("%s#%d", h.settings.HostID, h.processCount))
}

// start starts a new process of the host.
func (h *host) start() error {
	h.processCount++
	for _, a := range []string{h.settings.CallerAddress, h.settings.PeerAddress, h.settings.OperatorAddress} {
		h.deployment.links.SetZone(a, h.zone())
	}
	dial := h.deployment.links.Dialer(h.zone())
	dialer := func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, address) }
	relay, err := daemon.New(h.settings, daemon.Options{
		DialPeer: dialer, DialStore: dialer, Dial: dialer, Listen: h.deployment.transport.Listen,
	}, daemon.NewLogger(h.settings, io.Discard))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	runErr := make(chan error, 1)
	h.cancel, h.runErr = cancel, runErr
	h.deployment.goroutines.Go(func() { runErr <- relay.Run(ctx) })
	h.deployment.recorder.Add(history.Event{Kind: history.HostUp, Host: h.settings.HostID})
	return nil
}

// setIsolated cuts the current process off from all others, as if it were frozen, or restores its links. What was sent
// meanwhile then arrives late.
func (h *host) setIsolated(isolated bool) {
	h.deployment.links.SetIsolated(h.zone(), isolated)
	kind := history.HostUp
	if isolated {
		kind = history.HostDown
	}
	h.deployment.recorder.Add(history.Event{Kind: kind, Host: h.settings.HostID})
}

// kill cuts the current process off for good, as if it had been killed, and stops it.
func (h *host) kill() {
	h.setIsolated(true)
	h.cancel()
}

// replace stops the process as planned and starts a new one. The stop may exceed its time limit, because other failures
// can cause that.
func (h *host) replace() error {
	h.deployment.recorder.Add(history.Event{Kind: history.DrainStarted, Host: h.settings.HostID})
	h.deployment.recorder.Add(history.Event{Kind: history.HostDown, Host: h.settings.HostID})
	h.cancel()
	if err := <-h.runErr; err != nil && !errors.Is(err, daemon.ErrDrainTimeout) {
		return fmt.Errorf("planned stop of %s: %w", h.settings.HostID, err)
	}
	return h.start()
}

func (h *host) operatorClient() *operatorhttp.Client {
	return &operatorhttp.Client{BaseURL: "http://" + h.settings.OperatorAddress, Token: operatorToken, HTTP: h.deployment.httpClient}
}

// Stop stops all relay hosts and the platform.
func (d *Deployment) Stop() {
	for _, h := range d.hosts {
		h.cancel()
	}
	d.goroutines.Wait()
	d.links.Heal()
	for _, c := range slices.Backward(d.closeFuncs) {
		c()
	}
	// Attempts to connect that cut links had held back succeed only now. The new connections stay idle and are closed
	// within this time.
	time.Sleep(5 * time.Minute)
}

// Package explore runs whole relay hosts in one process over connections in memory, under a random schedule of failures.
// Under a fake clock (testing/synctest) a run needs no real time.
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
	token = "explore-edit-token-0123456789"
	// platform is the zone of callers, targets, workers, the host list and the store.
	platform network.Zone = "platform"

	hosts   = 3
	targets = 3
	workers = 3
	service = 20 * time.Millisecond

	drainTimeout = 20 * time.Second
	pollInterval = 50 * time.Millisecond
)

var dataCentres = []string{"nelson", "richmond", "motueka"}

// World is a deployment in one process.
type World struct {
	memory   *network.MemoryTransport
	links    *network.Network
	recorder *history.Recorder
	store    *kv.Engine
	targets  []*target.Target
	workers  []*worker.Worker
	ran      *worker.Recorder
	list     *standinlist.List
	listed   []standinlist.Host
	hosts    []*host
	client   *http.Client
	closers  []func()
	running  sync.WaitGroup
}

// host is one relay host with its present process.
type host struct {
	world    *World
	settings daemon.Settings
	session  *kv.Session
	// process counts the processes; each has a zone of its own, so that a killed one stays cut off from all others.
	// It changes only between a stop and the next start.
	process int
	cancel  context.CancelFunc
	ended   chan error
}

// NewWorld starts a deployment.
func NewWorld() (*World, error) {
	memory := network.NewMemoryTransport()
	w := &World{
		memory: memory, links: network.NewInMemory(memory), recorder: history.NewRecorder(time.Now), store: kv.New(kv.Config{}),
		ran: worker.NewRecorder(),
	}
	dial := w.links.Dialer(platform)
	transport := &http.Transport{DialContext: func(ctx context.Context, _, address string) (net.Conn, error) { return dial(ctx, address) }}
	w.client = &http.Client{Transport: transport, Timeout: 5 * time.Second}
	w.closers = append(w.closers, transport.CloseIdleConnections)
	if err := w.startPlatform(); err != nil {
		return nil, err
	}
	for i := range hosts {
		if err := w.addHost(i); err != nil {
			return nil, err
		}
	}
	for _, h := range w.hosts {
		if err := h.start(); err != nil {
			return nil, err
		}
	}
	return w, nil
}

func address(n int) string { return fmt.Sprintf("10.0.0.%d:1000", n) }

func (w *World) listen(n int) (net.Listener, error) {
	w.links.SetZone(address(n), platform)
	return w.memory.Listen(address(n))
}

func (w *World) startPlatform() error {
	for i := range targets {
		l, err := w.listen(10 + i)
		if err != nil {
			return err
		}
		t := target.Serve(l, service)
		id := fmt.Sprintf("target-%d", i)
		t.SetObserver(func(r *http.Request, started bool, running int) {
			e := history.Event{Kind: history.RunFinished, Operation: r.Header.Get(load.HeaderOperation), Target: id}
			if started {
				e.Kind, e.InProgress, e.Capacity = history.RunStarted, running, target.Slots
			}
			w.recorder.Add(e)
		})
		w.targets = append(w.targets, t)
		w.closers = append(w.closers, func() { _ = t.Close() })
		w.listed = append(w.listed, standinlist.Host{
			ID: id, Address: address(10 + i), Kind: string(hostlist.Target), DataCentre: dataCentres[i%3], Rack: fmt.Sprint("t", i), State: "live",
		})
	}
	for i := range workers {
		l, err := w.listen(30 + i)
		if err != nil {
			return err
		}
		id := fmt.Sprintf("worker-%d", i)
		k := worker.New(worker.Config{
			ID: ident.WorkerID(id), Rack: ident.Rack(fmt.Sprint("w", i)), Capacity: resource.Vector{MilliCPU: 8000, MemoryMB: 16_000}, Recorder: w.ran,
		})
		server := grpc.NewServer()
		workerv1.RegisterWorkersServer(server, worker.NewServer(k))
		w.serve(server, l)
		w.workers = append(w.workers, k)
		w.listed = append(w.listed, standinlist.Host{
			ID: id, Address: address(30 + i), Kind: string(hostlist.Worker), DataCentre: dataCentres[i%3], Rack: fmt.Sprint("w", i), State: "live",
		})
	}
	l, err := w.listen(1)
	if err != nil {
		return err
	}
	w.list = standinlist.Serve(l, 0)
	w.list.Set(w.listed)
	w.closers = append(w.closers, func() { _ = w.list.Close() })
	return nil
}

func (w *World) serve(server *grpc.Server, l net.Listener) {
	w.closers = append(w.closers, server.Stop)
	go func() { _ = server.Serve(l) }()
}

func (w *World) addHost(i int) error {
	l, err := w.listen(50 + i)
	if err != nil {
		return err
	}
	h := &host{world: w, session: w.store.Client(fmt.Sprint("relay-", i))}
	server := grpc.NewServer()
	kv.Register(server, h.session)
	w.serve(server, l)
	h.settings = daemon.Settings{
		HostID: dataCentres[i%3] + "-1", DataCentre: dataCentres[i%3], DataCentres: dataCentres, Cells: hosts,
		CallerAddress: address(100 + i), PeerAddress: address(120 + i), OperatorAddress: address(140 + i),
		Seeds: []string{address(120), address(121)}, StoreEndpoints: []string{address(50 + i)}, StoreCallRate: daemon.DefaultStoreCallRate,
		HostListURL: w.list.URL(), EditTokens: []string{token}, Plain: true, LogFormat: "text", LogLevel: "error",
		DrainTimeout: drainTimeout, LongestRequest: daemon.DefaultLongestRequest, MaxCallerConnections: 256,
		MaxPeerConnections: 64, KeyRetention: time.Hour, LedgerRecords: 100_000, LedgerMB: 64,
	}
	if err := h.settings.Validate(); err != nil {
		return err
	}
	w.hosts = append(w.hosts, h)
	return nil
}

func (h *host) zone() network.Zone {
	return network.Zone(fmt.Sprintf("%s#%d", h.settings.HostID, h.process))
}

// start starts a process of the host.
func (h *host) start() error {
	h.process++
	for _, a := range []string{h.settings.CallerAddress, h.settings.PeerAddress, h.settings.OperatorAddress} {
		h.world.links.SetZone(a, h.zone())
	}
	dial := h.world.links.Dialer(h.zone())
	dialer := func(ctx context.Context, address string) (net.Conn, error) { return dial(ctx, address) }
	r, err := daemon.New(h.settings, daemon.Options{
		DialPeer: dialer, DialStore: dialer, Dial: dialer, Listen: h.world.memory.Listen,
	}, daemon.NewLogger(h.settings, io.Discard))
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	h.cancel, h.ended = cancel, ended
	h.world.running.Go(func() { ended <- r.Run(ctx) })
	h.world.recorder.Add(history.Event{Kind: history.HostUp, Host: h.settings.HostID})
	return nil
}

// cutOff cuts the present process off from everything, as a frozen process is, or restores its links: what was sent
// meanwhile arrives late.
func (h *host) cutOff(cut bool) {
	h.world.links.SetIsolated(h.zone(), cut)
	kind := history.HostUp
	if cut {
		kind = history.HostDown
	}
	h.world.recorder.Add(history.Event{Kind: kind, Host: h.settings.HostID})
}

// kill cuts the present process off for good and lets it stop. Nobody hears of it again.
func (h *host) kill() {
	h.cutOff(true)
	h.cancel()
}

// replace stops the process as planned and starts another. A stop that runs out of time is allowed beside other failures.
func (h *host) replace() error {
	h.world.recorder.Add(history.Event{Kind: history.DrainStarted, Host: h.settings.HostID})
	h.world.recorder.Add(history.Event{Kind: history.HostDown, Host: h.settings.HostID})
	h.cancel()
	if err := <-h.ended; err != nil && !errors.Is(err, daemon.ErrDrainTimeout) {
		return fmt.Errorf("planned stop of %s: %w", h.settings.HostID, err)
	}
	return h.start()
}

func (h *host) operator() *operatorhttp.Client {
	return &operatorhttp.Client{BaseURL: "http://" + h.settings.OperatorAddress, Token: token, HTTP: h.world.client}
}

// Stop ends all hosts and the platform.
func (w *World) Stop() {
	for _, h := range w.hosts {
		h.cancel()
	}
	w.running.Wait()
	w.links.Heal()
	for _, c := range slices.Backward(w.closers) {
		c()
	}
	// Connections that were held back by cut links come about, and are idle until this time is over.
	time.Sleep(5 * time.Minute)
}

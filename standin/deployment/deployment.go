// Package deployment runs a whole deployment on one machine, for the demo, the experiments and the scenario tests:
// relay hosts as child processes, and a simulated platform, targets and workers in this process.
package deployment

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/daemon"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/standin/hostlist"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/network"
	"github.com/bulrushrelay/bulrushrelay/standin/target"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
	"github.com/google/uuid"
)

const (
	// OperatorToken is the token for the operator API of every deployment. Deployments listen on loopback only.
	OperatorToken = "standin-edit-token-0123456789"

	startTimeout = 30 * time.Second
	stopTimeout  = 45 * time.Second
	loopback     = "127.0.0.1"
)

// Options describe a deployment. Hosts, Cells, Targets and Workers are totals, spread evenly over the data centres.
type Options struct {
	DataCentres []string
	Hosts       int
	Cells       int
	Targets     int
	Workers     int
	// PerRack is the number of workers and of targets in one rack.
	PerRack int
	// LinkDelay is the one-way delay between data centres.
	LinkDelay time.Duration
	// ServiceTime is the mean time that a target takes for a request.
	ServiceTime time.Duration
	// WorkerCapacity is the capacity of a worker.
	WorkerCapacity resource.Vector
	// HostListLag is the time until a change is visible in the host list.
	HostListLag time.Duration
	// Interference returns the factor by which a task of one class is slowed down by a task of another class on the
	// same worker; nil for no slowdown.
	Interference func(task, other ident.ClassName) float64
	// LogDir is the directory for the logs of the relay hosts.
	LogDir string
	// UseProxies puts a network.Proxy in front of each server that relay hosts or callers connect to, to inject faults
	// into their connections.
	UseProxies bool
	// StrongMilliCPU is the configured CPU capacity, in thousandths of a core, of the first relay host of each data
	// centre, and WeakMilliCPU that of the others; 0 if it is not known.
	StrongMilliCPU, WeakMilliCPU int
	// LogLevel is the log level of the relay hosts; "info" if empty.
	LogLevel string
	Seed     uint64
}

// Tasman returns the first example deployment at its present size.
func Tasman() Options {
	return Options{
		DataCentres:    []string{"nelson", "richmond", "motueka"},
		Hosts:          9,
		Cells:          9,
		Targets:        50,
		Workers:        50,
		PerRack:        8,
		LinkDelay:      500 * time.Microsecond,
		ServiceTime:    20 * time.Millisecond,
		WorkerCapacity: resource.Vector{MilliCPU: 64_000, MemoryMB: 250_000},
		Seed:           1,
	}
}

// Sicily returns the second example deployment at its present size.
func Sicily() Options {
	o := Tasman()
	o.DataCentres = []string{"catania", "palermo", "messina"}
	o.LinkDelay = 1500 * time.Microsecond
	return o
}

// Small returns a deployment with the data centres of Tasman that is small enough to run on a busy machine, also
// several at once. Each worker and each target is in a rack of its own.
func Small() Options {
	o := Tasman()
	o.Hosts, o.Cells, o.Targets, o.Workers, o.PerRack = 3, 3, 6, 6, 1
	o.ServiceTime = 10 * time.Millisecond
	o.WorkerCapacity = resource.Vector{MilliCPU: 8000, MemoryMB: 16_000}
	return o
}

// Deployment is a running deployment.
type Deployment struct {
	options Options
	// Recorder records the requests that targets run and the changes made to the deployment.
	Recorder *history.Recorder
	// Store is the simulated key-value service.
	Store   *kv.Engine
	Hosts   []*Host
	Targets []*target.Target
	Workers []*worker.Worker
	// Executions records the attempts that ran on the workers.
	Executions *worker.Recorder
	HostList   *hostlist.List
	// Proxies holds the proxies by name: peer/HOST, store/HOST, caller/HOST, target/N and worker/N. It is empty without
	// Options.UseProxies.
	Proxies map[string]*network.Proxy

	closeFuncs []func()

	// mu guards the fields below: the current content of the host list, and the evacuations that were requested.
	mu          sync.Mutex
	listedHosts []hostlist.Host
	evacuations []evacuation
}

// Host is one relay host of a deployment. Its process can be replaced by a new one.
type Host struct {
	deployment *Deployment
	Settings   daemon.Settings
	// Session is the host's access to the key-value service. Its faults affect only this host.
	Session *kv.Session
	// startMu serializes the starts of processes and the changes of Settings.MilliCPU.
	startMu sync.Mutex
	// process is the current or last process; nil before the first start. It is read while it is replaced.
	process atomic.Pointer[process]
}

// Start starts a deployment and waits until its hosts answer health checks. The context bounds only the start.
func Start(ctx context.Context, o Options) (*Deployment, error) {
	d := &Deployment{
		options:    o,
		Recorder:   history.NewRecorder(time.Now),
		Store:      kv.New(kv.Config{}),
		Executions: worker.NewRecorder(),
		Proxies:    make(map[string]*network.Proxy),
	}
	if err := d.start(ctx); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Deployment) start(ctx context.Context) error {
	if err := d.serveHostList(); err != nil {
		return err
	}
	for i := range d.options.Targets {
		if err := d.startTarget(i); err != nil {
			return err
		}
	}
	for i := range d.options.Workers {
		if err := d.startWorker(i); err != nil {
			return err
		}
	}
	d.HostList.Set(d.listedHosts)
	if err := d.configureHosts(); err != nil {
		return err
	}
	for _, h := range d.Hosts {
		if err := h.Start(); err != nil {
			return err
		}
	}
	return d.AwaitReachable(ctx)
}

func (d *Deployment) dataCentre(i int) string {
	return d.options.DataCentres[i%len(d.options.DataCentres)]
}

func (d *Deployment) rack(i int) string {
	indexInCentre := i / len(d.options.DataCentres)
	return fmt.Sprintf("%s-r%d", d.dataCentre(i), indexInCentre/d.options.PerRack)
}

func (d *Deployment) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	d.closeFuncs = append(d.closeFuncs, func() { _ = l.Close() })
	return l, nil
}

func (d *Deployment) serveHostList() error {
	l, err := hostlist.Start(loopback+":0", d.options.HostListLag)
	if err != nil {
		return err
	}
	d.HostList = l
	d.closeFuncs = append(d.closeFuncs, func() { _ = l.Close() })
	return nil
}

// AwaitReachable waits until every host answers its health check.
func (d *Deployment) AwaitReachable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range d.Hosts {
		if err := h.process.Load().awaitHealth(ctx, "/healthz", isOK); err != nil {
			return err
		}
	}
	return nil
}

// isOK accepts a health check with status 200.
func isOK(status int, _ healthReply) bool {
	return status == http.StatusOK
}

// AwaitReady waits until every host takes requests.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range d.Hosts {
		if err := h.AwaitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

// tableRetryInterval is the time between two attempts of SetTable.
const tableRetryInterval = 200 * time.Millisecond

// SetTable commits a table through a random host, records that it was accepted and returns its revision. If the
// outcome is unknown or the host cannot reach the store, it repeats the same change until ctx ends; the nonce of the
// change makes that safe. This happens on a busy machine, where a host's calls to the store can time out.
func (d *Deployment) SetTable(ctx context.Context, csv []byte) (uint64, error) {
	client, revision, err := d.reachableOperator(ctx)
	for isRetryable(err) && sleep.For(ctx, tableRetryInterval) == nil {
		client, revision, err = d.reachableOperator(ctx)
	}
	if err != nil {
		return 0, err
	}
	metadata := operatorhttp.ChangeMetadata{Base: revision, Author: "standin", Reason: "deployment", Nonce: uuid.NewString()}
	accepted, err := client.Put(ctx, metadata, operatorhttp.CSV(csv))
	for isRetryable(err) && sleep.For(ctx, tableRetryInterval) == nil {
		accepted, err = client.Put(ctx, metadata, operatorhttp.CSV(csv))
	}
	if err != nil {
		return 0, err
	}
	d.Recorder.Add(history.Event{Kind: history.TableAccepted, Revision: uint64(accepted.Revision)})
	return uint64(accepted.Revision), nil
}

// isRetryable reports whether the outcome of an operator request is unknown, or it failed for a temporary reason.
func isRetryable(err error) bool {
	var problem *operatorhttp.ProblemError
	return errors.As(err, &problem) && problem.Status >= http.StatusBadGateway
}

// reachableOperator returns an operator client for a random host that answers, and the newest revision of the table. A
// host that has just been started does not answer yet.
func (d *Deployment) reachableOperator(ctx context.Context) (*operatorhttp.Client, table.Revision, error) {
	err := errors.New("no relay host is running")
	for _, i := range rand.Perm(len(d.Hosts)) {
		if !d.Hosts[i].Running() {
			continue
		}
		client := d.Hosts[i].OperatorClient()
		var revision table.Revision
		if revision, err = newestRevision(ctx, client); err == nil {
			return client, revision, nil
		}
	}
	return nil, 0, err
}

// CallerURLs returns the base URL for callers of each host, by host id.
func (d *Deployment) CallerURLs() map[string]string {
	out := make(map[string]string)
	for _, h := range d.Hosts {
		out[h.Settings.HostID] = "http://" + h.Settings.CallerAddress
	}
	return out
}

// ProxiedCallerURLs returns the base URLs for callers that connect through the proxy in front of a host. The keys
// differ from the ids of the hosts, so that faults of a proxy are not attributed to the host.
func (d *Deployment) ProxiedCallerURLs() map[string]string {
	out := make(map[string]string)
	for _, h := range d.Hosts {
		if p := d.Proxies["caller/"+h.ID()]; p != nil {
			out["proxy of "+h.ID()] = "http://" + p.Address()
		}
	}
	return out
}

// ServiceTime returns the mean time that a target takes for a request.
func (d *Deployment) ServiceTime() time.Duration {
	return d.options.ServiceTime
}

// SetCut cuts or restores the links between two data centres on all running hosts.
func (d *Deployment) SetCut(a, b string, cut bool) error {
	return d.broadcastLinkCommand(linkCommand{A: network.Zone(a), B: network.Zone(b), Cut: &cut})
}

// broadcastLinkCommand sends a link command to all running hosts.
func (d *Deployment) broadcastLinkCommand(c linkCommand) error {
	var errs error
	for _, h := range d.Hosts {
		if h.Running() {
			errs = errors.Join(errs, h.process.Load().sendLinkCommand(c))
		}
	}
	return errs
}

// Stop kills the relay hosts and closes the simulated platform, targets and workers.
func (d *Deployment) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, h := range d.Hosts {
		if h.process.Load() != nil {
			_ = h.process.Load().stop(ctx, syscall.SIGKILL)
		}
	}
	for i := len(d.closeFuncs) - 1; i >= 0; i-- {
		d.closeFuncs[i]()
	}
}

// TempDir creates a directory for the logs of a deployment.
func TempDir() (string, error) {
	return os.MkdirTemp("", "bulrushrelay-"+strings.ToLower(time.Now().Format("150405"))+"-")
}

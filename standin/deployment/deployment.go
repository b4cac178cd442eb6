// Package deployment runs a whole deployment on one machine: relay hosts as child processes, and stand-ins for the
// platform, the targets and the workers in this process. It serves the demo, the experiments and the scenario tests.
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
	// OperatorToken is the operators' token of every deployment. Deployments listen on loopback only.
	OperatorToken = "standin-edit-token-0123456789"

	startTimeout = 30 * time.Second
	stopTimeout  = 45 * time.Second
	loopback     = "127.0.0.1"
)

// Options describe a deployment. Sizes are totals, spread evenly over the data centres.
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
	// ServiceTime is the mean service time of a target.
	ServiceTime time.Duration
	// WorkerCapacity is the capacity of a worker.
	WorkerCapacity resource.Vector
	// HostListLag is the time until a change shows in the host list.
	HostListLag time.Duration
	// Interference slows tasks down by what runs beside them; nil for none.
	Interference func(task, beside ident.ClassName) float64
	// LogDir receives the logs of the relay hosts.
	LogDir string
	// UseProxies puts a proxy between the processes and in front of them, for failures of connections.
	UseProxies bool
	// StrongMilliCPU and WeakMilliCPU are what the first relay host of each data centre and the others say of their
	// processor time; 0 for nothing.
	StrongMilliCPU, WeakMilliCPU int
	// LogLevel is that of the relay hosts; "info" if empty.
	LogLevel string
	Seed     uint64
}

// Tasman returns the first example deployment at today's size.
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

// Sicily returns the second example deployment at today's size.
func Sicily() Options {
	o := Tasman()
	o.DataCentres = []string{"catania", "palermo", "messina"}
	o.LinkDelay = 1500 * time.Microsecond
	return o
}

// Small returns a deployment with the data centres of Tasman that a busy machine carries beside others. Each worker and
// each target is a rack of its own.
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
	// Recorder receives what targets ran and what is done to the deployment.
	Recorder *history.Recorder
	// Store is the stand-in of the key-value service.
	Store   *kv.Engine
	Hosts   []*Host
	Targets []*target.Target
	Workers []*worker.Worker
	// Executions records what ran on the workers.
	Executions *worker.Recorder
	HostList   *hostlist.List
	// Proxies are named by their place: peer/HOST, store/HOST, caller/HOST, target/N and worker/N.
	Proxies map[string]*network.Proxy

	closers []func()

	// mu guards list, the present content of the host list.
	mu   sync.Mutex
	list []hostlist.Host
}

// Host is one relay host of a deployment. Its process may be replaced by a new one.
type Host struct {
	deployment *Deployment
	Settings   daemon.Settings
	// Session is the host's access to the key-value service, for faults that only this host sees.
	Session *kv.Session
	// starting lets one replacement of the process start at a time.
	starting sync.Mutex
	// process is replaced while others look at it.
	process atomic.Pointer[process]
}

// Start starts a deployment. The context bounds only the start.
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
	if err := d.serveList(); err != nil {
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
	d.HostList.Set(d.list)
	if err := d.prepareHosts(); err != nil {
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
	perCentre := i / len(d.options.DataCentres)
	return fmt.Sprintf("%s-r%d", d.dataCentre(i), perCentre/d.options.PerRack)
}

func (d *Deployment) listen() (net.Listener, error) {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		return nil, fmt.Errorf("listen on loopback: %w", err)
	}
	d.closers = append(d.closers, func() { _ = l.Close() })
	return l, nil
}

func (d *Deployment) serveList() error {
	l, err := hostlist.Start(loopback+":0", d.options.HostListLag)
	if err != nil {
		return err
	}
	d.HostList = l
	d.closers = append(d.closers, func() { _ = l.Close() })
	return nil
}

// AwaitReachable waits until every live host answers its health check.
func (d *Deployment) AwaitReachable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for _, h := range d.Hosts {
		if err := h.process.Load().await(ctx, "/healthz", answers); err != nil {
			return err
		}
	}
	return nil
}

func answers(status int, _ healthReply) bool {
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

// tablePause is how long SetTable waits before it asks again.
const tablePause = 200 * time.Millisecond

// SetTable commits a table through a random host and records that it was accepted. If the outcome is unknown or the host
// cannot reach the store, it repeats the same change until ctx ends: the marker of the change makes that safe. On a busy
// machine the calls of a host to the store can exceed their time-out.
func (d *Deployment) SetTable(ctx context.Context, csv []byte) (uint64, error) {
	client, revision, err := d.operator(ctx)
	for undecided(err) && sleep.For(ctx, tablePause) == nil {
		client, revision, err = d.operator(ctx)
	}
	if err != nil {
		return 0, err
	}
	note := operatorhttp.ChangeMetadata{Base: revision, Author: "standin", Reason: "deployment", Nonce: uuid.NewString()}
	done, err := client.Put(ctx, note, operatorhttp.CSV(csv))
	for undecided(err) && sleep.For(ctx, tablePause) == nil {
		done, err = client.Put(ctx, note, operatorhttp.CSV(csv))
	}
	if err != nil {
		return 0, err
	}
	d.Recorder.Add(history.Event{Kind: history.TableAccepted, Revision: uint64(done.Revision)})
	return uint64(done.Revision), nil
}

// undecided reports whether a change may have been made, or was not made for a reason that passes.
func undecided(err error) bool {
	var problem *operatorhttp.ProblemError
	return errors.As(err, &problem) && problem.Status >= http.StatusBadGateway
}

// operator returns a client of a random host that answers, and the newest revision. A host that has just been started
// does not answer yet.
func (d *Deployment) operator(ctx context.Context) (*operatorhttp.Client, table.Revision, error) {
	err := errors.New("no relay host runs")
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

// CallerURLs returns the base URLs for callers by host.
func (d *Deployment) CallerURLs() map[string]string {
	out := make(map[string]string)
	for _, h := range d.Hosts {
		out[h.Settings.HostID] = "http://" + h.Settings.CallerAddress
	}
	return out
}

// ProxiedCallerURLs returns the base URLs for callers that pass a proxy in front of their host. The names differ from those
// of the hosts, because what a proxy cuts off is not cut off by the host.
func (d *Deployment) ProxiedCallerURLs() map[string]string {
	out := make(map[string]string)
	for _, h := range d.Hosts {
		if p := d.Proxies["caller/"+h.ID()]; p != nil {
			out["proxy of "+h.ID()] = "http://" + p.Address()
		}
	}
	return out
}

// ServiceTime returns the mean service time of a target.
func (d *Deployment) ServiceTime() time.Duration {
	return d.options.ServiceTime
}

// SetCut cuts or restores the links between two data centres.
func (d *Deployment) SetCut(a, b string, cut bool) error {
	return d.linkAll(linkCommand{A: network.Zone(a), B: network.Zone(b), Cut: &cut})
}

func (d *Deployment) linkAll(c linkCommand) error {
	var errs error
	for _, h := range d.Hosts {
		if h.Running() {
			errs = errors.Join(errs, h.process.Load().link(c))
		}
	}
	return errs
}

// Stop ends the relay hosts at once and closes the stand-ins.
func (d *Deployment) Stop() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	for _, h := range d.Hosts {
		if h.process.Load() != nil {
			_ = h.process.Load().stop(ctx, syscall.SIGKILL)
		}
	}
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}

// TempDir returns a new directory for the logs of a deployment.
func TempDir() (string, error) {
	return os.MkdirTemp("", "bulrushrelay-"+strings.ToLower(time.Now().Format("150405"))+"-")
}

package explore

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/bulrushrelay/bulrushrelay/adapter/telemetry"
	"github.com/bulrushrelay/bulrushrelay/core/hostlist"
	"github.com/bulrushrelay/bulrushrelay/core/ident"
	"github.com/bulrushrelay/bulrushrelay/core/lifecycle"
	"github.com/bulrushrelay/bulrushrelay/core/resource"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/daemon"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/platform"
	"github.com/bulrushrelay/bulrushrelay/relay/evacuations"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
	"github.com/bulrushrelay/bulrushrelay/standin/network"
	"github.com/bulrushrelay/bulrushrelay/standin/worker"
)

const (
	jobCellWorkers = 4
	jobHostGrace   = 5 * time.Second
	// addressesPerJobHost is the number of listeners of a host.
	addressesPerJobHost = 4
	// evacuationBound is the time from a request for an evacuation until nothing more may start in the data centre.
	evacuationBound = 5 * time.Second
)

// jobCell is the platform of one cell: its store, its table and its workers. Processes of one relay host own the cell
// one after another. It runs in a synctest bubble.
type jobCell struct {
	t         *testing.T
	transport *network.MemoryTransport
	// links are the links between the hosts; each is a zone of its own.
	links    *network.Network
	store    *kv.Engine
	recorder *worker.Recorder
	fleet    worker.Fleet
	// readable is the table that the processes can read now; nil while the read does not answer.
	readable atomic.Pointer[table.Table]
	started  int
	// workerLease is the setting of the processes. The workers themselves end their leases after lifecycle.LeaseDuration.
	workerLease time.Duration
	// inboxWriteShare is the setting of the processes; 0 means no inboxes.
	inboxWriteShare float64
	// inPicton holds the workers that are in the data centre picton instead of nelson. The processes follow the requests
	// for evacuations if there are any.
	inPicton map[ident.WorkerID]bool
}

// jobProcess is one process of the relay host.
type jobProcess struct {
	cell   *jobCell
	store  *kv.Session
	link   *worker.Link
	router *jobs.Router
	ready  func() bool
	cancel context.CancelFunc
	runErr chan error
	killed bool
}

func newJobCell(t *testing.T) *jobCell {
	transport := network.NewMemoryTransport()
	c := &jobCell{
		t: t, transport: transport, links: network.NewInMemory(transport), store: kv.New(kv.Config{}), recorder: worker.NewRecorder(), fleet: worker.Fleet{},
		workerLease: 6 * time.Second,
	}
	for i := range jobCellWorkers {
		id := ident.WorkerID(fmt.Sprint("worker-", i))
		c.fleet[id] = worker.New(worker.Config{
			ID: id, Rack: ident.Rack(fmt.Sprint("w", i)), Capacity: resource.Vector{MilliCPU: 8000, MemoryMB: 16_000}, Recorder: c.recorder,
		})
	}
	return c
}

// start starts a process of the only host with its own session at the store and its own link to the workers.
func (c *jobCell) start() *jobProcess {
	return c.startHost(1, nil)
}

// startHost starts a process of the host with a number from 1.
func (c *jobCell) startHost(number int, decisions jobs.DecisionLog) *jobProcess {
	c.started++
	firstAddress := 100 + addressesPerJobHost*(number-1)
	hostID := ident.HostID(fmt.Sprint("nelson-", number))
	p := &jobProcess{cell: c, store: c.store.Client(fmt.Sprint("process-", c.started)), link: worker.NewLink(c.fleet), runErr: make(chan error, 1)}
	c.links.SetZone(addressOf(firstAddress+2), network.Zone(hostID))
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	var requests evacuations.Source
	if len(c.inPicton) > 0 {
		requests = evacuations.StoreSource{Store: p.store}
	}
	relay, err := daemon.NewJobHost(daemon.JobSettings{
		HostID: hostID, DataCentre: "nelson", Regions: map[ident.DataCentre]ident.DataCentre{"nelson": "tasman", "picton": "tasman"},
		EvacuationBound: evacuationBound,
		CallerAddress:   addressOf(firstAddress), StatusAddress: addressOf(firstAddress + 1), PeerAddress: addressOf(firstAddress + 2),
		MetricsAddress: addressOf(firstAddress + 3),
		WorkerLease:    c.workerLease, StopTime: 2 * time.Second, SmallestLease: 2 * time.Second, StoreWrites: 1000, Grace: jobHostGrace,
		InboxWriteShare: c.inboxWriteShare,
	}, daemon.JobPorts{
		Metrics: telemetry.NewRegistry(), Store: p.store, Workers: p.link, FollowWorkers: c.followWorkers, FollowTable: c.followTable,
		Evacuations:     requests,
		RegisterCallers: func(_ *echo.Echo, r *jobs.Router) { p.router = r },
		RegisterStatus:  func(_ *echo.Echo, ready func() bool) { p.ready = ready },
		Listen:          c.transport.Listen,
		DialPeer:        c.links.Dialer(network.Zone(hostID)),
		DecisionLog:     decisions,

		IdleCloseResponse: platform.IdleCloseResponse,
	}, logger.WithField("host", string(hostID)))
	require.NoError(c.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	go func() { p.runErr <- relay.Run(ctx) }()
	return p
}

func (c *jobCell) followWorkers(ctx context.Context, _ hostlist.DemandSource, changed func(workers []lifecycle.Member, complete bool)) {
	var list []lifecycle.Member
	for _, w := range c.fleet {
		m := w.Member()
		m.DataCentre = "nelson"
		if c.inPicton[m.ID] {
			m.DataCentre = "picton"
		}
		m.Address = string(m.ID)
		list = append(list, m)
	}
	changed(list, true)
	<-ctx.Done()
}

func (c *jobCell) followTable(ctx context.Context, changed func(*table.Table)) {
	var seen *table.Table
	for {
		if t := c.readable.Load(); t != nil && t != seen {
			seen = t
			changed(t)
		}
		if sleep.For(ctx, pollInterval) != nil {
			return
		}
	}
}

// kill cuts the process off from the store and the workers for good, so that nothing that its end causes has an effect.
func (p *jobProcess) kill() {
	p.killed = true
	p.store.SetFault(kv.Fault{Down: true})
	for id := range p.cell.fleet {
		p.link.SetCut(id, true)
	}
	p.cancel()
	if err := <-p.runErr; !errors.Is(err, daemon.ErrDrainTimeout) {
		require.NoError(p.cell.t, err)
	}
}

// close ends the last process and the workers, and waits until their goroutines have ended.
func (c *jobCell) close(last *jobProcess) {
	last.kill()
	for _, w := range c.fleet {
		w.Crash()
	}
	time.Sleep(time.Minute)
}

// submit submits a job of one task, and repeats it until an owner accepts it.
func (p *jobProcess) submit(ctx context.Context, class ident.ClassName, command string) ident.JobID {
	spec := lifecycle.JobSpec{Class: class, Groups: []lifecycle.TaskGroup{{
		Count: 1, Need: resource.Vector{MilliCPU: 500, MemoryMB: 100}, RunTime: time.Second, Command: command,
	}}}
	for {
		id, err := p.router.Submit(ctx, spec)
		if err == nil {
			return id
		}
		require.NoError(p.cell.t, sleep.For(ctx, pollInterval), "submit: %v", err)
	}
}

// awaitFinal waits until a job is final, and returns its last state.
func (p *jobProcess) awaitFinal(ctx context.Context, id ident.JobID) lifecycle.JobView {
	for {
		v, err := p.router.Get(ctx, id, 0, lifecycle.MaxPageSize)
		if err == nil && v.State.Final() {
			return v
		}
		require.NoError(p.cell.t, sleep.For(ctx, pollInterval), "job %s is %s: %v", id, v.State, err)
	}
}

// connectCaller opens a connection of a caller to the process.
func (c *jobCell) connectCaller(ctx context.Context) net.Conn {
	conn, err := network.NewInMemory(c.transport).Dialer("callers")(ctx, addressOf(100))
	require.NoError(c.t, err)
	return conn
}

// Guards against a planned stop that closes the idle connections of callers without an answer: a call that has just been
// written to one would be lost, and its caller would have to find out from the broken connection.
func TestPlannedStopOfAJobHostAnswersOnIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newJobCell(t)
		p := c.start()
		used, unused := c.connectCaller(t.Context()), c.connectCaller(t.Context())
		defer func() { _, _ = used.Close(), unused.Close() }()
		readers := map[net.Conn]*bufio.Reader{used: bufio.NewReader(used), unused: bufio.NewReader(unused)}
		_, err := io.WriteString(used, "GET /jobs/1 HTTP/1.1\r\nHost: h\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(readers[used], nil)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.False(t, response.Close)
		time.Sleep(time.Second)
		p.cancel()
		for conn, reader := range readers {
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err, "no answer on an open connection")
			require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
			require.True(t, response.Close)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.JSONEq(t, `{"Error":"this host is stopping"}`, string(body))
			// The host waits until its callers have closed these connections.
			require.NoError(t, conn.Close())
		}
		c.close(p)
	})
}

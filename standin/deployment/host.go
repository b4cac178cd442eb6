package deployment

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"syscall"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/core/table"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/standin/network"
)

// ID returns the id of the host.
func (h *Host) ID() string {
	return h.Settings.HostID
}

// Start starts a process for the host: the first one, or a replacement after the last one has ended.
func (h *Host) Start() error {
	h.startMu.Lock()
	defer h.startMu.Unlock()
	if h.Running() {
		return fmt.Errorf("relay host %s is already running", h.ID())
	}
	p, err := startProcess(h.Settings, h.deployment.options.LogDir)
	if err != nil {
		return err
	}
	h.process.Store(p)
	go h.recordTableRevisions(p)
	h.deployment.Recorder.Add(history.Event{Kind: history.HostUp, Host: h.ID()})
	return h.sendLinks()
}

// SetMilliCPU sets the configured CPU capacity of the host, in thousandths of a core. It takes effect with the next
// process.
func (h *Host) SetMilliCPU(n int) {
	h.startMu.Lock()
	defer h.startMu.Unlock()
	h.Settings.MilliCPU = n
}

// MilliCPU returns the configured CPU capacity of the current or last process of the host, in thousandths of a core.
// Before the first start it returns the capacity with which the first process will be configured.
func (h *Host) MilliCPU() int {
	if p := h.process.Load(); p != nil {
		return p.settings.MilliCPU
	}
	h.startMu.Lock()
	defer h.startMu.Unlock()
	return h.Settings.MilliCPU
}

// sendLinks sends the process the data centres of all hosts and the delays of the links to the other data centres.
func (h *Host) sendLinks() error {
	for _, other := range h.deployment.Hosts {
		zone := network.Zone(other.Settings.DataCentre)
		if err := h.process.Load().sendLinkCommand(linkCommand{Address: other.Settings.AdvertisedAddress(), A: zone}); err != nil {
			return err
		}
	}
	for _, dc := range h.deployment.options.DataCentres {
		if dc == h.Settings.DataCentre {
			continue
		}
		c := linkCommand{A: network.Zone(h.Settings.DataCentre), B: network.Zone(dc), Delay: h.deployment.options.LinkDelay}
		if err := h.process.Load().sendLinkCommand(c); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until the host takes requests, knows all running hosts and knows an owner of each cell.
func (h *Host) AwaitReady(ctx context.Context) error {
	cells, running := h.deployment.options.Cells, 0
	for _, other := range h.deployment.Hosts {
		if other.Running() {
			running++
		}
	}
	return h.process.Load().awaitHealth(ctx, "/readyz", func(status int, reply healthReply) bool {
		return status == http.StatusOK && reply.OwnedCells == cells && reply.Members >= running
	})
}

// Running reports whether the host has a process that has not ended. A paused process is running.
func (h *Host) Running() bool {
	if h.process.Load() == nil {
		return false
	}
	select {
	case <-h.process.Load().exited:
		return false
	default:
		return true
	}
}

// PID returns the process id of the current or last process of the host, for measurements; 0 if none was started.
func (h *Host) PID() int {
	if h.process.Load() == nil {
		return 0
	}
	return h.process.Load().command.Process.Pid
}

// Kill ends the process with SIGKILL.
func (h *Host) Kill(ctx context.Context) error {
	h.deployment.Recorder.Add(history.Event{Kind: history.HostDown, Host: h.ID()})
	h.deployment.Recorder.Add(history.Event{Kind: history.HostKilled, Host: h.ID()})
	err := h.process.Load().stop(ctx, syscall.SIGKILL)
	if ctx.Err() != nil {
		return err
	}
	return nil
}

// Pause stops the process with SIGSTOP, to simulate a host that freezes, until Resume.
func (h *Host) Pause() error {
	h.deployment.Recorder.Add(history.Event{Kind: history.HostDown, Host: h.ID()})
	return h.process.Load().signal(syscall.SIGSTOP)
}

// Resume continues a paused process. The host is recorded as up again unless its process is being stopped.
func (h *Host) Resume() error {
	p := h.process.Load()
	if h.Running() && !p.stopping.Load() {
		h.deployment.Recorder.Add(history.Event{Kind: history.HostUp, Host: h.ID()})
	}
	return p.signal(syscall.SIGCONT)
}

// HangUp sends SIGHUP, with which operators make a host reload its settings. It must not end the process.
func (h *Host) HangUp() error {
	return h.process.Load().signal(syscall.SIGHUP)
}

// Crashed reports whether the process has ended without having been stopped by this program.
func (h *Host) Crashed() bool {
	return !h.Running() && !h.process.Load().stopping.Load()
}

// Drain stops the process with SIGTERM, as in a planned shutdown. It returns an error unless the process exits with
// code 0.
func (h *Host) Drain(ctx context.Context) error {
	h.deployment.Recorder.Add(history.Event{Kind: history.DrainStarted, Host: h.ID()})
	h.deployment.Recorder.Add(history.Event{Kind: history.HostDown, Host: h.ID()})
	if err := h.process.Load().stop(ctx, syscall.SIGTERM); err != nil {
		return fmt.Errorf("drain %s: %w", h.ID(), err)
	}
	return nil
}

// OperatorClient returns a client of the operator API of the host.
func (h *Host) OperatorClient() *operatorhttp.Client {
	return &operatorhttp.Client{BaseURL: "http://" + h.Settings.OperatorAddress, Token: OperatorToken, HTTP: http.DefaultClient}
}

// newestRevision returns the newest revision of the table, which a change is based on; 0 if there is no table yet.
func newestRevision(ctx context.Context, client *operatorhttp.Client) (table.Revision, error) {
	t, err := client.Table(ctx, 0)
	var problem *operatorhttp.ProblemError
	if errors.As(err, &problem) && problem.Status == http.StatusNotFound {
		return 0, nil
	}
	return t.Revision, err
}

// tablePollInterval bounds the error of the recorded time at which a revision of the table came into force.
const tablePollInterval = 20 * time.Millisecond

// recordTableRevisions records each revision of the table that comes into force on a process of the host, until the
// process ends.
func (h *Host) recordTableRevisions(p *process) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ticker := time.NewTicker(tablePollInterval)
	defer ticker.Stop()
	lastRevision := uint64(0)
	for {
		select {
		case <-p.exited:
			return
		case <-ticker.C:
		}
		_, reply, err := p.health(ctx, "/healthz")
		if err != nil || reply.TableRevision == 0 || reply.TableRevision == lastRevision {
			continue
		}
		lastRevision = reply.TableRevision
		h.deployment.Recorder.Add(history.Event{Kind: history.TableInForce, Host: h.ID(), Revision: lastRevision})
	}
}

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

// ID returns the name of the host.
func (h *Host) ID() string {
	return h.Settings.HostID
}

// Start starts a process for the host: the first one, or a replacement after it ended.
func (h *Host) Start() error {
	h.starting.Lock()
	defer h.starting.Unlock()
	if h.Running() {
		return fmt.Errorf("relay host %s still runs", h.ID())
	}
	p, err := startProcess(h.Settings, h.deployment.options.LogDir)
	if err != nil {
		return err
	}
	h.process.Store(p)
	go h.watchTable(p)
	h.deployment.Recorder.Add(history.Event{Kind: history.HostUp, Host: h.ID()})
	return h.describeLinks()
}

// SetMilliCPU changes a setting of the host, which its next process takes.
func (h *Host) SetMilliCPU(n int) {
	h.starting.Lock()
	defer h.starting.Unlock()
	h.Settings.MilliCPU = n
}

// MilliCPU returns what the present or last process of the host says of its processor time; before the first one, what
// that will say.
func (h *Host) MilliCPU() int {
	if p := h.process.Load(); p != nil {
		return p.settings.MilliCPU
	}
	h.starting.Lock()
	defer h.starting.Unlock()
	return h.Settings.MilliCPU
}

// describeLinks tells the process where the other hosts are and how long the way to them is.
func (h *Host) describeLinks() error {
	for _, other := range h.deployment.Hosts {
		zone := network.Zone(other.Settings.DataCentre)
		if err := h.process.Load().link(linkCommand{Place: other.Settings.AdvertisedAddress(), A: zone}); err != nil {
			return err
		}
	}
	for _, dc := range h.deployment.options.DataCentres {
		if dc == h.Settings.DataCentre {
			continue
		}
		c := linkCommand{A: network.Zone(h.Settings.DataCentre), B: network.Zone(dc), Delay: h.deployment.options.LinkDelay}
		if err := h.process.Load().link(c); err != nil {
			return err
		}
	}
	return nil
}

// AwaitReady waits until the host takes requests and knows the other hosts and an owner of each cell.
func (h *Host) AwaitReady(ctx context.Context) error {
	cells, running := h.deployment.options.Cells, 0
	for _, other := range h.deployment.Hosts {
		if other.Running() {
			running++
		}
	}
	return h.process.Load().await(ctx, "/readyz", func(status int, reply healthReply) bool {
		return status == http.StatusOK && reply.OwnedCells == cells && reply.Members >= running
	})
}

// Running reports whether the process of the host has not ended.
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

// PID returns the id of the present or last process of the host, for measurements; 0 if none was started.
func (h *Host) PID() int {
	if h.process.Load() == nil {
		return 0
	}
	return h.process.Load().command.Process.Pid
}

// Kill ends the process at once.
func (h *Host) Kill(ctx context.Context) error {
	h.deployment.Recorder.Add(history.Event{Kind: history.HostDown, Host: h.ID()})
	h.deployment.Recorder.Add(history.Event{Kind: history.HostKilled, Host: h.ID()})
	err := h.process.Load().stop(ctx, syscall.SIGKILL)
	if ctx.Err() != nil {
		return err
	}
	return nil
}

// Pause stops the process from running, as a frozen host does; Resume lets it go on.
func (h *Host) Pause() error {
	h.deployment.Recorder.Add(history.Event{Kind: history.HostDown, Host: h.ID()})
	return h.process.Load().signal(syscall.SIGSTOP)
}

// Resume lets a paused process go on. One that is being stopped does not become live again.
func (h *Host) Resume() error {
	p := h.process.Load()
	if h.Running() && !p.ending.Load() {
		h.deployment.Recorder.Add(history.Event{Kind: history.HostUp, Host: h.ID()})
	}
	return p.signal(syscall.SIGCONT)
}

// HangUp sends the signal by which operators make a host read its settings again. It must not end the process.
func (h *Host) HangUp() error {
	return h.process.Load().signal(syscall.SIGHUP)
}

// Crashed reports whether the process ended although nobody stopped it.
func (h *Host) Crashed() bool {
	return !h.Running() && !h.process.Load().ending.Load()
}

// Drain stops the process as planned and returns an error unless it ends with code 0.
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

// newestRevision returns the revision to edit; 0 if there is no table yet.
func newestRevision(ctx context.Context, client *operatorhttp.Client) (table.Revision, error) {
	t, err := client.Table(ctx, 0)
	var problem *operatorhttp.ProblemError
	if errors.As(err, &problem) && problem.Status == http.StatusNotFound {
		return 0, nil
	}
	return t.Revision, err
}

// tablePollInterval bounds the error of the recorded times at which a table came into force.
const tablePollInterval = 20 * time.Millisecond

// watchTable records each revision that comes into force on one process of the host.
func (h *Host) watchTable(p *process) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	ticker := time.NewTicker(tablePollInterval)
	defer ticker.Stop()
	seen := uint64(0)
	for {
		select {
		case <-p.exited:
			return
		case <-ticker.C:
		}
		_, reply, err := p.health(ctx, "/healthz")
		if err != nil || reply.TableRevision == 0 || reply.TableRevision == seen {
			continue
		}
		seen = reply.TableRevision
		h.deployment.Recorder.Add(history.Event{Kind: history.TableInForce, Host: h.ID(), Revision: seen})
	}
}

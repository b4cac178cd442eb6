package soak

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/bulrushrelay/bulrushrelay/action"
	"github.com/bulrushrelay/bulrushrelay/adapter/clusterrecord"
	"github.com/bulrushrelay/bulrushrelay/core/ownership"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

const (
	// historyCheckInterval is the interval between checks of the history during the run.
	historyCheckInterval = 5 * time.Second
	// rollingReadyTimeout bounds how long a rolling restart waits for a restarted host to be ready before it stops the
	// next one.
	rollingReadyTimeout = 15 * time.Second
	ownerKeyPrefix      = "/own/"
)

func (r *runner) findHost(name string) (*deployment.Host, error) {
	for _, h := range r.actions.Deployment.Hosts {
		if h.ID() == name {
			return h, nil
		}
	}
	return nil, fmt.Errorf("host %q does not exist", name)
}

// startReplacement performs "replace HOST": a planned stop and a start of a host, in the background.
func (r *runner) startReplacement(args []string) error {
	return r.startReplacements(args, 1)
}

// startRollingRestart performs "rolling HOST...": planned stops and starts of hosts one after another, in the
// background.
func (r *runner) startRollingRestart(args []string) error {
	return r.startReplacements(args, len(r.actions.Deployment.Hosts))
}

func (r *runner) startReplacements(names []string, maxHosts int) error {
	var hosts []*deployment.Host
	for _, name := range names {
		h, err := r.findHost(name)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	if len(hosts) == 0 || len(hosts) > maxHosts {
		return fmt.Errorf("want 1 to %d hosts, got %d", maxHosts, len(hosts))
	}
	r.background.Go(func() {
		for i, h := range hosts {
			r.restartHost(h)
			if i == len(hosts)-1 {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), rollingReadyTimeout)
			_ = h.AwaitReady(ctx)
			cancel()
		}
	})
	return nil
}

// restartHost stops a host as planned and starts it again. A planned stop that exceeds its time limit is counted by the
// host (drain_timeouts_total) and only noted here, because other failures may cause that; the history checker decides
// whether the stop cut off requests.
func (r *runner) restartHost(h *deployment.Host) {
	ctx, cancel := context.WithTimeout(context.Background(), maxPausedReplaceTime)
	defer cancel()
	if !h.Running() {
		r.addNote("restart %s: the host is not running", h.ID())
		return
	}
	if err := h.Drain(ctx); err != nil {
		r.addNote("%v", err)
	}
	if err := h.Start(); err != nil {
		r.addNote("start %s: %v", h.ID(), err)
	}
}

// startTableChurn performs "churn TIME INTERVAL": repeated changes of the table, in the background.
func (r *runner) startTableChurn(args []string) error {
	if len(args) != 2 {
		return errors.New("want a duration and an interval")
	}
	duration, durationErr := time.ParseDuration(args[0])
	interval, intervalErr := time.ParseDuration(args[1])
	if err := errors.Join(durationErr, intervalErr); err != nil {
		return err
	}
	r.background.Go(func() {
		end := time.Now().Add(duration)
		for time.Now().Before(end) {
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			_, _ = r.actions.Deployment.SetTable(ctx, r.nextTable())
			_ = sleep.For(ctx, interval)
			cancel()
		}
	})
	return nil
}

// restartCrashedHosts reports the relay hosts whose processes ended by themselves as violations, and restarts them.
func (r *runner) restartCrashedHosts() {
	for _, h := range r.actions.Deployment.Hosts {
		if !h.Crashed() {
			continue
		}
		r.addViolation("relay host %s crashed; see its log", h.ID())
		if err := h.Start(); err != nil {
			r.addNote("start %s: %v", h.ID(), err)
		}
	}
}

// startStoppedHosts starts the hosts that the schedule left stopped.
func (r *runner) startStoppedHosts() {
	for _, h := range r.actions.Deployment.Hosts {
		if h.Running() {
			continue
		}
		if err := h.Start(); err != nil {
			r.addNote("start %s: %v", h.ID(), err)
		}
	}
}

// checkPeriodically checks the history at intervals, so that a violation is noted close to the time at which it occurs.
func (r *runner) checkPeriodically(ctx context.Context) {
	for sleep.For(ctx, historyCheckInterval) == nil {
		r.checkHistory()
	}
}

func (r *runner) isStrong(h *deployment.Host) bool {
	return h.MilliCPU() > 0 && h.MilliCPU() == r.options.Deployment.StrongMilliCPU
}

// cellOwners returns the host that owns each cell, by the key of the cell's ownership record. The result is nil if the
// store cannot be read.
func (r *runner) cellOwners(ctx context.Context) map[string]*deployment.Host {
	owners := make(map[string]*deployment.Host)
	records, err := r.actions.Deployment.Store.Client("soak").Range(ctx, ownerKeyPrefix)
	if err != nil {
		return nil
	}
	for _, e := range records.Entries {
		var record ownership.Record
		if record, err = (clusterrecord.Codec{}).DecodeOwner(e.Value); err != nil {
			continue
		}
		if h, err := r.findHost(string(record.Holder.Host)); err == nil {
			owners[e.Key] = h
			r.noteHolder(e.Key, record.Holder)
		}
	}
	return owners
}

// watchOwners counts the changes of cell owners from strong hosts to weak ones and back until ctx ends.
func (r *runner) watchOwners(ctx context.Context) {
	lastOwners := r.cellOwners(ctx)
	for sleep.For(ctx, pollInterval) == nil {
		r.countMoves(lastOwners, r.cellOwners(ctx))
	}
}

// countMoves counts the cells whose owner has changed between a strong host and a weak one, and updates lastOwners.
func (r *runner) countMoves(lastOwners, currentOwners map[string]*deployment.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for cell, owner := range currentOwners {
		if lastOwner := lastOwners[cell]; lastOwner != nil && r.isStrong(lastOwner) != r.isStrong(owner) {
			if r.isStrong(owner) {
				r.result.MovesToStrong++
			} else {
				r.result.MovesToWeak++
			}
		}
		lastOwners[cell] = owner
	}
}

// awaitStrongOwners waits until strong hosts own all cells, if the deployment has a strong host in each data centre.
func (r *runner) awaitStrongOwners(ctx context.Context) {
	if len(r.topology().StrongHosts) < len(r.options.Deployment.DataCentres) {
		return
	}
	for {
		owners := r.cellOwners(ctx)
		weakCells := cellsOfWeakHosts(owners, r.isStrong)
		if len(weakCells) == 0 && len(owners) == r.options.Deployment.Cells {
			return
		}
		if sleep.For(ctx, pollInterval) != nil {
			r.addViolation("after the last failure: %d of %d cells have an owner; cells owned by weak hosts: %v", len(owners), r.options.Deployment.Cells, weakCells)
			return
		}
	}
}

// cellsOfWeakHosts returns the cells that weak hosts own, with their owners, as sorted lines.
func cellsOfWeakHosts(owners map[string]*deployment.Host, isStrong func(*deployment.Host) bool) []string {
	var cells []string
	for cell, h := range owners {
		if !isStrong(h) {
			cells = append(cells, cell+" of "+h.ID())
		}
	}
	slices.Sort(cells)
	return cells
}

// checkHistory checks the history so far. Each violation is noted once, with the time at which it was found.
func (r *runner) checkHistory() {
	_, violations := action.Check(r.actions.Deployment, r.bounds(false))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range violations {
		if r.seenViolations[v.Message] {
			continue
		}
		r.seenViolations[v.Message] = true
		r.result.Notes = append(r.result.Notes, fmt.Sprintf("after %s: %s: %s", time.Since(r.startedAt).Round(timeResolution), v.Guarantee, v.Message))
	}
}

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
	// checkInterval is how often the record is checked during the run.
	checkInterval = 5 * time.Second
	// rollingWait bounds the wait for one host of a rolling restart before the next one is stopped.
	rollingWait = 15 * time.Second
	ownPrefix   = "/own/"
)

func (r *runner) findHost(name string) (*deployment.Host, error) {
	for _, h := range r.actions.Deployment.Hosts {
		if h.ID() == name {
			return h, nil
		}
	}
	return nil, fmt.Errorf("no host %q", name)
}

// replace stops a host as planned and starts it again, in the background: replace HOST.
func (r *runner) replace(words []string) error {
	return r.replaceEach(words, 1)
}

// rolling replaces hosts one after another, in the background: rolling HOST...
func (r *runner) rolling(words []string) error {
	return r.replaceEach(words, len(r.actions.Deployment.Hosts))
}

func (r *runner) replaceEach(names []string, most int) error {
	var hosts []*deployment.Host
	for _, name := range names {
		h, err := r.findHost(name)
		if err != nil {
			return err
		}
		hosts = append(hosts, h)
	}
	if len(hosts) == 0 || len(hosts) > most {
		return fmt.Errorf("want 1 to %d hosts", most)
	}
	r.wg.Go(func() {
		for i, h := range hosts {
			r.restart(h)
			if i == len(hosts)-1 {
				return
			}
			ctx, cancel := context.WithTimeout(context.Background(), rollingWait)
			_ = h.AwaitReady(ctx)
			cancel()
		}
	})
	return nil
}

// restart stops a host as planned and starts it again. A planned stop that runs out of time is counted by the host and
// allowed beside other failures; whether it cut off requests is for the checker.
func (r *runner) restart(h *deployment.Host) {
	ctx, cancel := context.WithTimeout(context.Background(), pausedReplaceTime)
	defer cancel()
	if !h.Running() {
		r.note("restart %s: it does not run", h.ID())
		return
	}
	if err := h.Drain(ctx); err != nil {
		r.note("%v", err)
	}
	if err := h.Start(); err != nil {
		r.note("start %s: %v", h.ID(), err)
	}
}

// churn changes the table again and again, in the background: churn TIME INTERVAL.
func (r *runner) churn(words []string) error {
	if len(words) != 2 {
		return errors.New("want a time and an interval")
	}
	length, errLength := time.ParseDuration(words[0])
	interval, errInterval := time.ParseDuration(words[1])
	if err := errors.Join(errLength, errInterval); err != nil {
		return err
	}
	r.wg.Go(func() {
		end := time.Now().Add(length)
		for time.Now().Before(end) {
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			_, _ = r.actions.Deployment.SetTable(ctx, r.table())
			_ = sleep.For(ctx, interval)
			cancel()
		}
	})
	return nil
}

// lookForCrashes finds processes that ended by themselves. Each is started again.
func (r *runner) lookForCrashes() {
	for _, h := range r.actions.Deployment.Hosts {
		if !h.Crashed() {
			continue
		}
		r.violation("relay host %s ended by itself; see its log", h.ID())
		if err := h.Start(); err != nil {
			r.note("start %s: %v", h.ID(), err)
		}
	}
}

// startAll starts the hosts that the schedule has left stopped.
func (r *runner) startAll() {
	for _, h := range r.actions.Deployment.Hosts {
		if h.Running() {
			continue
		}
		if err := h.Start(); err != nil {
			r.note("start %s: %v", h.ID(), err)
		}
	}
}

// checkWhileRunning checks the record every few seconds, so that a broken guarantee is noted at the time it shows.
func (r *runner) checkWhileRunning(ctx context.Context) {
	for sleep.For(ctx, checkInterval) == nil {
		r.checkNow()
	}
}

func (r *runner) strong(h *deployment.Host) bool {
	return h.MilliCPU() > 0 && h.MilliCPU() == r.options.Deployment.StrongMilliCPU
}

// owners returns the host that owns each cell, by the key of its record.
func (r *runner) owners(ctx context.Context) map[string]*deployment.Host {
	out := make(map[string]*deployment.Host)
	records, err := r.actions.Deployment.Store.Client("soak").Range(ctx, ownPrefix)
	if err != nil {
		return nil
	}
	for _, e := range records.Entries {
		var record ownership.Record
		if record, err = (clusterrecord.Codec{}).DecodeOwner(e.Value); err != nil {
			continue
		}
		if h, err := r.findHost(string(record.Holder.Host)); err == nil {
			out[e.Key] = h
		}
	}
	return out
}

// watchOwners counts the cells that pass from strong hosts to weak ones and back.
func (r *runner) watchOwners(ctx context.Context) {
	last := r.owners(ctx)
	for sleep.For(ctx, pollInterval) == nil {
		r.countMoves(last, r.owners(ctx))
	}
}

// countMoves counts the changes since the last owner of each cell, and notes the present ones.
func (r *runner) countMoves(last, now map[string]*deployment.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for cell, h := range now {
		if before := last[cell]; before != nil && r.strong(before) != r.strong(h) {
			if r.strong(h) {
				r.result.MovesToStrong++
			} else {
				r.result.MovesToWeak++
			}
		}
		last[cell] = h
	}
}

// awaitStrongOwners waits until strong hosts own all cells again, if the deployment has a strong host in each data
// centre.
func (r *runner) awaitStrongOwners(ctx context.Context) {
	if len(r.size().Strong) < len(r.options.Deployment.DataCentres) {
		return
	}
	for {
		owners := r.owners(ctx)
		weak := weakOwners(owners, r.strong)
		if len(weak) == 0 && len(owners) == r.options.Deployment.Cells {
			return
		}
		if sleep.For(ctx, pollInterval) != nil {
			r.violation("after the last failure: %d of %d cells have an owner; cells of weak hosts: %v", len(owners), r.options.Deployment.Cells, weak)
			return
		}
	}
}

// weakOwners returns the cells with the weak hosts that own them, in order.
func weakOwners(owners map[string]*deployment.Host, strong func(*deployment.Host) bool) []string {
	var out []string
	for cell, h := range owners {
		if !strong(h) {
			out = append(out, cell+" of "+h.ID())
		}
	}
	slices.Sort(out)
	return out
}

// checkNow checks the record so far. Each violation is noted once, with the time at which it was first seen.
func (r *runner) checkNow() {
	_, violations := action.Check(r.actions.Deployment, r.bounds(false))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, v := range violations {
		if r.seen[v.Message] {
			continue
		}
		r.seen[v.Message] = true
		r.result.Notes = append(r.result.Notes, fmt.Sprintf("after %s: %s: %s", time.Since(r.began).Round(resolution), v.Guarantee, v.Message))
	}
}

package experiment

import (
	"context"
	"time"

	"github.com/bulrushrelay/bulrushrelay/core/store"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/load"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
	"github.com/bulrushrelay/bulrushrelay/standin/kv"
)

const (
	// ownerKeyPrefix is the prefix of the keys under which the key-value service holds the owner of each cell.
	ownerKeyPrefix = "/own/"
	// settleTime is how long after the loss targets may still run requests that were in progress at the loss.
	settleTime = time.Second
)

// dataCentreLoss kills all relay hosts of a data centre at once. The baseline kills one host.
func dataCentreLoss(ctx context.Context, r *runner) error {
	s := r.deploymentSize(40 * time.Millisecond)
	s.hosts, s.cells = 2*s.hosts, 2*s.cells
	for _, arm := range []string{"one host", "data centre"} {
		if err := r.deploy(ctx, s, standardTable()); err != nil {
			return err
		}
		if err := r.runLossArm(ctx, s, arm); err != nil {
			return err
		}
		r.result.Plots = append(r.result.Plots, r.verdictTimeline(arm+" lost"))
	}
	r.addNote("one run of each arm")
	return nil
}

// ownerRecovery describes how the cells of killed hosts got new owners.
type ownerRecovery struct {
	killedAt time.Time
	// expiredAfter and restoredAfter are the times from killedAt until the last record of a killed owner was gone and
	// until the last affected cell had a new owner.
	expiredAfter, restoredAfter time.Duration
	movedCells                  int
	err                         error
}

func (r *runner) runLossArm(ctx context.Context, s deploymentSize, arm string) error {
	var lostHosts []*deployment.Host
	firstHost := r.deployment.Hosts[0]
	for _, h := range r.deployment.Hosts {
		sameDataCentre := h.Settings.DataCentre == firstHost.Settings.DataCentre
		if h == firstHost || (sameDataCentre && arm == "data centre") {
			lostHosts = append(lostHosts, h)
		}
	}
	checksCtx, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	armDuration := r.armDuration(25 * time.Second)
	st := stream{runID: arm, isHealthy: r.startHealthChecks(checksCtx).isHealthy, classes: []load.Class{
		s.loadClass(classWrite, s.capacity()/8, time.Second, 1), s.loadClass(classRead, s.capacity()/8, time.Second, 3),
	}}
	recoveries := make(chan ownerRecovery, 1)
	go func() { recoveries <- r.killAndObserve(ctx, lostHosts, armDuration) }()
	results, err := r.sendStreams(ctx, armDuration, st)
	if err != nil {
		return err
	}
	recovery := <-recoveries
	if recovery.err != nil {
		return recovery.err
	}
	r.result.addLoadRows(arm, 1, armDuration, st.classes, results[0], s.capacity())
	r.result.addFigure(arm, 1, "cells that changed their owner", float64(recovery.movedCells), "cells")
	r.result.addFigure(arm, 1, "time until the last record of a lost owner was gone", recovery.expiredAfter.Seconds(), "s")
	r.result.addFigure(arm, 1, "time until every lost cell had an owner again", recovery.restoredAfter.Seconds(), "s")
	served, unserved := r.targetRecovery(recovery.killedAt)
	r.result.addFigure(arm, 1, "time until the last target that was served again got a request", served.Seconds(), "s")
	r.result.addFigure(arm, 1, "targets that got no request after the loss", float64(unserved), "targets")
	r.result.addFigure(arm, 1, "non-idempotent operations that ran twice", float64(r.countDuplicates(r.result.StartedAt)), "operations")
	return nil
}

// killAndObserve kills hosts after a fifth of the arm's duration, and then polls the records of the owners in the store
// for three quarters of it.
func (r *runner) killAndObserve(ctx context.Context, hosts []*deployment.Host, armDuration time.Duration) ownerRecovery {
	var recovery ownerRecovery
	if recovery.err = sleep.For(ctx, armDuration/5); recovery.err != nil {
		return recovery
	}
	observer := r.deployment.Store.Client("observer")
	createdBefore, err := ownerRevisions(ctx, observer)
	if err != nil {
		recovery.err = err
		return recovery
	}
	recovery.killedAt = time.Now()
	killed := make(chan error, len(hosts))
	for _, h := range hosts {
		go func() { killed <- h.Kill(ctx) }()
	}
	for range hosts {
		if recovery.err = <-killed; recovery.err != nil {
			return recovery
		}
	}
	recovery.err = recovery.observe(ctx, observer, createdBefore, armDuration*3/4)
	return recovery
}

// observe compares the records of the owners with those from before the loss, until duration has passed since the loss.
func (r *ownerRecovery) observe(ctx context.Context, observer *kv.Session, createdBefore map[string]store.Revision, duration time.Duration) error {
	moved := make(map[string]bool)
	for time.Since(r.killedAt) < duration {
		if err := sleep.For(ctx, pollInterval); err != nil {
			return err
		}
		now, err := ownerRevisions(ctx, observer)
		if err != nil {
			return err
		}
		for key, created := range createdBefore {
			switch revision, found := now[key]; {
			case !found:
				r.expiredAfter = time.Since(r.killedAt)
			case revision != created && !moved[key]:
				moved[key] = true
				r.movedCells++
				r.restoredAfter = time.Since(r.killedAt)
			default:
			}
		}
	}
	return nil
}

// ownerRevisions returns the create revisions of the records of the cells' owners, by key.
func ownerRevisions(ctx context.Context, s *kv.Session) (map[string]store.Revision, error) {
	response, err := s.Range(ctx, ownerKeyPrefix)
	if err != nil {
		return nil, err
	}
	revisions := make(map[string]store.Revision)
	for _, e := range response.Entries {
		revisions[e.Key] = e.CreateRevision
	}
	return revisions, nil
}

// targetRecovery returns the longest time from the loss to the first run at a target, and the number of targets without
// a run. Runs that start within settleTime of the loss don't count.
func (r *runner) targetRecovery(killedAt time.Time) (longest time.Duration, unserved int) {
	firstRuns := make(map[string]time.Duration)
	for _, e := range r.deployment.Recorder.Events() {
		if e.Kind != history.RunStarted || e.At.Before(killedAt.Add(settleTime)) {
			continue
		}
		if _, seen := firstRuns[e.Target]; !seen {
			firstRuns[e.Target] = e.At.Sub(killedAt)
			longest = max(longest, e.At.Sub(killedAt))
		}
	}
	return longest, len(r.deployment.Targets) - len(firstRuns)
}

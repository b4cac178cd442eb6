package experiment

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
	"github.com/bulrushrelay/bulrushrelay/load"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

const (
	healthCheckInterval = 100 * time.Millisecond
	// hostTransitionTimeout bounds the stop of a host, and again its start. It is longer than the drain limit of a relay
	// host.
	hostTransitionTimeout = 35 * time.Second
	// storeOutageDuration is how long the key-value service is down.
	storeOutageDuration = 20 * time.Second
	// bucketDuration is the resolution of figures over time.
	bucketDuration = 500 * time.Millisecond
)

// isReady asks a host whether it accepts requests.
func isReady(ctx context.Context, h *deployment.Host) bool {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.Settings.OperatorAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK
}

// healthChecker polls each host for whether it accepts requests, as the platform's load balancer does.
type healthChecker struct {
	// mu guards ready, which a goroutine for each host writes.
	mu    sync.Mutex
	ready map[string]bool
}

// startHealthChecks returns a health checker that runs until ctx ends.
func (r *runner) startHealthChecks(ctx context.Context) *healthChecker {
	checker := &healthChecker{ready: make(map[string]bool)}
	for _, h := range r.deployment.Hosts {
		checker.ready[h.ID()] = true
		go checker.checkHost(ctx, h)
	}
	return checker
}

func (c *healthChecker) checkHost(ctx context.Context, h *deployment.Host) {
	ticker := time.NewTicker(healthCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		nowReady := isReady(ctx, h)
		c.mu.Lock()
		c.ready[h.ID()] = nowReady
		c.mu.Unlock()
	}
}

func (c *healthChecker) isHealthy(host string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ready[host]
}

// rollingRestart replaces all relay hosts one after the other by planned stops. The baselines are to replace none and
// to kill them.
func rollingRestart(ctx context.Context, r *runner) error {
	s := r.deploymentSize(40 * time.Millisecond)
	if err := r.deploy(ctx, s, standardTable()); err != nil {
		return err
	}
	arms := []struct {
		name string
		stop func(context.Context, *deployment.Host) error
	}{
		{"steady", nil},
		{"planned stops", func(ctx context.Context, h *deployment.Host) error { return h.Drain(ctx) }},
		{"killed", func(ctx context.Context, h *deployment.Host) error { return h.Kill(ctx) }},
	}
	needed := time.Duration(s.hosts) * 20 * time.Second
	for repetition := 1; repetition <= r.options.Repetitions; repetition++ {
		if repetition > 1 && !r.hasTimeFor(repetition-1, needed) {
			break
		}
		for _, arm := range arms {
			if err := r.runRollingArm(ctx, s, arm.name, repetition, arm.stop); err != nil {
				return err
			}
		}
	}
	r.result.Plots = append(r.result.Plots, r.verdictTimeline("whole run"))
	return nil
}

func (r *runner) runRollingArm(ctx context.Context, s deploymentSize, arm string, repetition int, stop func(context.Context, *deployment.Host) error) error {
	checksCtx, stopChecks := context.WithCancel(ctx)
	defer stopChecks()
	checker := r.startHealthChecks(checksCtx)
	sendCtx, stopSending := context.WithTimeout(ctx, r.options.TimeBudget)
	defer stopSending()
	st := stream{runID: fmt.Sprintf("%s-%d", arm, repetition), isHealthy: checker.isHealthy, classes: []load.Class{
		s.loadClass(classWrite, s.capacity()/12, time.Second, 1), s.loadClass(classRead, s.capacity()/12, time.Second, 3),
	}}
	replaceErr := make(chan error, 1)
	startedAt, duration := time.Now(), r.armDuration(4*time.Second)
	if stop != nil {
		// The load lasts for one interval for each host. Replacements that take longer continue without load.
		duration = time.Duration(s.hosts) * r.armDuration(4*time.Second)
		go func() { replaceErr <- r.replaceHosts(ctx, stop, duration/time.Duration(s.hosts)) }()
	} else {
		replaceErr <- nil
	}
	results, err := r.sendStreams(sendCtx, duration, st)
	if err != nil {
		return err
	}
	if err := <-replaceErr; err != nil {
		return err
	}
	r.result.addLoadRows(arm, repetition, duration, st.classes, results[0], s.capacity())
	r.result.addFigure(arm, repetition, "time until all hosts were replaced and ready", time.Since(startedAt).Seconds(), "s")
	r.result.addFigure(arm, repetition, "non-idempotent operations that ran twice", float64(r.countDuplicates(startedAt)), "operations")
	return nil
}

// replaceHosts stops and starts one host after the other, at intervals of at least the given length.
func (r *runner) replaceHosts(ctx context.Context, stop func(context.Context, *deployment.Host) error, interval time.Duration) error {
	for _, h := range r.deployment.Hosts {
		startedAt := time.Now()
		stopCtx, cancel := context.WithTimeout(ctx, hostTransitionTimeout)
		err := stop(stopCtx, h)
		cancel()
		if err != nil {
			return err
		}
		if err := h.Start(); err != nil {
			return err
		}
		startCtx, cancel := context.WithTimeout(ctx, hostTransitionTimeout)
		err = h.AwaitReady(startCtx)
		cancel()
		if err != nil {
			return err
		}
		if err := sleep.For(ctx, interval-time.Since(startedAt)); err != nil {
			return err
		}
	}
	return nil
}

// countDuplicates counts the non-idempotent operations sent since from that ran more than once.
func (r *runner) countDuplicates(from time.Time) int {
	nonIdempotent := make(map[string]bool)
	runs := make(map[string]int)
	for _, e := range r.deployment.Recorder.Events() {
		switch {
		case e.At.Before(from):
		case e.Kind == history.CallSent && !e.Idempotent:
			nonIdempotent[e.Operation] = true
		case e.Kind == history.RunStarted:
			runs[e.Operation]++
		default:
		}
	}
	duplicates := 0
	for operation := range nonIdempotent {
		if runs[operation] > 1 {
			duplicates++
		}
	}
	return duplicates
}

// verdictTimeline returns a plot of the rate of answered calls over time, with a series for each verdict.
func (r *runner) verdictTimeline(title string) Plot {
	rates := make(map[string]map[int]float64)
	lastBucket := 0
	for _, e := range r.deployment.Recorder.Events() {
		if e.Kind != history.CallAnswered {
			continue
		}
		if rates[e.Verdict] == nil {
			rates[e.Verdict] = make(map[int]float64)
		}
		bucket := int(e.At.Sub(r.result.StartedAt) / bucketDuration)
		rates[e.Verdict][bucket] += 1 / bucketDuration.Seconds()
		lastBucket = max(lastBucket, bucket)
	}
	plot := Plot{Title: "Calls by verdict, " + title, XLabel: "s since the start of the experiment", YLabel: "calls a second"}
	for _, verdict := range []string{"ran", "not-run", "may-have-run"} {
		series := Series{Name: verdict}
		for bucket := 0; bucket <= lastBucket && rates[verdict] != nil; bucket++ {
			series.Points = append(series.Points, Point{float64(bucket) * bucketDuration.Seconds(), rates[verdict][bucket]})
		}
		if len(series.Points) > 0 {
			plot.Series = append(plot.Series, series)
		}
	}
	return plot
}

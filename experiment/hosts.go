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
	healthInterval = 100 * time.Millisecond
	// drainBound is longer than the drain limit of a relay host.
	drainBound = 35 * time.Second
	// outage is how long the key-value service is down.
	outage = 20 * time.Second
	bucket = 500 * time.Millisecond
)

// ready asks a host whether it takes requests.
func ready(ctx context.Context, h *deployment.Host) bool {
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

// balancer asks each host every 100 ms whether it takes requests, as the platform's balancer does.
type balancer struct {
	// mu guards ready, which one goroutine for each host writes.
	mu    sync.Mutex
	ready map[string]bool
}

// balance returns a balancer that works until ctx ends.
func (r *runner) balance(ctx context.Context) *balancer {
	b := &balancer{ready: make(map[string]bool)}
	for _, h := range r.deployment.Hosts {
		b.ready[h.ID()] = true
		go b.follow(ctx, h)
	}
	return b
}

func (b *balancer) follow(ctx context.Context, h *deployment.Host) {
	ticker := time.NewTicker(healthInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		usable := ready(ctx, h)
		b.mu.Lock()
		b.ready[h.ID()] = usable
		b.mu.Unlock()
	}
}

func (b *balancer) usable(host string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.ready[host]
}

// rolling replaces all relay hosts one after the other, by planned stops, and in the baseline by killing them.
func rolling(ctx context.Context, r *runner) error {
	s := r.size(40 * time.Millisecond)
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
	need := time.Duration(s.hosts) * 20 * time.Second
	for repetition := 1; repetition <= r.options.Repetitions; repetition++ {
		if repetition > 1 && !r.more(repetition-1, need) {
			break
		}
		for _, arm := range arms {
			if err := r.rollingPart(ctx, s, arm.name, repetition, arm.stop); err != nil {
				return err
			}
		}
	}
	r.result.Plots = append(r.result.Plots, r.timeline("whole run"))
	return nil
}

func (r *runner) rollingPart(ctx context.Context, s size, arm string, repetition int, stop func(context.Context, *deployment.Host) error) error {
	balancing, end := context.WithCancel(ctx)
	defer end()
	b := r.balance(balancing)
	sending, stopSending := context.WithTimeout(ctx, r.options.TimeBudget)
	defer stopSending()
	st := stream{id: fmt.Sprintf("%s-%d", arm, repetition), usable: b.usable, classes: []load.Class{
		s.class(classWrite, s.capacity()/12, time.Second, 1), s.class(classRead, s.capacity()/12, time.Second, 3),
	}}
	replaced := make(chan error, 1)
	began, length := time.Now(), r.part(4*time.Second)
	if stop != nil {
		// The load lasts for one pace for each host. Replacements that take longer go on without load.
		length = time.Duration(s.hosts) * r.part(4*time.Second)
		go func() { replaced <- r.replaceAll(ctx, stop, length/time.Duration(s.hosts)) }()
	} else {
		replaced <- nil
	}
	results, err := r.send(sending, length, st)
	if err != nil {
		return err
	}
	if err := <-replaced; err != nil {
		return err
	}
	r.result.addLoad(arm, repetition, length, st.classes, results[0], s.capacity())
	r.result.figure(arm, repetition, "time until all hosts were replaced and ready", time.Since(began).Seconds(), "s")
	r.result.figure(arm, repetition, "non-idempotent operations that ran twice", float64(r.duplicates(began)), "operations")
	return nil
}

// replaceAll replaces one host after the other, at least one pace apart.
func (r *runner) replaceAll(ctx context.Context, stop func(context.Context, *deployment.Host) error, pace time.Duration) error {
	for _, h := range r.deployment.Hosts {
		began := time.Now()
		bounded, cancel := context.WithTimeout(ctx, drainBound)
		err := stop(bounded, h)
		cancel()
		if err != nil {
			return err
		}
		if err := h.Start(); err != nil {
			return err
		}
		starting, cancel := context.WithTimeout(ctx, drainBound)
		err = h.AwaitReady(starting)
		cancel()
		if err != nil {
			return err
		}
		if err := sleep.For(ctx, pace-time.Since(began)); err != nil {
			return err
		}
	}
	return nil
}

// duplicates counts the non-idempotent operations with more than one run that began after from.
func (r *runner) duplicates(from time.Time) int {
	once := make(map[string]bool)
	runs := make(map[string]int)
	for _, e := range r.deployment.Recorder.Events() {
		switch {
		case e.At.Before(from):
		case e.Kind == history.CallSent && !e.Idempotent:
			once[e.Operation] = true
		case e.Kind == history.RunStarted:
			runs[e.Operation]++
		default:
		}
	}
	n := 0
	for operation := range once {
		if runs[operation] > 1 {
			n++
		}
	}
	return n
}

// timeline returns how many calls were answered over time, by verdict.
func (r *runner) timeline(title string) Plot {
	counts := make(map[string]map[int]float64)
	last := 0
	for _, e := range r.deployment.Recorder.Events() {
		if e.Kind != history.CallAnswered {
			continue
		}
		if counts[e.Verdict] == nil {
			counts[e.Verdict] = make(map[int]float64)
		}
		at := int(e.At.Sub(r.result.Began) / bucket)
		counts[e.Verdict][at] += 1 / bucket.Seconds()
		last = max(last, at)
	}
	p := Plot{Title: "Calls by verdict, " + title, X: "s since the start of the experiment", Y: "calls a second"}
	for _, verdict := range []string{"ran", "not-run", "may-have-run"} {
		line := Series{Name: verdict}
		for at := 0; at <= last && counts[verdict] != nil; at++ {
			line.Points = append(line.Points, Point{float64(at) * bucket.Seconds(), counts[verdict][at]})
		}
		if len(line.Points) > 0 {
			p.Series = append(p.Series, line)
		}
	}
	return p
}

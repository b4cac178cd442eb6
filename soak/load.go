package soak

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/bulrushrelay/bulrushrelay/adapter/jobhttp"
	"github.com/bulrushrelay/bulrushrelay/load"
)

const (
	// openClients keep a connection to each host, and openRate is the rate of each.
	openClients = 2
	openRate    = 5
)

// sendLoad sends requests and jobs in the background for the whole run: through a balancer that knows nothing of the
// hosts, and from clients that use their connections as long as they are open, directly and through proxies.
func (r *runner) sendLoad(ctx context.Context) error {
	g, err := r.generator("base", r.options.Duration, r.actions.Deployment.CallerURLs(),
		load.Class{Name: classWrite, Rate: 60, Timeout: time.Second, MaxAttempts: 4},
		load.Class{Name: classRead, Rate: 60, Idempotent: true, Timeout: time.Second, MaxAttempts: 3})
	if err != nil {
		return err
	}
	r.wg.Go(func() { r.addLoads("", g.Run(ctx)) })
	hosts := map[string]map[string]string{"open": r.actions.Deployment.CallerURLs(), "proxied": r.actions.Deployment.ProxiedCallerURLs()}
	for name, callers := range hosts {
		if len(callers) == 0 {
			continue
		}
		c := load.Class{Name: classRead, Rate: openRate, Idempotent: true, Timeout: time.Second, MaxAttempts: 1, MeanServiceTime: r.options.Deployment.ServiceTime}
		g, err := r.generator(name, r.options.Duration, callers, c)
		if err != nil {
			return err
		}
		r.wg.Go(func() {
			if err := g.RunPersistentClients(ctx, c, openClients); err != nil {
				r.violation("%s: %v", name, err)
			}
			r.addLoads(name+" ", g.Results())
		})
	}
	for i, c := range []load.JobClass{
		{Name: classBatch, Rate: 0.7, Group: jobhttp.Group{Count: 6, Processors: 2, MemoryMB: 200, RunTimeMS: 3000}},
		{Name: classUrgent, Rate: 0.4, Group: jobhttp.Group{Count: 4, Processors: 3, MemoryMB: 200, RunTimeMS: 500}},
	} {
		r.wg.Go(func() { r.actions.Jobs.Run(ctx, c, r.options.Duration, r.options.Seed+uint64(i)) })
	}
	return nil
}

func (r *runner) addLoads(prefix string, results []load.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range results {
		result.Class = prefix + result.Class
		r.result.LoadResults = append(r.result.LoadResults, result)
	}
}

func (r *runner) generator(id string, d time.Duration, hosts map[string]string, classes ...load.Class) (*load.Generator, error) {
	for i := range classes {
		classes[i].MeanServiceTime, classes[i].BodyBytes = r.options.Deployment.ServiceTime, 100
	}
	return load.New(load.Options{
		Hosts: hosts, Classes: classes, Duration: d, Seed: r.options.Seed,
		Recorder: r.actions.Deployment.Recorder, RunID: id + "-",
	})
}

// flood sends a class far above its part of the targets, in the background: flood CLASS RATE TIME.
func (r *runner) flood(words []string, at time.Duration) error {
	if len(words) != 3 {
		return errors.New("want a class, a rate and a time")
	}
	rate, errRate := strconv.ParseFloat(words[1], 64)
	d, errTime := time.ParseDuration(words[2])
	if err := errors.Join(errRate, errTime); err != nil {
		return err
	}
	g, err := r.generator(fmt.Sprintf("flood-%d", at.Milliseconds()), d, r.actions.Deployment.CallerURLs(), load.Class{
		Name: words[0], Rate: rate, Idempotent: true, Timeout: time.Second, MaxAttempts: 1,
	})
	if err != nil {
		return err
	}
	r.wg.Go(func() { g.Run(context.Background()) })
	return nil
}

// race lets several operators change the table at once, in the background: race N. All but one lose as a rule; an
// outcome counts only if it was accepted.
func (r *runner) race(words []string) error {
	var n int
	if _, err := fmt.Sscan(strings.Join(words, " "), &n); err != nil || n < 1 {
		return errors.New("want a number of operators")
	}
	for range n {
		r.wg.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			defer cancel()
			_, _ = r.actions.Deployment.SetTable(ctx, r.table())
		})
	}
	return nil
}

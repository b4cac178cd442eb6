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
	// persistentClientsPerHost is the number of clients that keep a connection open to each host, and
	// persistentClientRate the rate of each of them in requests a second.
	persistentClientsPerHost = 2
	persistentClientRate     = 5
	// batchRunTime is longer than the tasks of the other classes take, except for those that last.
	batchRunTime = 3 * time.Second
)

// startLoad sends requests and jobs in the background for the whole run. The requests come through a load balancer
// without health checks, and from clients that use a connection as long as it is open, directly and through proxies.
func (r *runner) startLoad(ctx context.Context) error {
	g, err := r.newGenerator("base", r.options.Duration, r.actions.Deployment.CallerURLs(),
		load.Class{Name: classWrite, Rate: 60, Timeout: time.Second, MaxAttempts: 4},
		load.Class{Name: classRead, Rate: 60, Idempotent: true, Timeout: time.Second, MaxAttempts: 3})
	if err != nil {
		return err
	}
	r.background.Go(func() { r.addLoadResults("", g.Run(ctx)) })
	callersByRunID := map[string]map[string]string{"open": r.actions.Deployment.CallerURLs(), "proxied": r.actions.Deployment.ProxiedCallerURLs()}
	for runID, callers := range callersByRunID {
		if len(callers) == 0 {
			continue
		}
		class := load.Class{Name: classRead, Rate: persistentClientRate, Idempotent: true, Timeout: time.Second, MaxAttempts: 1, MeanServiceTime: r.options.Deployment.ServiceTime}
		g, err := r.newGenerator(runID, r.options.Duration, callers, class)
		if err != nil {
			return err
		}
		r.background.Go(func() {
			if err := g.RunPersistentClients(ctx, class, persistentClientsPerHost); err != nil {
				r.addViolation("%s: %v", runID, err)
			}
			r.addLoadResults(runID+" ", g.Results())
		})
	}
	for i, c := range []load.JobClass{
		{Name: classBatch, Rate: 0.7, Group: jobhttp.Group{Count: 6, Processors: 2, MemoryMB: 200, RunTimeMS: batchRunTime.Milliseconds()}},
		{Name: classUrgent, Rate: 0.4, Group: jobhttp.Group{Count: 4, Processors: 3, MemoryMB: 200, RunTimeMS: 500}},
		{Name: classLasting, Rate: 0.5, Group: jobhttp.Group{Count: 12, Processors: 0.02, MemoryMB: 10, Lasting: true, Command: "work=10h"}},
	} {
		client := r.actions.Jobs
		if c.Group.Lasting {
			client = r.lasting
		}
		r.background.Go(func() { client.Run(ctx, c, r.options.Duration, r.options.Seed+uint64(i)) })
	}
	return nil
}

func (r *runner) addLoadResults(classPrefix string, results []load.Result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, result := range results {
		result.Class = classPrefix + result.Class
		r.result.LoadResults = append(r.result.LoadResults, result)
	}
}

func (r *runner) newGenerator(runID string, duration time.Duration, hosts map[string]string, classes ...load.Class) (*load.Generator, error) {
	for i := range classes {
		classes[i].MeanServiceTime, classes[i].BodyBytes = r.options.Deployment.ServiceTime, 100
	}
	return load.New(load.Options{
		Hosts: hosts, Classes: classes, Duration: duration, Seed: r.options.Seed,
		Recorder: r.actions.Deployment.Recorder, RunID: runID + "-",
	})
}

// startFlood performs "flood CLASS RATE TIME": requests of a class far above its share of the targets, in the
// background.
func (r *runner) startFlood(args []string, stepTime time.Duration) error {
	if len(args) != 3 {
		return errors.New("want a class, a rate and a duration")
	}
	rate, rateErr := strconv.ParseFloat(args[1], 64)
	duration, durationErr := time.ParseDuration(args[2])
	if err := errors.Join(rateErr, durationErr); err != nil {
		return err
	}
	g, err := r.newGenerator(fmt.Sprintf("flood-%d", stepTime.Milliseconds()), duration, r.actions.Deployment.CallerURLs(), load.Class{
		Name: args[0], Rate: rate, Idempotent: true, Timeout: time.Second, MaxAttempts: 1,
	})
	if err != nil {
		return err
	}
	r.background.Go(func() { g.Run(context.Background()) })
	return nil
}

// startTableRace performs "race N": N operators change the table at the same time, in the background. Usually only one
// change is accepted, so errors are ignored.
func (r *runner) startTableRace(args []string) error {
	var operators int
	if _, err := fmt.Sscan(strings.Join(args, " "), &operators); err != nil || operators < 1 {
		return errors.New("want a positive number of operators")
	}
	for range operators {
		r.background.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), stepTimeout)
			defer cancel()
			_, _ = r.actions.Deployment.SetTable(ctx, r.nextTable())
		})
	}
	return nil
}

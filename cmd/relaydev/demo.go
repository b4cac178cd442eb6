package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/action"
	"github.com/bulrushrelay/bulrushrelay/adapter/jobhttp"
	"github.com/bulrushrelay/bulrushrelay/history"
	"github.com/bulrushrelay/bulrushrelay/load"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

// demoOptions are the settings of the demo.
type demoOptions struct {
	deployment string
	hosts      int
	duration   time.Duration
	rate       float64
	table      string
	record     string
	jobs       bool
}

func demoCommand() *cli.Command {
	var o demoOptions
	return &cli.Command{
		Name:  "demo",
		Usage: "run a deployment under load, print a live summary and an end table, and check the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Usage: "tasman or sicily", Value: "tasman", Destination: &o.deployment},
			&cli.IntFlag{Name: "hosts", Usage: "number of relay hosts", Value: 9, Destination: &o.hosts},
			&cli.DurationFlag{Name: "duration", Usage: "time of the load", Value: 20 * time.Second, Destination: &o.duration},
			&cli.FloatFlag{Name: "rate", Usage: "latency-critical requests a second, over all classes", Value: 600, Destination: &o.rate},
			&cli.BoolFlag{Name: "jobs", Usage: "submit jobs beside the requests", Value: true, Destination: &o.jobs},
			&cli.StringFlag{Name: "table", Usage: "table to use instead of that of the deployment", Destination: &o.table},
			&cli.StringFlag{Name: "record", Usage: "file for the history of the run", Destination: &o.record},
		},
		Action: func(ctx context.Context, _ *cli.Command) error { return demo(ctx, o) },
	}
}

// example is an example deployment with the load of its classes.
type example struct {
	options deployment.Options
	// requests are the latency-critical classes with their part of the rate; jobs the classes of jobs.
	requests []load.Class
	jobs     []load.JobClass
}

func exampleOf(name string) (example, error) {
	switch name {
	case "tasman":
		return example{deployment.Tasman(), []load.Class{
			{Name: "book", Rate: 0.4, Timeout: time.Second, MaxAttempts: 3, BodyBytes: 200},
			{Name: "lookup", Rate: 0.6, Idempotent: true, Timeout: 800 * time.Millisecond, MaxAttempts: 2, BodyBytes: 50},
		}, []load.JobClass{
			{Name: "render", Rate: 10, Group: jobhttp.Group{Count: 40, Processors: 4, MemoryMB: 8000, RunTimeMS: 5000}},
			{Name: "reconcile", Rate: 2, Group: jobhttp.Group{Count: 50, Processors: 8, MemoryMB: 16000, RunTimeMS: 6000}},
			{Name: "assist", Rate: 3, Group: jobhttp.Group{Count: 2, Processors: 16, MemoryMB: 32000, RunTimeMS: 1000}},
		}}, nil
	case "sicily":
		return example{deployment.Sicily(), []load.Class{
			{Name: "assign", Rate: 0.5, Timeout: 1200 * time.Millisecond, MaxAttempts: 3, BodyBytes: 200},
			{Name: "verify", Rate: 0.5, Idempotent: true, Timeout: time.Second, MaxAttempts: 2, BodyBytes: 50},
		}, []load.JobClass{
			{Name: "proof", Rate: 10, Group: jobhttp.Group{Count: 40, Processors: 4, MemoryMB: 8000, RunTimeMS: 5000}},
			{Name: "reconcile", Rate: 4, Group: jobhttp.Group{Count: 50, Processors: 8, MemoryMB: 16000, RunTimeMS: 6000}},
			{Name: "urgent-proof", Rate: 3, Group: jobhttp.Group{Count: 2, Processors: 16, MemoryMB: 32000, RunTimeMS: 1000}},
		}}, nil
	default:
		return example{}, fmt.Errorf("deployment %q: want tasman or sicily", name)
	}
}

func demo(ctx context.Context, o demoOptions) error {
	ex, err := exampleOf(o.deployment)
	if err != nil {
		return err
	}
	if o.table == "" {
		o.table = filepath.Join("deploy", o.deployment, "table.csv")
	}
	csv, err := os.ReadFile(o.table)
	if err != nil {
		return fmt.Errorf("read the table (run from the root of the repository, or use --table): %w", err)
	}
	if ex.options.LogDir, err = deployment.TempDir(); err != nil {
		return err
	}
	ex.options.Hosts = o.hosts
	fmt.Printf("starting %d relay hosts, %d targets, %d workers; logs in %s\n", o.hosts, ex.options.Targets, ex.options.Workers, ex.options.LogDir)
	d, err := deployment.Start(ctx, ex.options)
	if err != nil {
		return err
	}
	defer d.Stop()
	if _, err := d.SetTable(ctx, csv); err != nil {
		return fmt.Errorf("set the table: %w", err)
	}
	if err := d.AwaitReady(ctx); err != nil {
		return err
	}
	first := d.Hosts[0].Settings
	fmt.Printf("callers: http://%s, operators: http://%s/table/ with token %s\n", first.CallerAddress, first.OperatorAddress, deployment.OperatorToken)
	jobs := load.NewJobClient(d.CallerURLs())
	var submitting sync.WaitGroup
	if !o.jobs {
		ex.jobs = nil
	}
	submitting.Go(func() { runJobs(ctx, jobs, ex.jobs, o.duration) })
	results, err := runLoad(ctx, d, ex, o)
	submitting.Wait()
	if err != nil {
		return err
	}
	printResults(results, d)
	printTasks(summarizeTasks(d, jobs, ex.jobs), d)
	events := d.Events()
	if err := record(o.record, events); err != nil {
		return err
	}
	if over := d.OverloadedWorkers(); len(over) > 0 {
		return fmt.Errorf("%d workers carried more than they hold", len(over))
	}
	return reportViolations(events, history.DefaultBounds())
}

func runLoad(ctx context.Context, d *deployment.Deployment, ex example, o demoOptions) ([]load.Result, error) {
	classes := make([]load.Class, len(ex.requests))
	for i, c := range ex.requests {
		c.Rate *= o.rate
		c.MeanServiceTime = ex.options.ServiceTime
		classes[i] = c
	}
	generator, err := load.New(load.Options{
		Hosts: d.CallerURLs(), Classes: classes, Duration: o.duration, Seed: ex.options.Seed, Recorder: d.Recorder,
	})
	if err != nil {
		return nil, err
	}
	live, stop := context.WithCancel(ctx)
	defer stop()
	go printLive(live, generator)
	return generator.Run(ctx), nil
}

func printLive(ctx context.Context, g *load.Generator) {
	ticker := time.NewTicker(2 * time.Second)
	defer ticker.Stop()
	began := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		line := fmt.Sprintf("%5.0f s", time.Since(began).Seconds())
		for _, r := range g.Results() {
			line += fmt.Sprintf("  %s: %d answered, %d not run, %d unknown", r.Class, r.Answered, r.NotRun, r.Unknown)
		}
		fmt.Println(line)
	}
}

func printResults(results []load.Result, d *deployment.Deployment) {
	fmt.Printf("\n%-14s %8s %8s %8s %8s %8s %9s %9s %9s\n", "class", "sent", "answered", "not run", "unknown", "retries", "p50 ms", "p99 ms", "p99.9 ms")
	for _, r := range results {
		ms := func(q float64) float64 { return float64(r.Latency.ValueAtQuantile(q)) / 1000 }
		fmt.Printf("%-14s %8d %8d %8d %8d %8d %9.1f %9.1f %9.1f\n", r.Class, r.Sent, r.Answered, r.NotRun, r.Unknown, r.Retries, ms(50), ms(99), ms(99.9))
	}
	peak := 0
	for _, t := range d.Targets {
		peak = max(peak, t.Stats().PeakInProgress)
	}
	fmt.Printf("\nmost requests in progress at one target: %d\n", peak)
	fmt.Printf("calls to the key-value service: %d\n", d.Store.Counts().Total())
}

func record(name string, events []history.Event) error {
	if name == "" {
		return nil
	}
	return action.WriteHistory(name, events)
}

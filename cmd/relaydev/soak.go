package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/action"
	"github.com/bulrushrelay/bulrushrelay/soak"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

func soakCommand() *cli.Command {
	o := soak.Options{Deployment: deployment.Small()}
	o.Deployment.ServiceTime = 20 * time.Millisecond
	o.Deployment.UseProxies, o.Deployment.StrongMilliCPU, o.Deployment.WeakMilliCPU = true, 2000, 500
	deploymentOptions := &o.Deployment
	var schedule string
	return &cli.Command{
		Name:  "soak",
		Usage: "run a deployment under a random schedule of failures, and check the guarantees",
		Description: "The seed determines the schedule and the load, but not the timing of the processes. A run that broke a\n" +
			"guarantee prints its schedule; --schedule runs it again, also after lines were removed.",
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: "duration", Usage: "how long the load and the failures last; the run ends up to 3 min later", Value: time.Minute, Destination: &o.Duration},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of the schedule and of the load", Value: 1, Destination: &o.Seed},
			&cli.IntFlag{Name: "hosts", Usage: "number of relay hosts", Value: 6, Destination: &deploymentOptions.Hosts},
			&cli.IntFlag{Name: "cells", Usage: "number of cells", Value: 6, Destination: &deploymentOptions.Cells},
			&cli.IntFlag{Name: "targets", Usage: "number of targets", Value: 12, Destination: &deploymentOptions.Targets},
			&cli.IntFlag{Name: "workers", Usage: "number of workers", Value: 12, Destination: &deploymentOptions.Workers},
			&cli.StringFlag{Name: "schedule", Usage: "file with the schedule to run instead of the one that the seed gives", Destination: &schedule},
			&cli.BoolFlag{Name: "print", Usage: "print the schedule even if no guarantee was broken"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if schedule != "" {
				f, err := os.Open(schedule)
				if err != nil {
					return err
				}
				o.Schedule, err = soak.Parse(f)
				if err := errors.Join(err, f.Close()); err != nil {
					return err
				}
			}
			deploymentOptions.Seed = o.Seed
			return runSoak(ctx, o, c.Bool("print"))
		},
	}
}

func runSoak(ctx context.Context, o soak.Options, printSchedule bool) error {
	var err error
	if o.Deployment.LogDir, err = deployment.TempDir(); err != nil {
		return err
	}
	fmt.Printf("seed %d, %s, %d relay hosts; logs in %s\n", o.Seed, o.Duration, o.Deployment.Hosts, o.Deployment.LogDir)
	result, err := soak.Run(ctx, o)
	if err != nil {
		return err
	}
	if err := printSoak(os.Stdout, result, printSchedule); err != nil {
		return err
	}
	if len(result.Violations) == 0 {
		return nil
	}
	name := filepath.Join(o.Deployment.LogDir, "history.jsonl")
	if err := action.WriteHistory(name, result.Events); err != nil {
		return err
	}
	return fmt.Errorf("seed %d: %d violations; history in %s", o.Seed, len(result.Violations), name)
}

func printSoak(w io.Writer, r *soak.Result, printSchedule bool) error {
	var out []byte
	for _, l := range r.LoadResults {
		out = fmt.Appendf(out, "%s: %d sent, %d answered, %d not run, %d unknown\n", l.Class, l.Sent, l.Answered, l.NotRun, l.Unknown)
	}
	out = fmt.Appendf(out, "jobs: %v\n%d steps, %d events, %d violations\nrestarts of lasting tasks of lost workers: %d (%d left out), the longest %s after the loss\ncells that passed to weak hosts: %d, to strong ones: %d\n",
		r.JobCounts, len(r.Schedule), len(r.Events), len(r.Violations), r.Restarts, r.RestartsLeftOut, r.LongestRestart, r.MovesToWeak, r.MovesToStrong)
	for _, n := range r.Notes {
		out = fmt.Appendf(out, "note: %s\n", n)
	}
	if printSchedule || len(r.Violations) > 0 {
		out = append(out, "# schedule\n"...)
		for _, s := range r.Schedule {
			out = fmt.Appendf(out, "%s\n", s)
		}
	}
	for _, v := range r.Violations {
		out = fmt.Appendf(out, "%s\n", v)
	}
	_, err := w.Write(out)
	return err
}

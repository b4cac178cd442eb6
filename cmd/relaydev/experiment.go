package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/experiment"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

func experimentCommand() *cli.Command {
	o := experiment.Defaults()
	var out string
	var sizes []int64
	return &cli.Command{
		Name:      "experiment",
		Usage:     "compare the scheduling policies with baselines in whole deployments, and check the guarantees",
		ArgsUsage: "NAME... (" + strings.Join(experiment.Names(), ", ") + ", or all)",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Usage: "directory for the CSV files and reports", Value: "out", Destination: &out},
			&cli.IntFlag{Name: "hosts", Usage: "number of relay hosts and of cells", Value: o.Hosts, Destination: &o.Hosts},
			&cli.IntFlag{Name: "targets", Usage: "number of targets", Value: o.Targets, Destination: &o.Targets},
			&cli.IntFlag{Name: "workers", Usage: "number of workers", Value: o.Workers, Destination: &o.Workers},
			&cli.DurationFlag{Name: "service", Usage: "mean service time of a target instead of that of the experiment", Destination: &o.MeanServiceTime},
			&cli.DurationFlag{Name: "part", Usage: "duration of one repetition of one arm instead of that of the experiment", Destination: &o.ArmDuration},
			&cli.IntFlag{Name: "repetitions", Usage: "repetitions of each arm", Value: o.Repetitions, Destination: &o.Repetitions},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of arrivals and service times", Value: o.Seed, Destination: &o.Seed},
			&cli.DurationFlag{Name: "budget", Usage: "time limit of one experiment", Value: o.TimeBudget, Destination: &o.TimeBudget},
			&cli.StringFlag{Name: "record", Usage: "existing directory for the histories of the runs", Destination: &o.HistoryDir},
			&cli.Int64SliceFlag{Name: "sizes", Usage: "numbers of relay hosts in the experiment spread", Value: []int64{3, 9, 18}, Destination: &sizes},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			o.SpreadHostCounts = nil
			for _, n := range sizes {
				o.SpreadHostCounts = append(o.SpreadHostCounts, int(n))
			}
			names := c.Args().Slice()
			if len(names) == 1 && names[0] == "all" {
				names = experiment.Names()
			}
			return runExperiments(ctx, names, o, out)
		},
	}
}

// runExperiments runs the named experiments; it continues after one fails and returns all errors.
func runExperiments(ctx context.Context, names []string, o experiment.Options, out string) error {
	if len(names) == 0 {
		return fmt.Errorf("no experiment given: want some of %s", strings.Join(experiment.Names(), ", "))
	}
	dir, err := deployment.TempDir()
	if err != nil {
		return err
	}
	o.LogDir = dir
	fmt.Println("logs of the relay hosts:", dir)
	var errs error
	for _, name := range names {
		result, err := experiment.Run(ctx, name, o)
		if err != nil {
			errs = errors.Join(errs, fmt.Errorf("%s: %w", name, err))
		}
		if result == nil {
			continue
		}
		if len(result.Violations) > 0 {
			errs = errors.Join(errs, fmt.Errorf("%s: %d violations of the guarantees", name, len(result.Violations)))
		}
		errs = errors.Join(errs, result.Print(os.Stdout), result.Write(out))
	}
	return errs
}

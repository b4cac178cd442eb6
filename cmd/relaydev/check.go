package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/history"
)

func checkCommand() *cli.Command {
	var complete bool
	bounds := history.DefaultBounds()
	return &cli.Command{
		Name:      "check",
		Usage:     "check recorded histories for violations of the guarantees",
		ArgsUsage: "FILE...",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: "complete", Usage: "the run was not cut short: evicted tasks must have resumed", Destination: &complete},
			&cli.BoolFlag{Name: "other-failures", Usage: "other failures happened during planned stops, as in soak runs", Destination: &bounds.WithOtherFailures},
			&cli.DurationFlag{Name: "in-force", Usage: "longest time for a table to be in force everywhere", Value: bounds.InForceDelay, Destination: &bounds.InForceDelay},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			if c.Args().Len() == 0 {
				return errors.New("no history file given")
			}
			bounds.RunComplete = complete
			var events []history.Event
			for _, name := range c.Args().Slice() {
				read, err := readHistory(name)
				if err != nil {
					return err
				}
				events = append(events, read...)
			}
			return reportViolations(events, bounds)
		},
	}
}

func readHistory(name string) ([]history.Event, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	events, err := history.Read(f)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	return events, nil
}

// reportViolations checks the events, prints the violations and returns an error if there are any.
func reportViolations(events []history.Event, bounds history.Bounds) error {
	violations := history.Check(events, bounds)
	fmt.Printf("history: %d events, %d violations\n", len(events), len(violations))
	for _, v := range violations {
		fmt.Println(v)
	}
	if len(violations) > 0 {
		return fmt.Errorf("%d violations of the guarantees", len(violations))
	}
	return nil
}

package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/relay/config"
)

func tableOutcomeCommand() *cli.Command {
	return &cli.Command{
		Name:      "outcome",
		Usage:     "show whether a change whose answer was lost took effect",
		ArgsUsage: "MARKER",
		Action:    tableOutcome,
	}
}

func tableOutcome(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 1, 1); err != nil {
		return err
	}
	outcome, err := client.Outcome(ctx, c.Args().First())
	if err != nil {
		return err
	}
	if err := writeOutput(c, outcome, func(w io.Writer) { writeLine(w, string(outcome.State)+": "+outcome.Hint) }); err != nil {
		return err
	}
	switch outcome.State {
	case config.OutcomeCommitted:
		return nil
	case config.OutcomeNotCommitted:
		return exitWith(exitConflict, "the change was not committed")
	default:
		return unknownOutcomeError(outcome.Marker)
	}
}

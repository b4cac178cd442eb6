package main

import (
	"context"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// explainCommand returns the command "explain". It exists at the top level and under "table"; both do the same.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "describe one cell: its value, unit, range, default and present effect",
		ArgsUsage:   "ROW COLUMN",
		Description: "Example: relayctl explain search weight",
		Action:      explain,
	}
}

func explain(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 2, 2); err != nil {
		return err
	}
	e, err := client.Explain(ctx, c.Args().Get(0), c.Args().Get(1))
	if err != nil {
		return err
	}
	return writeOutput(c, e, func(w io.Writer) {
		writeLine(w, "cell:", e.Row+" "+string(e.Column.Name))
		writeLine(w, "value:", strings.TrimSpace(e.Value+" "+e.Column.Unit))
		writeLine(w, "range:", strings.TrimSpace(e.Column.Range+" "+e.Column.Unit))
		if e.Column.Required {
			writeLine(w, "default:", "none, a value is required")
		} else {
			writeLine(w, "default:", e.Column.Default)
		}
		writeLine(w, "effect:", e.Column.Effect)
		writeLine(w, "now:", e.CurrentEffect)
		writeLine(w, "revision:", e.Revision)
	})
}

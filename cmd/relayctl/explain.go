package main

import (
	"context"
	"io"
	"strings"

	"github.com/urfave/cli/v3"
)

// explainCommand is offered at the top level and under table; both do the same.
func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       "describe one cell: its value, unit, range, default and what it does now",
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
	if err := arguments(c, 2, 2); err != nil {
		return err
	}
	e, err := client.Explain(ctx, c.Args().Get(0), c.Args().Get(1))
	if err != nil {
		return err
	}
	return show(c, e, func(w io.Writer) {
		line(w, "cell:", e.Row+" "+string(e.Column.Name))
		line(w, "value:", strings.TrimSpace(e.Value+" "+e.Column.Unit))
		line(w, "range:", strings.TrimSpace(e.Column.Range+" "+e.Column.Unit))
		if e.Column.Required {
			line(w, "default:", "none, a value is required")
		} else {
			line(w, "default:", e.Column.Default)
		}
		line(w, "effect:", e.Column.Effect)
		line(w, "now:", e.CurrentEffect)
		line(w, "revision:", e.Revision)
	})
}

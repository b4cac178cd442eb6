package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	flagFrom = "from"
	flagTo   = "to"
)

func tableDiffCommand() *cli.Command {
	return &cli.Command{
		Name:      "diff",
		Usage:     "show the changes between two revisions, or from a revision to a CSV file",
		ArgsUsage: "[FILE]",
		Description: `Lines start with + for an added row, - for a removed one and ~ for a changed cell.

Example: relayctl table diff table.csv
Example: relayctl table diff --from 12 --to 14`,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagFrom, Sources: env("DIFF_FROM"), Usage: "earlier revision; 0 is the newest"},
			&cli.Uint64Flag{Name: flagTo, Sources: env("DIFF_TO"), Usage: "later revision; 0 is the newest"},
		},
		Action: tableDiff,
	}
}

func tableDiff(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 0, 1); err != nil {
		return err
	}
	diff, err := readDiff(ctx, c, client)
	if err != nil {
		return err
	}
	return writeOutput(c, diff, func(w io.Writer) { writeChanges(w, diff.Changes) })
}

func readDiff(ctx context.Context, c *cli.Command, client *operatorhttp.Client) (operatorhttp.Diff, error) {
	from, to := table.Revision(c.Uint64(flagFrom)), table.Revision(c.Uint64(flagTo))
	switch {
	case c.NArg() == 1 && to != 0:
		return operatorhttp.Diff{}, exitWith(exitUsage, "--to and FILE cannot be given together")
	case c.NArg() == 0 && from == 0:
		return operatorhttp.Diff{}, exitWith(exitUsage, "--from or FILE is required")
	case c.NArg() == 0:
		return client.DiffRevisions(ctx, from, to)
	}
	body, err := readTable(c, c.Args().First())
	if err != nil {
		return operatorhttp.Diff{}, err
	}
	return client.Diff(ctx, from, body)
}

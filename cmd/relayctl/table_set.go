package main

import (
	"bytes"
	"context"
	"errors"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/adapter/tablecsv"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const flagMerge = "merge"

func mergeFlag(prefix string) cli.Flag {
	return &cli.BoolFlag{
		Name: flagMerge, Sources: env(prefix + "MERGE"),
		Usage: "if another operator committed first and no row is in conflict, commit both changes together",
	}
}

func tableSetCommand() *cli.Command {
	return &cli.Command{
		Name:      "set",
		Usage:     "commit a table from a CSV file",
		ArgsUsage: "FILE",
		Description: `FILE "-" is standard input. --base is the revision that was edited, so that another operator's change is
never overwritten.

Example: relayctl table set --base 12 --reason "more room for search" table.csv`,
		Flags: append(changeFlags(), mergeFlag("SET_"), &cli.Uint64Flag{
			Name: flagBase, Required: true, Sources: env("SET_BASE"), Usage: "revision that was edited",
		}),
		Action: tableSet,
	}
}

func tableSet(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 1, 1); err != nil {
		return err
	}
	body, err := readTable(c, c.Args().First())
	if err != nil {
		return err
	}
	return commitTable(ctx, c, client, table.Revision(c.Uint64(flagBase)), body)
}

// commitTable commits a table. With --merge, a change that is out of date but has no conflict is merged with the newest
// revision and committed again, up to maxMergeAttempts times.
func commitTable(ctx context.Context, c *cli.Command, client *operatorhttp.Client, base table.Revision, body operatorhttp.Body) error {
	const maxMergeAttempts = 5
	var err error
	for range maxMergeAttempts {
		metadata, metadataErr := newChangeMetadata(c, base)
		if metadataErr != nil {
			return metadataErr
		}
		err = commitChange(ctx, c, client, metadata, func() (operatorhttp.CommitResult, error) { return client.Put(ctx, metadata, body) })
		var problem *operatorhttp.ProblemError
		mergeable := errors.As(err, &problem) && problem.Merge != nil && len(problem.Merge.Conflicts) == 0
		if !mergeable || !c.Bool(flagMerge) {
			return err
		}
		base = problem.Merge.Head
		var merged bytes.Buffer
		if err := tablecsv.Encode(&merged, operatorhttp.Table{Rows: problem.Merge.Merged}.ToRows()); err != nil {
			return err
		}
		body = operatorhttp.CSV(merged.Bytes())
		printMessage(c, "merging with revision %d", base)
	}
	return err
}

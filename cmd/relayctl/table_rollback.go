package main

import (
	"context"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/adapter/operatorhttp"
	"github.com/bulrushrelay/bulrushrelay/core/table"
)

func tableRollbackCommand() *cli.Command {
	return &cli.Command{
		Name:      "rollback",
		Usage:     "commit a new revision with the rows of an earlier one",
		ArgsUsage: "REVISION",
		Description: `The history keeps the revisions in between. --base is the newest revision that you have seen; a later
change is never overwritten.

Example: relayctl table rollback --base 14 --reason "search too slow" 12`,
		Flags: append(changeFlags(), &cli.Uint64Flag{
			Name: flagBase, Required: true, Sources: env("ROLLBACK_BASE"), Usage: "newest revision that you have seen",
		}),
		Action: tableRollback,
	}
}

func tableRollback(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 1, 1); err != nil {
		return err
	}
	to, err := strconv.ParseUint(c.Args().First(), 10, 64)
	if err != nil {
		return exitWith(exitUsage, "REVISION %q is not a number", c.Args().First())
	}
	metadata, err := newChangeMetadata(c, table.Revision(c.Uint64(flagBase)))
	if err != nil {
		return err
	}
	return commitChange(ctx, c, client, metadata, func() (operatorhttp.CommitResult, error) {
		return client.Rollback(ctx, metadata, table.Revision(to))
	})
}

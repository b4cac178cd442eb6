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
		Usage:     "make a new revision with the rows of an earlier one",
		ArgsUsage: "REVISION",
		Description: `The history keeps the revisions in between. --base is the newest revision that you have seen; a change
that came after it is never overwritten.

Example: relayctl table rollback --base 14 --reason "search too slow" 12`,
		Flags: append(noteFlags(), &cli.Uint64Flag{
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
	if err := arguments(c, 1, 1); err != nil {
		return err
	}
	to, err := strconv.ParseUint(c.Args().First(), 10, 64)
	if err != nil {
		return exitWith(exitUsage, "REVISION %q is not a number", c.Args().First())
	}
	note, err := newNote(c, table.Revision(c.Uint64(flagBase)))
	if err != nil {
		return err
	}
	return perform(ctx, c, client, note, func() (operatorhttp.CommitResult, error) {
		return client.Rollback(ctx, note, table.Revision(to))
	})
}

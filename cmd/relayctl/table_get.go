package main

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const flagRevision = "revision"

func revisionFlag(prefix, usage string) cli.Flag {
	return &cli.Uint64Flag{Name: flagRevision, Sources: env(prefix + "REVISION"), Usage: usage}
}

func tableGetCommand() *cli.Command {
	return &cli.Command{
		Name:  "get",
		Usage: "write the table as CSV, or as JSON with --output json",
		Description: `The revision is written to standard error, for "relayctl table set --base".

Example: relayctl table get > table.csv`,
		Flags:  []cli.Flag{revisionFlag("GET_", "revision to write; 0 is the newest")},
		Action: tableGet,
	}
}

func tableGet(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 0, 0); err != nil {
		return err
	}
	revision := table.Revision(c.Uint64(flagRevision))
	if c.String(flagOutput) == outputJSON {
		t, err := client.Table(ctx, revision)
		if err != nil {
			return err
		}
		return writeOutput(c, t, nil)
	}
	data, got, err := client.TableCSV(ctx, revision)
	if err != nil {
		return err
	}
	printMessage(c, "revision %d", got)
	_, err = c.Root().Writer.Write(data)
	return err
}

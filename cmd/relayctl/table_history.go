package main

import (
	"context"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/core/table"
)

const (
	flagLimit   = "limit"
	flagChanges = "changes"
)

func tableHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:        "history",
		Usage:       "list who changed the table when and why, newest first",
		Description: "The history holds the last 200 revisions.",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagFrom, Sources: env("HISTORY_FROM"), Usage: "newest revision to list; 0 is the newest"},
			&cli.IntFlag{Name: flagLimit, Value: 20, Sources: env("HISTORY_LIMIT"), Usage: "number of revisions, 1 to 200"},
			&cli.BoolFlag{Name: flagChanges, Sources: env("HISTORY_CHANGES"), Usage: "list the changed cells as well"},
		},
		Action: tableHistory,
	}
}

func tableHistory(ctx context.Context, c *cli.Command) error {
	client, err := connect(c)
	if err != nil {
		return err
	}
	if err := checkArgCount(c, 0, 0); err != nil {
		return err
	}
	history, err := client.History(ctx, table.Revision(c.Uint64(flagFrom)), c.Int(flagLimit))
	if err != nil {
		return err
	}
	if !history.Complete {
		printMessage(c, "the store is not reached; older revisions are missing")
	}
	return writeOutput(c, history, func(w io.Writer) {
		writeLine(w, "REVISION", "TIME", "AUTHOR", "ROWS", "REASON")
		for _, r := range history.Records {
			writeLine(w, r.Revision, timeText(&r.Time), r.Author, len(r.Changes), r.Reason)
			if c.Bool(flagChanges) {
				writeChanges(w, r.Changes)
			}
		}
	})
}

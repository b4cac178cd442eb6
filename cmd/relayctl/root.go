package main

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/daemon"
)

const rootDescription = `The table has one row for each class of work, with its weight and limits. A change is committed
completely or not at all, against the revision that was edited.

Every flag can be set by the environment variable that --help names beside it.

Exit codes:
  0  success
  1  the table has faults; nothing was changed
  2  wrong usage or settings; nothing was changed
  3  another operator changed the table first; nothing was changed
  4  the outcome is unknown; ask again with "relayctl table outcome MARKER"
  5  a relay host or the store was not reached, or refused; nothing was changed
  6  the revision is not in force everywhere (status --require)
  7  the token does not allow this; nothing was changed`

// run runs the command line, prints its error and returns the exit code.
func run(ctx context.Context, args []string, in io.Reader, out, errOut io.Writer) int {
	err := newRoot(in, out, errOut).Run(ctx, args)
	if err != nil {
		_, _ = fmt.Fprintln(errOut, "relayctl:", err)
	}
	return exitCode(err)
}

// newRoot returns the root command with all its subcommands.
func newRoot(in io.Reader, out, errOut io.Writer) *cli.Command {
	return &cli.Command{
		Name:        "relayctl",
		Usage:       "read and edit the operators' table of bulrushrelay",
		Version:     daemon.Version,
		Description: rootDescription,
		Flags:       connectionFlags(),
		Commands: []*cli.Command{
			tableCommand(),
			statusCommand(),
			explainCommand(),
			jobCommand(),
			evacuationCommand(),
		},
		Suggest:        true,
		Reader:         in,
		Writer:         out,
		ErrWriter:      errOut,
		OnUsageError:   usageError,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

func usageError(_ context.Context, _ *cli.Command, err error, _ bool) error {
	return exitWith(exitUsage, "%w", err)
}

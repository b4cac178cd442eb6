// Command relayd runs one relay host.
//
// Exit codes: 0 after a graceful shutdown that finished every request, 1 after a failure, 2 for invalid settings, 3
// after a graceful shutdown that reached its time limit with requests still in progress.
package main

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/daemon"
	"github.com/bulrushrelay/bulrushrelay/relay/jobs"
)

const (
	exitFailure      = 1
	exitSettings     = 2
	exitDrainTimeout = 3
)

func main() {
	os.Exit(run())
}

func run() int {
	ctx, stop := daemon.StopSignals()
	defer stop()
	var settings daemon.Settings
	code := 0
	command := &cli.Command{
		Name:      "relayd",
		Usage:     "run one relay host between callers and targets",
		Version:   daemon.Version,
		Flags:     daemon.Flags(&settings),
		UsageText: "relayd --host-id a1 --data-centre north --data-centres north,south --store-endpoints 127.0.0.1:2379 --host-list-url http://127.0.0.1:8500/hosts --plain",
		Commands: []*cli.Command{platformCommand(&code), {
			Name:   "settings-reference",
			Usage:  "print the reference of all settings as Markdown",
			Hidden: true,
			Action: func(context.Context, *cli.Command) error {
				fmt.Print(daemon.SettingsReference())
				return nil
			},
		}, {
			Name:   "events-reference",
			Usage:  "print the reference of the decision log as Markdown",
			Hidden: true,
			Action: func(context.Context, *cli.Command) error {
				fmt.Println(jobs.EventReference())
				return nil
			},
		}},
		Action: func(ctx context.Context, _ *cli.Command) error {
			if err := settings.Validate(); err != nil {
				code = exitSettings
				return err
			}
			return daemon.Run(ctx, settings, os.Stderr)
		},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "relayd:", err)
		switch {
		case errors.Is(err, daemon.ErrDrainTimeout):
			return exitDrainTimeout
		case code != 0:
			return code
		default:
			return exitFailure
		}
	}
	return 0
}

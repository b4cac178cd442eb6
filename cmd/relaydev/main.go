// Command relaydev is for developers: it runs whole deployments with stand-ins for the platform on this machine, sends
// load, measures, and checks the recorded history for violations of the guarantees.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"github.com/bulrushrelay/bulrushrelay/daemon"
	"github.com/bulrushrelay/bulrushrelay/standin/deployment"
)

func main() {
	deployment.RunChild()
	os.Exit(run())
}

// run runs the command line and returns the exit code.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	command := &cli.Command{
		Name:     "relaydev",
		Usage:    "run deployments with stand-ins on this machine, send load, measure, and check the guarantees",
		Version:  daemon.Version,
		Commands: []*cli.Command{demoCommand(), experimentCommand(), checkCommand(), soakCommand()},
	}
	if err := command.Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "relaydev:", err)
		return 1
	}
	return 0
}

// Command relayctl is the operators' tool: it reads and edits the operators' table, shows where it is in force, and
// submits, shows and cancels jobs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	os.Exit(runMain())
}

// runMain returns the exit code, so that its deferred calls run before main exits the process.
func runMain() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return run(ctx, os.Args, os.Stdin, os.Stdout, os.Stderr)
}

package daemon

import (
	"context"
	"os/signal"
	"syscall"
)

// StopSignals returns a context that ends with the first signal for a planned stop. A hang-up, which ends a process by
// default and would cut off the requests in progress, is ignored: a host takes its settings at its start.
func StopSignals() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

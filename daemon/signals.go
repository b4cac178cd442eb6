package daemon

import (
	"context"
	"os/signal"
	"syscall"
)

// StopSignals returns a context that ends with the first signal to shut down gracefully. SIGHUP is ignored: by
// default it would end the process and cut off the requests in progress, and a host reads its settings only at its
// start.
func StopSignals() (context.Context, context.CancelFunc) {
	signal.Ignore(syscall.SIGHUP)
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// Package contain keeps a panic in one goroutine from ending the process, which serves other callers and cells as well.
package contain

import (
	"context"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushrelay/bulrushrelay/internal/sleep"
)

// restartDelay is the pause before a loop runs again after a panic, so that a lasting fault does not fill the log.
const restartDelay = time.Second

var panics atomic.Int64

// Panics returns the number of contained panics since the start of the process.
func Panics() int64 { return panics.Load() }

// Recover is to be deferred. It ends a panic, logs it with its stack and calls then, which may be nil.
func Recover(log logrus.FieldLogger, name string, then func()) {
	cause := recover()
	if cause == nil {
		return
	}
	panics.Add(1)
	log.WithFields(logrus.Fields{"panic": cause, "stack": string(debug.Stack())}).Error("unexpected error in " + name)
	if then != nil {
		then()
	}
}

// Loop calls f, and calls it again after a panic, until f returns or ctx ends.
func Loop(ctx context.Context, log logrus.FieldLogger, name string, f func(ctx context.Context)) {
	for !runs(ctx, log, name, f) && sleep.For(ctx, restartDelay) == nil {
	}
}

// runs reports whether f returned without a panic.
func runs(ctx context.Context, log logrus.FieldLogger, name string, f func(ctx context.Context)) (returned bool) {
	defer Recover(log, name, nil)
	f(ctx)
	return true
}

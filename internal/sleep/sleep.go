// Package sleep waits for a time or for the end of a context, whichever comes first.
package sleep

import (
	"context"
	"time"
)

// For returns nil after d, or the error of ctx if that ends first.
func For(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

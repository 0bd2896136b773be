// Package sleep provides a sleep that ends early when a context is done.
package sleep

import (
	"context"
	"time"
)

// For waits until d has passed or ctx is done, and reports whether it waited for
// all of d. If d is not positive, it returns at once and reports whether ctx is
// not done.
func For(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

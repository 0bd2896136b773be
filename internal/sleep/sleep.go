// Package sleep waits for a time that the end of a context cuts short.
package sleep

import (
	"context"
	"time"
)

// For waits for d; false when ctx ended first.
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

package fleettest

import (
	"context"
	"testing"
)

// Run calls run in the background. At the end of the test it ends run's context and waits
// until run has returned.
func Run(t testing.TB, run func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
}

package watchdog

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// Guards against an instance that says it is ready while a lock that each request needs is
// held for good.
func TestStuckCheckIsReportedUntilItReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lock := make(chan struct{}, 1) // a mutex that synctest can wait for
		var changes []bool
		w := New(zerolog.Nop(), tally.NoopScope, func(healthy bool) { changes = append(changes, healthy) },
			Check{Name: "free", Run: func() {}},
			Check{Name: "lock", Run: func() { lock <- struct{}{}; <-lock }})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		time.Sleep(10 * interval)
		assert.Assert(t, w.Healthy())

		lock <- struct{}{}
		time.Sleep((maxMissedRounds + 2) * interval)
		assert.Assert(t, !w.Healthy())

		<-lock
		time.Sleep(2 * interval)
		assert.Assert(t, w.Healthy())
		cancel()
		synctest.Wait() // changes are recorded by the watchdog's goroutine
		assert.DeepEqual(t, changes, []bool{false, true})
	})
}

// Guards against instances that leave the directory because a step once took its time.
func TestSlowCheckIsNotStuck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := New(zerolog.Nop(), tally.NoopScope, func(bool) { t.Error("the check returns") },
			Check{Name: "slow", Run: func() { time.Sleep((maxMissedRounds - 1) * interval) }})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go w.Run(ctx)
		for range 50 {
			time.Sleep(interval)
			assert.Assert(t, w.Healthy())
		}
		cancel()
		time.Sleep(maxMissedRounds * interval) // the last check returns
	})
}

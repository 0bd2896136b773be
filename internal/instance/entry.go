package instance

import (
	"context"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/internal/directory"
	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/forward"
	"github.com/endivetrack/endivetrack/internal/loads"
	"github.com/endivetrack/endivetrack/internal/manifest"
)

// Bounds of an entry instance.
const (
	// bufferShare is the part of the memory limit that bodies may take.
	bufferShare = 0.2
	// defaultBuffer is used without a memory limit.
	defaultBuffer = 64 << 20
	// leaveWait is how long a stopping instance serves on: the callers' longest
	// use of an address answer and the time for it to go out.
	leaveWait = 3*directory.TTL + 1500*time.Millisecond
	// endMargin is kept back from the time that the process has to stop.
	endMargin = 400 * time.Millisecond
)

// EntryConfig is what an entry instance is told.
type EntryConfig struct {
	Common
	// Callers and Ready are the addresses at which it serves.
	Callers string
	Ready   string
	Regions map[string]string // by failure domain
	Headers forward.Headers
	Engines forward.Engines
	Budget  forward.BudgetConfig
	// Decode reads a manifest document.
	Decode func([]byte) (*manifest.Manifest, error)
	// ReadyHandler wraps the readiness check in the platform's call.
	ReadyHandler func(ready func() bool) http.Handler
}

// RunEntry serves callers until ctx ends and then stops as planned.
func RunEntry(ctx context.Context, c EntryConfig) error {
	c.limitMemory()
	env, out, err := c.environment()
	if err != nil {
		return err
	}
	defer out.Close()
	buffer := int64(defaultBuffer)
	if c.MemoryBytes > 0 {
		buffer = int64(bufferShare * float64(c.MemoryBytes))
	}
	holder := fleet.NewHolder(c.Decode, time.Now)
	f := forward.New(forward.Config{
		Self: forward.Place{Name: c.Name, Region: c.Region, FailureDomain: c.FailureDomain}, Regions: c.Regions,
		Headers: c.Headers, Engines: c.Engines, Budget: c.Budget, Holder: holder,
		Logger: env.Log, Metrics: env.Metrics, BufferBytes: buffer,
	})
	self := fleet.Watcher{Name: c.Name, Region: c.Region, FailureDomain: c.FailureDomain, Address: c.Callers, Internal: c.Internal}
	follower := fleet.NewFollower(self, c.Seeds, holder, env.Peers, env.Log, env.Metrics)
	exchange, err := loads.Listen(c.Name, c.Internal, holder.Entries, f, env.Metrics)
	if err != nil {
		return trace.Wrap(err)
	}
	loops, stopLoops := context.WithCancel(context.Background())
	defer stopLoops()
	go follower.Run(loops)
	go f.Run(loops)
	go exchange.Run(loops)
	go c.watchReloads(loops, env, follower.SetSeeds)

	s := newServers()
	conns := newCallerConns(holder.Limits)
	go conns.run(loops)
	err = s.start(ctx, c.Callers, f, conns.serve)
	if err == nil {
		err = s.start(ctx, c.Ready, c.ReadyHandler(f.Ready), nil)
	}
	if err == nil && c.Metrics != "" {
		err = s.start(ctx, c.Metrics, env.MetricsHandler(out), nil)
	}
	if err != nil {
		return err
	}
	env.Log.Info().Str("callers", c.Callers).Msg("started")
	select {
	case err := <-s.failed:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	stopAt := time.Now().Add(c.Grace - endMargin)
	env.Log.Info().Msg("stopping")
	f.Stop()
	follower.Leave()
	time.Sleep(min(leaveWait, time.Until(stopAt)))
	end, cancel := context.WithDeadline(context.Background(), stopAt)
	defer cancel()
	s.shutdown(end)
	env.Log.Info().Msg("stopped")
	return nil
}

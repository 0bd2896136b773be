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
	"github.com/endivetrack/endivetrack/internal/quarantine"
	"github.com/endivetrack/endivetrack/internal/streamversion"
	"github.com/endivetrack/endivetrack/internal/watchdog"
)

// Memory and shutdown limits of an entry instance.
const (
	// bufferMemoryShare is the share of the memory limit that buffered bodies may use.
	bufferMemoryShare = 0.2
	// defaultBufferBytes bounds the buffered bodies if the process has no memory limit.
	defaultBufferBytes = 64 << 20
	// leaveDelay is how long a stopping instance continues to serve: the longest
	// time that callers use an address, plus the time until it is no longer listed.
	leaveDelay = 3*directory.TTL + 1500*time.Millisecond
	// plannedUtilization is the share of its processors and of its link that an instance
	// uses before callers are sent to further ones. It leaves room for a burst until
	// they are listed.
	plannedUtilization = 0.3
	// stopMargin is the part of the grace period left for the process to exit.
	stopMargin = 400 * time.Millisecond
)

// EntryConfig is the configuration of an entry instance.
type EntryConfig struct {
	Common
	// CallerAddress is the address for callers, ReadyAddress the one for readiness checks.
	CallerAddress string
	ReadyAddress  string
	// Cores is the processor limit of the instance; 0 means one processor.
	// LinkBytes is the capacity of its link in bytes per second; 0 means no limit.
	Cores, LinkBytes float64
	Regions          map[string]string // region of each failure domain
	Headers          forward.Headers
	Engines          forward.Engines
	Budget           forward.BudgetConfig
	// Decode parses a manifest document.
	Decode func([]byte) (*manifest.Manifest, error)
	// ReadyHandler returns the handler of the platform's readiness check; ready returns its result.
	ReadyHandler func(ready func() bool) http.Handler
}

// RunEntry serves callers until ctx ends or a server fails. When ctx ends, it
// reports that this instance is leaving, serves callers for up to leaveDelay and
// shuts down within the grace period.
func RunEntry(ctx context.Context, c EntryConfig) error {
	c.limitMemory()
	env, logOutput, err := c.environment()
	if err != nil {
		return err
	}
	defer logOutput.Close()
	bufferBytes := int64(defaultBufferBytes)
	if c.MemoryBytes > 0 {
		bufferBytes = int64(bufferMemoryShare * float64(c.MemoryBytes))
	}
	views := fleet.NewViewStore(c.Decode, time.Now)
	quarantined := quarantine.New(env.Log, env.Metrics, time.Now)
	self := fleet.Watcher{Name: c.Name, Region: c.Region, FailureDomain: c.FailureDomain, Address: c.CallerAddress, InternalAddress: c.InternalAddress}
	follower := fleet.NewFollower(self, c.Seeds, views, env.PeerClient, env.Log, env.Metrics)
	streams := streamversion.NewTracker(views, follower, env.PeerClient, env.Metrics, time.Now)
	forwarder := forward.New(forward.Config{
		Self: forward.Location{Name: c.Name, Region: c.Region, FailureDomain: c.FailureDomain}, Regions: c.Regions,
		Headers: c.Headers, Engines: c.Engines, Budget: c.Budget, Views: views, Quarantine: quarantined, StreamVersions: streams, InContact: follower.InContact,
		Logger: env.Log, Metrics: env.Metrics, BufferBytes: bufferBytes,
	})
	follower.ReportLoad(func() float64 { return c.load(forwarder.Work()) })
	exchange, err := loads.Listen(c.Name, c.FailureDomain, c.InternalAddress, views.Entries, forwarder, quarantined, env.Metrics)
	if err != nil {
		return trace.Wrap(err)
	}
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	dog := watchdog.New(env.Log, env.Metrics, follower.SetServing, forwarder.Checks()...)
	go dog.Run(background)
	go follower.Run(background)
	go forwarder.Run(background)
	go exchange.Run(background)
	go streams.Run(background)
	go quarantine.NewReplicator(quarantined, views, follower, env.PeerClient, env.Metrics).Run(background)
	go c.watchReloads(background, reloadInterval, env, follower.SetSeeds)

	s := newServers()
	conns := newCallerConns(views.Limits)
	go conns.closeOverdue(background)
	err = s.start(ctx, c.CallerAddress, forwarder, conns.attachTo)
	if err == nil {
		ready := func() bool { return dog.Healthy() && forwarder.Ready() }
		err = s.start(ctx, c.ReadyAddress, c.ReadyHandler(ready), nil)
	}
	if err == nil && c.MetricsAddress != "" {
		err = s.start(ctx, c.MetricsAddress, forwarder.StatementsHandler(quarantined.Handler(env.MetricsHandler(logOutput))), nil)
	}
	if err != nil {
		return err
	}
	env.Log.Info().Str("callers", c.CallerAddress).Msg("started")
	select {
	case err := <-s.failed:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	stopAt := time.Now().Add(c.Grace - stopMargin)
	env.Log.Info().Msg("stopping")
	forwarder.Stop(stopAt)
	follower.Leave()
	time.Sleep(min(leaveDelay, time.Until(stopAt)))
	stopCtx, cancel := context.WithDeadline(context.Background(), stopAt)
	defer cancel()
	s.shutdown(stopCtx)
	env.Log.Info().Msg("stopped")
	return nil
}

// load returns the work of one second in multiples of what an instance is planned to do.
func (c *EntryConfig) load(w forward.Work) float64 {
	cores := c.Cores
	if cores <= 0 {
		cores = 1
	}
	used := w.Processor.Seconds() / cores
	if c.LinkBytes > 0 {
		used = max(used, float64(w.Bytes)/c.LinkBytes)
	}
	return used / plannedUtilization
}

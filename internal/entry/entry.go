// Package entry implements an entry instance: it serves callers, receives the
// announcements of targets, and serves other entry instances as the owner of
// shards.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/labstack/echo/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/entry/command"
	"github.com/endivetrack/endivetrack/internal/entry/latency"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/entry/query"
	"github.com/endivetrack/endivetrack/internal/entry/reply"
	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/quarantine"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

// Limits holds the limits on the load and on the duration of a planned stop of one
// instance.
type Limits struct {
	// MaxRequests is the maximum number of concurrent requests of all kinds
	// together. Default 4096.
	MaxRequests int `toml:"max_requests"`
	// DrainTimeoutMS is how long a planned stop waits for running streams, in
	// milliseconds. Default 600000.
	DrainTimeoutMS int `toml:"drain_timeout_ms"`
}

// Config holds the settings and the dependencies of an entry instance.
type Config struct {
	Process process.Config
	Limits  Limits
	// AddressTTL is how long callers may cache a list of addresses.
	AddressTTL time.Duration
	Source     session.Source
	Control    api.ControlCommand
	// Owner serves the shards that are assigned to this instance.
	Owner        permit.LocalOwner
	Env          *process.Env
	Timing       command.Timing
	PermitTiming permit.Timing
}

// Entry is one entry instance. Run starts and stops it.
type Entry struct {
	cfg      Config
	commands *command.Service
	queries  *query.Service
	permits  *permit.Registry
	// quarantined holds the generations that crash targets, as this instance has seen.
	quarantined *quarantine.Store
	latencies   *latency.Streams
	server      *http.Server
	slots       chan struct{}
	draining    atomic.Bool
}

// New returns an entry instance that is not yet serving.
func New(cfg Config) *Entry {
	scope := cfg.Env.Metrics
	owners := permit.NewOwners(cfg.Source, cfg.Owner, cfg.Env.PeerClient)
	permits := permit.NewRegistry(cfg.Source, owners, cfg.PermitTiming, scope)
	latencies := latency.New(scope)
	quarantined := quarantine.New(cfg.Env.Log, scope, time.Now)
	e := &Entry{cfg: cfg, quarantined: quarantined, permits: permits, latencies: latencies, slots: make(chan struct{}, cfg.Limits.MaxRequests)}
	e.commands = command.NewService(command.Deps{
		Name: cfg.Process.Name, Region: cfg.Process.Region, Source: cfg.Source,
		Directory: access.NewDirectory(cfg.Source),
		Limiter:   access.NewLimiter(cfg.Process.Name, cfg.Source),
		Acquirer:  permit.NewAcquirer(cfg.Source, owners, permits, cfg.PermitTiming, scope),
		Owners:    owners, Permits: permits,
		RetryBudget: permit.NewRetryBudget(scope), LinkBudget: permit.NewLinkBudget(scope), Latencies: latencies,
		Control: cfg.Control, Timing: cfg.Timing, Log: cfg.Env.Log, Metrics: scope, Timeline: cfg.Env.Timeline, Quarantine: quarantined,
	})
	e.queries = &query.Service{Deps: query.Deps{
		Name: cfg.Process.Name, Source: cfg.Source, Env: cfg.Env, AddressTTL: cfg.AddressTTL,
		PeerKeyDigest: peerauth.Digest(cfg.Process.PeerKey), RunningGenerations: e.commands.RunningGenerations, HeldPermits: permits.Count,
	}}
	e.server = process.NewServer(e.Handler())
	return e
}

// resumePath is the path of a generation that a caller resumes.
const resumePath = "/v1/generations/:id"

// Handler returns the handler of all calls, from callers, targets, operators'
// tools and other instances.
func (e *Entry) Handler() http.Handler {
	r := echo.New()
	r.HTTPErrorHandler = writeError
	r.Use(e.limitRequests)
	r.GET("/v1/addresses", e.queries.Addresses)
	r.POST("/v1/chat/completions", e.commands.Generate)
	r.GET(resumePath, e.commands.Resume)
	r.Any("/v1/services/:service", e.commands.CallPlainService)
	r.Any("/v1/services/:service/*", e.commands.CallPlainService)
	r.POST("/v1/targets/announce", e.commands.Announce)
	r.GET("/metrics", e.queries.Metrics)
	r.GET("/healthz", e.queries.Health)
	r.GET("/v1/events", e.queries.Events, e.queries.RequirePeerOrOperator)
	r.GET("/v1/status", e.queries.Status, e.queries.RequirePeerOrOperator)
	r.Any("/quarantines*", echo.WrapHandler(e.quarantined.Handler(http.NotFoundHandler())), e.queries.RequirePeerOrOperator)

	peers := http.NewServeMux()
	peers.Handle(api.AdmissionCommandPathPrefix, api.NewAdmissionCommandServer(e.cfg.Owner))
	peers.Handle(api.AdmissionQueryPathPrefix, api.NewAdmissionQueryServer(e.cfg.Owner))
	clock := e.cfg.Env.Timeline.Clock()
	guarded := clock.Middleware(peerauth.RequirePeer(e.queries.PeerKeyDigest, limitPeerBody(peers)))
	mux := http.NewServeMux()
	mux.Handle("/twirp/", guarded)
	mux.Handle("/", r)
	return mux
}

// maxPeerBodyBytes is the maximum size of a request from another instance. The
// largest are an announcement and the report of all permits that one instance
// holds from one shard.
const maxPeerBodyBytes = 4 << 20

func limitPeerBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxPeerBodyBytes)
		next.ServeHTTP(w, r)
	})
}

// limitRequests rejects requests that exceed the instance's limit. While the
// instance is draining, it also closes callers' connections after the response, so
// that they connect to another instance next time.
func (e *Entry) limitRequests(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if e.draining.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		select {
		case e.slots <- struct{}{}:
		default:
			return resultcode.Newf(resultcode.Overloaded, "the instance has reached its limit of concurrent requests").WithRetryAfter(time.Second)
		}
		defer func() { <-e.slots }()
		return next(c)
	}
}

// writeError writes the response for an error returned by a handler, unless the
// response has already been started.
func writeError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		err = resultcode.Newf(resultcode.BadRequest, "%s %s: no such call", c.Request().Method, c.Request().URL.Path)
	}
	if e := resultcode.From(err); c.Path() == resumePath && e.Execution == resultcode.NotRun {
		err = e.WithExecution(resultcode.Unknown) // the generation was dispatched by an earlier request
	}
	netconn.DiscardBody(c.Response(), c.Request())
	reply.Error(c.Response(), err)
}

// handoverPollInterval is how often a planned stop checks the state of the
// hand-over. handoverTimeout is how long it waits for each of the control group's
// two steps: to list the instance as draining, and to assign its shards to other
// instances.
const (
	handoverPollInterval = 20 * time.Millisecond
	handoverTimeout      = 10 * time.Second
	// addressTTLMargin is the fraction of the TTL of callers' address lists for which they
	// may still connect after the TTL, because the response with the addresses needs time
	// to arrive and to be processed.
	addressTTLMargin = 1.0 / 20
)

// Run serves on the listener until ctx is done and then performs a planned stop:
// callers are directed to other instances, shards are handed over, and running
// streams may finish until the drain timeout.
func (e *Entry) Run(ctx context.Context, l net.Listener) error {
	background, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { e.permits.Run(background) })
	loops.Go(func() { e.latencies.Run(background) })
	loops.Go(func() { e.commands.ForwardAnnouncements(background) })
	defer loops.Wait()
	defer stop()
	serveErr := make(chan error, 1)
	go func() { serveErr <- e.server.Serve(l) }()
	select {
	case err := <-serveErr:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	err := e.drain()
	<-serveErr
	return trace.Wrap(err)
}

// drain performs the planned stop. Until the drain timeout it neither rejects requests
// because of the stop nor ends running streams.
func (e *Entry) drain() error {
	e.cfg.Env.Timeline.Record("draining")
	e.draining.Store(true)
	e.cfg.Source.SetDraining()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.cfg.Limits.DrainTimeoutMS)*time.Millisecond)
	defer cancel()
	e.waitUntil(ctx, handoverTimeout, e.listedAsDraining)
	sleep.For(ctx, time.Duration(float64(e.cfg.AddressTTL)*(1+addressTTLMargin)))
	e.waitUntil(ctx, handoverTimeout, e.ownsNoShards)
	e.cfg.Env.Timeline.Record("handed_over")
	if err := e.server.Shutdown(ctx); err != nil {
		e.cfg.Env.Log.Warn().Int("streams", e.commands.RunningGenerations()).Msg("planned stop: streams were cut at the drain timeout")
		return trace.NewAggregate(err, e.server.Close())
	}
	e.commands.WaitForBackgroundWork()
	e.cfg.Env.Timeline.Record("drained")
	return nil
}

// listedAsDraining reports whether the committed state lists this instance as
// draining or no longer lists it, so that other instances do not advertise its
// address.
func (e *Entry) listedAsDraining() bool {
	for _, i := range e.cfg.Source.View().Instances {
		if i.GetName() == e.cfg.Process.Name {
			return i.GetDraining()
		}
	}
	return true
}

func (e *Entry) ownsNoShards() bool {
	return len(query.OwnedShards(e.cfg.Source.View(), e.cfg.Source.SessionID())) == 0
}

func (e *Entry) waitUntil(ctx context.Context, limit time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !done() && ctx.Err() == nil {
		sleep.For(ctx, handoverPollInterval)
	}
}

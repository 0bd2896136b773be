// Package entry wires an entry instance: it serves callers, receives targets'
// announcements and answers other entry instances as the owner of shards.
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
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

// Limits bound what one instance takes on.
type Limits struct {
	// MaxRequests bounds the requests that are served at one time, of all
	// kinds together. Default 4096.
	MaxRequests int `toml:"max_requests"`
	// DrainTimeoutMS bounds how long a planned stop waits for streams, in
	// milliseconds. Default 600000.
	DrainTimeoutMS int `toml:"drain_timeout_ms"`
}

// Config is what an entry instance is built of.
type Config struct {
	Process process.Config
	Limits  Limits
	// AddressTTL is how long callers may keep a list of addresses.
	AddressTTL time.Duration
	Source     session.Source
	Control    api.ControlCommand
	// Owner runs the shards that are assigned to this instance.
	Owner        permit.Local
	Env          *process.Env
	Timing       command.Timing
	PermitTiming permit.Timing
}

// Entry is one entry instance.
type Entry struct {
	cfg       Config
	commands  *command.Service
	queries   *query.Service
	book      *permit.Book
	latencies *latency.Streams
	server    *http.Server
	slots     chan struct{}
	draining  atomic.Bool
}

// New wires an entry instance.
func New(cfg Config) *Entry {
	scope := cfg.Env.Metrics
	owners := permit.NewOwners(cfg.Source, cfg.Owner, cfg.Env.Peers)
	book := permit.NewBook(cfg.Source, owners, cfg.PermitTiming, scope)
	latencies := latency.New(scope)
	e := &Entry{cfg: cfg, book: book, latencies: latencies, slots: make(chan struct{}, cfg.Limits.MaxRequests)}
	e.commands = command.NewService(command.Deps{
		Name: cfg.Process.Name, Region: cfg.Process.Region, Source: cfg.Source,
		Directory: access.NewDirectory(cfg.Source),
		Limiter:   access.NewLimiter(cfg.Process.Name, cfg.Source),
		Acquirer:  permit.NewAcquirer(cfg.Source, owners, book, cfg.PermitTiming, scope),
		Owners:    owners, Book: book,
		Retries: permit.NewRetryBudget(scope), Link: permit.NewLinkBudget(scope), Latencies: latencies,
		Control: cfg.Control, Timing: cfg.Timing, Log: cfg.Env.Log, Metrics: scope, Timeline: cfg.Env.Timeline,
	})
	e.queries = &query.Service{Deps: query.Deps{
		Name: cfg.Process.Name, Source: cfg.Source, Env: cfg.Env, AddressTTL: cfg.AddressTTL,
		PeerKeyDigest: peerauth.Digest(cfg.Process.PeerKey), Running: e.commands.Running, Held: book.Held,
	}}
	e.server = process.NewServer(e.Handler())
	return e
}

// Handler serves all calls.
func (e *Entry) Handler() http.Handler {
	r := echo.New()
	r.HTTPErrorHandler = answerError
	r.Use(e.bound)
	r.GET("/v1/addresses", e.queries.Addresses)
	r.POST("/v1/chat/completions", e.commands.Generate)
	r.GET("/v1/generations/:id", e.commands.Resume)
	r.Any("/v1/services/:service", e.commands.Plain)
	r.Any("/v1/services/:service/*", e.commands.Plain)
	r.POST("/v1/targets/announce", e.commands.Announce)
	r.GET("/metrics", e.queries.Metrics)
	r.GET("/healthz", e.queries.Health)
	r.GET("/v1/events", e.queries.Events, e.queries.RequireTool)
	r.GET("/v1/status", e.queries.Status, e.queries.RequireTool)

	peers := http.NewServeMux()
	peers.Handle(api.AdmissionCommandPathPrefix, api.NewAdmissionCommandServer(e.cfg.Owner))
	peers.Handle(api.AdmissionQueryPathPrefix, api.NewAdmissionQueryServer(e.cfg.Owner))
	clock := e.cfg.Env.Timeline.Clock()
	guarded := clock.Middleware(peerauth.RequirePeer(e.queries.PeerKeyDigest, boundPeer(peers)))
	mux := http.NewServeMux()
	mux.Handle("/twirp/", guarded)
	mux.Handle("/", r)
	return mux
}

// maxPeerBody bounds a message of another instance: one announcement, or the
// full report of the permits of one holder at one shard.
const maxPeerBody = 4 << 20

func boundPeer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxPeerBody)
		next.ServeHTTP(w, r)
	})
}

// bound refuses requests beyond the instance's limit, and tells callers of a
// draining instance to connect elsewhere next time.
func (e *Entry) bound(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		if e.draining.Load() {
			c.Response().Header().Set("Connection", "close")
		}
		select {
		case e.slots <- struct{}{}:
		default:
			return resultcode.Newf(resultcode.Overloaded, "the instance serves its most requests").WithRetryAfter(time.Second)
		}
		defer func() { <-e.slots }()
		return next(c)
	}
}

// answerError answers with the error that a handler returned.
func answerError(err error, c echo.Context) {
	if c.Response().Committed {
		return
	}
	var routing *echo.HTTPError
	if errors.As(err, &routing) {
		err = resultcode.Newf(resultcode.BadRequest, "%s %s: no such call", c.Request().Method, c.Request().URL.Path)
	}
	reply.Error(c.Response(), err)
}

// handoverPoll is how often a planned stop looks for shards and streams that
// are still here; handoverTimeout is how long it waits for the control group
// to give the shards to others.
const (
	handoverPoll    = 20 * time.Millisecond
	handoverTimeout = 10 * time.Second
	// addressMargin is the part of the time to live of an address answer for
	// which callers may still connect after it: the answer travels and is
	// processed.
	addressMargin = 1.0 / 20
)

// Run serves on the listener until ctx ends, then stops as planned: callers
// are sent elsewhere, shards are handed over, streams run to their end.
func (e *Entry) Run(ctx context.Context, l net.Listener) error {
	background, stop := context.WithCancel(context.Background())
	var loops sync.WaitGroup
	loops.Go(func() { e.book.Run(background) })
	loops.Go(func() { e.latencies.Run(background) })
	loops.Go(func() { e.commands.PassOnAnnouncements(background) })
	defer loops.Wait()
	defer stop()
	failed := make(chan error, 1)
	go func() { failed <- e.server.Serve(l) }()
	select {
	case err := <-failed:
		return trace.Wrap(err)
	case <-ctx.Done():
	}
	err := e.drain()
	<-failed
	return trace.Wrap(err)
}

// drain is the planned stop. It refuses nothing and cuts nothing before the
// drain timeout.
func (e *Entry) drain() error {
	e.cfg.Env.Timeline.Record("draining")
	e.draining.Store(true)
	e.cfg.Source.SetDraining()
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(e.cfg.Limits.DrainTimeoutMS)*time.Millisecond)
	defer cancel()
	e.waitUntil(ctx, handoverTimeout, e.shownAsDraining)
	sleep.For(ctx, time.Duration(float64(e.cfg.AddressTTL)*(1+addressMargin)))
	e.waitUntil(ctx, handoverTimeout, e.ownsNothing)
	e.cfg.Env.Timeline.Record("handed_over")
	if err := e.server.Shutdown(ctx); err != nil {
		e.cfg.Env.Log.Warn().Int("streams", e.commands.Running()).Msg("planned stop: streams were cut at the drain timeout")
		return trace.NewAggregate(err, e.server.Close())
	}
	e.commands.Wait()
	e.cfg.Env.Timeline.Record("drained")
	return nil
}

// shownAsDraining reports whether the committed state tells other instances
// not to hand out this one.
func (e *Entry) shownAsDraining() bool {
	for _, i := range e.cfg.Source.View().Instances {
		if i.GetName() == e.cfg.Process.Name {
			return i.GetDraining()
		}
	}
	return true
}

func (e *Entry) ownsNothing() bool {
	return len(query.OwnedShards(e.cfg.Source.View(), e.cfg.Source.SessionID())) == 0
}

func (e *Entry) waitUntil(ctx context.Context, limit time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for !done() && ctx.Err() == nil {
		sleep.For(ctx, handoverPoll)
	}
}

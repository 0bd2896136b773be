// Package forward forwards callers' HTTP requests to targets and passes the
// targets' responses back, both unchanged. It chooses the target, limits
// attempts, and moves running streams off draining targets.
//
// Invariant: once the first byte of a non-repeatable request may have been sent,
// the request is sent again only if the target itself stated that nothing ran, or
// to continue the same run (one execution of the request) from a copy of its
// memory.
package forward

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/manifest"
	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/quarantine"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/streamversion"
	"github.com/endivetrack/endivetrack/internal/watchdog"
)

const (
	// deadlineMargin is subtracted from the deadline that is sent to a target,
	// so that the target times out before the caller does.
	deadlineMargin = 20 * time.Millisecond
)

// Headers holds the names of the headers that callers, this system and targets
// exchange, in canonical form.
type Headers struct {
	RequestID    string // ID of one caller attempt; targets echo it
	Deadline     string // milliseconds that are left to the caller or the target
	AccountKey   string // key of the client account; never sent to targets
	Account      string // name of the client account, sent to targets
	ExpectTarget string // ID of the target that the request is addressed to
	NotRun       string // a target's statement that the request did not run
	Limit        string // requests per second that a target accepts from all instances together
	Leaving      string // a target's statement that it leaves: "1"
	Stamp        string // a target's signature of a response
	Priority     string // priority of the request at an engine
	Tokens       string // prompt tokens and maximum output tokens, see parseTokens
	LengthHint   string // caller's estimate of the output tokens
	PromptParts  string // parts of the prompt, which requests may share, see parsePromptParts
	CopyFrom     string // location of a copy of a run's memory: engine address and copy handle
	LastEventID  string // newest event of the stream that the caller or this system continues
	Resumes      string // ID of the caller attempt that brought the first event of the stream that the caller continues
	// Reserved lists headers that only this system may set. Callers' values are removed.
	Reserved []string
}

// Engines is the control interface of model engines, used to move runs.
type Engines interface {
	// Move copies the memory of a run to another engine. If last is set, the
	// run stops first and its stream ends without a final event. beforeSend is
	// called right before the call is sent, and not at all if the engine cannot be
	// reached.
	Move(ctx context.Context, engine, requestID, to string, last bool, beforeSend func()) (Copy, error)
	// Release frees a copy at both engines.
	Release(ctx context.Context, engine, handle string) error
	// ReportPath is the path of an engine's report on itself, and ReportedIncarnation
	// returns the incarnation that the body of such a report names; false if it names none.
	ReportPath() string
	ReportedIncarnation(body []byte) (int64, bool)
	// OnAnswer sets a function that is called with each response to Move and Release. It
	// must be set before the first call.
	OnAnswer(call func(engine string, status int, header http.Header))
}

// Config holds the settings and dependencies of a Forwarder.
type Config struct {
	Self    Location
	Regions map[string]string // region of each failure domain
	Headers Headers
	Engines Engines
	Budget  BudgetConfig
	Views   *fleet.ViewStore
	// Quarantine holds the parts of prompts that crash targets. If it is nil, New creates
	// one that no peers share.
	Quarantine *quarantine.Store
	// StreamVersions remembers the versions that began streams. If it is nil, New creates one
	// that no other instance shares.
	StreamVersions StreamVersions
	// InContact reports whether this instance hears of changes of the targets; nil: always.
	InContact func() bool
	Logger    zerolog.Logger
	Metrics   tally.Scope
	// BufferBytes bounds the total size of the request bodies in memory.
	BufferBytes int64
}

// Location holds the name, region and failure domain of an instance.
type Location struct {
	Name          string
	Region        string
	FailureDomain string
}

// Forwarder is the HTTP handler for callers' requests.
type Forwarder struct {
	config    Config
	table     *table
	latencies *observer
	budget    *budget
	work      workMeter
	pending   pendingAttempts

	durations *durations
	stop      plannedStop
	// standstill knows when this process last did not run.
	standstill standstill
	// companionAge is defaultCompanionAge but in tests.
	companionAge time.Duration

	mu            sync.Mutex
	bufferedBytes int64
}

// New returns a Forwarder. It has no targets until Run is called.
func New(c Config) *Forwarder {
	if c.Quarantine == nil {
		c.Quarantine = quarantine.New(c.Logger, c.Metrics, time.Now)
	}
	if c.StreamVersions == nil {
		c.StreamVersions = streamversion.NewStore(maxLocalStreams, time.Now)
	}
	f := &Forwarder{config: c, table: newTable(c.Self, c.Regions), budget: newBudget(c.Budget), latencies: newObserver(c.Metrics), durations: newDurations(), companionAge: defaultCompanionAge}
	c.Quarantine.OnBegin(f.pending.withdraw)
	if c.Engines != nil {
		c.Engines.OnAnswer(f.recordEngineAnswer)
	}
	return f
}

// Run updates the targets from this instance's view of the fleet (its copy of the
// replicated state) until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	go f.latencies.Run(ctx)
	go f.reportHeld(ctx)
	go f.standstill.run(ctx)
	for {
		view, changed := f.config.Views.View()
		f.table.syncEndpoints(view, time.Now())
		f.logTargets()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Ready reports whether the instance has a manifest and is not stopping.
func (f *Forwarder) Ready() bool {
	view, _ := f.config.Views.View()
	return view.Manifest != nil && !f.isStopping()
}

// Checks returns the steps that every request takes here, for a watchdog.
func (f *Forwarder) Checks() []watchdog.Check {
	return []watchdog.Check{
		{Name: "bodies", Run: func() { f.bufferedBytesNow() }},
		{Name: "durations", Run: func() { f.durations.slowest("", time.Now()) }},
		{Name: "targets", Run: func() { f.table.instanceCount() }},
		{Name: "view", Run: func() { f.config.Views.View() }},
		{Name: "quarantine", Run: func() { f.config.Quarantine.Match(nil) }},
	}
}

// ServeHTTP serves one caller attempt.
func (f *Forwarder) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w := &callerResponse{ResponseWriter: out}
	arrived := time.Now()
	f.config.Metrics.Counter("forward.requests").Inc(1)
	f.work.add(requestWork, int(max(0, r.ContentLength)), arrived)
	if f.isStopping() || len(r.TransferEncoding) > 0 {
		// net/http ignores a Content-Length next to a chunked body. Closing the
		// connection keeps a request that is smuggled after such a body from
		// being read.
		w.Header().Set("Connection", "close")
	}
	space := &bufferSpace{f: f}
	defer space.release()
	q, err := f.acceptRequest(w, r, arrived, space)
	if err != nil {
		space.release() // what is left of the body is read without it
		f.writeError(w, r, q, err)
		return
	}
	defer func() { f.durations.end(q, time.Now()) }()
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.route.Kind == manifest.Streaming {
		err = f.serveStream(ctx, w, q)
	} else {
		err = f.servePlain(ctx, w, q)
	}
	if err != nil {
		f.writeError(w, r, q, err)
	}
}

// httpStatus returns the HTTP status for an error. 503 and similar statuses
// state that the request did not run and will not run, so they are used only
// where that is certain. Otherwise the status is 502.
func httpStatus(e *resultcode.Error) int {
	status := e.Code.HTTPStatus()
	if statusMeansNotRun(status) && e.Execution != resultcode.NotRun {
		return http.StatusBadGateway
	}
	return status
}

// writeError logs err and sends the caller a response with its status and
// message, or cuts a response that has begun.
func (f *Forwarder) writeError(w *callerResponse, r *http.Request, q *request, err error) {
	e := resultcode.From(err)
	f.config.Metrics.Counter("forward.refused").Inc(1)
	// net/http cancels the context when reading a body times out, as if the
	// caller had disconnected. Such a caller still gets a response.
	late := e.Code == resultcode.DeadlineExceeded
	if r.Context().Err() != nil && q.route != nil && !late {
		f.config.Logger.Info().Str("request", q.id).Msg("caller left")
		panic(http.ErrAbortHandler)
	}
	route, service := "", ""
	if q.route != nil {
		route = q.route.Name
	}
	if q.service != nil {
		service = q.service.Name
	}
	f.config.Logger.Warn().Str("request", q.id).Str("route", route).Str("service", service).Int("code", int(e.Code)).
		Dur("after", time.Since(q.arrived)).Err(err).Msg("refused")
	if w.begun {
		panic(http.ErrAbortHandler)
	}
	if !late {
		netconn.DiscardBody(w, r)
	}
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if q.id != "" {
		h.Set(f.config.Headers.RequestID, q.id)
	}
	pause := e.RetryAfter
	if pause == 0 {
		pause = defaultPause(e.Code)
	}
	if pause > 0 {
		h.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(httpStatus(e))
	_, _ = w.Write([]byte(`{"error":` + strconv.Quote(e.Error()) + "}\n")) // Write fails only if the caller has disconnected
}

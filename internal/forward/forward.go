// Package forward passes callers' plain HTTP requests on to targets and their
// answers back, both unchanged. It chooses the target, bounds attempts, and
// moves running streams off targets that leave.
//
// Invariant: after the first byte of an attempt of a request that must not
// repeat may have left, the request is sent again only if the target itself
// said that nothing ran, or by moving the run's own memory.
package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/manifest"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Bounds of a caller's request.
const (
	// maxBufferedBody bounds a request body when the manifest sets no limit.
	maxBufferedBody = 4 << 20
	// defaultDeadline applies to requests that name none.
	defaultDeadline = time.Minute
	// maxDeadline bounds what a caller can ask for; the route's timeout is far
	// shorter.
	maxDeadline = 24 * time.Hour
	// startWait bounds the wait for the first manifest and for a first target
	// of a service.
	startWait = 400 * time.Millisecond
	// lastStream is how long after the start of a planned stop new streams are
	// taken. Callers that keep an address longest come until about then; a
	// stream that begins later would be cut by the end of the process.
	lastStream = 2800 * time.Millisecond
	// deadlineMargin is kept back from what a target is told, so that its own
	// timeout comes before the caller's.
	deadlineMargin = 20 * time.Millisecond
)

// Headers names the headers of the environment.
type Headers struct {
	RequestID   string // of one caller attempt; targets echo it
	Deadline    string // milliseconds that the caller, or a target, has left
	Key         string // of the client account; never passed on
	Account     string // name of the client account, for targets
	Expect      string // id of the target that is meant
	NotRun      string // a target's statement that nothing ran
	Stamp       string // a target's signature of an answer
	Priority    string // rank of the request at an engine
	Tokens      string // prompt tokens and most output tokens
	LengthHint  string // caller's estimate of the output tokens
	CopyFrom    string // where the memory of a run is
	LastEventID string
	// Reserved are the headers that only the system sets.
	Reserved []string
}

// Engines are the calls to model engines beside requests.
type Engines interface {
	// Move copies the memory of a run to another engine. With last the run
	// stops first and its stream ends without a last event.
	Move(ctx context.Context, engine, requestID, to string, last bool) (Copy, error)
	// Release frees a copy at both ends.
	Release(ctx context.Context, engine, handle string) error
}

// Config holds what a forwarder needs.
type Config struct {
	Self    Place
	Regions map[string]string // by failure domain
	Headers Headers
	Engines Engines
	Budget  BudgetConfig
	Holder  *fleet.Holder
	Logger  zerolog.Logger
	Metrics tally.Scope
	// BufferBytes bounds the bodies held in memory at once.
	BufferBytes int64
}

// Place is where an instance runs.
type Place struct {
	Name          string
	Region        string
	FailureDomain string
}

// Forwarder serves callers.
type Forwarder struct {
	config   Config
	table    *table
	observed *observer
	budget   *budget

	mu sync.Mutex
	// stoppedAt is when the planned stop began; zero before it.
	stoppedAt time.Time
	buffer    int64
}

// New returns a forwarder.
func New(c Config) *Forwarder {
	return &Forwarder{config: c, table: newTable(c.Self, c.Regions), budget: newBudget(c.Budget), observed: newObserver(c.Metrics)}
}

// Run keeps the targets up to date until ctx ends.
func (f *Forwarder) Run(ctx context.Context) {
	go f.observed.Run(ctx)
	for {
		view, changed := f.config.Holder.View()
		f.table.sync(view, time.Now())
		f.logTargets()
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// Ready reports whether callers can be served.
func (f *Forwarder) Ready() bool {
	view, _ := f.config.Holder.View()
	return view.Manifest != nil && !f.isStopping()
}

// Stop makes every further answer ask the caller to close its connection.
func (f *Forwarder) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stoppedAt = time.Now()
}

func (f *Forwarder) isStopping() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.stoppedAt.IsZero()
}

// takesStreams reports whether a new stream can still end before the process
// does.
func (f *Forwarder) takesStreams() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.stoppedAt.IsZero() || time.Since(f.stoppedAt) < lastStream
}

// request is one caller attempt.
type request struct {
	id       string
	method   string
	uri      string
	header   http.Header
	body     []byte
	route    *manifest.Route
	account  *manifest.ClientAccount
	service  *manifest.Service
	arrived  time.Time
	deadline time.Time // of the caller or the route, whichever comes first
	tokens   tokenUse
	priority int
}

// repeatable reports whether the request may run more than once.
func (q *request) repeatable() bool { return q.route.Repeatable() }

// left is how long the caller still waits.
func (q *request) left() time.Duration { return time.Until(q.deadline) }

// ServeHTTP serves one caller attempt.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	f.config.Metrics.Counter("forward.requests").Inc(1)
	if f.isStopping() || len(r.TransferEncoding) > 0 {
		// net/http drops a Content-Length beside chunks. What a caller meant
		// to hide behind it is never read as a request once the connection is
		// closed.
		w.Header().Set("Connection", "close")
	}
	q, release, err := f.accept(w, r, arrived)
	defer release()
	if err != nil {
		f.refuse(w, r, q, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if q.route.Kind == manifest.Streaming {
		err = f.serveStream(ctx, w, q)
	} else {
		err = f.servePlain(ctx, w, q)
	}
	if err != nil {
		f.refuse(w, r, q, err)
	}
}

// accept checks a request and reads its body. The returned function gives the
// buffer space back.
func (f *Forwarder) accept(w http.ResponseWriter, r *http.Request, arrived time.Time) (*request, func(), error) {
	none := func() {}
	q := &request{id: r.Header.Get(f.config.Headers.RequestID), method: r.Method, uri: r.RequestURI, header: r.Header, arrived: arrived}
	view := f.awaitView(r.Context(), func(v *fleet.View) bool { return v.Manifest != nil })
	if view.Manifest == nil {
		return q, none, resultcode.Newf(resultcode.ControlUnavailable, "no manifest yet")
	}
	if most := view.Manifest.Limits().HeaderBytes; most > 0 && headerBytes(r) > most {
		return q, none, resultcode.Newf(resultcode.HeaderTooLarge, "the head of the request exceeds %d bytes", most)
	}
	if err := f.route(q, r, view.Manifest); err != nil {
		return q, none, err
	}
	if q.route.Kind == manifest.Streaming && !f.takesStreams() {
		return q, none, resultcode.Newf(resultcode.Draining, "the instance is stopping and takes no new streams")
	}
	limit := view.Manifest.Limits().BodyBytes
	if limit <= 0 {
		limit = maxBufferedBody
	}
	release, err := f.readBody(w, q, r, limit)
	return q, release, err
}

// awaitView returns the newest view, if need be after a short wait until ok
// holds. It answers the second after a start: what is missing arrives sooner
// than a refused caller could come back.
func (f *Forwarder) awaitView(ctx context.Context, ok func(*fleet.View) bool) *fleet.View {
	view, changed := f.config.Holder.View()
	if ok(view) {
		return view
	}
	timeout := time.NewTimer(startWait)
	defer timeout.Stop()
	for !ok(view) {
		select {
		case <-changed:
			view, changed = f.config.Holder.View()
		case <-timeout.C:
			return view
		case <-ctx.Done():
			return view
		}
	}
	return view
}

// route finds the route, the client account and the service.
func (f *Forwarder) route(q *request, r *http.Request, m *manifest.Index) error {
	path, _, _ := strings.Cut(q.uri, "?")
	if !strings.HasPrefix(path, "/") || q.id == "" {
		return resultcode.Newf(resultcode.BadRequest, "a request needs a path and %s", f.config.Headers.RequestID)
	}
	route, ok := m.Route(r.Host, path)
	if !ok {
		return resultcode.Newf(resultcode.UnknownService, "no route for %s%s", r.Host, path)
	}
	q.route = route
	if keys := r.Header.Values(f.config.Headers.Key); m.NeedsKeys() && !route.Public {
		if len(keys) != 1 {
			return resultcode.Newf(resultcode.Unauthenticated, "the route needs one key")
		}
		account, ok := m.Account(strings.TrimSpace(keys[0]))
		if !ok {
			return resultcode.Newf(resultcode.Unauthenticated, "unknown key")
		}
		q.account = account
	}
	service, ok := m.Service(route.Pick(rand.Float64()))
	if !ok {
		return resultcode.Newf(resultcode.NoTarget, "the route's service is not known")
	}
	q.service = service
	f.awaitView(r.Context(), func(v *fleet.View) bool { return v.Serves(service.Name) })
	q.priority = route.Priority
	if q.account != nil && q.account.HasPriority {
		q.priority = q.account.Priority
	}
	q.tokens = parseTokens(r.Header.Get(f.config.Headers.Tokens), r.Header.Get(f.config.Headers.LengthHint))
	q.deadline = q.arrived.Add(min(parseDeadline(r.Header.Get(f.config.Headers.Deadline)), route.Timeout))
	return nil
}

// parseDeadline reads how many milliseconds the caller waits. What does not
// parse counts as absent.
func parseDeadline(value string) time.Duration {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 {
		return defaultDeadline
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
}

// statusOf is the status for an error. 503 and its like promise that nothing
// ran and never will, so they are used only where that is known.
func statusOf(e *resultcode.Error) int {
	status := e.Code.HTTPStatus()
	if promises(status) && e.Execution != resultcode.NotRun {
		return http.StatusBadGateway
	}
	return status
}

// refuse sends an answer of the system's own.
func (f *Forwarder) refuse(w http.ResponseWriter, r *http.Request, q *request, err error) {
	e := resultcode.From(err)
	f.config.Metrics.Counter("forward.refused").Inc(1)
	// The library takes a body that ends late for a caller that has left.
	late := e.Code == resultcode.DeadlineExceeded
	if r.Context().Err() != nil && q.route != nil && !late {
		f.config.Logger.Info().Str("request", q.id).Msg("caller left")
		panic(http.ErrAbortHandler)
	}
	name := ""
	if q.route != nil {
		name = q.route.Name
	}
	f.config.Logger.Warn().Str("request", q.id).Str("route", name).Int("code", int(e.Code)).
		Dur("after", time.Since(q.arrived)).Err(err).Msg("refused")
	h := w.Header()
	h.Set("Content-Type", "application/json")
	if q.id != "" {
		h.Set(f.config.Headers.RequestID, q.id)
	}
	if pause := retryAfter(e.Code); pause > 0 {
		h.Set("Retry-After", strconv.FormatFloat(pause.Seconds(), 'f', 2, 64))
	}
	w.WriteHeader(statusOf(e))
	_, _ = w.Write([]byte(`{"error":` + strconv.Quote(e.Error()) + "}\n")) // the caller may be gone
}

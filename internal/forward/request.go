package forward

import (
	"context"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/identifier"
	"github.com/endivetrack/endivetrack/internal/manifest"
	"github.com/endivetrack/endivetrack/internal/quarantine"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Limits for a caller's request.
const (
	// maxBufferedBody limits a body, in bytes, if the manifest sets no limit.
	maxBufferedBody = 4 << 20
	// defaultDeadline applies to requests without a valid deadline header.
	defaultDeadline = time.Minute
	// maxDeadline bounds the deadline that a caller can request; route timeouts
	// are far shorter.
	maxDeadline = 24 * time.Hour
	// startupWait bounds how long a request waits for the first manifest after
	// a start, and for the first target of its service.
	startupWait = 400 * time.Millisecond
)

// request is one attempt of a caller, with its route and limits.
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
	deadline time.Time // deadline of the caller or of the route, whichever is earlier
	// callerDeadline is until when the caller may send the request again or take it up.
	callerDeadline time.Time
	// version is the software version that must serve the request; nil if any may.
	version *string
	tokens  tokenUse
	parts   []string // IDs of the prompt's parts; the last one is the request's own
	// identity is what all repeats of the request have in common; known once the body is read.
	identity string
	// features holds the identity and the parts, with which quarantines are matched. It must
	// not be modified.
	features []string
	priority int
}

// repeatable reports whether the request may run more than once.
func (q *request) repeatable() bool { return q.route.Repeatable() }

// timeLeft returns the time until the deadline.
func (q *request) timeLeft() time.Duration { return time.Until(q.deadline) }

// acceptRequest checks a request and reads its body into buffer space that it reserves.
func (f *Forwarder) acceptRequest(w http.ResponseWriter, r *http.Request, arrived time.Time, space *bufferSpace) (*request, error) {
	q := &request{id: r.Header.Get(f.config.Headers.RequestID), method: r.Method, uri: r.RequestURI, header: r.Header, arrived: arrived}
	view := f.awaitView(r.Context(), func(v *fleet.View) bool { return v.Manifest != nil })
	if view.Manifest == nil {
		return q, resultcode.Newf(resultcode.ControlUnavailable, "no manifest yet")
	}
	if most := view.Manifest.Limits().HeaderBytes; most > 0 && headerBytes(r) > most {
		return q, resultcode.Newf(resultcode.HeaderTooLarge, "the request header exceeds %d bytes", most)
	}
	if err := f.resolveRoute(q, r, view.Manifest); err != nil {
		return q, err
	}
	if q.route.Kind == manifest.Streaming && !f.acceptsStreams() {
		return q, resultcode.Newf(resultcode.Draining, "the instance is stopping and accepts no new streams")
	}
	limit := view.Manifest.Limits().BodyBytes
	if limit <= 0 {
		limit = maxBufferedBody
	}
	err := f.readBody(w, q, r, limit, space)
	q.identity = identityOf(q)
	q.features = append([]string{q.identity}, q.parts...)
	return q, err
}

// awaitView waits until the function ready accepts the newest view, but at most
// startupWait, and returns the newest view. In the first second after a start,
// the missing data arrives sooner than a refused caller could retry.
func (f *Forwarder) awaitView(ctx context.Context, ready func(*fleet.View) bool) *fleet.View {
	view, changed := f.config.Views.View()
	if ready(view) {
		return view
	}
	timeout := time.NewTimer(startupWait)
	defer timeout.Stop()
	for !ready(view) {
		select {
		case <-changed:
			view, changed = f.config.Views.View()
		case <-timeout.C:
			return view
		case <-ctx.Done():
			return view
		}
	}
	return view
}

// resolveRoute sets the request's route, client account, service, priority,
// tokens and deadline.
func (f *Forwarder) resolveRoute(q *request, r *http.Request, m *manifest.Index) error {
	if err := f.checkIDs(r.Header); err != nil {
		q.id = "" // neither logged nor echoed
		return err
	}
	path, _, _ := strings.Cut(q.uri, "?")
	if !strings.HasPrefix(path, "/") {
		return resultcode.Newf(resultcode.BadRequest, "a request needs a path")
	}
	route, ok := m.Route(r.Host, path)
	if !ok {
		return resultcode.Newf(resultcode.UnknownService, "no route for %s%s", r.Host, path)
	}
	q.route = route
	if keys := r.Header.Values(f.config.Headers.AccountKey); m.NeedsKeys() && !route.Public {
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
	q.parts = slices.DeleteFunc(parsePromptParts(r.Header.Get(f.config.Headers.PromptParts)), quarantine.IsIdentity)
	left := parseDeadline(r.Header.Get(f.config.Headers.Deadline))
	q.callerDeadline = q.arrived.Add(left)
	q.deadline = q.arrived.Add(min(left, route.Timeout))
	return nil
}

// checkIDs returns an error unless the request names itself once, by an ID, and the stream
// that it takes up, if any, by one. IDs are recorded beside those of other callers.
func (f *Forwarder) checkIDs(header http.Header) error {
	h := &f.config.Headers
	if n := len(header.Values(h.RequestID)); n != 1 {
		return resultcode.Newf(resultcode.BadRequest, "a request needs one %s, not %d", h.RequestID, n)
	}
	if err := identifier.CheckID(resultcode.BadRequest, h.RequestID, header.Get(h.RequestID)); err != nil {
		return err
	}
	first := header.Get(h.Resumes)
	if first == "" {
		return nil
	}
	return identifier.CheckID(resultcode.BadRequest, h.Resumes, first)
}

// parseDeadline parses the number of milliseconds that the caller waits. If
// the value is missing or invalid, it returns defaultDeadline.
func parseDeadline(value string) time.Duration {
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms < 0 {
		return defaultDeadline
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
}

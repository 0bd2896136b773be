package forward

import (
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/statement"
)

// What a target says of itself in its answers is kept here, for one incarnation, and
// availability decides from it and from the announcements whether the target may get a
// request now.
//
// Invariant: what an incarnation has said holds until it ends, the time that it named is
// over, or an operator lifts it; no announcement takes it back. Crash case: an instance
// that restarts has forgotten it; the others tell it which targets leave.

const (
	// easeTime is the time after a quiet one over which a target gets up to its full number
	// of requests: it looks idle to everyone at once.
	easeTime = time.Second
	// requestsInQuiet is how many runs whose memory only this target has may continue there
	// in one quiet time.
	requestsInQuiet = 2
	// quietNews is the time by which a quiet one must grow to be logged again: many requests
	// that were under way may be refused with nearly the same end.
	quietNews = time.Second
)

// statements is what one incarnation of a target has said of itself to this instance, or of
// its leaving to another one. table.mu guards it.
type statements struct {
	limit NamedLimit
	// leavingAt is when it first said that it leaves; zero if it has not.
	leavingAt     time.Time
	leavingSource string // the request or the instance that brought the statement
	// ignoreLeaving is set when an operator has lifted the statement.
	ignoreLeaving bool
	// quietUntil is the end of the newest time in which it wants no requests, zero if there
	// was none, and quietSince its beginning.
	quietUntil, quietSince time.Time
	quietSource            string
	// continued counts the runs that were continued there in the quiet time.
	continued int
}

// LeavingStatement is what one instance has heard of a target that leaves.
type LeavingStatement struct {
	Incarnation int64
	At          time.Time // zero if it has not been heard
}

// isOf reports whether the statement is of the endpoint's incarnation and still counts.
func (l LeavingStatement) isOf(e *endpoint, now time.Time) bool {
	return !l.At.IsZero() && l.Incarnation == e.incarnation && now.Sub(l.At) < statement.MaxLeaving
}

// adoptStatements takes over what the target has said if former is the same incarnation at
// another address. The caller holds t.mu.
func (t *table) adoptStatements(e, former *endpoint) {
	if former == nil || former.incarnation != e.incarnation {
		return
	}
	e.said = former.said
	if !e.said.leavingAt.IsZero() {
		t.startDrain(e)
	}
}

// leavingNews returns what other instances should know.
func (e *endpoint) leavingNews() LeavingStatement {
	if e.said.leavingAt.IsZero() {
		return LeavingStatement{}
	}
	return LeavingStatement{Incarnation: e.incarnation, At: e.said.leavingAt}
}

// leavingExpired reports whether a target has long said that it leaves and announces that it
// does not.
func (s *statements) leavingExpired(target *fleet.Target, now time.Time) bool {
	return !s.leavingAt.IsZero() && now.Sub(s.leavingAt) >= statement.MaxLeaving && target.State == fleet.Ready
}

// availability says whether a target may get new requests.
type availability int

const (
	available availability = iota
	// outOfService: the target leaves, by its announcement or an answer, or its failure
	// domain is out of service.
	outOfService
	// quiet: the target has asked for no requests for some time.
	quiet
)

// availability decides from all that is known of the target. The caller holds table.mu.
func (e *endpoint) availability(now time.Time) availability {
	switch {
	case !e.usable:
		return outOfService
	case !e.said.quietUntil.IsZero() && now.Before(e.said.quietUntil):
		return quiet
	}
	return available
}

// mayBeginAt reports whether a request that was placed at e may be sent now. A run whose
// memory is only there may be continued also at a target that leaves and, a few times that
// are counted here, in its quiet time.
func (t *table) mayBeginAt(e *endpoint, continued bool, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !continued {
		return e.availability(now) == available
	}
	if now.Before(e.said.quietUntil) {
		e.said.continued++
		return e.said.continued <= requestsInQuiet
	}
	return true
}

// recordStatements stores what a target says of itself in an answer of any kind. source
// names the request for the log. A misdirected request was answered by another server.
func (f *Forwarder) recordStatements(e *endpoint, source string, status int, header http.Header) {
	if status == http.StatusMisdirectedRequest {
		return
	}
	f.recordLimit(e, header)
	if statement.Leaving(header.Values(f.config.Headers.Leaving)) {
		f.recordLeaving(e, source)
	}
	if status == http.StatusServiceUnavailable {
		f.recordQuiet(e, source, header)
	}
}

func (f *Forwarder) recordLeaving(e *endpoint, source string) {
	f.table.mu.Lock()
	isNews := f.table.setLeaving(e, source, time.Now())
	f.table.mu.Unlock()
	if isNews {
		f.config.Metrics.Counter("forward.leaving_stated").Inc(1)
		f.logTargets()
	}
}

// recordEngineAnswer is recordStatements for a call to the engine at an address.
func (f *Forwarder) recordEngineAnswer(address string, status int, header http.Header) {
	if e := f.table.endpointAt(address); e != nil {
		f.recordStatements(e, "engine call", status, header)
	}
}

// endpointAt returns the endpoint at an address, or nil.
func (t *table) endpointAt(address string) *endpoint {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.endpoints {
		if e.address == address {
			return e
		}
	}
	return nil
}

// setLeaving stores that an incarnation leaves and begins its drain. It reports whether that
// is news. The caller holds t.mu.
func (t *table) setLeaving(e *endpoint, source string, at time.Time) bool {
	if !e.said.leavingAt.IsZero() || e.said.ignoreLeaving {
		return false
	}
	e.said.leavingAt, e.said.leavingSource = at, source
	t.startDrain(e)
	t.changedEndpoints = append(t.changedEndpoints, e)
	t.loadsChanged.Set()
	return true
}

// recordQuiet stores for how long a target that has turned a request away wants no others.
func (f *Forwarder) recordQuiet(e *endpoint, source string, header http.Header) {
	now := time.Now()
	pause, ok := statement.Quiet(header, now)
	if !ok {
		f.config.Metrics.Counter("forward.quiet_malformed").Inc(1)
	}
	if pause == 0 {
		return
	}
	f.config.Metrics.Counter("forward.quiet_stated").Inc(1)
	if f.table.setQuiet(e, source, now, now.Add(pause)) {
		f.config.Logger.Info().Str("target", e.id).Str("service", e.service).Str("source", source).Dur("for", pause).Msg("target wants no requests")
	}
}

// setQuiet stores until when a target wants no requests; a shorter time does not replace a
// longer one. It reports whether that is news: a quiet time begins or becomes longer by
// quietNews.
func (t *table) setQuiet(e *endpoint, source string, now, until time.Time) (isNews bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	begins := !now.Before(e.said.quietUntil)
	if begins {
		e.said.quietSince, e.said.continued = now, 0
	}
	isNews = begins || until.Sub(e.said.quietUntil) >= quietNews
	if until.After(e.said.quietUntil) {
		e.said.quietUntil, e.said.quietSource = until, source
	}
	return isNews
}

// admitAfterQuiet reports whether e may get a further request of this instance by the time
// since its quiet one: its share of the slots opens over easeTime.
func (e *endpoint) admitAfterQuiet(instances int, now time.Time) bool {
	since := now.Sub(e.said.quietUntil)
	if e.said.quietUntil.IsZero() || since >= easeTime {
		return true
	}
	share := float64(e.target.Slots) / float64(instances) * since.Seconds() / easeTime.Seconds()
	return float64(e.requests) < max(1, share)
}

// untilAccepted returns the time until one of the targets that can serve the demand accepts
// a further request of this instance, by the limits and the quiet times that they name;
// false if none of them names any.
func (t *table) untilAccepted(d *demand, now time.Time) (time.Duration, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	connLimit := t.maxConns(d.q.service)
	shortest, found := time.Duration(0), false
	for _, e := range t.endpoints {
		if !e.canServe(d, connLimit) || (e.limit == 0 && now.Sub(e.said.quietUntil) >= easeTime) {
			continue
		}
		wait := max(e.said.quietUntil.Sub(now), t.untilLimitAdmits(e, now))
		if !found || wait < shortest {
			shortest, found = wait, true
		}
	}
	return shortest, found
}

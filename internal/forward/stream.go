package forward

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

var (
	// errGap means that a stream went on behind events that are missing.
	errGap = errors.New("events are missing")
	// errCallerGone means that the caller takes no more bytes.
	errCallerGone = errors.New("the caller takes no more bytes")
)

// run is one stream in progress.
type run struct {
	f   *Forwarder
	q   *request
	out http.ResponseWriter

	head      http.Header // of the first target that answered
	started   bool        // the head has been passed on
	lastEvent int64       // id of the last event that was passed on
	lastAt    time.Time
	first     time.Duration // from arrival to the first event
	pause     time.Duration // longest between two events
	attempts  attempts
	moves     int
}

// serveStream serves a request whose answer is a stream of events. A target's
// failure to start is handled like that of a plain request.
func (f *Forwarder) serveStream(ctx context.Context, w http.ResponseWriter, q *request) error {
	r := &run{f: f, q: q, out: w}
	f.budget.request(q.service.Name, time.Now())
	var from *resume
	l := f.table.acquire(f.table.near(q, nil), time.Now())
	for {
		if l == nil {
			return r.end(ctx)
		}
		o, next := r.leg(ctx, l, from)
		if o == nil {
			return nil // whole
		}
		if next != nil {
			l, from = next.lease, next.from
			continue
		}
		if o.err != nil && errors.Is(o.err, errCallerGone) {
			panic(http.ErrAbortHandler)
		}
		f.note(q, &r.attempts, o)
		if o.succeeded() {
			return f.pass(w, o)
		}
		if !r.mayRestart(ctx, o) {
			return r.end(ctx)
		}
		if r.lastEvent > 0 {
			from = &resume{lastEvent: r.lastEvent}
		}
		l = f.table.acquire(f.table.near(q, r.attempts.exclude), time.Now())
	}
}

// mayRestart decides whether a new run is started after a failure. Once events
// were passed on, only a resumable stream may go on by a new run.
func (r *run) mayRestart(ctx context.Context, o *outcome) bool {
	if r.started && !r.q.repeatable() {
		return false
	}
	return r.f.tryAgain(ctx, r.q, &r.attempts, o)
}

// end answers for a stream that could not be completed.
func (r *run) end(ctx context.Context) error {
	if r.started {
		r.f.config.Metrics.Counter("forward.stream_cut").Inc(1)
		r.f.config.Logger.Warn().Str("request", r.q.id).Int64("last_event", r.lastEvent).Int("moves", r.moves).
			Err(r.attempts.lastFail).Dur("after", time.Since(r.q.arrived)).Msg("stream cut")
		panic(http.ErrAbortHandler)
	}
	return r.f.settle(ctx, r.out, r.q, &r.attempts)
}

// handoff is where a stream goes on by its own memory.
type handoff struct {
	lease *lease
	from  *resume
}

// leg follows the run at one target. It returns nil for a whole stream, the
// next place for one that was moved, and else how the leg ended.
func (r *run) leg(ctx context.Context, l *lease, from *resume) (*outcome, *handoff) {
	defer l.release()
	r.logPlaced(l, from)
	ans, err := r.f.send(ctx, l, r.q, from)
	if err != nil {
		return &outcome{lease: l, err: err}, nil
	}
	defer ans.drop(l)
	if ans.StatusCode != http.StatusOK {
		o := &outcome{lease: l, status: ans.StatusCode, header: ans.Header, refused: ans.refused(&r.f.config.Headers)}
		o.body, o.err = io.ReadAll(io.LimitReader(ans.Body, maxWholeAnswer))
		return o, nil
	}
	if !r.f.genuine(ans.Response) {
		return &outcome{lease: l, err: errForeign}, nil
	}
	if !r.started {
		r.head = ans.Header
	}
	m := r.f.startMover(ctx, r, l)
	err = r.relay(l, ans.Body)
	if errors.Is(err, errCallerGone) || (err == nil && !m.told()) {
		m.abandon()
	} else if next := m.finish(ctx); next != nil {
		next.from.lastEvent = r.lastEvent
		r.moves++
		return &outcome{lease: l, err: err}, next
	}
	if err == nil {
		r.f.table.succeeded(l.endpoint)
		r.f.config.Metrics.Counter("forward.streams_whole").Inc(1)
		r.f.config.Logger.Info().Str("request", r.q.id).Str("target", l.endpoint.id).Int64("events", r.lastEvent).
			Int("moves", r.moves).Dur("first", r.first).Dur("pause", r.pause).Dur("after", time.Since(r.q.arrived)).Msg("stream whole")
		return nil, nil
	}
	return &outcome{lease: l, status: http.StatusOK, err: err}, nil
}

// logPlaced writes where the stream runs, with the load that decided it.
func (r *run) logPlaced(l *lease, from *resume) {
	there, age := r.f.table.standing(l.endpoint)
	line := r.f.config.Logger.Info().Str("request", r.q.id).Str("route", r.q.route.Name).Str("target", l.endpoint.id).
		Int("requests", there.Requests).Int("tokens", there.Tokens).Dur("announced", age)
	if from != nil {
		line = line.Int64("last_event", from.lastEvent).Str("copy", from.copyFrom)
	}
	line.Msg("placed")
}

// relay passes whole events on, each once and in order, until the stream ends.
// A nil error means that the target ended it.
func (r *run) relay(l *lease, body io.Reader) error {
	began := false
	events := newEventReader(body)
	flush := http.NewResponseController(r.out)
	for {
		raw, id, err := events.next()
		if errors.Is(err, io.EOF) {
			if !r.started {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err == nil && id > 0 && id <= r.lastEvent {
			continue // passed on before
		}
		if err == nil && id > 0 && r.lastEvent > 0 && id != r.lastEvent+1 {
			err = fmt.Errorf("%w: %d follows %d", errGap, id, r.lastEvent)
		}
		if err != nil {
			// What has arrived is the caller's, whatever comes of the stream.
			if r.started && flush.Flush() != nil {
				return errCallerGone
			}
			return err
		}
		now := time.Now()
		if !began {
			began = true
			l.started()
		}
		if r.started {
			r.pause = max(r.pause, now.Sub(r.lastAt))
			r.f.observed.Record(gapLatency, now.Sub(r.lastAt))
		} else {
			r.first = now.Sub(r.q.arrived)
			r.f.observed.Record(firstLatency, r.first)
		}
		r.lastAt = now
		r.start()
		if _, err := r.out.Write(raw); err != nil {
			return errCallerGone
		}
		if id > 0 {
			r.lastEvent = id
		}
		if events.buffered() {
			continue
		}
		if err := flush.Flush(); err != nil {
			return errCallerGone
		}
	}
}

// start passes the head on with the first event. Until then a failure can
// still be answered as such.
func (r *run) start() {
	if !r.started {
		r.started = true
		copyHeaders(r.out.Header(), r.head)
		r.out.WriteHeader(http.StatusOK)
	}
}

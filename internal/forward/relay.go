package forward

import (
	"errors"
	"io"
	"time"
)

// relayEvents sends a leg's complete events to the caller until the leg ends. A nil error
// means that the target ended the stream after at least one event. It calls answerBegan
// with the first event.
func (r *streamSession) relayEvents(l *lease, body io.Reader, answerBegan func()) error {
	events := newEventReader(body)
	for {
		e, err := events.next()
		send := false
		if err == nil {
			send, err = r.caller.admit(&e)
		}
		if err != nil {
			// Events that have arrived are sent even if the stream then fails.
			if r.caller.flush() != nil {
				return errCallerGone
			}
			return r.endOfLeg(err)
		}
		if send {
			err = r.sendEvent(l, &e, answerBegan)
		}
		if err != nil {
			return err
		}
		if events.hasBufferedEvent() {
			continue
		}
		if err := r.caller.flush(); err != nil {
			return err
		}
	}
}

// sendEvent records an admitted event and writes it to the caller.
func (r *streamSession) sendEvent(l *lease, e *streamEvent, answerBegan func()) error {
	if !e.isComment() {
		r.recordEvent(l, e, answerBegan)
	}
	return r.caller.write(e)
}

// endOfLeg returns the error of a leg whose events ended with err; nil if its target ended
// the stream.
func (r *streamSession) endOfLeg(err error) error {
	switch {
	case !errors.Is(err, io.EOF):
		if errors.Is(err, errOutOfOrder) || errors.Is(err, errNotAnEvent) {
			r.f.config.Metrics.Counter("forward.wrong_event").Inc(1)
		}
		return err
	case r.caller.legEvents == 0:
		return errNoEvent
	}
	return nil
}

// recordEvent records that an event is about to be sent, with the times that callers are
// served by.
func (r *streamSession) recordEvent(l *lease, e *streamEvent, answerBegan func()) {
	now := time.Now()
	if r.caller.legEvents == 0 {
		r.legFirstEventAt, r.legFirstID = now, e.number
		answerBegan()
		l.endPrefill()
		r.f.noteVersion(r.q, l.endpoint)
	} else if r.legStarted(now) {
		r.recordServed()
	}
	if r.caller.begun() {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
		r.f.latencies.Record(gapLatency, now.Sub(r.lastEventAt))
	} else {
		r.timeToFirstEvent = now.Sub(r.q.arrived)
		r.f.latencies.Record(firstEventLatency, r.timeToFirstEvent)
	}
	r.lastEventAt = now
	r.f.work.add(eventWork, len(e.raw), now)
}

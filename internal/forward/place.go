package forward

import (
	"math/rand/v2"
	"time"

	"github.com/endivetrack/endivetrack/internal/pause"
	"github.com/endivetrack/endivetrack/internal/quarantine"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// place reserves capacity for the next attempt of a request. It returns nil if no target
// can accept the request, or must not: the reason is then in the history.
func (f *Forwarder) place(q *request, a *attemptHistory) *lease {
	if found, ok := f.config.Quarantine.Match(q.features); ok {
		f.config.Metrics.Counter("quarantine.refused").Inc(1)
		a.lastErr = quarantine.Error(found).WithRetryAfter(time.Until(found.Until))
		return nil
	}
	if f.config.Quarantine.SpareLast(q.features) && f.isLastTarget(q) {
		f.config.Metrics.Counter("quarantine.refused").Inc(1)
		a.lastErr = resultcode.Newf(resultcode.RequestQuarantined, "two targets of %q have just crashed with this request (%s), and one is left", q.service.Name, q.identity).
			WithRetryAfter(pause.Spread(pauseLastTarget, rand.Float64))
		return nil
	}
	d, now := f.table.demandFor(q, a.exclude), time.Now()
	if a.runs == 0 {
		if err := f.checkStop(q, now); err != nil {
			a.lastErr = err
			return nil
		}
	}
	if l := f.table.acquireLease(d, now); l != nil {
		f.durations.begin(q, now)
		return l
	}
	if wait, known := f.table.untilAccepted(d, now); known {
		f.config.Metrics.Counter("forward.limit_refused").Inc(1)
		a.lastErr = resultcode.Newf(resultcode.Overloaded, "the targets of %q accept no more requests now, by what they say in their answers", q.service.Name).
			WithRetryAfter(pause.Spread(wait, rand.Float64))
	}
	return nil
}

// isLastTarget reports whether the service of a request has lost targets to crashes and
// has at most one left.
func (f *Forwarder) isLastTarget(q *request) bool {
	left, crashed := 0, 0
	for _, e := range f.table.usableEndpoints(q.service.Name) {
		if f.config.Quarantine.CrashedRecently(crashID(e)) {
			crashed++
		} else {
			left++
		}
	}
	return left <= 1 && crashed > 0
}

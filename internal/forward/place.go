package forward

import (
	"time"

	"github.com/endivetrack/endivetrack/internal/quarantine"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// place reserves capacity for the next attempt of a request. It returns nil if no target
// can accept the request, or must not: the reason is then in the history.
func (f *Forwarder) place(q *request, a *attemptHistory) *lease {
	if found, ok := f.config.Quarantine.Match(q.features()); ok {
		f.config.Metrics.Counter("quarantine.refused").Inc(1)
		a.lastErr = quarantinedError(found).WithRetryAfter(time.Until(found.Until))
		return nil
	}
	d, now := f.table.demandFor(q, a.exclude), time.Now()
	if l := f.table.acquireLease(d, now); l != nil {
		return l
	}
	if wait, limited := f.table.untilAdmission(d, now); limited {
		f.config.Metrics.Counter("forward.limit_refused").Inc(1)
		a.lastErr = resultcode.Newf(resultcode.Overloaded, "the targets of %q accept no more requests now, by the limits that they name", q.service.Name).
			WithRetryAfter(max(minLimitPause, wait))
	}
	return nil
}

func quarantinedError(found quarantine.Quarantine) *resultcode.Error {
	if found.IsRequest() {
		return resultcode.Newf(resultcode.RequestQuarantined, "targets crash when they run this request (%s)", found.Parts[0])
	}
	return resultcode.Newf(resultcode.PromptQuarantined, "targets crash when they answer a prompt with the parts %v", found.Parts)
}

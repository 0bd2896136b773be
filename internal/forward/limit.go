package forward

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/internal/manifest"
)

// minLimit is the lowest rate at which requests are sent to a target that names a limit,
// in requests per second of all instances together. Only a response can say that a limit
// has ended.
const minLimit = 0.1

// parseLimit parses the rate that a target names. It returns 0 and true if the target
// names none, and false if the value is not a decimal number of requests per second.
func parseLimit(values []string) (float64, bool) {
	if len(values) == 0 {
		return 0, true
	}
	rate, err := strconv.ParseFloat(strings.TrimSpace(values[0]), 64)
	if err != nil || len(values) > 1 || !(rate >= 0) || math.IsInf(rate, 0) {
		return 0, false
	}
	return max(minLimit, rate), true
}

// recordLimit stores the limit that a target's response names, or that it names none any
// more. A value that is no number leaves the limit as it is.
func (f *Forwarder) recordLimit(e *endpoint, header http.Header) {
	rate, ok := parseLimit(header.Values(f.config.Headers.Limit))
	if !ok {
		f.config.Metrics.Counter("forward.limit_malformed").Inc(1)
		return
	}
	if f.table.setLimit(e, rate, time.Now()) {
		f.config.Logger.Info().Str("target", e.id).Str("service", e.service).Float64("limit", rate).Msg("target limit")
	}
}

// NamedLimit is the limit that a response named.
type NamedLimit struct {
	// Rate is in requests per second of all instances together; 0 means no limit.
	Rate float64
	At   time.Time
}

// setLimit stores what a response to this instance names, and reports whether the endpoint
// begins or ceases to have a limit.
func (t *table) setLimit(e *endpoint, rate float64, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.said.limit.Rate != rate {
		t.loadsChanged.Set()
	}
	e.said.limit = NamedLimit{Rate: rate, At: now}
	return t.refreshLimit(e)
}

// refreshLimit puts the newest limit that any instance has seen in force, and reports
// whether the endpoint begins or ceases to have one. What an instance saw of an earlier
// incarnation does not count. The caller holds t.mu.
func (t *table) refreshLimit(e *endpoint) bool {
	newest := e.said.limit
	for _, l := range e.otherLoads {
		if l.Limit.At.After(newest.At) && l.Limit.At.After(e.createdAt) {
			newest = l.Limit
		}
	}
	changed := (e.limit == 0) != (newest.Rate == 0)
	if changed {
		e.limitBucket = tokenBucket{}
	}
	e.limit = newest.Rate
	return changed
}

// limitNews returns what this instance saw, if it or another instance saw a limit. A
// target with a low limit answers each of many instances rarely, so that they learn from
// each other that the limit has changed or ended. The caller holds table.mu.
func (e *endpoint) limitNews() NamedLimit {
	if e.said.limit.Rate > 0 {
		return e.said.limit
	}
	for _, l := range e.otherLoads {
		if l.Limit.Rate > 0 {
			return e.said.limit
		}
	}
	return NamedLimit{}
}

// Requests beyond the even flow that all instances together may send at once to a target
// that names a limit: what the limit allows in limitBurstTime, and limitBurstRequests.
const (
	limitBurstTime     = time.Second
	limitBurstRequests = 3
)

// limitBurst returns the burst of all instances together.
func (e *endpoint) limitBurst() float64 {
	return limitBurstRequests + e.limit*limitBurstTime.Seconds()
}

// limitShare returns this instance's share of the rate that a target names and of the
// burst. The instances divide them evenly. Like the shares of the cold rate, they need no
// exchange, so that they hold while instances cannot reach each other. The caller holds
// t.mu.
func (t *table) limitShare(e *endpoint) (rate, burst float64) {
	instances := float64(t.view.EntryCount())
	return e.limit / instances, e.limitBurst() / instances
}

// refillLimit refills the bucket of a target that names a limit. The caller holds t.mu.
func (t *table) refillLimit(e *endpoint, now time.Time) {
	rate, burst := t.limitShare(e)
	if e.limitBucket.refilledAt.IsZero() {
		e.limitBucket = newTokenBucket(t.view.EntryCount(), limitBurstRequests, t.position(e.id), now)
	}
	e.limitBucket.refill(rate, burst, now)
}

// admit reports whether a request may be sent to e now, by the limit that the target names,
// by the rate of cold targets and by the pace after a quiet time, and counts it if so. The
// caller holds t.mu.
func (t *table) admit(e *endpoint, s *manifest.Service, now time.Time) bool {
	if !e.admitAfterQuiet(t.view.EntryCount(), now) {
		return false
	}
	if e.limit == 0 {
		return t.admitToColdTarget(e, s, now)
	}
	t.refillLimit(e, now)
	if e.limitBucket.tokens < 1 || !t.admitToColdTarget(e, s, now) {
		return false
	}
	return e.limitBucket.take()
}

// chargeLimit counts a request that is sent whatever the limit. The caller holds t.mu.
func (t *table) chargeLimit(e *endpoint, now time.Time) {
	if e.limit > 0 {
		t.refillLimit(e, now)
		e.limitBucket.tokens--
	}
}

// untilLimitAdmits returns the time until the limit that e names admits a further request
// of this instance. The caller holds t.mu.
func (t *table) untilLimitAdmits(e *endpoint, now time.Time) time.Duration {
	if e.limit == 0 {
		return 0
	}
	t.refillLimit(e, now)
	rate, _ := t.limitShare(e)
	return e.limitBucket.untilToken(rate)
}

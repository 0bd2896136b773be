package forward

import (
	"math"
	"net/http"
	"strconv"
	"strings"
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
func (f *Forwarder) recordLimit(e *endpoint, resp *http.Response) {
	rate, ok := parseLimit(resp.Header.Values(f.config.Headers.Limit))
	if !ok {
		f.config.Metrics.Counter("forward.limit_malformed").Inc(1)
		return
	}
	if f.table.setLimit(e, rate) {
		f.config.Logger.Info().Str("target", e.id).Str("service", e.service).Float64("limit", rate).Msg("target limit")
	}
}

// setLimit sets the limit of an endpoint and reports whether the endpoint begins or ceases
// to have one.
func (t *table) setLimit(e *endpoint, rate float64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := (e.limit == 0) != (rate == 0)
	e.limit = rate
	return changed
}

package process

import (
	"bufio"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// MetricsHandler serves all counters and gauges in the Prometheus text format.
// The counter log.dropped is the number that log.Dropped returns.
func (e *Env) MetricsHandler(log *LogWriter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		out := bufio.NewWriter(w)
		counters := e.Counters()
		counters["log.dropped"] = log.Dropped()
		for _, name := range slices.Sorted(maps.Keys(counters)) {
			fmt.Fprintf(out, "endivetrack_%s_total %d\n", metricName(name), counters[name])
		}
		gauges := e.Gauges()
		for _, name := range slices.Sorted(maps.Keys(gauges)) {
			fmt.Fprintf(out, "endivetrack_%s %g\n", metricName(name), gauges[name])
		}
		_ = out.Flush() // fails only if the client has disconnected
	})
}

// metricName replaces the characters that the text format does not allow in a
// name.
func metricName(name string) string {
	return strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

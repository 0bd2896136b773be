package process

import (
	"bufio"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
)

// MetricsHandler serves counters and gauges as text, one "name value" a line,
// with the lines that the log has dropped.
func (e *Env) MetricsHandler(log *LogWriter) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; version=0.0.4")
		out := bufio.NewWriter(w)
		counters := e.Counters()
		counters["log.dropped"] = log.Dropped()
		for _, name := range slices.Sorted(maps.Keys(counters)) {
			fmt.Fprintf(out, "endivetrack_%s_total %d\n", exposed(name), counters[name])
		}
		gauges := e.Gauges()
		for _, name := range slices.Sorted(maps.Keys(gauges)) {
			fmt.Fprintf(out, "endivetrack_%s %g\n", exposed(name), gauges[name])
		}
		_ = out.Flush() // the reader may be gone
	})
}

// exposed is a metric's name in the text format.
func exposed(name string) string {
	return strings.NewReplacer(".", "_", "-", "_").Replace(name)
}

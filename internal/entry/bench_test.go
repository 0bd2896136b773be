package entry

import (
	"bufio"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// readStream starts a generation, reads its stream to the end and calls onToken
// with the text of each token.
func readStream(t testing.TB, url, key string, onToken func(text string)) {
	r, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(streamBody))
	assert.NilError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	r.Header.Set("X-Request-Id", "direct")
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if i := strings.Index(lines.Text(), `"content":"`); i >= 0 {
			text := lines.Text()[i+len(`"content":"`):]
			onToken(text[:strings.IndexByte(text, '"')])
		}
	}
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u) // getrusage cannot fail for this process
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// timestampedTokens returns a fakeEngine script that sends n tokens at intervals of gap. The
// text of a token is the time at which it was sent, in Unix nanoseconds.
func timestampedTokens(n int, gap time.Duration) func(*engineConn) {
	return func(c *engineConn) {
		c.startResponse()
		for i := range n {
			if gap > 0 {
				time.Sleep(gap)
			}
			c.sendChunk(c.id, i, strconv.FormatInt(time.Now().UnixNano(), 10), "")
		}
		c.sendFinish(n)
	}
}

// BenchmarkToken measures the cost that the entry instance adds to each token. The same
// run streams from one engine directly and through the instance, with one token per 2 ms
// and stream. It reports the CPU time per 1,000 tokens of this process, which runs
// the engine, the callers and (not in the direct case) the instance, and the latency
// from the engine's write to the caller's read.
func BenchmarkToken(b *testing.B) {
	const tokens, streams, gap = 200, 20, 2 * time.Millisecond
	entryHarness := newHarness(b)
	engine := newEngine(b, timestampedTokens(tokens, gap))
	entryHarness.addTarget("llm-1", engine.address())
	type figures struct {
		cpu       time.Duration
		latencies []time.Duration
	}
	measure := func(f *figures, url string) {
		before := cpuTime()
		results := make(chan []time.Duration, streams)
		for range streams {
			go func() {
				var out []time.Duration
				readStream(b, url, callerKey, func(text string) {
					sent, _ := strconv.ParseInt(text, 10, 64)
					if sent > 0 {
						out = append(out, time.Duration(time.Now().UnixNano()-sent))
					}
				})
				results <- out
			}()
		}
		for range streams {
			f.latencies = append(f.latencies, <-results...)
		}
		f.cpu += cpuTime() - before
	}
	var direct, through figures
	for b.Loop() {
		measure(&direct, engine.server.URL)
		measure(&through, entryHarness.base)
	}
	http.DefaultClient.CloseIdleConnections()
	report := func(name string, f *figures) {
		slices.Sort(f.latencies)
		n := len(f.latencies)
		assert.Assert(b, n > 0)
		b.ReportMetric(float64(f.cpu.Microseconds())/float64(n)*1000, name+"-cpu-us/1000tok")
		b.ReportMetric(float64(f.latencies[n/2].Microseconds()), name+"-p50-us")
		b.ReportMetric(float64(f.latencies[n*99/100].Microseconds()), name+"-p99-us")
	}
	report("direct", &direct)
	report("entry", &through)
	b.ReportMetric(float64(through.latencies[len(through.latencies)/2]-direct.latencies[len(direct.latencies)/2])/1000, "added-p50-us")
}

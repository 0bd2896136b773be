package forward

import (
	"io"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/process"
)

// BenchmarkLogging compares requests with and without logging: the latency at
// the caller and the CPU time of the process, callers and targets included.
func BenchmarkLogging(b *testing.B) {
	for _, logged := range []bool{false, true} {
		b.Run("logged="+strconv.FormatBool(logged), func(b *testing.B) { benchmarkRequests(b, logged) })
	}
}

func benchmarkRequests(b *testing.B, logged bool) {
	f := newFixture(b, "core", newFakeTarget(b, "i1", respondsWith(200, "answer")))
	if logged {
		f.config.Logger = fileLogger(b)
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	latencies := make([]time.Duration, 0, b.N)
	before := processorTime(b)
	for b.Loop() {
		start := time.Now()
		r, err := http.NewRequest(http.MethodPost, f.url+"/write/x", strings.NewReader("body"))
		assert.NilError(b, err)
		r.Host = "h"
		r.Header.Set("T-Id", "id-1")
		r.Header.Set("T-Key", "key")
		resp, err := client.Do(r)
		assert.NilError(b, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(b, err)
		assert.NilError(b, resp.Body.Close())
		latencies = append(latencies, time.Since(start))
	}
	b.ReportMetric(float64((processorTime(b)-before).Nanoseconds())/float64(len(latencies)), "cpu-ns/op")
	slices.Sort(latencies)
	b.ReportMetric(float64(latencies[len(latencies)/2].Nanoseconds()), "p50-ns")
	b.ReportMetric(float64(latencies[len(latencies)*99/100].Nanoseconds()), "p99-ns")
}

// fileLogger returns a logger that is configured like a process's and writes to
// a file.
func fileLogger(b *testing.B) zerolog.Logger {
	out, err := os.Create(filepath.Join(b.TempDir(), "log"))
	assert.NilError(b, err)
	w := process.NewLogWriter(out)
	env, err := process.NewEnv(process.Config{Name: "e1"}, w)
	assert.NilError(b, err)
	b.Cleanup(func() {
		assert.Equal(b, w.Dropped(), int64(0))
		assert.NilError(b, w.Close())
		assert.NilError(b, out.Close())
	})
	return env.Log
}

func processorTime(b *testing.B) time.Duration {
	var use syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &use))
	return time.Duration(use.Utime.Nano() + use.Stime.Nano())
}

package process

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/timeline"
)

// Guards against log lines that cannot be put in one order over all processes:
// a line after a call carries a later logical clock than the caller had.
func TestLogLinesCarryTheLogicalClock(t *testing.T) {
	var out bytes.Buffer
	env, err := NewEnv(Config{Name: "e1"}, &out)
	assert.NilError(t, err)
	ahead := env.Timeline.Clock().Now()
	ahead.WallMicros += 5_000_000
	env.Timeline.Clock().Observe(ahead)
	env.Log.Info().Msg("after the call")
	var line struct{ Clock string }
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	at, err := timeline.ParseTimestamp(line.Clock)
	assert.NilError(t, err)
	assert.Assert(t, ahead.Before(at))
}

// BenchmarkLogLine is the processor time of one line of the usual size, the
// writer's part included.
func BenchmarkLogLine(b *testing.B) {
	out, err := os.Create(filepath.Join(b.TempDir(), "log"))
	assert.NilError(b, err)
	w := NewLogWriter(out)
	env, err := NewEnv(Config{Name: "e1"}, w)
	assert.NilError(b, err)
	for b.Loop() {
		env.Log.Info().Str("request", "a69a9da3ad8ab74f").Str("route", "r-hvz3pfi").Str("target", "i-6115218c50").
			Int("requests", 7).Int("tokens", 20_000).Dur("announced", time.Second).Msg("placed")
		if len(w.lines) > logLines/2 {
			time.Sleep(time.Millisecond) // a burst must not be dropped here
		}
	}
	assert.NilError(b, w.Close())
	assert.Equal(b, w.Dropped(), int64(0))
	assert.NilError(b, out.Close())
}

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

// Guards against log lines of several processes that cannot be sorted with
// causes before effects. A line that is written after a call was received must
// have a later logical clock than the call.
func TestLogLinesCarryTheLogicalClock(t *testing.T) {
	var out bytes.Buffer
	env, err := NewEnv(Config{Name: "e1"}, &out)
	assert.NilError(t, err)
	callerTime := env.Timeline.Clock().Now()
	callerTime.WallMicros += 5_000_000
	env.Timeline.Clock().Observe(callerTime)
	env.Log.Info().Msg("after the call")
	var line struct{ Clock string }
	assert.NilError(t, json.Unmarshal(out.Bytes(), &line))
	lineTime, err := timeline.ParseTimestamp(line.Clock)
	assert.NilError(t, err)
	assert.Assert(t, callerTime.Before(lineTime))
}

// BenchmarkLogLine measures the processor time of a log line of typical size,
// from the call to the write in the background.
func BenchmarkLogLine(b *testing.B) {
	out, err := os.Create(filepath.Join(b.TempDir(), "log"))
	assert.NilError(b, err)
	w := NewLogWriter(out)
	env, err := NewEnv(Config{Name: "e1"}, w)
	assert.NilError(b, err)
	for b.Loop() {
		env.Log.Info().Str("request", "a69a9da3ad8ab74f").Str("route", "r-hvz3pfi").Str("target", "i-6115218c50").
			Int("requests", 7).Int("tokens", 20_000).Dur("announced", time.Second).Msg("placed")
		if len(w.lines) > logBufferLines/2 {
			time.Sleep(time.Millisecond) // let the background writer catch up, because no line may be dropped
		}
	}
	assert.NilError(b, w.Close())
	assert.Equal(b, w.Dropped(), int64(0))
	assert.NilError(b, out.Close())
}

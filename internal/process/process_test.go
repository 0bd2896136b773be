package process

import (
	"bytes"
	"encoding/json"
	"testing"

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

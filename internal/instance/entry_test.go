package instance

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/forward"
)

// Guards against instances that are listed as lightly loaded although their link or
// their processors are in full use.
func TestLoadIsThatOfTheScarcestResource(t *testing.T) {
	c := EntryConfig{Cores: 0.2, LinkBytes: 1e6}
	assert.Equal(t, c.load(forward.Work{}), 0.0)
	assert.Equal(t, c.load(forward.Work{Processor: 60 * time.Millisecond}), 1.0)
	assert.Equal(t, c.load(forward.Work{Processor: 60 * time.Millisecond, Bytes: 900_000}), 3.0)
	unlimited := EntryConfig{}
	assert.Equal(t, unlimited.load(forward.Work{Processor: 600 * time.Millisecond, Bytes: 1e9}), 2.0)
}

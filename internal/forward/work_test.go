package forward

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against work that is reported for longer than a second after it, or not until
// the second in which it began has ended: in a burst more instances are needed at once.
func TestWorkMeterFollowsLoad(t *testing.T) {
	var m workMeter
	now := time.Unix(1000, 0)
	assert.Equal(t, m.rate(now), Work{})
	for range 500 {
		m.add(requestWork, 100, now)
	}
	want := Work{Processor: 100 * time.Millisecond, Bytes: 50_000}
	assert.Equal(t, m.rate(now), want)
	assert.Equal(t, m.rate(now.Add(time.Second)), want)
	assert.Equal(t, m.rate(now.Add(2*time.Second)), Work{})
}

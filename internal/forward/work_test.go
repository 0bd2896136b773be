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
	assert.Equal(t, m.rate(now), 0.0)
	for range 500 {
		m.add(requestWork, now)
	}
	assert.Equal(t, m.rate(now), 0.1)
	assert.Equal(t, m.rate(now.Add(time.Second)), 0.1)
	assert.Equal(t, m.rate(now.Add(2*time.Second)), 0.0)
}

package age

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestAgesAreBounded(t *testing.T) {
	now := time.Now()
	assert.Equal(t, Of(now.Add(-1500*time.Millisecond), now), uint32(1500))
	assert.Equal(t, Of(now.Add(time.Second), now), uint32(0))
	assert.Equal(t, Of(now.AddDate(-1, 0, 0), now), uint32(math.MaxUint32))
	assert.Assert(t, Time(now, 1500).Equal(now.Add(-1500*time.Millisecond)))
}

package expected

import (
	"fmt"
	"slices"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
)

// Guards against an output that differs between the engine and a check, or that
// does not depend on the whole prompt.
func TestOutputDependsOnlyOnThePrompt(t *testing.T) {
	a, b := Output("lot 17", 0), Output("lot 17", 0)
	assert.Equal(t, a, b)
	assert.Equal(t, a.Text(0), b.Text(0))
	assert.Assert(t, Output("lot 18", 0).Token(0) != a.Token(0))
	bounded := Output("lot 17", 1)
	assert.Equal(t, bounded.Length, 1)
	assert.Equal(t, bounded.Finish, "length")
}

// Guards against a distribution of long outputs without a heavy tail. Without the
// tail, admission would have nothing to predict, and preemptions would not occur.
func TestLongOutputsAreHeavyTailed(t *testing.T) {
	var long, short []int
	for i := range 4000 {
		long = append(long, Output(fmt.Sprint("lot ", i), 0).Length)
		short = append(short, Output(fmt.Sprint(ShortMarker, i), 0).Length)
	}
	slices.Sort(long)
	slices.Sort(short)
	assert.Assert(t, long[2000] > 120 && long[2000] < 300, "median %d", long[2000])
	assert.Assert(t, long[3960] > 10*long[2000], "99th percentile %d, median %d", long[3960], long[2000])
	assert.Assert(t, short[3960] < 100, "99th percentile of short outputs %d", short[3960])
}

// Guards against prefix hashes that differ from docs/targets.md: hash i covers
// the first i blocks.
func TestPrefixHashesCoverWholePrefixes(t *testing.T) {
	text := fmt.Sprintf("%0200d", 7)
	hashes := PrefixHashes(text)
	assert.Equal(t, len(hashes), 3)
	for i, h := range hashes {
		assert.Equal(t, h, xxhash.Sum64String(text[:64*(i+1)]))
	}
}

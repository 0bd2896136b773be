package settings

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a delta that makes another text than the accepted one.
func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab\n")), 0, 40)
		base, next := text.Draw(t, "base"), text.Draw(t, "next")
		got, err := Diff(base, next).Apply(base)
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(next))
	})
}

// Guards against a delta applied to another revision than the one it was made
// from, which would put settings in force that nobody accepted.
func TestDeltaRefusesOtherBase(t *testing.T) {
	d := Diff([]byte("weight = 1\n"), []byte("weight = 2\n"))
	_, err := d.Apply([]byte("length = 1\n"))
	assert.ErrorContains(t, err, "does not fit its base")
	_, err = d.Apply([]byte("w"))
	assert.ErrorContains(t, err, "keeps")
}

package settings

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// Guards against a delta whose result differs from the accepted text.
func TestDeltaRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		text := rapid.SliceOfN(rapid.SampledFrom([]byte("ab\n")), 0, 40)
		base, next := text.Draw(t, "base"), text.Draw(t, "next")
		got, err := Diff(base, next).Apply(base)
		assert.NilError(t, err)
		assert.Equal(t, string(got), string(next))
	})
}

// Guards against applying a delta to another revision than the one it was computed
// from, which would bring settings into force that were never accepted.
func TestDeltaRefusesOtherBase(t *testing.T) {
	d := Diff([]byte("weight = 1\n"), []byte("weight = 2\n"))
	_, err := d.Apply([]byte("length = 1\n"))
	assert.ErrorContains(t, err, "does not fit its base")
	_, err = d.Apply([]byte("w"))
	assert.ErrorContains(t, err, "keeps")
}

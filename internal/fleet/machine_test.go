package fleet

import (
	"testing"

	"github.com/google/go-cmp/cmp"
	"gotest.tools/v3/assert"
)

func applyCommand(t *testing.T, m *Machine, index uint64, command []byte, err error) {
	t.Helper()
	assert.NilError(t, err)
	assert.Assert(t, m.Apply(index, command) == nil)
}

// Guards against a manifest that is replaced because a command with an older
// version, or with the same version and other content, is applied later.
func TestManifestVersionNeverDecreases(t *testing.T) {
	m := NewMachine()
	c, err := ManifestChange(7, []byte("seven"))
	applyCommand(t, m, 1, c, err)
	c, err = ManifestChange(5, []byte("five"))
	applyCommand(t, m, 2, c, err)
	c, err = ManifestChange(7, []byte("other"))
	applyCommand(t, m, 3, c, err)
	s, _ := m.State()
	document, err := s.Document()
	assert.NilError(t, err)
	assert.Equal(t, string(document), "seven")
	assert.Equal(t, s.Index, uint64(1))
}

// Guards against state that is lost or altered when it is restored from a
// snapshot.
func TestSnapshotRoundTrip(t *testing.T) {
	m := NewMachine()
	c, err := ManifestChange(7, []byte("seven"))
	applyCommand(t, m, 4, c, err)
	for i, d := range []string{"b", "a", "b"} {
		c, err = DomainChange(d, false)
		applyCommand(t, m, uint64(5+i), c, err)
	}
	data, err := m.Snapshot()
	assert.NilError(t, err)
	other := NewMachine()
	assert.NilError(t, other.Restore(data))
	want, _ := m.State()
	got, _ := other.State()
	assert.DeepEqual(t, got, want, cmp.AllowUnexported(State{}))
	assert.DeepEqual(t, got.OutOfService, []string{"a", "b"})
	c, err = DomainChange("a", true)
	applyCommand(t, other, 9, c, err)
	got, _ = other.State()
	assert.DeepEqual(t, got.OutOfService, []string{"b"})
}

// Guards against a crash or a partly applied change when a command or a
// snapshot cannot be decoded.
func TestMalformedCommandChangesNothing(t *testing.T) {
	m := NewMachine()
	before, _ := m.State()
	assert.Assert(t, m.Apply(1, []byte{0xff, 0xff}) != nil)
	assert.Assert(t, m.Restore([]byte{0xff, 0xff}) != nil)
	after, _ := m.State()
	assert.Equal(t, before, after)
}

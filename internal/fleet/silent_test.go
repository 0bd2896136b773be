package fleet

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/manifest"
)

// Guards against a view that grows with each target that ended without a word.
func TestLongSilentTargetIsForgotten(t *testing.T) {
	now := time.Unix(1e9, 0)
	views := NewViewStore(func([]byte) (*manifest.Manifest, error) { return &manifest.Manifest{}, nil }, func() time.Time { return now })
	announce := func(id string, sequence uint64, state TargetState) {
		views.Merge(nil, []Announcement{{ID: id, Service: "s", Address: id + ":1", Incarnation: 1, Sequence: sequence, State: state}})
	}
	known := func(id string) bool {
		view, _ := views.View()
		return view.Targets[id] != nil
	}
	announce("i1", 1, Ready)
	announce("i1", 1, Silent)
	now = now.Add(silentRetention)
	announce("i2", 1, Ready)
	assert.Assert(t, known("i1"), "it may work and not reach us")
	now = now.Add(time.Second)
	announce("i2", 2, Ready)
	assert.Assert(t, !known("i1"))
	now = now.Add(10 * silentRetention)
	announce("i3", 1, Ready)
	assert.Assert(t, known("i2"), "one that is ready does not have to change")
}

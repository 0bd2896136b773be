package directory

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// Guards against callers that are sent to another region although their own has
// instances, and against a response with one address although the region has
// more.
func TestAddressesAreNearest(t *testing.T) {
	live := []fleet.Watcher{
		{Name: "1", Region: "r", FailureDomain: "r-a", Address: "1"},
		{Name: "2", Region: "r", FailureDomain: "r-a", Address: "2"},
		{Name: "3", Region: "r", FailureDomain: "r-b", Address: "3"},
		{Name: "4", Region: "s", FailureDomain: "s-a", Address: "4"},
	}
	for _, c := range []struct {
		caller Location
		want   []string
	}{
		{Location{"r", "r-a"}, []string{"1", "2"}},
		{Location{"r", "r-b"}, []string{"1", "2", "3"}},
		{Location{"s", "s-a"}, []string{"4"}},
		{Location{"t", "t-a"}, []string{"1", "2", "3", "4"}},
	} {
		assert.DeepEqual(t, Addresses(live, c.caller), c.want)
	}
	assert.Assert(t, len(Addresses(nil, Location{"r", "r-a"})) == 0)
}

// Guards against responses of unbounded size.
func TestAddressesAreBounded(t *testing.T) {
	live := make([]fleet.Watcher, 200)
	for i := range live {
		live[i] = fleet.Watcher{FailureDomain: "a", Address: "x"}
	}
	assert.Equal(t, len(Addresses(live, Location{FailureDomain: "a"})), maxAddresses)
}

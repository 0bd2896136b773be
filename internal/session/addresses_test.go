package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
)

// Guards against instances of a region that all renew over the link between
// regions although a control instance is near, and against ones that stay with
// a control instance that does not answer. Caught mutations: rank without the
// regions; rank without avoid.
func TestNearestControlInstanceIsAsked(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	l := newAddressList("nord", []string{"far-1", "far-2", "near"})
	regions := map[string]string{"far-1": "sud", "far-2": "sud", "near": "nord"}
	ask := func() string {
		a := l.next(now)
		l.answered(a, &api.RenewResponse{AnsweredRegion: regions[a], ControlAddresses: []string{"far-2", "near", "far-1"}})
		return a
	}
	for range 4 { // finds out where each instance is
		ask()
	}
	assert.Equal(t, ask(), "near", "the leader is in the other region")
	l.failed("near", now)
	assert.Equal(t, ask(), "far-2", "then the leader")
	now = now.Add(avoidFor + time.Millisecond)
	assert.Equal(t, ask(), "near")

	assert.Equal(t, l.next(now), "near")
	assert.Equal(t, l.next(now), "far-2", "each is tried before one is tried again")
	assert.Equal(t, l.next(now), "far-1")
	assert.Equal(t, l.next(now), "near")
}

package session

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
)

// Guards against entry instances that renew over the inter-region link although
// their region has a control instance, and against entry instances that keep
// calling a control instance that does not respond.
// Mutations that this test detects: rank ignores the regions; rank ignores
// avoidUntil.
func TestAddressListPrefersOwnRegion(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	list := newAddressList("nord", []string{"far-1", "far-2", "near"})
	regions := map[string]string{"far-1": "sud", "far-2": "sud", "near": "nord"}
	renewOnce := func() string {
		a := list.next(now)
		list.recordResponse(a, &api.RenewResponse{AnsweredRegion: regions[a], ControlAddresses: []string{"far-2", "near", "far-1"}})
		return a
	}
	for range 4 { // until the list knows the region of each control instance
		renewOnce()
	}
	assert.Equal(t, renewOnce(), "near", "the leader is in another region")
	list.markFailed("near", now)
	assert.Equal(t, renewOnce(), "far-2", "the leader is the second choice")
	now = now.Add(avoidDuration + time.Millisecond)
	assert.Equal(t, renewOnce(), "near")

	assert.Equal(t, list.next(now), "near")
	assert.Equal(t, list.next(now), "far-2", "all instances are tried before one is tried again")
	assert.Equal(t, list.next(now), "far-1")
	assert.Equal(t, list.next(now), "near")
}

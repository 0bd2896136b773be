package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// Guards against requests that find only targets which ended long ago, without a word, among
// the two of other failure domains that are considered.
func TestSilentTargetsDoNotHideOthers(t *testing.T) {
	announced := &fleet.Target{Announcement: fleet.Announcement{State: fleet.Ready}}
	silent := &fleet.Target{Announcement: fleet.Announcement{State: fleet.Silent}}
	d := &demand{origin: Location{FailureDomain: "a"}}
	candidates := []*endpoint{{id: "sound", failureDomain: "b", target: announced}}
	for n := range 40 {
		candidates = append(candidates, &endpoint{id: fmt.Sprint(n), failureDomain: "b", target: silent})
	}
	rng := rand.New(rand.NewPCG(1, 2))
	for range 100 {
		considered := sampleCandidates(candidates, d, rng.Shuffle)
		assert.Equal(t, len(considered), maxRemoteCandidates)
		assert.Equal(t, considered[0].id, "sound")
	}
	assert.Equal(t, len(sampleCandidates(candidates[1:], d, rng.Shuffle)), maxRemoteCandidates, "better than none")
}

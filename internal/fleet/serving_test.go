package fleet

import (
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"
)

// Guards against callers that are sent to an instance which is stuck, and against one that
// is listed again after its planned stop has begun.
func TestInstanceThatDoesNotServeIsReportedAsLeaving(t *testing.T) {
	views := NewViewStore(nil, time.Now)
	f := NewFollower(Watcher{Name: "e1"}, nil, views, http.DefaultClient, zerolog.Nop(), tally.NoopScope)
	f.SetServing(false)
	assert.Assert(t, f.self.Leaving)
	f.SetServing(true)
	assert.Assert(t, !f.self.Leaving)
	f.Leave()
	f.SetServing(true)
	assert.Assert(t, f.self.Leaving)
}

// Guards against an instance that never finds the control group again: all seeds were
// replaced while it was out of touch for longer than control instances are remembered.
func TestControlInstancesAreRememberedWhileNobodyAnswers(t *testing.T) {
	f := NewFollower(Watcher{Name: "e1"}, []string{"10.0.0.1:1"}, NewViewStore(nil, time.Now), http.DefaultClient, zerolog.Nop(), tally.NoopScope)
	long := time.Now().Add(-time.Hour)
	f.contactAt = long
	f.noteListed([]string{"10.0.0.7:1", "10.0.0.8:1"}, long)
	assert.DeepEqual(t, f.addressesToPoll(), []string{"10.0.0.1:1", "10.0.0.7:1", "10.0.0.8:1"})
	f.contactAt = time.Now()
	f.noteListed([]string{"10.0.0.8:1"}, f.contactAt)
	assert.DeepEqual(t, f.addressesToPoll(), []string{"10.0.0.1:1", "10.0.0.8:1"})
}

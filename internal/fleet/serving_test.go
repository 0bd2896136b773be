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

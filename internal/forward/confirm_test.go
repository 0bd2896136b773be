package forward

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
)

// restart replaces the target's process by one under the same ID and address, with another
// software version, of which no announcement has arrived here.
func (f *fakeTarget) restart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.restarts++
}

// Guards against an instance that was frozen or cut off during a release and continues a
// stream at a target which it takes for one of the stream's version.
func TestTakeUpIsNotContinuedAtARestartedTarget(t *testing.T) {
	x, y := newFakeTarget(t, "i1", streamsEvents(9, 0)), newFakeTarget(t, "i2", streamsEvents(9, 0))
	f := newFixture(t, "llm")
	f.announceVersion(t, x, "v1", fleet.Ready)
	_, body, err := f.call(t, "POST", "/short/", "", "T-Id", "first")
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 9))

	x.restart()
	for range takeUps {
		status, _ := f.takeUp(t, "again", "first")
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, len(x.seen()), 1, "another version would write the rest of the stream")

	f.announceVersion(t, y, "v1", fleet.Ready)
	for range takeUps {
		status, body := f.takeUp(t, "again", "first")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, events(4, 9))
	}
	assert.Equal(t, len(x.seen()), 1)
}

// The same for a stream that breaks and goes on within one answer.
func TestBrokenStreamIsNotContinuedAtARestartedTarget(t *testing.T) {
	ready := make(chan struct{})
	x, y := newFakeTarget(t, "i1", cutsWhen(ready)), newFakeTarget(t, "i2", streamsEvents(9, 0))
	f := newFixture(t, "llm")
	f.announceVersion(t, x, "v1", fleet.Ready)
	go func() {
		defer close(ready)
		for len(x.seen()) == 0 {
			time.Sleep(time.Millisecond)
		}
		f.announceVersion(t, y, "v1", fleet.Ready)
		y.restart()
	}()
	_, body, err := f.call(t, "POST", "/short/", "", "T-Id", "first")
	assert.Assert(t, err != nil, "the stream must look cut")
	assert.Equal(t, body, events(1, 3))
	assert.Equal(t, len(y.seen()), 0)
}

// Guards against a version that is recorded wrongly for a stream which begins while the
// instance hears of no changes.
func TestOutOfContactNoStreamBeginsAtARestartedTarget(t *testing.T) {
	x := newFakeTarget(t, "i1", streamsEvents(9, 0))
	f := newFixture(t, "llm")
	f.announceVersion(t, x, "v1", fleet.Ready)
	x.restart()
	f.config.InContact = func() bool { return false }
	resp, _, err := f.call(t, "POST", "/short/", "", "T-Id", "first")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(x.seen()), 0)
}

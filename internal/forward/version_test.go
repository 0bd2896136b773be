package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/streamversion"
)

// announceVersion announces an engine of a software version.
func (f *fixture) announceVersion(t *testing.T, x *fakeTarget, version string, state fleet.TargetState) {
	t.Helper()
	f.seq++
	f.views.Merge(nil, []fleet.Announcement{{
		ID: x.id, Service: "llm", Address: x.address, FailureDomain: "r-a", Incarnation: 1, Sequence: f.seq, Slots: 4, State: state, Version: version,
	}})
	f.syncTargets()
}

// Guards against a move that joins the events of two versions. The fixture's targets name
// no version, which counts as one.
func TestMovedRunStaysAtItsVersion(t *testing.T) {
	m := newMoveFixture(t, nil)
	other := newFakeTarget(t, "other", streamsEvents(9, 0))
	move := m.engines.move
	m.engines.move = func(engine, id, to string, last bool) (Copy, error) {
		if to == other.address {
			if last {
				close(m.stopRequested)
			}
			return Copy{Handle: "h", Events: 6}, nil
		}
		return move(engine, id, to, last)
	}
	go func() {
		for len(m.x.seen()) == 0 {
			time.Sleep(time.Millisecond)
		}
		m.announceVersion(t, other, "v2", fleet.Ready)
		m.announceVersion(t, m.x, "", fleet.Draining)
		time.Sleep(100 * time.Millisecond)
		m.announceVersion(t, m.y, "", fleet.Ready)
	}()
	_, body, err := m.call(t, "POST", "/long/", "prompt")
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 9))
	assert.Equal(t, len(other.seen()), 0)
	assert.Equal(t, len(m.y.seen()), 1)
}

// agreeOn puts versions of the service in the replicated state, as the control group does.
func (f *fixture) agreeOn(index uint64, versions ...string) {
	state := &fleet.State{Index: index}
	for _, v := range versions {
		state.Versions = append(state.Versions, fleet.ServiceVersion{Service: "llm", Version: v})
	}
	f.views.Merge(state, nil)
	f.syncTargets()
}

// Guards against a stream that begins at a version which only a cut-off control instance has
// heard of: an instance on the other side, which reaches a majority, would take its own version
// for the only one and continue the stream there.
func TestStreamsBeginAtVersionsThatTheGroupHasAgreedOn(t *testing.T) {
	x, y := newFakeTarget(t, "i1", streamsEvents(9, 0)), newFakeTarget(t, "i2", streamsEvents(9, 0))
	f := newFixture(t, "llm")
	begin := func(path string) int {
		resp, _, err := f.call(t, "POST", path, "")
		assert.NilError(t, err)
		return resp.StatusCode
	}
	f.announceVersion(t, x, "v1", fleet.Ready)
	assert.Equal(t, begin("/short/"), http.StatusOK, "a new service's first version")
	f.agreeOn(1, "v1")
	f.announceVersion(t, y, "v2", fleet.Ready)
	for range takeUps {
		assert.Equal(t, begin("/short/"), http.StatusOK)
	}
	assert.Equal(t, len(y.seen()), 0)
	f.announceVersion(t, x, "v1", fleet.Draining)
	assert.Equal(t, begin("/short/"), http.StatusServiceUnavailable)
	assert.Equal(t, begin("/long/"), http.StatusOK, "no caller takes it up")
	f.agreeOn(2, "v1", "v2")
	assert.Equal(t, begin("/short/"), http.StatusOK)
}

// cutsWhen returns a function that sends three events, waits until ready is closed and
// breaks off within the fourth.
func cutsWhen(ready <-chan struct{}) func(seenRequest, net.Conn) {
	return func(r seenRequest, c net.Conn) {
		writeStreamHead(c, r, "s")
		writeChunk(c, events(1, 3)+event(4)[:4])
		<-ready
		_ = c.Close()
	}
}

// Guards against an answer that is continued by another version, and against one that is
// given up although a target of its version is left.
func TestStreamIsContinuedByItsVersionOnly(t *testing.T) {
	for version, whole := range map[string]bool{"v1": true, "v2": false} {
		announced := make(chan struct{})
		x, y := newFakeTarget(t, "i1", cutsWhen(announced)), newFakeTarget(t, "i2", streamsEvents(9, 0))
		f := newFixture(t, "llm")
		f.announceVersion(t, x, "v1", fleet.Ready)
		go func() {
			for len(x.seen()) == 0 {
				time.Sleep(time.Millisecond)
			}
			f.announceVersion(t, y, version, fleet.Ready)
			close(announced)
		}()
		_, body, err := f.call(t, "POST", "/short/", "")
		if whole {
			assert.NilError(t, err)
			assert.Equal(t, body, events(1, 9))
			continue
		}
		assert.Assert(t, err != nil, "a stream that is not whole must not look so")
		assert.Equal(t, body, events(1, 3))
		assert.Equal(t, len(y.seen()), 0)
	}
}

// takeUp sends a request that takes up a stream after its third event.
func (f *fixture) takeUp(t *testing.T, id, first string) (status int, body string) {
	t.Helper()
	return f.takeUpAt(t, "/short/", id, first)
}

func (f *fixture) takeUpAt(t *testing.T, path, id, first string) (status int, body string) {
	t.Helper()
	resp, body, err := f.call(t, "POST", path, "", "T-Id", id, "T-Resumes", first, "Last-Event-Id", "3")
	assert.NilError(t, err)
	return resp.StatusCode, body
}

const takeUps = 20

// Guards against a caller that takes up a stream and gets the rest from another version.
func TestTakeUpReachesItsVersionOnly(t *testing.T) {
	announced := make(chan struct{})
	x, y, z := newFakeTarget(t, "i1", cutsWhen(announced)), newFakeTarget(t, "i2", streamsEvents(9, 0)), newFakeTarget(t, "i3", streamsEvents(9, 0))
	f := newFixture(t, "llm")
	f.announceVersion(t, x, "v1", fleet.Ready)
	go func() {
		for len(x.seen()) == 0 {
			time.Sleep(time.Millisecond)
		}
		f.announceVersion(t, x, "v1", fleet.Draining)
		f.announceVersion(t, y, "v2", fleet.Ready)
		close(announced)
	}()
	_, body, err := f.call(t, "POST", "/short/", "", "T-Id", "first")
	assert.Assert(t, err != nil)
	assert.Equal(t, body, events(1, 3))
	status, _ := f.takeUp(t, "early", "first")
	assert.Equal(t, status, http.StatusServiceUnavailable, "no target of its version is left")
	f.announceVersion(t, z, "v1", fleet.Ready)
	for range takeUps {
		status, body := f.takeUp(t, "again", "first")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, events(4, 9))
	}
	assert.Equal(t, len(y.seen()), 0)
}

// Guards against a stream of which nothing is known that goes on at any version.
func TestTakeUpOfUnknownStreamIsRefusedWhileVersionsDiffer(t *testing.T) {
	x, y := newFakeTarget(t, "i1", streamsEvents(9, 0)), newFakeTarget(t, "i2", streamsEvents(9, 0))
	f := newFixture(t, "llm")
	f.announceVersion(t, x, "v1", fleet.Ready)
	status, body := f.takeUp(t, "again", "unknown")
	assert.Equal(t, status, http.StatusOK, "the service has one version")
	assert.Equal(t, body, events(4, 9))
	f.announceVersion(t, y, "v2", fleet.Ready)
	f.announceVersion(t, x, "v1", fleet.Gone)
	for range takeUps {
		status, _ := f.takeUp(t, "again", "unknown")
		assert.Equal(t, status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, len(x.seen())+len(y.seen()), 1)
}

// unreachableControls is what an instance knows of control instances that it cannot reach.
type unreachableControls []string

func (u unreachableControls) Nearest() []string        { return u }
func (u unreachableControls) Addresses() []string      { return u }
func (u unreachableControls) Quorum() int              { return 1 }
func (u unreachableControls) Started() <-chan struct{} { return nil }

// Guards against an instance that cannot reach the control instances, has not heard of the
// second version and continues a stream of it.
func TestCutOffInstanceDoesNotGuessTheVersion(t *testing.T) {
	x := newFakeTarget(t, "i1", streamsEvents(9, 0))
	f := newFixture(t, "llm")
	f.announceVersion(t, x, "v1", fleet.Ready)
	f.config.StreamVersions = streamversion.NewTracker(f.views, unreachableControls{"127.0.0.1:1"}, http.DefaultClient, tally.NoopScope, time.Now)
	status, _ := f.takeUp(t, "again", "of-another-instance")
	assert.Equal(t, status, http.StatusServiceUnavailable)
	assert.Equal(t, len(x.seen()), 0)
	_, body, err := f.call(t, "POST", "/short/", "", "T-Id", "own")
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 9))
	status, body = f.takeUp(t, "again", "own")
	assert.Equal(t, status, http.StatusOK, "the instance began this stream itself")
	assert.Equal(t, body, events(4, 9))
}

// Guards against a stream of a split route that goes on at the other service.
func TestTakeUpReachesItsService(t *testing.T) {
	x, y := newFakeTarget(t, "i1", streamsEvents(9, 0)), newFakeTarget(t, "i2", streamsEvents(9, 0))
	f := newFixture(t, "llm", x)
	f.announce(t, y, "llm2", "r-a", fleet.Ready)
	status, _ := f.takeUpAt(t, "/split/", "again", "unknown")
	assert.Equal(t, status, http.StatusServiceUnavailable, "either service may have begun the stream")
	assert.Equal(t, len(x.seen())+len(y.seen()), 0)
	_, body, err := f.call(t, "POST", "/split/", "", "T-Id", "first")
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 9))
	began, other := x, y
	if len(x.seen()) == 0 {
		began, other = y, x
	}
	for range takeUps {
		status, body := f.takeUpAt(t, "/split/", "again", "first")
		assert.Equal(t, status, http.StatusOK)
		assert.Equal(t, body, events(4, 9))
	}
	assert.Equal(t, len(began.seen()), 1+takeUps)
	assert.Equal(t, len(other.seen()), 0)
}

package entry

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
)

// respondsSaying returns a response of a plain service with a status and header lines.
func respondsSaying(status int, lines string) func(net.Conn, string, int32) {
	return func(c net.Conn, id string, _ int32) {
		fmt.Fprintf(c, "HTTP/1.1 %d status\r\nX-Request-Id: %s\r\n%sContent-Length: 0\r\n\r\n", status, id, lines)
	}
}

const (
	saysLeaving = "X-Leaving: 1\r\n"
	notesPath   = "/v1/services/core/notes"
)

// setIncarnation restarts a target of the owner's list.
func (f *fakeOwner) setIncarnation(target, incarnation string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, p := range f.targets {
		if p.GetTarget() == target {
			f.targets[i] = &api.Permit{Target: target, Address: p.GetAddress(), FailureDomain: p.GetFailureDomain(), Incarnation: incarnation}
		}
	}
}

func (f *fakeOwner) toldLeaving() []*api.RecordLeavingRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]*api.RecordLeavingRequest(nil), f.leaving...)
}

// Guards against further calls to a target that said in a response of any kind that it leaves,
// whose announcements say that it is ready; and against leaving its next incarnation alone.
func TestTargetThatSaysItLeavesGetsNoFurtherCall(t *testing.T) {
	for name, status := range map[string]int{"success": 200, "failure": 500, "refusal": 503} {
		t.Run(name, func(t *testing.T) {
			b := newHarness(t)
			leaves := newRawService(t, respondsSaying(status, saysLeaving))
			sound := newRawService(t, func(c net.Conn, id string, _ int32) { respond(c, id, "sound") })
			b.addTarget("core-1", leaves.address)
			assert.Equal(t, b.call("POST", notesPath, callerKey, "x").status, status)
			b.addTarget("core-2", sound.address)
			for range 5 {
				assert.Equal(t, b.call("POST", notesPath, callerKey, "x").body, "sound")
				assert.Equal(t, b.placeBid(fmt.Sprint("k", sound.runs.Load()), "x").body, "sound")
			}
			assert.Equal(t, leaves.runs.Load(), int32(1))
			eventually(t, "the owner is told", func() bool { return len(b.owner.toldLeaving()) == 1 })
			assert.Equal(t, b.owner.toldLeaving()[0].GetTarget().GetIncarnation(), "1")
			b.owner.setIncarnation("core-1", "2")
			assert.Equal(t, b.call("POST", notesPath, callerKey, "x").status, status)
			assert.Equal(t, leaves.runs.Load(), int32(2), "another incarnation is another target")
		})
	}
}

// Guards against a call at a target that said that it leaves while the call's permit was
// granted, and against an owner, such as a new one, that never learns it.
func TestPermitForLeavingTargetIsNotUsed(t *testing.T) {
	b := newHarness(t)
	leaves := newRawService(t, respondsSaying(200, saysLeaving))
	sound := newRawService(t, func(c net.Conn, id string, _ int32) { respond(c, id, "sound") })
	b.addTarget("core-1", leaves.address)
	b.addTarget("core-2", sound.address)
	assert.Equal(t, b.call("POST", notesPath, callerKey, "x").status, http.StatusOK)
	var forgets atomic.Bool
	b.owner.mu.Lock()
	b.owner.onAcquire = func(r *api.AcquireRequest) {
		if forgets.CompareAndSwap(true, false) {
			r.ExcludeIncarnations = nil
		}
	}
	b.owner.mu.Unlock()
	forgets.Store(true)
	assert.Equal(t, b.call("POST", notesPath, callerKey, "x").body, "sound")
	assert.Equal(t, leaves.runs.Load(), int32(1))
	eventually(t, "the owner is told again", func() bool { return len(b.owner.toldLeaving()) >= 2 })
}

// Guards against generations at an engine whose response, which may end much later, begins
// with the statement that it leaves.
func TestEngineThatSaysItLeavesGetsNoFurtherGeneration(t *testing.T) {
	b := newHarness(t)
	leaves := newEngine(t, func(c *engineConn) {
		c.w.Header().Set("X-Leaving", "1")
		c.startResponse()
		c.sendTokens(0, 2)
		c.sendFinish(2)
	})
	sound := newEngine(t, func(c *engineConn) {
		c.startResponse()
		c.sendTokens(0, 3)
		c.sendFinish(3)
	})
	b.addTarget("llm-1", leaves.address())
	b.addTarget("llm-2", sound.address())
	for range 4 {
		assert.Equal(t, b.generate().status, http.StatusOK)
	}
	assert.Equal(t, leaves.count("POST"), 1)
	assert.Equal(t, sound.count("POST"), 3)
}

// Guards against calls to a target in the time for which it wants none, and against a target
// that is never used again.
func TestQuietTargetIsLeftInPeaceForItsTime(t *testing.T) {
	b := newHarness(t)
	quiet := newRawService(t, func(c net.Conn, id string, n int32) {
		if n == 1 {
			respondsSaying(503, "Retry-After: 0.5\r\n")(c, id, n)
			return
		}
		respond(c, id, "back")
	})
	sound := newRawService(t, func(c net.Conn, id string, _ int32) { respond(c, id, "sound") })
	b.addTarget("core-1", quiet.address)
	b.addTarget("core-2", sound.address)
	assert.Equal(t, b.call("POST", notesPath, callerKey, "x").status, http.StatusServiceUnavailable)
	said := time.Now()
	for ; time.Since(said) < 400*time.Millisecond; time.Sleep(20 * time.Millisecond) {
		assert.Equal(t, b.call("POST", notesPath, callerKey, "x").body, "sound")
	}
	assert.Equal(t, quiet.runs.Load(), int32(1))
	eventually(t, "it is used again", func() bool { return b.call("POST", notesPath, callerKey, "x").body == "back" })
}

// Guards against callers that wait for their queue timeout while all targets want no requests.
func TestCallersAreRefusedAtOnceWhileAllTargetsAreQuiet(t *testing.T) {
	b := newHarness(t)
	quiet := newRawService(t, respondsSaying(503, "Retry-After: 30\r\n"))
	b.addTarget("core-1", quiet.address)
	assert.Equal(t, b.call("POST", notesPath, callerKey, "x").status, http.StatusServiceUnavailable)
	began := time.Now()
	a := b.call("POST", notesPath, callerKey, "x", "X-Endivetrack-Class", "patient")
	assert.Assert(t, time.Since(began) < time.Second)
	code, execution := a.code(t)
	assert.Equal(t, code, 2003)
	assert.Equal(t, execution, "not_run")
	assert.Equal(t, quiet.runs.Load(), int32(1))
}

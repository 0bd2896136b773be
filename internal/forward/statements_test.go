package forward

import (
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/statement"
)

// says returns a function that answers with a status and extra header lines.
func says(status int, lines string) func(seenRequest, net.Conn) {
	return func(r seenRequest, c net.Conn) { writeTestResponse(c, r, status, lines, "") }
}

const saysLeaving = "T-Leaving: 1\r\n"

// A target that says in an answer of any kind that it leaves gets no request more, though its
// announcements say that it is ready.
func TestTargetThatSaysItLeavesGetsNoFurtherRequest(t *testing.T) {
	for name, respond := range map[string]func(seenRequest, net.Conn){
		"success":        says(200, saysLeaving),
		"failure":        says(500, saysLeaving),
		"refusal":        says(503, saysLeaving+"T-Not-Run: 1\r\n"),
		"no body at all": says(204, saysLeaving),
		"several values": says(200, "T-Leaving: 0\r\nT-Leaving: 1\r\n"),
		"spaces":         says(200, "T-Leaving:   1  \r\n"),
		"with a close":   says(200, saysLeaving+"Connection: close\r\n"),
		"cut in the body": func(r seenRequest, c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nT-Id: "+r.Header.Get("T-Id")+"\r\nT-Stamp: s\r\nT-Leaving: 1\r\nContent-Length: 9\r\n\r\nx")
			_ = c.Close()
		},
	} {
		t.Run(name, func(t *testing.T) {
			x, y := newFakeTarget(t, "i1", respond), newFakeTarget(t, "i2", respondsWith(200, ""))
			f := newFixture(t, "core", x)
			_, _, _ = f.call(t, "GET", "/open/", "") // any outcome: the statement counts
			assert.Equal(t, len(x.seen()), 1)
			f.announce(t, y, "core", "r-a", fleet.Ready)
			for range 20 {
				f.announce(t, x, "core", "r-a", fleet.Ready) // late or wrong
				resp, _, err := f.call(t, "POST", "/write/", "pay")
				assert.NilError(t, err)
				assert.Equal(t, resp.StatusCode, http.StatusOK)
			}
			assert.Equal(t, len(x.seen()), 1)
		})
	}
}

// What does not say that the target leaves: other values, and the answer of another server
// at its address.
func TestOtherAnswersDoNotSayThatTheTargetLeaves(t *testing.T) {
	for name, respond := range map[string]func(seenRequest, net.Conn){
		"zero":        says(200, "T-Leaving: 0\r\n"),
		"empty":       says(200, "T-Leaving:\r\n"),
		"text":        says(200, "T-Leaving: soon\r\n"),
		"misdirected": says(421, saysLeaving),
	} {
		t.Run(name, func(t *testing.T) {
			x := newFakeTarget(t, "i1", respond)
			f := newFixture(t, "core", x)
			for range 3 {
				_, _, err := f.call(t, "POST", "/write/", "pay")
				assert.NilError(t, err)
			}
			assert.Equal(t, len(x.seen()), 3)
		})
	}
}

// The head of a stream says it before the body: the stream goes on, the next one goes
// elsewhere, and a run that can be moved is.
func TestStreamThatSaysItsTargetLeavesEndsWhole(t *testing.T) {
	release := make(chan struct{})
	x := newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nT-Id: %s\r\nT-Stamp: s\r\nT-Leaving: 1\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("T-Id"))
		writeChunk(c, events(1, 3))
		<-release
		writeChunk(c, events(4, 9))
		writeLastChunk(c)
	})
	y := newFakeTarget(t, "i2", streamsEvents(9, 0))
	f := newFixture(t, "llm", x)
	body := make(chan string, 1)
	go func() {
		_, text, _ := f.call(t, "POST", "/short/", "", "T-Id", "one")
		body <- text
	}()
	assert.Assert(t, eventually(func() bool { return len(f.leavingTargets()) == 1 }))
	f.announce(t, y, "llm", "r-a", fleet.Ready)
	_, text, err := f.call(t, "POST", "/short/", "", "T-Id", "two")
	assert.NilError(t, err)
	assert.Equal(t, text, events(1, 9))
	close(release)
	assert.Equal(t, <-body, events(1, 9))
	assert.Equal(t, len(x.seen()), 1)
}

// eventually reports whether a condition becomes true within seconds.
func eventually(ok func() bool) bool {
	for range 500 {
		if ok() {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// leavingTargets returns the targets that said that they leave.
func (f *fixture) leavingTargets() []statementRow {
	var out []statementRow
	for _, row := range f.table.statementRows(time.Now()) {
		if row.LeavingAt != nil {
			out = append(out, row)
		}
	}
	return out
}

// Requests that were placed before the answer arrived do not follow it, and all callers are
// served elsewhere.
func TestPlacedRequestsDoNotFollowTheStatement(t *testing.T) {
	for name, lines := range map[string]string{"leaving": saysLeaving, "quiet": "Retry-After: 5\r\n"} {
		x := newFakeTarget(t, "i1", says(503, lines+"T-Not-Run: 1\r\n"))
		y := newFakeTarget(t, "i2", respondsWith(200, ""))
		f := newFixture(t, "core", x)
		q := newTestRequest("write")
		q.service = &testManifest().Services[0]
		q.header, q.deadline, q.method, q.uri = http.Header{}, time.Now().Add(time.Second), "POST", "/write/"
		placed := f.table.acquireLease(f.table.demandFor(q, nil), time.Now())
		assert.Assert(t, placed != nil)
		resp, _, err := f.call(t, "POST", "/write/", "pay")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		_, err = f.sendRequest(t.Context(), placed, q, nil)
		assert.ErrorIs(t, err, errNotUsable, name)
		placed.release()

		f.announce(t, y, "core", "r-a", fleet.Ready)
		sent, served := playRequests(t, []*fixture{f}, 5*time.Millisecond, 200*time.Millisecond)
		assert.Equal(t, served, sent, name)
		assert.Equal(t, len(x.seen()), 1, name)
	}
}

// Other instances are told, without the control instances, and one that restarts learns it
// from them; an earlier incarnation's statement says nothing of the next one.
func TestInstancesTellEachOtherWhichTargetLeaves(t *testing.T) {
	x := newFakeTarget(t, "i1", says(200, saysLeaving))
	instances := newInstances(t, 3, "core", x)
	resp, _, err := instances[0].call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	for _, f := range instances[1:] {
		f.SetLoads("e0", instances[0].Loads())
		resp, _, err := f.call(t, "POST", "/write/", "pay")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	}
	restarted := newInstances(t, 1, "core", x)[0]
	restarted.SetLoads("e2", instances[2].Loads())
	assert.Equal(t, len(restarted.leavingTargets()), 1)
	assert.Equal(t, len(x.seen()), 1)

	for _, f := range instances {
		f.seq++
		f.views.Merge(nil, []fleet.Announcement{{ID: "i1", Service: "core", Address: x.address, FailureDomain: "r-a", Incarnation: 2, Sequence: f.seq, Slots: 4, State: fleet.Ready}})
		f.syncTargets()
		f.SetLoads("e9", map[string]Load{"i1": {Leaving: LeavingStatement{Incarnation: 1, At: time.Now()}}})
		assert.Equal(t, len(f.leavingTargets()), 0, "a new incarnation is a new target")
	}
	resp, _, err = instances[1].call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
}

// A target that turns requests away for a time gets at most two more in it, whatever was on
// its way; callers are served by another one that has room.
func TestQuietTargetGetsNoRequestsUntilItsTimeIsOver(t *testing.T) {
	t.Parallel()
	const quietTime, grace = 1500 * time.Millisecond, 500 * time.Millisecond
	var mu sync.Mutex
	var refusedAt time.Time
	during, after := 0, 0
	x := newFakeTarget(t, "i1", func(r seenRequest, c net.Conn) {
		mu.Lock()
		defer mu.Unlock()
		since := time.Since(refusedAt)
		switch {
		case refusedAt.IsZero() || since < grace:
			if refusedAt.IsZero() {
				refusedAt = time.Now()
			}
			writeTestResponse(c, r, 503, fmt.Sprintf("Retry-After: %g\r\nT-Not-Run: 1\r\n", (quietTime-time.Since(refusedAt)).Seconds()), "")
			return
		case since < quietTime:
			during++
		default:
			after++
		}
		writeTestResponse(c, r, 200, "", "")
	})
	y := newFakeTarget(t, "i2", respondsWith(200, ""))
	f := newFixture(t, "core", x, y)
	sent, served := playRequests(t, []*fixture{f, f, f, f}, 5*time.Millisecond, quietTime+time.Second)
	mu.Lock()
	defer mu.Unlock()
	assert.Assert(t, during <= 2, "%d requests in its quiet time", during)
	assert.Assert(t, after > 0, "it is used again")
	assert.Equal(t, served, sent)
}

// Instances do not tell each other quiet times. Guards against a price for that beyond one
// refused request of each, which another target serves.
func TestQuietTimeCostsEachInstanceOneRequest(t *testing.T) {
	t.Parallel()
	const instanceCount = 6
	x := newFakeTarget(t, "i1", says(503, "Retry-After: 30\r\nT-Not-Run: 1\r\n"))
	y := newFakeTarget(t, "i2", respondsWith(200, ""))
	instances := newInstances(t, instanceCount, "core", x, y)
	sent, served := playRequests(t, instances, 5*time.Millisecond, time.Second)
	assert.Equal(t, served, sent)
	refused := len(x.seen())
	t.Logf("%d of %d requests refused", refused, sent)
	assert.Assert(t, refused <= instanceCount, "%d requests refused", refused)
}

// A longer time is not replaced by a shorter one, and a success does not end it.
func TestLongestQuietTimeCounts(t *testing.T) {
	x := newFakeTarget(t, "i1", respondsWith(200, ""))
	f := newFixture(t, "core", x)
	e := f.table.endpoints["i1"]
	for _, v := range []string{"0.2", "5", "0.1"} {
		f.recordStatements(e, "test", 503, http.Header{"Retry-After": {v}})
	}
	f.recordStatements(e, "test", 200, http.Header{})
	f.recordStatements(e, "test", 429, http.Header{"Retry-After": {"50"}})
	left := time.Until(e.said.quietUntil)
	assert.Assert(t, left > 4*time.Second && left <= 5*time.Second, "%s", left)
}

// Guards against a log that names an end of a quiet time which has become much later, and
// against a line for each of many refusals that name nearly the same end.
func TestLongerQuietTimeIsLogged(t *testing.T) {
	f := newFixture(t, "core", newFakeTarget(t, "i1", respondsWith(200, "")))
	e, now := f.table.endpoints["i1"], time.Now()
	for _, c := range []struct {
		until  time.Duration
		isNews bool
	}{{2 * time.Second, true}, {2100 * time.Millisecond, false}, {time.Second, false}, {9 * time.Second, true}} {
		assert.Equal(t, f.table.setQuiet(e, "test", now, now.Add(c.until)), c.isNews, "%s", c.until)
	}
}

// Guards against callers that all come back at the same moment after all targets of a service
// have said that they leave.
func TestCallersAreRefusedAtOnceWhileAllTargetsLeave(t *testing.T) {
	x := newFakeTarget(t, "i1", says(200, saysLeaving))
	f := newFixture(t, "core", x)
	resp, _, err := f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	pauses := map[string]bool{}
	for range 10 {
		began := time.Now()
		resp, _, err := f.call(t, "POST", "/write/", "pay")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) < 500*time.Millisecond)
		pauses[resp.Header.Get("Retry-After")] = true
	}
	assert.Equal(t, len(x.seen()), 1)
	assert.Assert(t, len(pauses) > 3, "%v", pauses)
}

// If all targets are quiet, the caller is told at once that nothing ran and when to come
// back, and not all callers come back at the same moment.
func TestCallersAreRefusedAtOnceWhileAllTargetsAreQuiet(t *testing.T) {
	x := newFakeTarget(t, "i1", says(503, "Retry-After: 2\r\nT-Not-Run: 1\r\n"))
	f := newFixture(t, "core", x)
	pauses := map[string]bool{}
	for range 10 {
		began := time.Now()
		resp, _, err := f.call(t, "POST", "/write/", "pay")
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) < 500*time.Millisecond)
		pauses[resp.Header.Get("Retry-After")] = true
	}
	assert.Equal(t, len(x.seen()), 1)
	assert.Assert(t, len(pauses) > 3, "%v", pauses)
}

// After its quiet time a target, which looks idle to everyone, is not given all requests at
// once.
func TestLoadReturnsGraduallyAfterAQuietTime(t *testing.T) {
	now := time.Unix(1e9, 0)
	e := &endpoint{target: &fleet.Target{Announcement: fleet.Announcement{Slots: 40}}}
	e.said.quietUntil = now
	admitted := func(at time.Duration) int {
		e.requests = 0
		for e.requests < 100 && e.admitAfterQuiet(4, now.Add(at)) {
			e.requests++
		}
		return e.requests
	}
	assert.Equal(t, admitted(0), 1)
	assert.Equal(t, admitted(easeTime/2), 5)
	assert.Equal(t, admitted(easeTime*9/10), 9)
	assert.Equal(t, admitted(easeTime), 100)
}

// A run whose memory only a quiet target has may continue there twice, not more.
func TestFewRunsContinueAtAQuietTarget(t *testing.T) {
	f := newFixture(t, "llm", newFakeTarget(t, "i1", respondsWith(200, "")))
	e, now := f.table.endpoints["i1"], time.Now()
	f.table.setQuiet(e, "test", now, now.Add(time.Second))
	allowed := 0
	for range 10 {
		if f.table.mayBeginAt(e, true, now) {
			allowed++
		}
	}
	assert.Equal(t, allowed, requestsInQuiet)
	assert.Assert(t, !f.table.mayBeginAt(e, false, now))
	assert.Assert(t, f.table.mayBeginAt(e, true, now.Add(time.Second)))
}

// Guards against a target that is used again because it announces another address.
func TestStatementsOutliveAChangeOfAddress(t *testing.T) {
	x, y := newFakeTarget(t, "i1", says(200, saysLeaving)), newFakeTarget(t, "i1", respondsWith(200, ""))
	f := newFixture(t, "core", x)
	_, _, err := f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	f.announce(t, y, "core", "r-a", fleet.Ready)
	resp, _, err := f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(y.seen()), 0)
}

// Answers to calls about runs count, too.
func TestAnswerToAnEngineCallCounts(t *testing.T) {
	x := newFakeTarget(t, "i1", respondsWith(200, ""))
	f := newFixture(t, "llm", x)
	f.engines.onAnswer("10.9.9.9:1", 200, http.Header{"T-Leaving": {"1"}})
	assert.Equal(t, len(f.leavingTargets()), 0)
	f.engines.onAnswer(x.address, 404, http.Header{"T-Leaving": {"1"}})
	assert.Equal(t, len(f.leavingTargets()), 1)
}

// A target that is wrong about itself does not stay out of use for good, and operators see
// and end it; the statement of one target concerns no other.
func TestStatementsAreListedLiftedAndEnd(t *testing.T) {
	x, y := newFakeTarget(t, "i1", says(200, saysLeaving)), newFakeTarget(t, "i2", says(503, "Retry-After: 60\r\nT-Not-Run: 1\r\n"))
	f := newFixture(t, "core", x)
	_, _, err := f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	f.announce(t, y, "core", "r-a", fleet.Ready)
	_, _, err = f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	h := f.StatementsHandler(http.NotFoundHandler())
	operator := func(method, path string) (int, string) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w.Code, w.Body.String()
	}
	_, list := operator("GET", "/target-statements")
	assert.Assert(t, strings.Contains(list, `"i1"`) && strings.Contains(list, `"leaving_at"`) && strings.Contains(list, `"quiet_until"`), list)
	status, text := operator("DELETE", "/target-statements/other")
	assert.Assert(t, status == http.StatusNotFound && strings.Contains(text, "4009"), text)
	for _, id := range []string{"i1", "i2"} {
		status, _ = operator("DELETE", "/target-statements/"+id)
		assert.Equal(t, status, http.StatusNoContent)
	}
	_, list = operator("GET", "/target-statements")
	assert.Equal(t, list, "[]\n")
	resp, _, err := f.call(t, "POST", "/write/", "pay")
	assert.NilError(t, err)
	assert.Assert(t, resp.StatusCode == http.StatusOK || resp.StatusCode == http.StatusServiceUnavailable)
	assert.Equal(t, len(f.leavingTargets()), 0, "it was lifted: what the target says further on is ignored")

	f.table.mu.Lock()
	e := f.table.endpoints["i1"]
	e.said.ignoreLeaving = false
	f.table.setLeaving(e, "test", time.Now().Add(-statement.MaxLeaving))
	f.table.mu.Unlock()
	f.announce(t, x, "core", "r-a", fleet.Ready)
	assert.Equal(t, len(f.leavingTargets()), 0, "it has long announced that it is ready")
	assert.Assert(t, !math.IsNaN(f.table.endpoints["i1"].limit))
}

// BenchmarkChoice measures the choice among targets of which some have said something.
func BenchmarkChoice(b *testing.B) {
	var targets []*fakeTarget
	for n := range 30 {
		targets = append(targets, newFakeTarget(b, fmt.Sprint("i", n), respondsWith(200, "")))
	}
	f := newFixture(b, "core", targets...)
	q := newTestRequest("write")
	q.service = &testManifest().Services[0]
	q.header, q.deadline = http.Header{}, time.Now().Add(time.Hour)
	d := f.table.demandFor(q, nil)
	for b.Loop() {
		f.table.acquireLease(d, time.Now()).release()
	}
}

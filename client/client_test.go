package client

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testSilenceTimeout = 100 * time.Millisecond

// fakeEntry is a fake entry instance. Each call runs the next of its scripts,
// which sends the response; all calls after the last script run that one again.
type fakeEntry struct {
	server          *httptest.Server
	mu              sync.Mutex
	scripts         []func(*exchange)
	calls           []string
	addressRequests int
	addresses       []string
}

// exchange is one call to a fakeEntry, with the methods by which scripts respond
// to it.
type exchange struct {
	w  http.ResponseWriter
	r  *http.Request
	id string
}

func newFakeEntry(t *testing.T, scripts ...func(*exchange)) *fakeEntry {
	e := &fakeEntry{scripts: scripts}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	e.addresses = []string{e.address()}
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEntry) address() string { return e.server.Listener.Addr().String() }

func (e *fakeEntry) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if r.URL.Path == "/v1/addresses" {
		e.addressRequests++
		var parts []string
		for _, a := range e.addresses {
			parts = append(parts, fmt.Sprintf(`{"address":%q}`, a))
		}
		e.mu.Unlock()
		fmt.Fprintf(w, `{"ttl_ms":60000,"addresses":[%s]}`, strings.Join(parts, ","))
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	e.calls = append(e.calls, r.Method+" "+r.URL.RequestURI())
	script := e.scripts[0]
	if len(e.scripts) > 1 {
		e.scripts = e.scripts[1:]
	}
	e.mu.Unlock()
	script(&exchange{w: w, r: r, id: "g1.s.t.u"})
}

func (e *fakeEntry) recordedCalls() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.calls...)
}

func (x *exchange) sendHeader() {
	x.w.Header().Set(idHeader, x.id)
	x.w.WriteHeader(http.StatusOK)
	x.flush()
}

func (x *exchange) flush() { _ = http.NewResponseController(x.w).Flush() }

func (x *exchange) sendTokens(from, to int) {
	for i := from; i < to; i++ {
		fmt.Fprintf(x.w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"t%d \"},\"finish_reason\":null}]}\n\n", i, x.id, i)
	}
	x.flush()
}

func (x *exchange) sendFinish(n int) {
	fmt.Fprintf(x.w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", n, x.id)
}

func (x *exchange) respondWithError(status, code int, execution Execution) {
	x.w.Header().Set(codeHeader, fmt.Sprint(code))
	x.w.WriteHeader(status)
	fmt.Fprintf(x.w, `{"error":{"code":%d,"name":"N","execution":%q,"retry_after_ms":1}}`, code, execution)
}

func (x *exchange) abort() { panic(http.ErrAbortHandler) }
func (x *exchange) hang()  { <-x.r.Context().Done() }

func newClient(t *testing.T, entries ...*fakeEntry) *Client {
	var list []string
	for _, e := range entries {
		list = append(list, e.address())
	}
	for _, e := range entries {
		e.addresses = list
	}
	c, err := New(Config{Entries: list, Key: "key", Silence: testSilenceTimeout, Attempts: 4})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

func (c *Client) completeText(t *testing.T) (*Completion, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return c.Complete(ctx, Generation{Model: "m", Messages: []Message{{"user", "x"}}})
}

// Guards against tokens that are lost or delivered twice when a stream breaks,
// stalls or switches to another generation. The client must resume it at the
// next token, from another instance.
func TestStreamResumesAtAnotherInstance(t *testing.T) {
	for name, first := range map[string]func(*exchange){
		"cut":        func(x *exchange) { x.sendHeader(); x.sendTokens(0, 3); x.abort() },
		"silent":     func(x *exchange) { x.sendHeader(); x.sendTokens(0, 3); x.hang() },
		"clean end":  func(x *exchange) { x.sendHeader(); x.sendTokens(0, 3) },
		"duplicates": func(x *exchange) { x.sendHeader(); x.sendTokens(0, 3); x.sendTokens(1, 3); x.abort() },
		"gap":        func(x *exchange) { x.sendHeader(); x.sendTokens(0, 3); x.sendTokens(4, 5); x.hang() },
		"foreign":    func(x *exchange) { x.sendHeader(); x.sendTokens(0, 3); x.id = "other"; x.sendTokens(3, 5); x.hang() },
		"late id":    func(x *exchange) { x.id = "early"; x.sendHeader(); x.id = "g1.s.t.u"; x.sendTokens(0, 3); x.abort() },
		"not a chunk": func(x *exchange) {
			x.sendHeader()
			x.sendTokens(0, 3)
			fmt.Fprint(x.w, "id: 3\ndata: {}\n\n")
			x.hang()
		},
	} {
		t.Run(name, func(t *testing.T) {
			a := newFakeEntry(t, first)
			b := newFakeEntry(t, func(x *exchange) { x.sendHeader(); x.sendTokens(2, 6); x.sendFinish(6) })
			got, err := newClient(t, a, b).completeText(t)
			assert.NilError(t, err)
			assert.Equal(t, got.Text, "t0 t1 t2 t3 t4 t5 ")
			assert.Equal(t, got.FinishReason, "stop")
			for _, call := range append(a.recordedCalls()[1:], b.recordedCalls()...) {
				assert.Equal(t, call, "GET /v1/generations/g1.s.t.u?offset=3")
			}
		})
	}
}

// Guards against starting a lost generation again after a token of it was
// delivered, and against an error that does not count the delivered tokens.
func TestLostGenerationIsNotRestarted(t *testing.T) {
	for name, scripts := range map[string][]func(*exchange){
		"unknown at resume": {func(x *exchange) { x.sendHeader(); x.sendTokens(0, 2); x.abort() }, func(x *exchange) { x.respondWithError(404, 1009, Unknown) }},
		"reported": {func(x *exchange) {
			x.sendHeader()
			x.sendTokens(0, 2)
			fmt.Fprint(x.w, "event: error\ndata: {\"error\":{\"code\":3002,\"execution\":\"ran\",\"delivered\":2}}\n\n")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEntry(t, scripts...)
			_, err := newClient(t, e).completeText(t)
			var lost *Error
			assert.Assert(t, errors.As(err, &lost))
			assert.Equal(t, lost.Code, CodeGenerationLost)
			assert.Equal(t, lost.Delivered, 2)
			assert.Equal(t, strings.Count(strings.Join(e.recordedCalls(), " "), "POST"), 1)
		})
	}
}

// Guards against returning an error for a generation of which no token was
// delivered: the client must start it again.
func TestRestartsBeforeFirstToken(t *testing.T) {
	good := func(x *exchange) { x.id = "g1.s.t.v"; x.sendHeader(); x.sendTokens(0, 2); x.sendFinish(2) }
	for name, scripts := range map[string][]func(*exchange){
		"refused":                 {func(x *exchange) { x.respondWithError(503, 2003, NotRun) }},
		"failed":                  {func(x *exchange) { x.respondWithError(502, 3004, Unknown) }},
		"cut before the response": {func(x *exchange) { x.abort() }},
		"cut and then unknown":    {func(x *exchange) { x.sendHeader(); x.abort() }, func(x *exchange) { x.respondWithError(404, 1009, Unknown) }},
		"error in the stream": {func(x *exchange) {
			x.sendHeader()
			fmt.Fprint(x.w, "event: error\ndata: {\"error\":{\"code\":3004}}\n\n")
		}},
		"silent and then unknown": {func(x *exchange) { x.sendHeader(); x.hang() }, func(x *exchange) { x.respondWithError(404, 1009, Unknown) }},
	} {
		t.Run(name, func(t *testing.T) {
			e := newFakeEntry(t, append(scripts, good)...)
			got, err := newClient(t, e).completeText(t)
			assert.NilError(t, err)
			assert.Equal(t, got.Text, "t0 t1 ")
		})
	}
	e := newFakeEntry(t, func(x *exchange) { x.respondWithError(400, 1001, NotRun) }, good)
	_, err := newClient(t, e).completeText(t)
	assert.Assert(t, errors.Is(err, &Error{Code: 1001}))
	assert.Equal(t, len(e.recordedCalls()), 1) // an invalid request is not retried
}

// A call that may have run and has no idempotency key must not be retried. A call
// that certainly did not run must be retried.
func TestCallRetriesOnlyWhenSafe(t *testing.T) {
	ok := func(x *exchange) { fmt.Fprint(x.w, "done") }
	cut := func(x *exchange) {
		x.w.Header().Set("Content-Length", "100")
		fmt.Fprint(x.w, "half")
		x.flush()
		x.abort()
	}
	for _, tc := range []struct {
		name        string
		method, key string
		first       func(*exchange)
		calls       int
		execution   Execution // "" if the call succeeds
	}{
		{"not run", "POST", "", func(x *exchange) { x.respondWithError(503, 2003, NotRun) }, 2, ""},
		{"unknown without a key", "POST", "", func(x *exchange) { x.respondWithError(504, 3003, Unknown) }, 1, Unknown},
		{"lost without a key", "POST", "", func(x *exchange) { x.abort() }, 1, Unknown},
		{"cut without a key", "POST", "", cut, 1, Unknown},
		{"unknown with a key", "POST", "k", func(x *exchange) { x.respondWithError(504, 3003, Unknown) }, 2, ""},
		{"lost with a key", "POST", "k", func(x *exchange) { x.abort() }, 2, ""},
		{"cut with a key", "POST", "k", cut, 2, ""},
		{"lost read", "GET", "", func(x *exchange) { x.abort() }, 2, ""},
		{"cut read", "GET", "", cut, 2, ""},
		{"ran", "POST", "k", func(x *exchange) { x.respondWithError(502, 3007, Ran) }, 1, Ran},
		{"wrong", "POST", "k", func(x *exchange) { x.respondWithError(422, 1008, NotRun) }, 1, NotRun},
		{"a target's own error", "POST", "", func(x *exchange) { x.w.WriteHeader(503); ok(x) }, 1, ""},
	} {
		t.Run(tc.name, func(t *testing.T) {
			e := newFakeEntry(t, tc.first, ok)
			answer, err := newClient(t, e).Call(context.Background(), Call{Service: "s", Method: tc.method, Path: "/p", IdempotencyKey: tc.key, Body: []byte("x")})
			assert.Equal(t, len(e.recordedCalls()), tc.calls)
			if tc.execution == "" {
				assert.NilError(t, err)
				assert.Equal(t, string(answer.Body), "done")
				return
			}
			var callErr *Error
			assert.Assert(t, errors.As(err, &callErr))
			assert.Equal(t, callErr.Execution, tc.execution)
		})
	}
}

// Guards against reporting a call as "not run" because its last attempt did not
// run, although an earlier attempt may have.
func TestLastErrorCoversAllAttempts(t *testing.T) {
	e := newFakeEntry(t, func(x *exchange) { x.abort() }, func(x *exchange) { x.respondWithError(503, 2003, NotRun) })
	_, err := newClient(t, e).Call(context.Background(), Call{Service: "s", Method: "POST", Path: "/p", IdempotencyKey: "k"})
	var last *Error
	assert.Assert(t, errors.As(err, &last))
	assert.Equal(t, last.Code, 2003)
	assert.Equal(t, last.Execution, Unknown)
}

// The client must fetch the addresses at most once per time to live. It must use
// the preferred instance, and another one when that cannot be reached.
func TestAddressCache(t *testing.T) {
	ok := func(x *exchange) { fmt.Fprint(x.w, "done") }
	a, b := newFakeEntry(t, ok), newFakeEntry(t, ok)
	c := newClient(t, a, b)
	call := func() error {
		_, err := c.Call(context.Background(), Call{Service: "s", Method: "POST", Path: "/p"})
		return err
	}
	assert.NilError(t, call())
	assert.NilError(t, call())
	assert.Equal(t, a.addressRequests+b.addressRequests, 1)
	assert.Equal(t, len(a.recordedCalls()), 2)
	a.server.Close()
	assert.NilError(t, call())
	assert.Equal(t, len(b.recordedCalls()), 1)
	b.server.Close()
	var noInstance *Error
	assert.Assert(t, errors.As(call(), &noInstance))
	assert.Equal(t, noInstance.Code, CodeNoInstance)
	assert.Equal(t, noInstance.Execution, NotRun)
}

// Guards against calls that wait for another call's refresh of the addresses although
// they know some, and against several refreshes at a time.
func TestRefreshDoesNotBlockOtherCalls(t *testing.T) {
	var asked atomic.Int32
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked.Add(1)
		<-release
		_, _ = io.WriteString(w, `{"ttl_ms":60000,"addresses":[{"address":"b:1"}]}`)
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	a := newAddressCache(Config{Entries: []string{strings.TrimPrefix(server.URL, "http://")}}, client)
	a.instances = []string{"a:1"}
	a.avoidUntil["a:1"] = time.Now().Add(time.Minute) // asked last
	picked := make(chan string, 1)
	go func() {
		address, err := a.pickInstance(context.Background())
		assert.Check(t, err == nil)
		picked <- address
	}()
	for asked.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	address, err := a.pickInstance(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, address, "a:1", "the known address is used meanwhile")
	a.mu.Lock()
	a.instances = nil
	a.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
	defer cancel()
	_, err = a.pickInstance(ctx)
	assert.Assert(t, err != nil, "a call without any address waits no longer than its context")
	close(release)
	assert.Equal(t, <-picked, "b:1")
	assert.Equal(t, asked.Load(), int32(1))
}

// Guards against a call that fails because another call's refresh, which it waits for, is
// cancelled.
func TestCancelledRefreshIsTakenOver(t *testing.T) {
	var asked atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if asked.Add(1) == 1 {
			<-r.Context().Done()
			return
		}
		_, _ = io.WriteString(w, `{"ttl_ms":60000,"addresses":[{"address":"b:1"}]}`)
	}))
	defer server.Close()
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	a := newAddressCache(Config{Entries: []string{strings.TrimPrefix(server.URL, "http://")}}, client)
	ctx, cancel := context.WithCancel(context.Background())
	cancelled := make(chan struct{})
	go func() {
		defer close(cancelled)
		_, err := a.pickInstance(ctx)
		assert.Check(t, err != nil)
	}()
	for asked.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	time.AfterFunc(20*time.Millisecond, cancel)
	address, err := a.pickInstance(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, address, "b:1")
	<-cancelled
}

// Guards against a call that fails with a nil error because it is never sent.
func TestNegativeAttemptsAreRefused(t *testing.T) {
	_, err := New(Config{Entries: []string{"127.0.0.1:1"}, Key: "key", Attempts: -1})
	assert.ErrorContains(t, err, "attempts")
}

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
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

const testSilence = 100 * time.Millisecond

// fakeEntry is one entry instance; each call is answered by the next script,
// the last one repeats.
type fakeEntry struct {
	server  *httptest.Server
	mu      sync.Mutex
	scripts []func(*exchange)
	calls   []string
	lists   int
	list    []string
}

// exchange is one call to a fake instance.
type exchange struct {
	w  http.ResponseWriter
	r  *http.Request
	id string
}

func newEntry(t *testing.T, scripts ...func(*exchange)) *fakeEntry {
	e := &fakeEntry{scripts: scripts}
	e.server = httptest.NewServer(http.HandlerFunc(e.serve))
	e.list = []string{e.address()}
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEntry) address() string { return e.server.Listener.Addr().String() }

func (e *fakeEntry) serve(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	if r.URL.Path == "/v1/addresses" {
		e.lists++
		var parts []string
		for _, a := range e.list {
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

func (e *fakeEntry) seen() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string{}, e.calls...)
}

func (x *exchange) open() {
	x.w.Header().Set(idHeader, x.id)
	x.w.WriteHeader(http.StatusOK)
	x.flush()
}

func (x *exchange) flush() { _ = http.NewResponseController(x.w).Flush() }

func (x *exchange) tokens(from, to int) {
	for i := from; i < to; i++ {
		fmt.Fprintf(x.w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":\"t%d \"},\"finish_reason\":null}]}\n\n", i, x.id, i)
	}
	x.flush()
}

func (x *exchange) finish(n int) {
	fmt.Fprintf(x.w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}]}\n\ndata: [DONE]\n\n", n, x.id)
}

func (x *exchange) fail(status, code int, execution Execution) {
	x.w.Header().Set(codeHeader, fmt.Sprint(code))
	x.w.WriteHeader(status)
	fmt.Fprintf(x.w, `{"error":{"code":%d,"name":"N","execution":%q,"retry_after_ms":1}}`, code, execution)
}

func (x *exchange) cut()    { panic(http.ErrAbortHandler) }
func (x *exchange) silent() { <-x.r.Context().Done() }

func newClient(t *testing.T, entries ...*fakeEntry) *Client {
	var list []string
	for _, e := range entries {
		list = append(list, e.address())
	}
	for _, e := range entries {
		e.list = list
	}
	c, err := New(Config{Entries: list, Key: "key", Silence: testSilence, Attempts: 4})
	assert.NilError(t, err)
	t.Cleanup(c.Close)
	return c
}

func (c *Client) text(t *testing.T) (*Completion, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	return c.Complete(ctx, Generation{Model: "m", Messages: []Message{{"user", "x"}}})
}

// Guards at-most-once delivery over instances: a stream that breaks, goes
// silent or turns into another one is resumed at the next token.
func TestStreamIsResumedElsewhere(t *testing.T) {
	for name, first := range map[string]func(*exchange){
		"cut":         func(x *exchange) { x.open(); x.tokens(0, 3); x.cut() },
		"silent":      func(x *exchange) { x.open(); x.tokens(0, 3); x.silent() },
		"clean end":   func(x *exchange) { x.open(); x.tokens(0, 3) },
		"duplicates":  func(x *exchange) { x.open(); x.tokens(0, 3); x.tokens(1, 3); x.cut() },
		"gap":         func(x *exchange) { x.open(); x.tokens(0, 3); x.tokens(4, 5); x.silent() },
		"foreign":     func(x *exchange) { x.open(); x.tokens(0, 3); x.id = "other"; x.tokens(3, 5); x.silent() },
		"late id":     func(x *exchange) { x.id = "early"; x.open(); x.id = "g1.s.t.u"; x.tokens(0, 3); x.cut() },
		"not a chunk": func(x *exchange) { x.open(); x.tokens(0, 3); fmt.Fprint(x.w, "id: 3\ndata: {}\n\n"); x.silent() },
	} {
		t.Run(name, func(t *testing.T) {
			a := newEntry(t, first)
			b := newEntry(t, func(x *exchange) { x.open(); x.tokens(2, 6); x.finish(6) })
			got, err := newClient(t, a, b).text(t)
			assert.NilError(t, err)
			assert.Equal(t, got.Text, "t0 t1 t2 t3 t4 t5 ")
			assert.Equal(t, got.FinishReason, "stop")
			for _, call := range append(a.seen()[1:], b.seen()...) {
				assert.Equal(t, call, "GET /v1/generations/g1.s.t.u?offset=3")
			}
		})
	}
}

// Guards the end of a lost generation: it is not started again once a token was
// delivered, and the error counts the tokens.
func TestLostGeneration(t *testing.T) {
	for name, scripts := range map[string][]func(*exchange){
		"unknown at resume": {func(x *exchange) { x.open(); x.tokens(0, 2); x.cut() }, func(x *exchange) { x.fail(404, 1009, Unknown) }},
		"reported": {func(x *exchange) {
			x.open()
			x.tokens(0, 2)
			fmt.Fprint(x.w, "event: error\ndata: {\"error\":{\"code\":3002,\"execution\":\"ran\",\"delivered\":2}}\n\n")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t, scripts...)
			_, err := newClient(t, e).text(t)
			var lost *Error
			assert.Assert(t, errors.As(err, &lost))
			assert.Equal(t, lost.Code, CodeGenerationLost)
			assert.Equal(t, lost.Delivered, 2)
			assert.Equal(t, strings.Count(strings.Join(e.seen(), " "), "POST"), 1)
		})
	}
}

// Guards against giving up a generation of which nothing was delivered.
func TestStartsAgainBeforeTheFirstToken(t *testing.T) {
	good := func(x *exchange) { x.id = "g1.s.t.v"; x.open(); x.tokens(0, 2); x.finish(2) }
	for name, scripts := range map[string][]func(*exchange){
		"refused":                {func(x *exchange) { x.fail(503, 2003, NotRun) }},
		"failed":                 {func(x *exchange) { x.fail(502, 3004, Unknown) }},
		"cut before the answer":  {func(x *exchange) { x.cut() }},
		"cut and then unknown":   {func(x *exchange) { x.open(); x.cut() }, func(x *exchange) { x.fail(404, 1009, Unknown) }},
		"error in the stream":    {func(x *exchange) { x.open(); fmt.Fprint(x.w, "event: error\ndata: {\"error\":{\"code\":3004}}\n\n") }},
		"silent and then unkown": {func(x *exchange) { x.open(); x.silent() }, func(x *exchange) { x.fail(404, 1009, Unknown) }},
	} {
		t.Run(name, func(t *testing.T) {
			e := newEntry(t, append(scripts, good)...)
			got, err := newClient(t, e).text(t)
			assert.NilError(t, err)
			assert.Equal(t, got.Text, "t0 t1 ")
		})
	}
	e := newEntry(t, func(x *exchange) { x.fail(400, 1001, NotRun) }, good)
	_, err := newClient(t, e).text(t)
	assert.Assert(t, errors.Is(err, &Error{Code: 1001}))
	assert.Equal(t, len(e.seen()), 1) // a wrong request is not repeated
}

// Guards against repeating a call that may have run, and against giving up one
// that surely did not.
func TestCallIsRepeatedOnlyWhereThatIsSafe(t *testing.T) {
	ok := func(x *exchange) { fmt.Fprint(x.w, "done") }
	cut := func(x *exchange) {
		x.w.Header().Set("Content-Length", "100")
		fmt.Fprint(x.w, "half")
		x.flush()
		x.cut()
	}
	for _, c := range []struct {
		name        string
		method, key string
		first       func(*exchange)
		calls       int
		execution   Execution // "" when the call succeeds
	}{
		{"not run", "POST", "", func(x *exchange) { x.fail(503, 2003, NotRun) }, 2, ""},
		{"unknown without a key", "POST", "", func(x *exchange) { x.fail(504, 3003, Unknown) }, 1, Unknown},
		{"lost without a key", "POST", "", func(x *exchange) { x.cut() }, 1, Unknown},
		{"cut without a key", "POST", "", cut, 1, Unknown},
		{"unknown with a key", "POST", "k", func(x *exchange) { x.fail(504, 3003, Unknown) }, 2, ""},
		{"lost with a key", "POST", "k", func(x *exchange) { x.cut() }, 2, ""},
		{"cut with a key", "POST", "k", cut, 2, ""},
		{"lost read", "GET", "", func(x *exchange) { x.cut() }, 2, ""},
		{"cut read", "GET", "", cut, 2, ""},
		{"ran", "POST", "k", func(x *exchange) { x.fail(502, 3007, Ran) }, 1, Ran},
		{"wrong", "POST", "k", func(x *exchange) { x.fail(422, 1008, NotRun) }, 1, NotRun},
		{"a target's own error", "POST", "", func(x *exchange) { x.w.WriteHeader(503); ok(x) }, 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := newEntry(t, c.first, ok)
			a, err := newClient(t, e).Call(context.Background(), Call{Service: "s", Method: c.method, Path: "/p", IdempotencyKey: c.key, Body: []byte("x")})
			assert.Equal(t, len(e.seen()), c.calls)
			if c.execution == "" {
				assert.NilError(t, err)
				assert.Equal(t, string(a.Body), "done")
				return
			}
			var e2 *Error
			assert.Assert(t, errors.As(err, &e2))
			assert.Equal(t, e2.Execution, c.execution)
		})
	}
}

// Guards P5 over attempts: after one that may have run, the final error must
// not say "not run".
func TestLastErrorCoversAllAttempts(t *testing.T) {
	e := newEntry(t, func(x *exchange) { x.cut() }, func(x *exchange) { x.fail(503, 2003, NotRun) })
	_, err := newClient(t, e).Call(context.Background(), Call{Service: "s", Method: "POST", Path: "/p", IdempotencyKey: "k"})
	var last *Error
	assert.Assert(t, errors.As(err, &last))
	assert.Equal(t, last.Code, 2003)
	assert.Equal(t, last.Execution, Unknown)
}

// Guards the address cache: one question per time to live, the preferred
// instance first, others when it cannot be reached.
func TestAddresses(t *testing.T) {
	ok := func(x *exchange) { fmt.Fprint(x.w, "done") }
	a, b := newEntry(t, ok), newEntry(t, ok)
	c := newClient(t, a, b)
	call := func() error {
		_, err := c.Call(context.Background(), Call{Service: "s", Method: "POST", Path: "/p"})
		return err
	}
	assert.NilError(t, call())
	assert.NilError(t, call())
	assert.Equal(t, a.lists+b.lists, 1)
	assert.Equal(t, len(a.seen()), 2)
	a.server.Close()
	assert.NilError(t, call())
	assert.Equal(t, len(b.seen()), 1)
	b.server.Close()
	var none *Error
	assert.Assert(t, errors.As(call(), &none))
	assert.Equal(t, none.Code, CodeNoInstance)
	assert.Equal(t, none.Execution, NotRun)
}

package loadgen

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/standin/expected"
	"github.com/endivetrack/endivetrack/standin/service"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func testProfile() Profile {
	return Profile{
		Team: "t", Model: "m", PlainService: "core", ReadPaths: []string{"/lots/"}, WritePaths: []string{"/bids"},
		Locations: []Location{{"r", "f"}},
		Classes:   []ClassLoad{{Name: "long", Share: 1, MaxTokens: 30, PrefixBytes: 64, BodyBytes: 64}},
		Accounts:  []AccountLoad{{"large", 3}, {"small", 1}},
	}
}

// Guards against arrivals that differ between runs with one seed, because policies
// could then not be compared. Also guards against arrivals that do not follow the
// configured bursts and account shares.
func TestScheduleIsDeterministicAndBursty(t *testing.T) {
	l := Load{Seed: 7, Duration: 100 * time.Second, GenerateRate: 20, ReadRate: 5, WriteRate: 5, BurstFactor: 4, BurstPeriod: 10 * time.Second, BurstLength: 2 * time.Second}
	a, b := Schedule(testProfile(), l), Schedule(testProfile(), l)
	assert.DeepEqual(t, a, b)
	assert.Assert(t, slices.IsSortedFunc(a, func(x, y Arrival) int { return int(x.At - y.At) }))
	inBurst, large := 0, 0
	for _, x := range a {
		if x.At%l.BurstPeriod >= 8*time.Second {
			inBurst++
		}
		if x.Account == 0 {
			large++
		}
	}
	total := float64(len(a))
	assert.Assert(t, total > 2700 && total < 3300, "%v arrivals, expected 3000", total)
	assert.Assert(t, float64(inBurst) > 0.45*total, "%d of %v in bursts, expected half", inBurst, total)
	assert.Assert(t, float64(large) > 0.7*total && float64(large) < 0.8*total)
	l.Seed = 8
	assert.Assert(t, Schedule(testProfile(), l)[0].At != a[0].At)
}

// scriptedEntry is a simulated entry instance. It has a list of scripts and runs the
// next one to respond to each attempt of a request.
type scriptedEntry struct {
	mu      sync.Mutex
	scripts []func(w http.ResponseWriter, r *http.Request)
	paths   []string
}

func (e *scriptedEntry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/v1/addresses" {
		_ = json.NewEncoder(w).Encode(map[string]any{"ttl_ms": 1000, "addresses": []map[string]string{{"address": r.Host}}})
		return
	}
	e.mu.Lock()
	e.paths = append(e.paths, r.Method+" "+r.URL.String())
	script := e.scripts[min(len(e.paths), len(e.scripts))-1]
	e.mu.Unlock()
	script(w, r)
}

const prompt = "lot 5"

// writeTokens sends tokens [from, to) of the planned output for prompt; end adds
// the finish reason and [DONE].
func writeTokens(w http.ResponseWriter, id string, from, to int, end bool) {
	plan := expected.Output(prompt, 30)
	for n := from; n < to; n++ {
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":null}]}\n\n", n, id, plan.Token(n))
	}
	if end {
		fmt.Fprintf(w, "id: %d\ndata: {\"id\":%q,\"choices\":[{\"delta\":{},\"finish_reason\":%q}]}\n\ndata: [DONE]\n\n", plan.Length, id, plan.Finish)
	}
}

func respondError(status int, code int, execution string) func(http.ResponseWriter, *http.Request) {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprintf(w, `{"error":{"code":%d,"name":"X","execution":%q}}`, code, execution)
	}
}

func runGeneration(t *testing.T, e *scriptedEntry) (Report, *scriptedEntry) {
	t.Helper()
	server := httptest.NewServer(e)
	defer server.Close()
	d := NewDirectCaller([]string{strings.TrimPrefix(server.URL, "http://")}, "r", "f", "key")
	defer d.Close()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	r := newRecorder("t", 1)
	q := request{profile: testProfile(), bounds: DefaultBounds(), recorder: r, caller: d, due: time.Now(),
		arrival: Arrival{Kind: KindGenerate, Prompt: prompt}}
	q.run(ctx)
	return r.buildReport(), e
}

// Guards against a caller that counts a damaged stream as complete, or that starts
// a new generation after tokens were delivered.
func TestStreamsAreChecked(t *testing.T) {
	plan := expected.Output(prompt, 30)
	assert.Assert(t, plan.Length >= 10)
	n := plan.Length
	for _, c := range []struct {
		name    string
		scripts []func(http.ResponseWriter, *http.Request)
		want    Report
		last    string
	}{
		{"whole", []func(http.ResponseWriter, *http.Request){
			func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, "g", 0, n, true) },
		}, Report{Requests: 1, Complete: 1}, "POST /v1/chat/completions"},
		{"resumed after a cut", []func(http.ResponseWriter, *http.Request){
			func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, "g", 0, 4, false) },
			func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, "g", 4, n, true) },
		}, Report{Requests: 1, Complete: 1, Cut: 1}, "GET /v1/generations/g?offset=4"},
		{"duplicated token", []func(http.ResponseWriter, *http.Request){
			func(w http.ResponseWriter, _ *http.Request) {
				writeTokens(w, "g", 0, 4, false)
				writeTokens(w, "g", 3, n, true)
			},
		}, Report{Requests: 1, Lost: 1, Duplicated: 1}, "POST /v1/chat/completions"},
		{"missing token", []func(http.ResponseWriter, *http.Request){
			func(w http.ResponseWriter, _ *http.Request) {
				writeTokens(w, "g", 0, 4, false)
				writeTokens(w, "g", 5, n, true)
			},
		}, Report{Requests: 1, Lost: 1}, "POST /v1/chat/completions"},
		{"two generations", []func(http.ResponseWriter, *http.Request){
			func(w http.ResponseWriter, _ *http.Request) {
				writeTokens(w, "g", 0, n-1, false)
				writeTokens(w, "h", n-1, n, true)
			},
		}, Report{Requests: 1, Lost: 1, Foreign: 1}, "POST /v1/chat/completions"},
		{"refused, then whole", []func(http.ResponseWriter, *http.Request){
			respondError(503, 2003, "not_run"),
			func(w http.ResponseWriter, _ *http.Request) { writeTokens(w, "g", 0, n, true) },
		}, Report{Requests: 1, Complete: 1, Retries: 1}, "POST /v1/chat/completions"},
		{"generation lost", []func(http.ResponseWriter, *http.Request){
			func(w http.ResponseWriter, _ *http.Request) {
				writeTokens(w, "g", 0, 4, false)
				fmt.Fprint(w, "event: error\ndata: {\"error\":{\"code\":3002,\"execution\":\"ran\",\"delivered\":4}}\n\n")
			},
		}, Report{Requests: 1, Lost: 1}, "POST /v1/chat/completions"},
	} {
		t.Run(c.name, func(t *testing.T) {
			got, e := runGeneration(t, &scriptedEntry{scripts: c.scripts})
			assert.Equal(t, e.paths[len(e.paths)-1], c.last)
			assert.Equal(t, len(e.paths), len(c.scripts))
			assert.DeepEqual(t,
				[]int{got.Requests, got.Complete, got.Lost, got.Duplicated, got.Foreign, got.Cut, got.Retries},
				[]int{c.want.Requests, c.want.Complete, c.want.Lost, c.want.Duplicated, c.want.Foreign, c.want.Cut, c.want.Retries})
		})
	}
}

// A write must not be sent again after the outcome "unknown". After a lost response,
// it may be sent again only if it has an idempotency key.
func TestWritesAreRepeatedOnlyWhenSafe(t *testing.T) {
	dropConnection := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	ok := func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_ = json.NewEncoder(w).Encode(service.Response{Path: "/bids", BodyBytes: len(body)})
	}
	for _, c := range []struct {
		name, key string
		scripts   []func(http.ResponseWriter, *http.Request)
		sends     int
		code      int
		ok        bool
	}{
		{"unknown is final", "k", []func(http.ResponseWriter, *http.Request){respondError(504, 3003, "unknown"), ok}, 1, 3003, false},
		{"not run is repeated", "k", []func(http.ResponseWriter, *http.Request){respondError(503, 2004, "not_run"), ok}, 2, 0, true},
		{"lost response with key", "k", []func(http.ResponseWriter, *http.Request){dropConnection, ok}, 2, 0, true},
		{"lost response without key", "", []func(http.ResponseWriter, *http.Request){dropConnection, ok}, 1, 0, false},
		{"wrong request", "k", []func(http.ResponseWriter, *http.Request){respondError(422, 1008, "not_run"), ok}, 1, 1008, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &scriptedEntry{scripts: c.scripts}
			server := httptest.NewServer(e)
			defer server.Close()
			d := NewDirectCaller([]string{strings.TrimPrefix(server.URL, "http://")}, "r", "f", "key")
			defer d.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			a, err := d.Call(ctx, CallRequest{Method: "POST", Service: "core", Path: "/bids", IdempotencyKey: c.key, Body: []byte("{}")})
			assert.Equal(t, err == nil, c.ok, "%v", err)
			assert.Equal(t, a.Attempts, c.sends)
			var ce *CallError
			if c.code != 0 {
				assert.Assert(t, errors.As(err, &ce))
				assert.Equal(t, ce.Code, c.code)
			}
		})
	}
}

package forward

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/fleet"
	"github.com/endivetrack/endivetrack/internal/manifest"
	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/quarantine"
)

// testHeaders are header names that only these tests use.
var testHeaders = Headers{
	RequestID: "T-Id", Deadline: "T-Deadline", AccountKey: "T-Key", Account: "T-Account", ExpectTarget: "T-Expect", NotRun: "T-Not-Run",
	Stamp: "T-Stamp", Limit: "T-Limit", Leaving: "T-Leaving", Priority: "T-Priority", Tokens: "T-Tokens", LengthHint: "T-Hint", PromptParts: "T-Parts", CopyFrom: "T-Copy", LastEventID: "Last-Event-Id", Resumes: "T-Resumes",
	Reserved: []string{"T-Hold"},
}

// fakeTarget is a target that records its requests and calls a function to write
// the raw bytes of each response.
type fakeTarget struct {
	id, address string

	mu       sync.Mutex
	requests []seenRequest
	open     int
	restarts int64 // under the same ID and address
	respond  func(r seenRequest, c net.Conn)
}

type seenRequest struct {
	*http.Request
	body string
}

func newFakeTarget(t testing.TB, id string, respond func(r seenRequest, c net.Conn)) *fakeTarget {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &fakeTarget{id: id, address: l.Addr().String(), respond: respond}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.serve(c)
		}
	}()
	return f
}

func (f *fakeTarget) serve(c net.Conn) {
	f.count(1)
	defer f.count(-1)
	defer c.Close()
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		seen := seenRequest{r, string(body)}
		if r.URL.Path == testReportPath {
			f.report(c)
			continue
		}
		f.mu.Lock()
		f.requests = append(f.requests, seen)
		respond := f.respond
		f.mu.Unlock()
		respond(seen, c)
	}
}

// testReportPath is the path of a target's report on itself.
const testReportPath = "/t-report"

// report answers with the incarnation.
func (f *fakeTarget) report(c net.Conn) {
	f.mu.Lock()
	defer f.mu.Unlock()
	body := strconv.FormatInt(f.restarts+1, 10) // fixtures announce incarnation 1
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func (f *fakeTarget) count(n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open += n
}

func (f *fakeTarget) seen() []seenRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]seenRequest(nil), f.requests...)
}

// writeTestResponse writes a complete response to r with extra header lines.
func writeTestResponse(c io.Writer, r seenRequest, status int, extra, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d X\r\nT-Id: %s\r\nT-Stamp: s\r\n%sContent-Length: %d\r\n\r\n%s", status, r.Header.Get("T-Id"), extra, len(body), body)
}

func respondsWith(status int, body string) func(seenRequest, net.Conn) {
	return func(r seenRequest, c net.Conn) { writeTestResponse(c, r, status, "", body) }
}

// closesConnection closes the connection without a response.
func closesConnection(_ seenRequest, c net.Conn) { _ = c.Close() }

// refusesUnrun responds that no part of the request ran.
func refusesUnrun(r seenRequest, c net.Conn) { writeTestResponse(c, r, 503, "T-Not-Run: 1\r\n", "") }

// fixture is a running Forwarder with fake targets and engines, and a server at
// url.
type fixture struct {
	*Forwarder
	url     string
	views   *fleet.ViewStore
	engines *fakeEngines
	targets map[string]*fakeTarget
	seq     uint64
}

func testManifest() *manifest.Manifest {
	engine := &manifest.Engine{Slots: 4, MemoryTokens: 10_000, BytesPerToken: 1, LinkMbps: 1e6, Moves: true}
	route := func(name string, kind manifest.Kind, service string, attempts int) manifest.Route {
		return manifest.Route{
			Name: name, Host: "h", PathPrefix: "/" + name + "/", Kind: kind, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond,
			Split: []manifest.Share{{Service: service, Weight: 1}}, MaxAttempts: attempts,
		}
	}
	m := &manifest.Manifest{
		Version: 1,
		Routes: []manifest.Route{
			route("read", manifest.Idempotent, "core", 2),
			route("write", manifest.NonIdempotent, "core", 1),
			route("long", manifest.Streaming, "llm", 1),
			route("short", manifest.Streaming, "llm", 2),
			route("home", manifest.Idempotent, "core", 1),
			route("open", manifest.Idempotent, "core", 1),
			route("split", manifest.Streaming, "llm", 2),
		},
		Services: []manifest.Service{{Name: "core", MaxConns: 100}, {Name: "llm", MaxConns: 100, Engine: engine}, {Name: "llm2", MaxConns: 100, Engine: engine}},
		Accounts: []manifest.ClientAccount{{Name: "account", Keys: []string{"key"}}},
		Limits:   manifest.Limits{BodyBytes: 1000, HeaderBytes: 2000},
	}
	m.Routes[3].Resumable = true
	m.Routes[4].Regions = []string{"s"}
	m.Routes[5].Public = true
	m.Routes[6].Resumable = true
	m.Routes[6].Split = []manifest.Share{{Service: "llm", Weight: 1}, {Service: "llm2", Weight: 1}}
	return m
}

func newFixture(t testing.TB, service string, targets ...*fakeTarget) *fixture {
	f := &fixture{engines: &fakeEngines{}, targets: map[string]*fakeTarget{}}
	f.views = fleet.NewViewStore(func([]byte) (*manifest.Manifest, error) { return testManifest(), nil }, time.Now)
	f.Forwarder = New(Config{
		Self: Location{Name: "e1", Region: "r", FailureDomain: "r-a"}, Regions: map[string]string{"r-a": "r", "r-b": "r", "s-a": "s"},
		Headers: testHeaders, Engines: f.engines, Budget: BudgetConfig{Window: time.Second, Ratio: 0.2, Slack: 100},
		Views: f.views, Quarantine: quarantine.New(zerolog.Nop(), tally.NoopScope, time.Now), Logger: zerolog.Nop(), Metrics: tally.NoopScope, BufferBytes: 1 << 20,
	})
	assert.NilError(t, f.views.SetManifest(1, nil))
	for _, x := range targets {
		f.announce(t, x, service, "r-a", fleet.Ready)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		f.Run(ctx)
	}()
	server := httptest.NewUnstartedServer(netconn.ResetIncomplete(f))
	server.Config.ConnContext = netconn.ConnContext
	server.Start()
	t.Cleanup(func() {
		server.Close()
		cancel()
		<-done
	})
	f.url = server.URL
	f.syncTargets()
	return f
}

// announce merges an announcement of x into the forwarder's view of the fleet.
func (f *fixture) announce(t testing.TB, x *fakeTarget, service, domain string, state fleet.TargetState) {
	t.Helper()
	f.seq++
	f.views.Merge(nil, []fleet.Announcement{{
		ID: x.id, Service: service, Address: x.address, FailureDomain: domain, Incarnation: 1, Sequence: f.seq, Slots: 4, State: state,
	}})
	f.syncTargets()
}

// syncTargets updates the forwarder's targets from its current view of the fleet,
// without waiting for Run.
func (f *fixture) syncTargets() {
	view, _ := f.views.View()
	f.table.syncEndpoints(view, time.Now())
}

// call sends one caller's request with headers given as name, value pairs, and
// returns the response and its body.
func (f *fixture) call(t *testing.T, method, path, body string, header ...string) (*http.Response, string, error) {
	t.Helper()
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = "h"
	r.Header.Set("T-Id", "id-1")
	r.Header.Set("T-Key", "key")
	r.Header.Set("T-Deadline", "1500")
	r.Header.Set("T-Tokens", "100,400")
	for i := 0; i+1 < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}}
	defer client.CloseIdleConnections()
	resp, err := client.Do(r)
	if err != nil {
		return nil, "", err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return resp, string(data), err
}

// fakeEngines passes calls of Move to a function of the test and records which
// copies are released. A call for which unreachable returns an error is not sent.
type fakeEngines struct {
	mu          sync.Mutex
	move        func(engine, id, to string, last bool) (Copy, error)
	unreachable func(last bool) error
	released    []string
	onAnswer    func(engine string, status int, header http.Header)
}

func (e *fakeEngines) Move(_ context.Context, engine, id, to string, last bool, beforeSend func()) (Copy, error) {
	e.mu.Lock()
	move, unreachable := e.move, e.unreachable
	e.mu.Unlock()
	if unreachable != nil {
		if err := unreachable(last); err != nil {
			return Copy{}, err
		}
	}
	beforeSend()
	if move == nil {
		return Copy{}, ErrNoRun
	}
	return move(engine, id, to, last)
}

func (e *fakeEngines) OnAnswer(call func(engine string, status int, header http.Header)) {
	e.onAnswer = call
}

func (e *fakeEngines) ReportPath() string { return testReportPath }

func (e *fakeEngines) ReportedIncarnation(body []byte) (int64, bool) {
	n, err := strconv.ParseInt(string(body), 10, 64)
	return n, err == nil
}

func (e *fakeEngines) Release(_ context.Context, _, handle string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.released = append(e.released, handle)
	return nil
}

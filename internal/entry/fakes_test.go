package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/command"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Keys of the test deployment, of which the settings hold only the digests.
// limitedKey belongs to account "two", which has low limits and may only call
// service "llm".
const (
	callerKey  = "caller-key-0123456789abcdef"
	limitedKey = "other-key-0123456789abcdefg"
	targetKey  = "target-key-0123456789abcdef"
	peerKey    = "peer-key-0123456789abcdefghi"
)

const testSettings = `
team = "farm"
operator_key_sha256 = ["%[1]s"]
[failure_domains.a]
region = "home"
in_service = %[5]t
[failure_domains.b]
region = "away"
[services.llm]
kind = "engine"
models = ["m"]
target_key_sha256 = ["%[3]s"]
[services.core]
kind = "plain"
protected_paths = ["/bids"]
target_key_sha256 = ["%[3]s"]
call_timeout_ms = 600
max_body_bytes = 4096
[classes.normal]
priority = 7
queue_timeout_ms = 300
[classes.patient]
priority = 7
queue_timeout_ms = 5000
[accounts.one]
key_sha256 = ["%[2]s"]
default_class = "normal"
[accounts.two]
key_sha256 = ["%[4]s"]
default_class = "normal"
max_in_flight = 1
rate_per_second = 0.001
burst = 2
services = ["llm"]
`

func parseSettings(t testing.TB, domainInService bool) *settings.Team {
	t.Helper()
	text := fmt.Sprintf(testSettings, peerauth.Digest("operator"), peerauth.Digest(callerKey),
		peerauth.Digest(targetKey), peerauth.Digest(limitedKey), domainInService)
	team, err := settings.Parse("test", []byte(text))
	assert.NilError(t, err)
	return team
}

// fakeSource is a session.Source whose view (copy of the replicated state) and lease state
// are set by the test.
type fakeSource struct {
	mu       sync.Mutex
	view     *session.View
	changed  chan struct{}
	stale    atomic.Bool
	draining atomic.Bool
	id       uint64
}

func (f *fakeSource) View() *session.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fakeSource) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeSource) Fresh() bool       { return !f.stale.Load() }
func (f *fakeSource) SessionID() uint64 { return f.id }

// SetDraining lists the instance as draining and removes the assignments of all
// shards, as the control group does before it assigns them to other instances.
func (f *fakeSource) SetDraining() {
	f.draining.Store(true)
	f.update(func(v *session.View) {
		instances := v.Instances
		v.Instances = nil
		for _, i := range instances {
			v.Instances = append(v.Instances, &api.Instance{
				Name: i.GetName(), Region: i.GetRegion(), FailureDomain: i.GetFailureDomain(),
				Address: i.GetAddress(), SessionId: i.GetSessionId(), Draining: i.GetSessionId() == f.id,
			})
		}
		v.Assignments = map[session.ShardKey]*api.Assignment{}
	})
}

func (f *fakeSource) update(change func(*session.View)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := *f.view
	next.Version++
	change(&next)
	f.view = &next
	close(f.changed)
	f.changed = make(chan struct{})
}

// fakeOwner is a shard owner with scripted outcomes. It grants permits for the
// first of its targets that the request does not exclude.
type fakeOwner struct {
	mu         sync.Mutex
	targets    []*api.Permit // target, address and failure domain of the permits to grant
	outcomes   []api.AcquireOutcome
	onAcquire  func(*api.AcquireRequest)
	granted    map[string]uint64 // session that holds the permit, by permit id
	grantCount int
	acquires   []*api.AcquireRequest
	releases   []*api.ReleaseRequest
	reports    []*api.ReportRequest
	announces  []*api.AnnounceRequest
	leaving    []*api.RecordLeavingRequest
	transfers  int
}

func (f *fakeOwner) Acquire(ctx context.Context, r *api.AcquireRequest) (*api.AcquireResponse, error) {
	f.mu.Lock()
	hook := f.onAcquire
	f.mu.Unlock()
	if hook != nil {
		hook(r)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.acquires = append(f.acquires, r)
	if len(f.outcomes) > 0 {
		out := f.outcomes[0]
		f.outcomes = f.outcomes[1:]
		if out != api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED {
			return &api.AcquireResponse{Outcome: out, RetryAfterMs: 250}, nil
		}
	}
	for _, p := range f.targets {
		if !contains(r.GetExcludeTargets(), p.GetTarget()) && !excludes(r, p) && strings.HasPrefix(p.GetTarget(), r.GetShard().GetService()) {
			f.grantCount++
			granted := &api.Permit{
				Id: fmt.Sprintf("p1.%d", f.grantCount), Target: p.GetTarget(), Address: p.GetAddress(),
				FailureDomain: p.GetFailureDomain(), Epoch: 1, Incarnation: p.GetIncarnation(),
			}
			f.granted[granted.GetId()] = r.GetHolderSession()
			return &api.AcquireResponse{Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_GRANTED, Permit: granted}, nil
		}
	}
	return &api.AcquireResponse{Outcome: api.AcquireOutcome_ACQUIRE_OUTCOME_NO_TARGET}, nil
}

// excludes reports whether the request excludes the incarnation of the permit's target.
func excludes(r *api.AcquireRequest, p *api.Permit) bool {
	for _, x := range r.GetExcludeIncarnations() {
		if x.GetTarget() == p.GetTarget() && x.GetIncarnation() == p.GetIncarnation() {
			return true
		}
	}
	return false
}

func contains(list []string, s string) bool {
	for _, x := range list {
		if x == s {
			return true
		}
	}
	return false
}

func (f *fakeOwner) Release(_ context.Context, r *api.ReleaseRequest) (*api.ReleaseResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.releases = append(f.releases, r)
	held := f.granted[r.GetFinal().GetPermitId()] == r.GetHolderSession()
	if held {
		delete(f.granted, r.GetFinal().GetPermitId())
	}
	return &api.ReleaseResponse{Held: held}, nil
}

func (f *fakeOwner) Report(_ context.Context, r *api.ReportRequest) (*api.ReportResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reports = append(f.reports, r)
	response := &api.ReportResponse{}
	for _, p := range r.GetPermits() {
		if holder, ok := f.granted[p.GetPermitId()]; ok && holder != r.GetHolderSession() {
			response.MovedPermits = append(response.MovedPermits, p.GetPermitId())
		}
	}
	return response, nil
}

func (f *fakeOwner) Transfer(_ context.Context, r *api.TransferRequest) (*api.TransferResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transfers++
	if _, ok := f.granted[r.GetPermitId()]; !ok {
		return &api.TransferResponse{}, nil
	}
	f.granted[r.GetPermitId()] = r.GetToSession()
	for _, p := range f.targets {
		if p.GetTarget() == r.GetTarget() {
			return &api.TransferResponse{Moved: true, Permit: &api.Permit{
				Id: r.GetPermitId(), Target: p.GetTarget(), Address: p.GetAddress(), FailureDomain: p.GetFailureDomain(), Epoch: 1,
			}}, nil
		}
	}
	return &api.TransferResponse{}, nil
}

func (f *fakeOwner) Announce(_ context.Context, r *api.AnnounceRequest) (*api.AnnounceResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.announces = append(f.announces, r)
	return &api.AnnounceResponse{}, nil
}

func (f *fakeOwner) RecordLeaving(_ context.Context, r *api.RecordLeavingRequest) (*api.RecordLeavingResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.leaving = append(f.leaving, r)
	return &api.RecordLeavingResponse{}, nil
}

func (f *fakeOwner) ShardStatus(context.Context, *api.ShardStatusRequest) (*api.ShardStatusResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := &api.ShardStatusResponse{}
	for _, p := range f.targets {
		out.Targets = append(out.Targets, &api.TargetStatus{Name: p.GetTarget(), Address: p.GetAddress()})
	}
	return out, nil
}

func (f *fakeOwner) heldPermits() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.granted)
}

func (f *fakeOwner) releaseReasons() []api.ReleaseReason {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []api.ReleaseReason
	for _, r := range f.releases {
		out = append(out, r.GetReason())
	}
	return out
}

// engineConn is one request to the fake engine.
type engineConn struct {
	t          testing.TB
	w          http.ResponseWriter
	r          *http.Request
	id         string
	offset     int
	isDispatch bool // the request starts a new generation instead of resuming one
	body       string
}

func (c *engineConn) startResponse() {
	c.w.Header().Set("Content-Type", "text/event-stream")
	c.w.WriteHeader(http.StatusOK)
	c.flush()
}

func (c *engineConn) flush() { _ = http.NewResponseController(c.w).Flush() }

func (c *engineConn) sendChunk(id string, offset int, text, finish string) {
	reason := "null"
	if finish != "" {
		reason = `"` + finish + `"`
	}
	fmt.Fprintf(c.w, "id: %d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":\"m\",\"choices\":[{\"index\":0,\"delta\":{\"content\":%q},\"finish_reason\":%s}]}\n\n",
		offset, id, text, reason)
	c.flush()
}

func (c *engineConn) sendTokens(from, to int) {
	for i := from; i < to; i++ {
		c.sendChunk(c.id, i, fmt.Sprintf("t%d ", i), "")
	}
}

func (c *engineConn) sendFinish(n int) {
	c.sendChunk(c.id, n, "", "stop")
	fmt.Fprint(c.w, "data: [DONE]\n\n")
}

// staySilent keeps the connection open without sending anything until the reader
// disconnects.
func (c *engineConn) staySilent() { <-c.r.Context().Done() }

// sendHeartbeats sends heartbeats until the reader disconnects.
func (c *engineConn) sendHeartbeats() { c.sendHeartbeatsUntil(nil) }

// sendHeartbeatsUntil sends heartbeats until stop is closed or the reader
// disconnects.
func (c *engineConn) sendHeartbeatsUntil(stop <-chan struct{}) {
	ticker := time.NewTicker(testTiming.SilenceTimeout / 5)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			fmt.Fprint(c.w, ": heartbeat\n\n")
			c.flush()
		case <-stop:
			return
		case <-c.r.Context().Done():
			return
		}
	}
}

// cutConnection closes the connection in the middle of the response.
func (c *engineConn) cutConnection() { panic(http.ErrAbortHandler) }

// fakeEngine handles the n-th stream request with the n-th script. The last script
// is used for all further requests.
type fakeEngine struct {
	server  *httptest.Server
	mu      sync.Mutex
	scripts []func(*engineConn)
	methods []string // HTTP method of each request to the engine, in order
	ids     []string
}

func newEngine(t testing.TB, scripts ...func(*engineConn)) *fakeEngine {
	e := &fakeEngine{scripts: scripts}
	e.server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { e.serve(t, w, r) }))
	t.Cleanup(e.server.Close)
	return e
}

func (e *fakeEngine) serve(t testing.TB, w http.ResponseWriter, r *http.Request) {
	c := &engineConn{t: t, w: w, r: r}
	switch r.Method {
	case http.MethodPost:
		c.id, c.isDispatch = r.Header.Get("X-Request-Id"), true
		body, _ := io.ReadAll(r.Body)
		c.body = string(body)
	case http.MethodGet:
		c.id = strings.TrimPrefix(r.URL.Path, "/v1/generations/")
		_, _ = fmt.Sscan(r.URL.Query().Get("offset"), &c.offset)
	case http.MethodDelete:
		e.record("DELETE", "")
		w.WriteHeader(http.StatusNoContent)
		return
	}
	e.record(r.Method, c.id)
	e.mu.Lock()
	script := e.scripts[0]
	if len(e.scripts) > 1 {
		e.scripts = e.scripts[1:]
	}
	e.mu.Unlock()
	script(c)
}

func (e *fakeEngine) record(method, id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.methods = append(e.methods, method)
	if id != "" {
		e.ids = append(e.ids, id)
	}
}

func (e *fakeEngine) count(method string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, m := range e.methods {
		if m == method {
			n++
		}
	}
	return n
}

func (e *fakeEngine) address() string { return e.server.Listener.Addr().String() }

// harness runs one entry instance with a fake session, shard owner and control
// group.
type harness struct {
	t      testing.TB
	source *fakeSource
	owner  *fakeOwner
	writes *fakeWrites
	entry  *Entry
	env    *process.Env
	base   string
	stop   context.CancelFunc
	runErr chan error
}

var testTiming = command.Timing{
	SilenceTimeout: 250 * time.Millisecond, HeartbeatInterval: 30 * time.Millisecond, ResumeWindow: 300 * time.Millisecond, ControlTimeout: 300 * time.Millisecond,
}

// testDrainTimeoutMS is well above 5 s, because net/http treats a connection without any
// request as in use for 5 s.
const testDrainTimeoutMS = 15_000

var testPermitTiming = permit.Timing{
	ReportInterval: 50 * time.Millisecond, CallTimeout: 200 * time.Millisecond, QueueSlice: 50 * time.Millisecond,
	RecheckInterval: 20 * time.Millisecond, NoTargetGrace: 60 * time.Millisecond,
}

func newSource(t testing.TB, id uint64) *fakeSource {
	view := &session.View{
		Version: 1,
		Teams:   map[string]session.Team{"farm": {Revision: 1, Settings: parseSettings(t, true)}},
		Assignments: map[session.ShardKey]*api.Assignment{
			{Team: "farm", Service: "llm", Region: "home"}:  {OwnerSession: 1, Epoch: 1},
			{Team: "farm", Service: "core", Region: "home"}: {OwnerSession: 1, Epoch: 1},
		},
	}
	return &fakeSource{view: view, changed: make(chan struct{}), id: id}
}

// newHarness starts an entry instance with session 1, which owns all shards.
func newHarness(t testing.TB) *harness {
	owner := &fakeOwner{granted: map[string]uint64{}}
	return startHarness(t, newSource(t, 1), owner, "entry-1")
}

func startHarness(t testing.TB, source *fakeSource, owner *fakeOwner, name string) *harness {
	t.Helper()
	cfg := process.Config{Name: name, Region: "home", FailureDomain: "a", PeerKey: peerKey, LogLevel: "error"}
	env, err := process.NewEnv(cfg, os.Stderr)
	assert.NilError(t, err)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	source.update(func(v *session.View) {
		v.Instances = append(append([]*api.Instance{}, v.Instances...), &api.Instance{
			Name: name, Region: "home", FailureDomain: "a", Address: listener.Addr().String(), SessionId: source.id,
		})
	})
	b := &harness{
		t: t, source: source, owner: owner, writes: newFakeWrites(), env: env,
		base: "http://" + listener.Addr().String(), runErr: make(chan error, 1),
	}
	b.entry = New(Config{
		Process: cfg, Limits: Limits{MaxRequests: 64, DrainTimeoutMS: testDrainTimeoutMS}, AddressTTL: 20 * time.Millisecond,
		Source: source, Control: b.writes, Owner: owner, Env: env, Timing: testTiming, PermitTiming: testPermitTiming,
	})
	ctx, cancel := context.WithCancel(context.Background())
	b.stop = cancel
	go func() { b.runErr <- b.entry.Run(ctx, listener) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-b.runErr)
		b.entry.commands.WaitForBackgroundWork()
		env.PeerClient.CloseIdleConnections()
		assert.NilError(t, env.Close())
	})
	return b
}

// addTarget adds a target to those for which the owner grants permits.
func (b *harness) addTarget(name, address string) {
	b.owner.mu.Lock()
	defer b.owner.mu.Unlock()
	b.owner.targets = append(b.owner.targets, &api.Permit{Target: name, Address: address, FailureDomain: "a", Incarnation: "1"})
}

type response struct {
	status int
	header http.Header
	body   string
}

// code returns the result code and the execution status of an error response, or of the
// error event at the end of a stream.
func (a response) code(t testing.TB) (int, string) {
	t.Helper()
	var e struct {
		Error struct {
			Code      int    `json:"code"`
			Execution string `json:"execution"`
		} `json:"error"`
	}
	text := a.body
	if i := strings.Index(text, "event: error\ndata: "); i >= 0 {
		text = strings.TrimSpace(text[i+len("event: error\ndata: "):])
	}
	assert.NilError(t, json.Unmarshal([]byte(text), &e), a.body)
	return e.Error.Code, e.Error.Execution
}

func (b *harness) request(ctx context.Context, method, path, key, body string, headers ...string) (*http.Response, error) {
	r, err := http.NewRequestWithContext(ctx, method, b.base+path, bytes.NewReader([]byte(body)))
	assert.NilError(b.t, err)
	r.Close = true
	r.Header.Set("Authorization", "Bearer "+key)
	for i := 0; i+1 < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	return http.DefaultClient.Do(r)
}

func (b *harness) call(method, path, key, body string, headers ...string) response {
	b.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	resp, err := b.request(ctx, method, path, key, body, headers...)
	assert.NilError(b.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if strings.Contains(string(text), "event: error\n") {
		assert.ErrorIs(b.t, err, io.ErrUnexpectedEOF) // a failed stream must not look complete
	} else {
		assert.NilError(b.t, err)
	}
	return response{resp.StatusCode, resp.Header, string(text)}
}

const streamBody = `{"model":"m","stream":true,"max_tokens":50,"messages":[{"role":"user","content":"hello"}]}`

func (b *harness) generate() response {
	b.t.Helper()
	return b.call(http.MethodPost, "/v1/chat/completions", callerKey, streamBody)
}

// assertTokens checks that the body contains the tokens with offsets from <= offset < to
// of one generation, each once and in order, and returns the generation's id.
func assertTokens(t testing.TB, body string, from, to int) string {
	t.Helper()
	id, next := "", from
	for _, event := range strings.Split(body, "\n\n") {
		var offset int
		if n, _ := fmt.Sscanf(event, "id: %d\n", &offset); n != 1 {
			continue
		}
		var chunk struct {
			ID      string
			Choices []struct {
				FinishReason *string `json:"finish_reason"`
			}
		}
		assert.NilError(t, json.Unmarshal([]byte(event[strings.Index(event, "data: ")+6:]), &chunk))
		assert.Equal(t, offset, next, body)
		assert.Assert(t, id == "" || id == chunk.ID, body)
		id = chunk.ID
		if chunk.Choices[0].FinishReason == nil {
			next++
		}
	}
	assert.Equal(t, next, to, body)
	return id
}

// eventually waits up to 5 s until ok returns true, and fails the test otherwise.
func eventually(t testing.TB, what string, ok func() bool) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !ok() {
		if time.Now().After(deadline) {
			t.Fatalf("condition not reached within 5 s: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

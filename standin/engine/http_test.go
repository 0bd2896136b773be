package engine

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/standin/expected"
	"github.com/endivetrack/endivetrack/standin/netfault"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type testServer struct {
	t      *testing.T
	engine *Engine
	url    string
	client *http.Client
}

// startTestServer serves an engine with short steps until the test ends. change
// adjusts its configuration.
func startTestServer(t *testing.T, change func(*Config)) *testServer {
	t.Helper()
	c := warmConfig()
	c.Target, c.StepBase, c.StepPerSequence, c.Heartbeat = "engine-1", time.Millisecond, 0, 20*time.Millisecond
	c.StepPerKiloToken, c.PrefillPerToken = 0, 0
	change(&c)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	listener, err := netfault.NewListener(l)
	assert.NilError(t, err)
	e := New(c, l.Addr().String(), Hooks{})
	ctx, cancel := context.WithCancel(context.Background())
	server := &http.Server{Handler: e.Handler(listener), ConnContext: listener.ConnContext}
	done := make(chan struct{}, 2)
	go func() { _ = server.Serve(listener); done <- struct{}{} }()
	go func() { e.Run(ctx); done <- struct{}{} }()
	r := &testServer{t, e, "http://" + l.Addr().String(), &http.Client{Transport: &http.Transport{}}}
	t.Cleanup(func() {
		cancel()
		_ = server.Close()
		r.client.CloseIdleConnections()
		<-done
		<-done
	})
	return r
}

func (r *testServer) do(method, path, id, body string) *http.Response {
	r.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	r.t.Cleanup(cancel)
	req, err := http.NewRequestWithContext(ctx, method, r.url+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	req.Header.Set("X-Request-Id", id)
	resp, err := r.client.Do(req)
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

func (r *testServer) generate(id, prompt string, maxTokens, priority int) *http.Response {
	body := fmt.Sprintf(`{"model":"m","messages":[{"role":"user","content":%q}],"max_tokens":%d,"stream":true,"priority":%d}`, prompt, maxTokens, priority)
	return r.do(http.MethodPost, "/v1/chat/completions", id, body)
}

// readStream reads a stream until its end or until it has received limit event ids. It
// returns the stream's text, event ids and comments and whether it ended with [DONE].
func readStream(body io.Reader, limit int) (text string, ids, comments []string, done bool) {
	s := bufio.NewScanner(body)
	for s.Scan() && len(ids) < limit {
		line := s.Text()
		switch {
		case strings.HasPrefix(line, ": "):
			comments = append(comments, line[2:])
		case strings.HasPrefix(line, "id: "):
			ids = append(ids, line[4:])
		case line == "data: [DONE]":
			done = true
		case strings.HasPrefix(line, "data: "):
			var c chunk
			if json.Unmarshal([]byte(line[6:]), &c) == nil {
				text += c.Choices[0].Delta.Content
			}
		}
	}
	return text, ids, comments, done
}

// Guards against a stream or a resumed stream whose tokens differ from the planned
// output.
func TestResumeReturnsSameTokens(t *testing.T) {
	r := startTestServer(t, func(*Config) {})
	plan := expected.Output("lot 1", 60)
	assert.Assert(t, plan.Length > 20)
	broken := r.generate("g1", "lot 1", 60, 5)
	_, ids, _, _ := readStream(broken.Body, 5)
	assert.Equal(t, ids[4], "4")
	_ = broken.Body.Close()
	text, ids, _, done := readStream(r.do(http.MethodGet, "/v1/generations/g1?offset=5", "", "").Body, 1000)
	assert.Equal(t, text, plan.Text(5))
	assert.Equal(t, ids[0], "5")
	assert.Equal(t, ids[len(ids)-1], fmt.Sprint(plan.Length))
	assert.Assert(t, done)
	record := r.engine.Snapshot()
	assert.Equal(t, len(record.Work), 1)
	assert.Equal(t, record.Work[0].Emitted, plan.Length)
	assert.Equal(t, record.Work[0].Outcome, plan.Finish)
	assert.Equal(t, record.Work[0].Resumes, 1)
	assert.Equal(t, record.Tokens, plan.Length)
}

// Guards against running a generation id twice, and against a full engine that
// runs a request it refused.
func TestRefusedRequestsDoNotRun(t *testing.T) {
	r := startTestServer(t, func(c *Config) { c.MaxRunning, c.MaxWaiting, c.StepBase = 1, 0, 50*time.Millisecond })
	_ = r.generate("g1", "lot 1", 60, 5)
	assert.Equal(t, r.generate("g1", "lot 1", 60, 5).StatusCode, http.StatusConflict)
	full := r.generate("g2", "lot 2", 60, 5)
	assert.Equal(t, full.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, full.Header.Get("X-Not-Run"), "true")
	assert.Equal(t, r.do(http.MethodGet, "/v1/generations/g2?offset=0", "", "").StatusCode, http.StatusNotFound)
	record := r.engine.Snapshot()
	assert.Equal(t, len(record.Work), 1)
	assert.Equal(t, record.DuplicatesRefused, 1)
	assert.Equal(t, record.FullRefused, 1)
}

// The stream of a preempted generation must contain the comment "preempted", and its
// text must be the same as without the preemption.
func TestPreemptionIsReportedAndKeepsText(t *testing.T) {
	r := startTestServer(t, func(c *Config) { c.MemoryTokens, c.CacheBlocks = 90, 0 })
	low := r.generate("low", "lot 1", 60, 1)
	high := r.generate("high", "lot 1", 60, 9)
	highText, _, _, _ := readStream(high.Body, 1000)
	text, _, comments, done := readStream(low.Body, 1000)
	plan := expected.Output("lot 1", 60)
	assert.Equal(t, text, plan.Text(0))
	assert.Equal(t, highText, plan.Text(0))
	assert.Assert(t, done)
	assert.Assert(t, bytes.Contains([]byte(strings.Join(comments, ",")), []byte("preempted")))
	record := r.engine.Snapshot()
	assert.Assert(t, record.Preemptions > 0)
	assert.Equal(t, record.Work[0].Preemptions, record.Preemptions)
	assert.Assert(t, record.Work[0].StallMicros > 0)
}

// Guards against an engine that carries out an order with an old fencing number,
// as a former owner would send it.
func TestFencingRefusesOldNumbers(t *testing.T) {
	r := startTestServer(t, func(c *Config) { c.ChecksFencing = true })
	order := func(fencing int) int {
		return r.do(http.MethodPost, "/v1/orders", "", fmt.Sprintf(`{"order_id":"o","kind":"set_role","value":"r%d","fencing":%d}`, fencing, fencing)).StatusCode
	}
	assert.Equal(t, order(7), http.StatusOK)
	assert.Equal(t, order(6), http.StatusConflict)
	assert.Equal(t, order(7), http.StatusOK)
	var state struct {
		Role    string `json:"role"`
		Fencing uint64 `json:"fencing"`
	}
	assert.NilError(t, json.NewDecoder(r.do(http.MethodGet, "/v1/state", "", "").Body).Decode(&state))
	assert.Equal(t, state.Role, "r7")
	assert.Equal(t, state.Fencing, uint64(7))
	assert.Equal(t, len(r.engine.Snapshot().Orders), 3)

	unchecked := startTestServer(t, func(c *Config) { c.ChecksFencing = false })
	for _, fencing := range []int{7, 6} {
		resp := unchecked.do(http.MethodPost, "/v1/orders", "", fmt.Sprintf(`{"kind":"set_role","value":"x","fencing":%d}`, fencing))
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}

// Guards against a cancelled generation that keeps its place in the batch, and
// against a stream without heartbeats while no token is ready.
func TestCancelAndHeartbeat(t *testing.T) {
	r := startTestServer(t, func(c *Config) { c.StepBase = 200 * time.Millisecond })
	resp := r.generate("g1", "lot 1", 60, 5)
	s := bufio.NewScanner(resp.Body)
	assert.Assert(t, s.Scan())
	assert.Equal(t, s.Text(), ": heartbeat")
	assert.Equal(t, r.do(http.MethodDelete, "/v1/generations/g1", "", "").StatusCode, http.StatusNoContent)
	assert.Equal(t, r.do(http.MethodDelete, "/v1/generations/other", "", "").StatusCode, http.StatusNoContent)
	_, _, _, done := readStream(resp.Body, 1000)
	assert.Assert(t, !done)
	record := r.engine.Snapshot()
	assert.Equal(t, record.Cancelled, 1)
	assert.Equal(t, record.Work[0].Outcome, "cancelled")
}

// The fault "swallow" must leave connections open, because callers would detect a
// closed one, and must not affect new connections.
func TestSwallowedStreamGoesSilentAndResumes(t *testing.T) {
	r := startTestServer(t, func(c *Config) { c.StepBase = 5 * time.Millisecond })
	silent := r.generate("g1", "lot 1", 60, 5)
	buf := make([]byte, 1)
	_, err := silent.Body.Read(buf)
	assert.NilError(t, err)
	assert.Equal(t, r.do(http.MethodPost, "/standin/faults", "", `{"swallow":true}`).StatusCode, http.StatusNoContent)
	assert.Assert(t, r.engine.Snapshot().SwallowedConnections >= 1)
	text, _, _, done := readStream(r.do(http.MethodGet, "/v1/generations/g1?offset=0", "", "").Body, 1000)
	assert.Equal(t, text, expected.Output("lot 1", 60).Text(0))
	assert.Assert(t, done)
}

// Guards against a generation that starts although its sender was frozen after the last
// check, and against refusing senders that do not set the header.
func TestLateGenerationIsNotStarted(t *testing.T) {
	now := time.Unix(1000, 0)
	for value, late := range map[string]bool{
		"": false, "x": false, strconv.FormatInt(now.UnixMicro(), 10): false, strconv.FormatInt(now.UnixMicro()-1, 10): true,
	} {
		r := httptest.NewRequest(http.MethodPost, "/", nil)
		r.Header.Set("X-Start-Before", value)
		assert.Equal(t, isTooLate(r, now), late, "%q", value)
	}
}

package service

import (
	"bufio"
	"encoding/json"
	"hash/crc32"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func call(t *testing.T, url, method, path, id, key, body string) (*http.Response, Response, error) {
	t.Helper()
	req, err := http.NewRequest(method, url+path, strings.NewReader(body))
	assert.NilError(t, err)
	// Without GetBody net/http cannot rewind the body. It would otherwise retry a
	// request that has an idempotency key.
	req.GetBody = nil
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("Idempotency-Key", key)
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return nil, Response{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	var a Response
	if err == nil {
		err = json.Unmarshal(data, &a)
	}
	return resp, a, err
}

func setFaults(t *testing.T, url, body string) {
	t.Helper()
	resp, err := http.Post(url+"/standin/faults", "application/json", strings.NewReader(body))
	assert.NilError(t, err)
	_ = resp.Body.Close()
	assert.Equal(t, resp.StatusCode, http.StatusNoContent)
}

// The fault "crossed" must send the call's own response after the foreign one: a
// caller that discards the foreign response must still receive its own.
func TestCrossedAnswerIsFollowedByOwnAnswer(t *testing.T) {
	server := httptest.NewServer(New(Config{Target: "core-1"}, "127.0.0.1:1", Hooks{}).Handler(nil))
	defer server.Close()
	_, _, err := call(t, server.URL, "POST", "/bids", "r1", "k1", "1")
	assert.NilError(t, err)
	setFaults(t, server.URL, `{"crossed":{"next":1}}`)
	c, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(5*time.Second)))
	_, err = io.WriteString(c, "POST /bids HTTP/1.1\r\nHost: x\r\nX-Request-Id: r2\r\nContent-Length: 1\r\n\r\n1")
	assert.NilError(t, err)
	r := bufio.NewReader(c)
	for _, id := range []string{"r1", "r2"} {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.Header.Get("X-Request-Id"), id)
	}
}

// Guards against a record that misses an execution whose response was lost, late,
// ended early or crossed (sent after another call's response): such a record would
// hide a call that ran twice.
func TestRecordCountsCallsWithFailedAnswers(t *testing.T) {
	died := 0
	s := New(Config{Target: "core-1", Seed: 1}, "127.0.0.1:1", Hooks{Die: func() { died++ }})
	server := httptest.NewServer(s.Handler(nil))
	defer server.Close()

	resp, a, err := call(t, server.URL, "POST", "/bids", "r1", "k1", "100")
	assert.NilError(t, err)
	assert.Equal(t, resp.Header.Get("X-Request-Id"), "r1")
	assert.Equal(t, a.Key, "k1")
	assert.Equal(t, a.BodyCRC, crc32.ChecksumIEEE([]byte("100")))

	setFaults(t, server.URL, `{"lose_answer":{"next":1}}`)
	_, _, err = call(t, server.URL, "POST", "/bids", "r2", "k2", "100")
	assert.Assert(t, err != nil)
	setFaults(t, server.URL, `{"cut_answer":{"next":1}}`)
	_, _, err = call(t, server.URL, "POST", "/bids", "r3", "k2", "100")
	assert.Assert(t, err != nil)
	for _, kind := range []string{"crossed", "swapped"} {
		setFaults(t, server.URL, `{"`+kind+`":{"next":1}}`)
		resp, a, err = call(t, server.URL, "POST", "/payments", "r4"+kind, "k4"+kind, "100")
		assert.NilError(t, err)
		assert.Assert(t, resp.Header.Get("X-Request-Id") != "r4"+kind && a.Key != "k4"+kind)
	}
	setFaults(t, server.URL, `{"late":{"next":1},"late_ms":30,"die_after_run":{"next":1}}`)
	start := time.Now()
	_, _, err = call(t, server.URL, "POST", "/payments", "r5", "k5", "100")
	assert.NilError(t, err)
	assert.Assert(t, time.Since(start) >= 30*time.Millisecond)
	assert.Equal(t, died, 1)
	_, a, err = call(t, server.URL, "GET", "/lots/3", "r6", "", "")
	assert.NilError(t, err)
	assert.Equal(t, a.Path, "/lots/3")

	r := s.Snapshot()
	assert.Equal(t, len(r.Executions), 6)
	assert.Equal(t, r.Reads, int64(1))
	assert.DeepEqual(t, r.PerKey, map[string]int{"k1": 1, "k2": 2, "k4crossed": 1, "k4swapped": 1, "k5": 1})
	assert.Equal(t, r.PerRequestID["r2"], 1)
	assert.DeepEqual(t, r.Faults, map[string]int{"lose_answer": 1, "cut_answer": 1, "crossed": 1, "swapped": 1, "late": 1, "die_after_run": 1})
}

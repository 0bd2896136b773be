package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// streamAll returns a fakeEngine script that sends the tokens from the requested offset up
// to n and the end of the stream.
func streamAll(n int) func(*engineConn) {
	return func(c *engineConn) {
		c.startResponse()
		c.sendTokens(c.offset, n)
		c.sendFinish(n)
	}
}

// Guards against handing out the address of a draining instance.
func TestAddressesOmitDrainingInstances(t *testing.T) {
	b := newHarness(t)
	assert.Assert(t, strings.Contains(b.call("GET", "/v1/addresses", "", "").body, strings.TrimPrefix(b.base, "http://")))
	b.source.SetDraining()
	assert.Equal(t, b.call("GET", "/v1/addresses", "", "").body, `{"ttl_ms":20,"addresses":[]}`)
}

// Checks the fault-free path of a generation: all tokens arrive under one id, and
// the permit is released.
func TestGenerationArrives(t *testing.T) {
	b := newHarness(t)
	engine := newEngine(t, streamAll(40))
	b.addTarget("llm-1", engine.address())
	a := b.generate()
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, assertTokens(t, a.body, 0, 40), a.header.Get("X-Generation-Id"))
	assert.Assert(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"))
	assert.Equal(t, b.owner.heldPermits(), 0)
}

// Guards against a completion that lacks text or usage when the caller does not
// request a stream.
func TestCompletionContainsAllTokens(t *testing.T) {
	b := newHarness(t)
	b.addTarget("llm-1", newEngine(t, streamAll(3)).address())
	a := b.call("POST", "/v1/chat/completions", callerKey, strings.Replace(streamBody, "true", "false", 1))
	var body struct {
		Choices []struct {
			Message struct{ Content string }
			Reason  string `json:"finish_reason"`
		}
		Usage struct {
			Tokens int `json:"completion_tokens"`
		}
	}
	assert.NilError(t, json.Unmarshal([]byte(a.body), &body))
	assert.Equal(t, body.Choices[0].Message.Content, "t0 t1 t2 ")
	assert.Equal(t, body.Choices[0].Reason, "stop")
	assert.Equal(t, body.Usage.Tokens, 3)
}

// newPlainService starts a plain service with the given handler and returns its
// address. Each response carries the request's id, as required of services.
func newPlainService(t testing.TB, handler http.HandlerFunc) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Checks the fault-free path of a plain call: method, path, query and body reach
// the service, and its status, header and body reach the caller.
func TestPlainCallArrives(t *testing.T) {
	b := newHarness(t)
	b.addTarget("core-1", newPlainService(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		w.Header().Set("Content-Type", "text/plain")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, r.Method+" "+r.URL.RequestURI()+" "+string(body))
	}))
	a := b.call("POST", "/v1/services/core/lots/7?x=1", callerKey, "payload")
	assert.Equal(t, a.status, http.StatusTeapot)
	assert.Equal(t, a.body, "POST /lots/7?x=1 payload")
	assert.Equal(t, a.header.Get("Content-Type"), "text/plain")
}

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

func whole(n int) func(*engineConn) {
	return func(c *engineConn) {
		c.open()
		c.tokens(c.offset, n)
		c.finish(n)
	}
}

// Guards against addresses of instances that callers must not use.
func TestAddressesLeaveOutDraining(t *testing.T) {
	b := newBed(t)
	assert.Assert(t, strings.Contains(b.call("GET", "/v1/addresses", "", "").body, strings.TrimPrefix(b.base, "http://")))
	b.source.SetDraining()
	assert.Equal(t, b.call("GET", "/v1/addresses", "", "").body, `{"ttl_ms":20,"addresses":[]}`)
}

// Guards the thin path: a generation arrives whole, under one id, and its
// permit is released.
func TestGenerationArrives(t *testing.T) {
	b := newBed(t)
	engine := newEngine(t, whole(40))
	b.offer("llm-1", engine.address())
	a := b.generate()
	assert.Equal(t, a.status, http.StatusOK)
	assert.Equal(t, tokensOf(t, a.body, 0, 40), a.header.Get("X-Generation-Id"))
	assert.Assert(t, strings.HasSuffix(a.body, "data: [DONE]\n\n"))
	assert.Equal(t, b.owner.heldPermits(), 0)
}

// Guards against a completion that misses text when the caller does not stream.
func TestCompletionIsWhole(t *testing.T) {
	b := newBed(t)
	b.offer("llm-1", newEngine(t, whole(3)).address())
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

// echoService answers with its request, as a plain service does.
func echoService(t testing.TB, handler http.HandlerFunc) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Request-Id", r.Header.Get("X-Request-Id"))
		handler(w, r)
	}))
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

// Guards the thin path of a plain call.
func TestPlainCallArrives(t *testing.T) {
	b := newBed(t)
	b.offer("core-1", echoService(t, func(w http.ResponseWriter, r *http.Request) {
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

package verify

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
	"github.com/endivetrack/endivetrack/standin/service"
)

// newTestSystem returns a minimal system: one entry point that forwards requests
// to one engine and one service. runWritesTwice makes it run every write twice.
func newTestSystem(t *testing.T, engineURL, serviceURL string, runWritesTwice bool) http.Handler {
	t.Helper()
	var ids atomic.Int64
	proxy := func(target string, prefix string) *httputil.ReverseProxy {
		u, err := url.Parse(target)
		assert.NilError(t, err)
		return &httputil.ReverseProxy{FlushInterval: -1, Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(u)
			r.Out.URL.Path = strings.TrimPrefix(r.Out.URL.Path, prefix)
			r.Out.Header.Set("X-Request-Id", fmt.Sprintf("id-%d", ids.Add(1)))
		}}
	}
	engines, services := proxy(engineURL, ""), proxy(serviceURL, "/v1/services/core")
	mux := http.NewServeMux()
	mux.HandleFunc("/v1/addresses", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(map[string]any{"ttl_ms": 5000, "addresses": []map[string]string{{"address": r.Host}}})
	})
	mux.HandleFunc("/v1/chat/completions", func(w http.ResponseWriter, r *http.Request) {
		// The server closes the request's body when the response starts. The proxy that
		// forwards the request would then fail unless the body was already read.
		body, err := io.ReadAll(r.Body)
		assert.Check(t, err)
		r.Body = io.NopCloser(bytes.NewReader(body))
		engines.ServeHTTP(w, r)
	})
	mux.HandleFunc("/v1/services/core/", func(w http.ResponseWriter, r *http.Request) {
		if runWritesTwice && r.Method == http.MethodPost {
			again := r.Clone(r.Context())
			again.Body, again.ContentLength = http.NoBody, 0
			services.ServeHTTP(httptest.NewRecorder(), again)
		}
		services.ServeHTTP(w, r)
	})
	return mux
}

// Guards against checks that fail for a correct system, or that pass for a system
// that runs writes twice.
func TestCallersAndRecordsAgree(t *testing.T) {
	for _, twice := range []bool{false, true} {
		t.Run(fmt.Sprintf("twice=%t", twice), func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
			defer cancel()
			c := engine.DefaultConfig()
			c.ColdFor, c.ColdTokens, c.StepBase, c.StepPerSequence = 0, 0, 500*time.Microsecond, 0
			c.StepPerKiloToken, c.PrefillPerToken = 0, 0
			e, s := engine.New(c, "127.0.0.1:1", engine.Hooks{}), service.New(service.Config{}, "127.0.0.1:2", service.Hooks{})
			go e.Run(ctx)
			engines, services := httptest.NewServer(e.Handler(nil)), httptest.NewServer(s.Handler(nil))
			defer engines.Close()
			defer services.Close()
			entry := httptest.NewServer(newTestSystem(t, engines.URL, services.URL, twice))
			defer entry.Close()
			caller := loadgen.NewDirectCaller([]string{strings.TrimPrefix(entry.URL, "http://")}, "r", "f", "key")
			defer caller.Close()
			p := loadgen.Profile{
				Model: "m", PlainService: "core", ReadPaths: []string{"/lots/"}, WritePaths: []string{"/bids"},
				Classes:  []loadgen.ClassLoad{{Name: "long", Share: 1, MaxTokens: 40}},
				Accounts: []loadgen.AccountLoad{{Name: "a", Share: 1}},
			}
			load := loadgen.Load{Seed: 3, Duration: 500 * time.Millisecond, GenerateRate: 60, ReadRate: 60, WriteRate: 60}
			report := loadgen.Run(ctx, p, load, loadgen.DefaultBounds(), []loadgen.Caller{caller})
			v := Compare(report, []engine.Record{e.Snapshot()}, []service.Record{s.Snapshot()}, nil)
			assert.Assert(t, report.Requests > 50)
			assert.Equal(t, v.Complete, v.Requests, "%v", report.FirstErrors)
			assert.Equal(t, v.Generations, report.Kinds[loadgen.KindGenerate])
			assert.Equal(t, v.OK(), !twice, "%v", v.Notes)
			if twice {
				assert.Equal(t, v.Duplicated, report.Kinds[loadgen.KindWrite])
			}
		})
	}
}

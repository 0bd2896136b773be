package proxy

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/bench/baseline"
	"github.com/endivetrack/endivetrack/standin/announce"
	"github.com/endivetrack/endivetrack/standin/engine"
	"github.com/endivetrack/endivetrack/standin/loadgen"
)

// Guards against a proxy that loses requests, exceeds the limit of its policy or
// sends requests to a failure domain that is out of service. Any of these would
// make the comparison with the baselines worthless.
func TestFixedConcurrencyQueuesAndServesAll(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	const limit = 2
	p := New(baseline.FixedConcurrency{Limit: limit}, 1, "")
	front := httptest.NewServer(p.Handler())
	defer front.Close()
	p.address = strings.TrimPrefix(front.URL, "http://")
	config := engine.DefaultConfig()
	config.ColdFor, config.ColdTokens, config.StepBase, config.PrefillPerToken = 0, 0, time.Millisecond, 0
	var engines []*engine.Engine
	for i := range 2 {
		e := engine.New(config, "127.0.0.1:1", engine.Hooks{})
		go e.Run(ctx)
		server := httptest.NewServer(e.Handler(nil))
		defer server.Close()
		engines = append(engines, e)
		body, err := json.Marshal(announce.Message{
			Service: "s", Target: fmt.Sprint(i), Address: strings.TrimPrefix(server.URL, "http://"),
			FailureDomain: fmt.Sprint("f", i), Models: []string{"m"},
		})
		assert.NilError(t, err)
		resp, err := http.Post(front.URL+"/v1/targets/announce", "application/json", strings.NewReader(string(body)))
		assert.NilError(t, err)
		_ = resp.Body.Close()
	}
	resp, err := http.Post(front.URL+"/bench/domain?name=f1&in_service=false", "", nil)
	assert.NilError(t, err)
	_ = resp.Body.Close()

	client := loadgen.NewDirectCaller([]string{p.address}, "", "", "key")
	defer client.Close()
	profile := loadgen.Profile{
		Model: "m", Classes: []loadgen.ClassLoad{{Name: "long", Share: 1, MaxTokens: 20}},
		Accounts: []loadgen.AccountLoad{{Name: "a", Share: 1}},
	}
	load := loadgen.Load{Seed: 1, Duration: 300 * time.Millisecond, GenerateRate: 100}
	report := loadgen.Run(ctx, profile, load, loadgen.DefaultBounds(), []loadgen.Caller{client})
	assert.Assert(t, report.Requests > 15)
	assert.Equal(t, report.Complete, report.Requests, "%v", report.FirstErrors)
	assert.Equal(t, len(engines[0].Snapshot().Work), report.Requests)
	assert.Equal(t, len(engines[1].Snapshot().Work), 0)
	assert.Assert(t, engines[0].Snapshot().PeakRunning <= limit)
}

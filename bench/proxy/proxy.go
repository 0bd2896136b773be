// Package proxy runs a baseline policy in front of real targets. It implements as
// much of docs/callers.md and docs/targets.md as the benchmark needs. It is a
// single process without a control group, so its policy has exact counts of the
// requests that it sent. This favours the baselines, because the system under
// test is distributed.
package proxy

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/bench/baseline"
	"github.com/endivetrack/endivetrack/standin/announce"
)

const (
	maxBodyBytes = 16 << 20
	targetLease  = 3 * time.Second
	dialTimeout  = time.Second
	// queueTimeout is how long a request may wait for a target; the example
	// deployments use 15 s for request classes with long outputs.
	queueTimeout = 15 * time.Second
	// maxAttempts bounds how many targets are tried for a generation that
	// targets refuse because they are full.
	maxAttempts     = 3
	copyBufferBytes = 16 << 10
)

// target is an announced target and its outstanding requests.
type target struct {
	announce.Message
	lastAnnounced time.Time
	outstanding   int
}

// waiter is a request that waits for a target.
type waiter struct {
	service   string
	assigned  chan *target // receives the target assigned to the request; has capacity 1
	cancelled bool
}

// Proxy forwards each request to the target that its policy picks. The mutex mu
// guards the fields that are declared after it.
type Proxy struct {
	policy  baseline.Policy
	address string
	client  *http.Client

	mu           sync.Mutex
	rng          *rand.Rand
	targets      []*target
	outOfService map[string]bool // whether a failure domain is out of service, by its name
	queue        []*waiter
	lastID       uint64
}

// New returns a proxy that callers and targets are told to reach at address. seed
// seeds the policy's random choices.
func New(policy baseline.Policy, seed uint64, address string) *Proxy {
	return &Proxy{
		policy: policy, address: address, rng: rand.New(rand.NewPCG(seed, 0xba5e)), outOfService: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 64,
		}},
	}
}

// Handler returns a handler for callers, targets and the benchmark's commands.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", p.serveAddresses)
	mux.HandleFunc("POST /v1/targets/announce", p.serveAnnounce)
	mux.HandleFunc("POST /v1/chat/completions", p.serveGenerate)
	mux.HandleFunc("GET /v1/generations/{id}", func(w http.ResponseWriter, _ *http.Request) {
		writeRefusal(w, http.StatusNotFound, 1009, "UNKNOWN_GENERATION", "not_run")
	})
	mux.HandleFunc("/v1/services/{service}/", p.serveCall)
	mux.HandleFunc("POST /bench/domain", p.serveFailureDomain)
	return mux
}

func (p *Proxy) serveAddresses(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(map[string]any{"ttl_ms": 5000, "addresses": []map[string]string{{"address": p.address}}})
}

func (p *Proxy) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var m announce.Message
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	i := slices.IndexFunc(p.targets, func(t *target) bool { return t.Target == m.Target })
	if i < 0 {
		p.targets = append(p.targets, &target{})
		i = len(p.targets) - 1
	}
	p.targets[i].Message, p.targets[i].lastAnnounced = m, time.Now()
	p.assignWaiting()
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"lease_ms": targetLease.Milliseconds(), "addresses": []string{p.address}})
}

// serveFailureDomain takes a failure domain out of service or puts it back.
func (p *Proxy) serveFailureDomain(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.outOfService[r.FormValue("name")] = r.FormValue("in_service") == "false"
	p.assignWaiting()
	w.WriteHeader(http.StatusNoContent)
}

// usableTargets returns the targets of a service that may get new requests. The
// caller holds p.mu.
func (p *Proxy) usableTargets(service string) []*target {
	var out []*target
	for _, t := range p.targets {
		if t.Service == service && !t.Leaving && !p.outOfService[t.FailureDomain] && time.Since(t.lastAnnounced) < targetLease {
			out = append(out, t)
		}
	}
	return out
}

// assignWaiting assigns targets to the waiting requests, first come, first served;
// requests that no target can take now stay in the queue. The caller holds p.mu.
func (p *Proxy) assignWaiting() {
	for i := 0; i < len(p.queue); {
		w := p.queue[i]
		t := (*target)(nil)
		if !w.cancelled {
			if t = p.pickTarget(w.service); t == nil {
				i++
				continue
			}
			t.outstanding++
			w.assigned <- t
		}
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

// pickTarget returns the usable target of the service that the policy picks, or
// nil if the request must wait. The caller holds p.mu.
func (p *Proxy) pickTarget(service string) *target {
	usable := p.usableTargets(service)
	if len(usable) == 0 {
		return nil
	}
	loads := make([]baseline.Target, len(usable))
	for i, t := range usable {
		loads[i] = baseline.Target{Outstanding: t.outstanding, Reported: t.ReportedRunning}
	}
	if i := p.policy.Pick(loads, p.rng); i >= 0 {
		return usable[i]
	}
	return nil
}

// acquireTarget waits at most queueTimeout for a target of the service. The caller must
// release the target.
func (p *Proxy) acquireTarget(ctx context.Context, service string) (*target, error) {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	w := &waiter{service: service, assigned: make(chan *target, 1)}
	p.mu.Lock()
	p.queue = append(p.queue, w)
	p.assignWaiting()
	p.mu.Unlock()
	select {
	case t := <-w.assigned:
		return t, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.cancelled = true
	select {
	case t := <-w.assigned:
		t.outstanding--
	default:
	}
	p.assignWaiting()
	return nil, ctx.Err()
}

func (p *Proxy) releaseTarget(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.outstanding--
	p.assignWaiting()
}

// serviceForModel returns the service of a target that announced the model, or ""
// if there is none.
func (p *Proxy) serviceForModel(model string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if slices.Contains(t.Models, model) {
			return t.Service
		}
	}
	return ""
}

// writeRefusal writes an error response with a result code, in the system's JSON
// format.
func writeRefusal(w http.ResponseWriter, status, code int, name, execution string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = fmt.Fprintf(w, `{"error":{"code":%d,"name":%q,"execution":%q,"message":"","retry_after_ms":100}}`, code, name, execution)
}

func (p *Proxy) serveGenerate(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	var req struct {
		Model string `json:"model"`
	}
	if err != nil || json.Unmarshal(body, &req) != nil {
		writeRefusal(w, http.StatusBadRequest, 1001, "BAD_REQUEST", "not_run")
		return
	}
	service := p.serviceForModel(req.Model)
	for range maxAttempts {
		t, err := p.acquireTarget(r.Context(), service)
		if err != nil {
			writeRefusal(w, http.StatusServiceUnavailable, 2005, "DEADLINE_EXCEEDED", "not_run")
			return
		}
		responded := p.forward(w, r, t, "/v1/chat/completions", body)
		p.releaseTarget(t)
		if responded {
			return
		}
	}
	writeRefusal(w, http.StatusServiceUnavailable, 2003, "OVERLOADED", "not_run")
}

func (p *Proxy) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		writeRefusal(w, http.StatusBadRequest, 1001, "BAD_REQUEST", "not_run")
		return
	}
	service := r.PathValue("service")
	t, err := p.acquireTarget(r.Context(), service)
	if err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, 2004, "NO_TARGET", "not_run")
		return
	}
	defer p.releaseTarget(t)
	if !p.forward(w, r, t, strings.TrimPrefix(r.URL.Path, "/v1/services/"+service), body) {
		writeRefusal(w, http.StatusGatewayTimeout, 3003, "OUTCOME_UNKNOWN", "unknown")
	}
}

// forward sends a request to a target and streams the response to w. It returns
// false, with nothing written to w, if the target refused (status 503) or the call
// failed before a response. If the response breaks off, forward aborts the caller's
// connection by a panic with http.ErrAbortHandler.
func (p *Proxy) forward(w http.ResponseWriter, r *http.Request, t *target, path string, body []byte) bool {
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+t.Address+path, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.GetBody = nil
	id := p.newID()
	req.Header.Set("X-Request-Id", id)
	for _, h := range []string{"Content-Type", "Idempotency-Key"} {
		if v := r.Header.Get(h); v != "" {
			req.Header.Set(h, v)
		}
	}
	resp, err := p.client.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusServiceUnavailable {
		return false
	}
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.Header().Set("X-Generation-Id", id)
	w.WriteHeader(resp.StatusCode)
	controller := http.NewResponseController(w)
	buf := make([]byte, copyBufferBytes)
	for {
		n, err := resp.Body.Read(buf)
		if _, werr := w.Write(buf[:n]); werr != nil || controller.Flush() != nil {
			return true
		}
		if err == io.EOF {
			return true
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}

func (p *Proxy) newID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	return fmt.Sprintf("b-%d", p.lastID)
}

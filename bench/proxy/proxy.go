// Package proxy runs a baseline policy in front of real targets. It serves as
// much of docs/callers.md and docs/targets.md as the benchmark needs, in one
// process without a control group, so that a policy sees exact counts of what
// it sent. That favours the baselines: the system under test is distributed.
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
	lease        = 3 * time.Second
	dialTimeout  = time.Second
	// queueTimeout is how long a request may wait for a target; the example
	// deployments use 15 s for long classes.
	queueTimeout = 15 * time.Second
	// maxAttempts bounds how many targets a request is offered to when they
	// refuse it as full.
	maxAttempts = 3
	copyBuffer  = 16 << 10
)

// target is one announced target.
type target struct {
	announce.Message
	seen        time.Time
	outstanding int
}

// waiter is a request that waits for a target.
type waiter struct {
	service string
	given   chan *target // one target, when there is one
	gone    bool
}

// Proxy sends each request to the target that its policy picks.
type Proxy struct {
	policy  baseline.Policy
	address string
	client  *http.Client

	mu      sync.Mutex
	rng     *rand.Rand
	targets []*target
	out     map[string]bool // failure domains out of service
	queue   []*waiter
	next    uint64
}

// New returns a proxy that hands out address as its own.
func New(policy baseline.Policy, seed uint64, address string) *Proxy {
	return &Proxy{
		policy: policy, address: address, rng: rand.New(rand.NewPCG(seed, 0xba5e)), out: map[string]bool{},
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 64,
		}},
	}
}

// Handler serves callers, targets and the benchmark's commands.
func (p *Proxy) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/addresses", p.serveAddresses)
	mux.HandleFunc("POST /v1/targets/announce", p.serveAnnounce)
	mux.HandleFunc("POST /v1/chat/completions", p.serveGenerate)
	mux.HandleFunc("GET /v1/generations/{id}", func(w http.ResponseWriter, _ *http.Request) {
		refuse(w, http.StatusNotFound, 1009, "UNKNOWN_GENERATION", "not_run")
	})
	mux.HandleFunc("/v1/services/{service}/", p.serveCall)
	mux.HandleFunc("POST /bench/domain", p.serveDomain)
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
	p.targets[i].Message, p.targets[i].seen = m, time.Now()
	p.pump()
	p.mu.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"lease_ms": lease.Milliseconds(), "addresses": []string{p.address}})
}

// serveDomain takes a failure domain out of service or back.
func (p *Proxy) serveDomain(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.out[r.FormValue("name")] = r.FormValue("in_service") == "false"
	p.pump()
	w.WriteHeader(http.StatusNoContent)
}

// usable returns the targets of a service that may get new work.
func (p *Proxy) usable(service string) []*target {
	var out []*target
	for _, t := range p.targets {
		if t.Service == service && !t.Leaving && !p.out[t.FailureDomain] && time.Since(t.seen) < lease {
			out = append(out, t)
		}
	}
	return out
}

// pump gives targets to waiting requests, first come first served.
func (p *Proxy) pump() {
	for i := 0; i < len(p.queue); {
		w := p.queue[i]
		t := (*target)(nil)
		if !w.gone {
			if t = p.pick(w.service); t == nil {
				i++
				continue
			}
			t.outstanding++
			w.given <- t
		}
		p.queue = slices.Delete(p.queue, i, i+1)
	}
}

func (p *Proxy) pick(service string) *target {
	usable := p.usable(service)
	if len(usable) == 0 {
		return nil
	}
	known := make([]baseline.Target, len(usable))
	for i, t := range usable {
		known[i] = baseline.Target{Outstanding: t.outstanding, Reported: t.ReportedRunning}
	}
	if i := p.policy.Pick(known, p.rng); i >= 0 {
		return usable[i]
	}
	return nil
}

// acquire waits for a target.
func (p *Proxy) acquire(ctx context.Context, service string) (*target, error) {
	ctx, cancel := context.WithTimeout(ctx, queueTimeout)
	defer cancel()
	w := &waiter{service: service, given: make(chan *target, 1)}
	p.mu.Lock()
	p.queue = append(p.queue, w)
	p.pump()
	p.mu.Unlock()
	select {
	case t := <-w.given:
		return t, nil
	case <-ctx.Done():
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	w.gone = true
	select {
	case t := <-w.given:
		t.outstanding--
	default:
	}
	p.pump()
	return nil, ctx.Err()
}

func (p *Proxy) release(t *target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.outstanding--
	p.pump()
}

func (p *Proxy) serviceOf(model string) string {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range p.targets {
		if slices.Contains(t.Models, model) {
			return t.Service
		}
	}
	return ""
}

func refuse(w http.ResponseWriter, status, code int, name, execution string) {
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
		refuse(w, http.StatusBadRequest, 1001, "BAD_REQUEST", "not_run")
		return
	}
	service := p.serviceOf(req.Model)
	for range maxAttempts {
		t, err := p.acquire(r.Context(), service)
		if err != nil {
			refuse(w, http.StatusServiceUnavailable, 2005, "DEADLINE_EXCEEDED", "not_run")
			return
		}
		sent := p.forward(w, r, t, "/v1/chat/completions", body)
		p.release(t)
		if sent {
			return
		}
	}
	refuse(w, http.StatusServiceUnavailable, 2003, "OVERLOADED", "not_run")
}

func (p *Proxy) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		refuse(w, http.StatusBadRequest, 1001, "BAD_REQUEST", "not_run")
		return
	}
	service := r.PathValue("service")
	t, err := p.acquire(r.Context(), service)
	if err != nil {
		refuse(w, http.StatusServiceUnavailable, 2004, "NO_TARGET", "not_run")
		return
	}
	defer p.release(t)
	if !p.forward(w, r, t, strings.TrimPrefix(r.URL.Path, "/v1/services/"+service), body) {
		refuse(w, http.StatusGatewayTimeout, 3003, "OUTCOME_UNKNOWN", "unknown")
	}
}

// forward sends a request to a target and copies its answer as it comes. It
// returns false when the target refused before anything was answered.
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
	flusher := http.NewResponseController(w)
	buf := make([]byte, copyBuffer)
	for {
		n, err := resp.Body.Read(buf)
		if _, werr := w.Write(buf[:n]); werr != nil || flusher.Flush() != nil {
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
	p.next++
	return fmt.Sprintf("b-%d", p.next)
}

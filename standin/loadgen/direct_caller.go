package loadgen

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// silenceTimeout is how long a stream may be silent before the caller abandons
	// the connection (docs/callers.md).
	silenceTimeout = 3 * time.Second
	dialTimeout    = time.Second
	addressTimeout = time.Second
	maxAttempts    = 20
	initialBackoff = 50 * time.Millisecond
	maxBackoff     = time.Second
	maxLineBytes   = 1 << 20
)

// DirectCaller is a Caller that implements the callers' HTTP protocol without the
// client package, so that a fault of that package cannot hide a fault of the system.
type DirectCaller struct {
	seeds                 []string
	region, failureDomain string
	key                   string
	client                *http.Client

	mu        sync.Mutex
	addresses []string
	expires   time.Time
	refusals  map[string]int
}

// NewDirectCaller returns a caller at a location. seeds are the entry instances that
// it initially queries for addresses; key is sent as bearer token.
func NewDirectCaller(seeds []string, region, failureDomain, key string) *DirectCaller {
	return &DirectCaller{
		seeds: seeds, region: region, failureDomain: failureDomain, key: key, refusals: map[string]int{},
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 64,
		}},
	}
}

// Close closes idle connections.
func (d *DirectCaller) Close() { d.client.CloseIdleConnections() }

// resolveAddresses returns the addresses of the entry instances to use. When the
// last result has expired, it queries the known instances and the seeds for
// addresses, one after another until one responds. If none does, it returns the
// addresses of all of them.
func (d *DirectCaller) resolveAddresses(ctx context.Context) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.expires) {
		return d.addresses
	}
	candidates := append(append([]string{}, d.addresses...), d.seeds...)
	for _, a := range candidates {
		addresses, ttl, err := d.fetchAddresses(ctx, a)
		if err == nil && len(addresses) > 0 {
			d.addresses, d.expires = addresses, time.Now().Add(ttl)
			return addresses
		}
	}
	return candidates
}

// expireAddresses makes the next call of resolveAddresses query for addresses again.
func (d *DirectCaller) expireAddresses() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.expires = time.Time{}
}

// fetchAddresses queries one entry instance for the addresses to use and the time
// for which they are valid.
func (d *DirectCaller) fetchAddresses(ctx context.Context, address string) ([]string, time.Duration, error) {
	ctx, cancel := context.WithTimeout(ctx, addressTimeout)
	defer cancel()
	q := url.Values{"region": {d.region}, "failure_domain": {d.failureDomain}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/addresses?"+q.Encode(), nil)
	if err != nil {
		return nil, 0, err
	}
	req.Header.Set("Authorization", "Bearer "+d.key)
	resp, err := d.client.Do(req)
	if err != nil {
		return nil, 0, err
	}
	defer resp.Body.Close()
	var response struct {
		TTL       int64 `json:"ttl_ms"`
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("addresses: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&response); err != nil {
		return nil, 0, err
	}
	var out []string
	for _, a := range response.Addresses {
		out = append(out, a.Address)
	}
	return out, time.Duration(response.TTL) * time.Millisecond, nil
}

func (d *DirectCaller) newRequest(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, err
	}
	// If GetBody is nil, net/http does not retry the request by itself.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+d.key)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// responseError reads the error from the body of an error response.
func responseError(resp *http.Response) error {
	data, _ := io.ReadAll(io.LimitReader(resp.Body, maxLineBytes))
	return decodeError(resp.StatusCode, data)
}

func decodeError(status int, data []byte) error {
	var body struct {
		Error *CallError `json:"error"`
	}
	if json.Unmarshal(data, &body) != nil || body.Error == nil {
		return fmt.Errorf("status %d without an error body: %.200q", status, data)
	}
	return body.Error
}

// Refusals returns the number of failed attempts after which a request was sent
// again, by result code.
func (d *DirectCaller) Refusals() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.refusals)
}

func (d *DirectCaller) countRefusal(err error) {
	name := "connection"
	var ce *CallError
	if errors.As(err, &ce) {
		name = fmt.Sprintf("%d %s %s", ce.Code, ce.Name, ce.Execution)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusals[name]++
}

// backoff counts err as a refusal and waits before the next attempt. It returns false
// if ctx ended during the wait.
func (d *DirectCaller) backoff(ctx context.Context, attempt int, err error) bool {
	d.countRefusal(err)
	pause := min(maxBackoff, initialBackoff<<min(attempt, 6))
	var ce *CallError
	if errors.As(err, &ce) {
		pause = max(pause, ce.retryAfter())
	}
	t := time.NewTimer(time.Duration(float64(pause) * (0.5 + rand.Float64())))
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// mayRetry reports whether the request may be sent again: err proves that it did not
// run, and does not say that the request itself is wrong.
func mayRetry(err error) bool {
	var ce *CallError
	if !errors.As(err, &ce) {
		return false
	}
	// Codes below 2000 mean that the request itself is wrong.
	return ce.Execution == "not_run" && ce.Code >= 2000
}

// Call calls a plain service. It retries after an error response that says that the
// call did not run ("not_run"). Reads and calls with an idempotency key are also
// retried after a lost response.
func (d *DirectCaller) Call(ctx context.Context, r CallRequest) (response CallResponse, err error) {
	for response.Attempts < maxAttempts {
		addresses := d.resolveAddresses(ctx)
		result, callErr := d.callOnce(ctx, addresses[response.Attempts%len(addresses)], r)
		result.Attempts = response.Attempts + 1
		response, err = result, callErr
		if err == nil || ctx.Err() != nil {
			return response, err
		}
		var ce *CallError
		noResponse := !errors.As(err, &ce)
		idempotent := r.Method == http.MethodGet || r.IdempotencyKey != ""
		if noResponse {
			d.expireAddresses()
		}
		if !(mayRetry(err) || noResponse && idempotent) || !d.backoff(ctx, response.Attempts, err) {
			return response, err
		}
	}
	return response, err
}

func (d *DirectCaller) callOnce(ctx context.Context, address string, r CallRequest) (CallResponse, error) {
	req, err := d.newRequest(ctx, r.Method, address, "/v1/services/"+r.Service+r.Path, r.Body)
	if err != nil {
		return CallResponse{}, err
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return CallResponse{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return CallResponse{Status: resp.StatusCode}, responseError(resp)
	}
	data, err := io.ReadAll(resp.Body)
	return CallResponse{
		Status: resp.StatusCode, Body: data, Replayed: resp.Header.Get("X-Endivetrack-Replayed") == "true",
	}, err
}

// Generate streams a generation. Before the first token, a retry starts a new
// generation; after the first token, a retry resumes the same generation.
func (d *DirectCaller) Generate(ctx context.Context, r GenerateRequest, onToken func(string, int, string)) GenerationResult {
	body, err := json.Marshal(map[string]any{
		"model": r.Model, "max_tokens": r.MaxTokens, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": r.Prompt}},
	})
	if err != nil {
		return GenerationResult{Err: err}
	}
	s := &stream{onToken: onToken}
	var g GenerationResult
	for attempt := 0; attempt < maxAttempts; attempt++ {
		addresses := d.resolveAddresses(ctx)
		address := addresses[attempt%len(addresses)]
		if s.nextOffset == 0 {
			g.Attempts++
			s.id = ""
			err = d.startGeneration(ctx, address, r, body, s)
		} else {
			err = d.resumeGeneration(ctx, address, s)
		}
		g.ID, g.Finish, g.Err, g.Cuts = s.id, s.finish, err, s.cuts
		if err == nil || ctx.Err() != nil {
			return g
		}
		var ce *CallError
		if errors.As(err, &ce) && !mayRetry(err) {
			return g
		}
		if ce == nil {
			d.expireAddresses()
		}
		if !d.backoff(ctx, attempt, err) {
			return g
		}
	}
	return g
}

func (d *DirectCaller) startGeneration(ctx context.Context, address string, r GenerateRequest, body []byte, s *stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := d.newRequest(ctx, http.MethodPost, address, "/v1/chat/completions", body)
	if err != nil {
		return err
	}
	if r.Class != "" {
		req.Header.Set("X-Endivetrack-Class", r.Class)
	}
	return d.readStream(req, s, cancel)
}

func (d *DirectCaller) resumeGeneration(ctx context.Context, address string, s *stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	path := "/v1/generations/" + url.PathEscape(s.id) + "?offset=" + strconv.Itoa(s.nextOffset)
	req, err := d.newRequest(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	return d.readStream(req, s, cancel)
}

// readStream sends req and reads the stream in the response. If the stream is silent
// for silenceTimeout, it calls cancel, which must end the context of req.
func (d *DirectCaller) readStream(req *http.Request, s *stream, cancel context.CancelFunc) error {
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return responseError(resp)
	}
	watchdog := time.AfterFunc(silenceTimeout, cancel)
	defer watchdog.Stop()
	err = s.readTokens(resp.Body, func() { watchdog.Reset(silenceTimeout) })
	var ce *CallError
	if err != nil && !errors.As(err, &ce) {
		s.cuts++
	}
	if err == nil {
		// The connection is reused only if the body was read to its end.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxLineBytes))
	}
	return err
}

// stream is the caller's progress in one generation, over all connections.
type stream struct {
	onToken    func(id string, offset int, text string)
	id         string
	nextOffset int // offset of the next token that the caller expects
	finish     string
	cuts       int
}

type streamChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		FinishReason *string `json:"finish_reason"`
	} `json:"choices"`
}

// readTokens calls onToken for every token until [DONE]; any other end is an error.
// It calls onLine after every line.
func (s *stream) readTokens(body io.Reader, onLine func()) error {
	r := bufio.NewReaderSize(body, 16<<10)
	offset, event := -1, ""
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return fmt.Errorf("stream broke after token %d: %w", s.nextOffset, err)
		}
		onLine()
		line = strings.TrimRight(line, "\r\n")
		switch field, value, _ := strings.Cut(line, ": "); field {
		case "id":
			if offset, err = strconv.Atoi(value); err != nil {
				return fmt.Errorf("SSE id %q: %w", value, err)
			}
		case "event":
			event = value
		case "data":
			if event == "error" {
				return decodeError(http.StatusOK, []byte(value))
			}
			if value == "[DONE]" {
				return nil
			}
			if err := s.handleChunk(offset, value); err != nil {
				return err
			}
		}
	}
}

func (s *stream) handleChunk(offset int, data string) error {
	var c streamChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return fmt.Errorf("chunk %.80q: %w", data, err)
	}
	s.id = c.ID
	if len(c.Choices) == 0 {
		return nil
	}
	if f := c.Choices[0].FinishReason; f != nil {
		s.finish = *f
		return nil
	}
	s.onToken(c.ID, offset, c.Choices[0].Delta.Content)
	s.nextOffset = offset + 1
	return nil
}

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
	// silence is how long a stream may be silent before the caller abandons the
	// connection (docs/callers.md).
	silence        = 3 * time.Second
	dialTimeout    = time.Second
	addressTimeout = time.Second
	maxSends       = 20
	firstBackoff   = 50 * time.Millisecond
	maxBackoff     = time.Second
	maxLineBytes   = 1 << 20
)

// Direct speaks the callers' protocol over HTTP without the client package, so
// that a fault of that package cannot hide a fault of the system.
type Direct struct {
	seeds                 []string
	region, failureDomain string
	key                   string
	client                *http.Client

	mu        sync.Mutex
	addresses []string
	until     time.Time
	refusals  map[string]int
}

// NewDirect returns a caller at a place. seeds are the entry instances that it
// asks first.
func NewDirect(seeds []string, region, failureDomain, key string) *Direct {
	return &Direct{
		seeds: seeds, region: region, failureDomain: failureDomain, key: key, refusals: map[string]int{},
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: 64,
		}},
	}
}

// Close closes idle connections.
func (d *Direct) Close() { d.client.CloseIdleConnections() }

// resolve returns the addresses to use, asking again when the answer is old.
func (d *Direct) resolve(ctx context.Context) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	if time.Now().Before(d.until) {
		return d.addresses
	}
	ask := append(append([]string{}, d.addresses...), d.seeds...)
	for _, a := range ask {
		addresses, ttl, err := d.ask(ctx, a)
		if err == nil && len(addresses) > 0 {
			d.addresses, d.until = addresses, time.Now().Add(ttl)
			return addresses
		}
	}
	return ask
}

// forget makes the next call ask for addresses again.
func (d *Direct) forget() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until = time.Time{}
}

func (d *Direct) ask(ctx context.Context, address string) ([]string, time.Duration, error) {
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
	var answer struct {
		TTL       int64 `json:"ttl_ms"`
		Addresses []struct {
			Address string `json:"address"`
		} `json:"addresses"`
	}
	if resp.StatusCode != http.StatusOK {
		return nil, 0, fmt.Errorf("addresses: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return nil, 0, err
	}
	var out []string
	for _, a := range answer.Addresses {
		out = append(out, a.Address)
	}
	return out, time.Duration(answer.TTL) * time.Millisecond, nil
}

func (d *Direct) request(ctx context.Context, method, address, path string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, err
	}
	// Without GetBody net/http does not send a request again on its own.
	req.GetBody = nil
	req.Header.Set("Authorization", "Bearer "+d.key)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	return req, nil
}

// errorOf reads an error answer.
func errorOf(resp *http.Response) error {
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

// Refusals returns why requests were sent again, by code.
func (d *Direct) Refusals() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return maps.Clone(d.refusals)
}

func (d *Direct) noteRefusal(err error) {
	name := "connection"
	var ce *CallError
	if errors.As(err, &ce) {
		name = fmt.Sprintf("%d %s %s", ce.Code, ce.Name, ce.Execution)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusals[name]++
}

// backoff waits before another attempt; false when ctx ended.
func (d *Direct) backoff(ctx context.Context, attempt int, err error) bool {
	d.noteRefusal(err)
	pause := min(maxBackoff, firstBackoff<<min(attempt, 6))
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

// mayRepeat reports whether a request may be sent again after err: it surely
// did not run.
func mayRepeat(err error) bool {
	var ce *CallError
	if !errors.As(err, &ce) {
		return false
	}
	// Codes below 2000 say that the request itself is wrong.
	return ce.Execution == "not_run" && ce.Code >= 2000
}

// Call calls a plain service. It sends again after "not run", and reads and
// calls with an idempotency key also after a lost answer.
func (d *Direct) Call(ctx context.Context, r CallRequest) (answer CallAnswer, err error) {
	for answer.Sends < maxSends {
		addresses := d.resolve(ctx)
		next, callErr := d.callOnce(ctx, addresses[answer.Sends%len(addresses)], r)
		next.Sends = answer.Sends + 1
		answer, err = next, callErr
		if err == nil || ctx.Err() != nil {
			return answer, err
		}
		var ce *CallError
		lost := !errors.As(err, &ce)
		safe := r.Method == http.MethodGet || r.IdempotencyKey != ""
		if lost {
			d.forget()
		}
		if !(mayRepeat(err) || lost && safe) || !d.backoff(ctx, answer.Sends, err) {
			return answer, err
		}
	}
	return answer, err
}

func (d *Direct) callOnce(ctx context.Context, address string, r CallRequest) (CallAnswer, error) {
	req, err := d.request(ctx, r.Method, address, "/v1/services/"+r.Service+r.Path, r.Body)
	if err != nil {
		return CallAnswer{}, err
	}
	if r.IdempotencyKey != "" {
		req.Header.Set("Idempotency-Key", r.IdempotencyKey)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		return CallAnswer{}, err
	}
	defer resp.Body.Close()
	if resp.StatusCode >= http.StatusBadRequest {
		return CallAnswer{Status: resp.StatusCode}, errorOf(resp)
	}
	data, err := io.ReadAll(resp.Body)
	return CallAnswer{
		Status: resp.StatusCode, Body: data, Replayed: resp.Header.Get("X-Endivetrack-Replayed") == "true",
	}, err
}

// Generate streams a generation. Before the first token it may start again;
// after it, it resumes the same generation.
func (d *Direct) Generate(ctx context.Context, r GenerateRequest, onToken func(string, int, string)) Generation {
	body, err := json.Marshal(map[string]any{
		"model": r.Model, "max_tokens": r.MaxTokens, "stream": true,
		"messages": []map[string]string{{"role": "user", "content": r.Prompt}},
	})
	if err != nil {
		return Generation{Err: err}
	}
	s := &stream{onToken: onToken}
	var g Generation
	for attempt := 0; attempt < maxSends; attempt++ {
		addresses := d.resolve(ctx)
		address := addresses[attempt%len(addresses)]
		if s.next == 0 {
			g.Sends++
			s.id = ""
			err = d.start(ctx, address, r, body, s)
		} else {
			err = d.resume(ctx, address, s)
		}
		g.ID, g.Finish, g.Err, g.Cuts = s.id, s.finish, err, s.cuts
		if err == nil || ctx.Err() != nil {
			return g
		}
		var ce *CallError
		if errors.As(err, &ce) && !mayRepeat(err) {
			return g
		}
		if ce == nil {
			d.forget()
		}
		if !d.backoff(ctx, attempt, err) {
			return g
		}
	}
	return g
}

func (d *Direct) start(ctx context.Context, address string, r GenerateRequest, body []byte, s *stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := d.request(ctx, http.MethodPost, address, "/v1/chat/completions", body)
	if err != nil {
		return err
	}
	if r.Class != "" {
		req.Header.Set("X-Endivetrack-Class", r.Class)
	}
	return d.follow(req, s, cancel)
}

func (d *Direct) resume(ctx context.Context, address string, s *stream) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	path := "/v1/generations/" + url.PathEscape(s.id) + "?offset=" + strconv.Itoa(s.next)
	req, err := d.request(ctx, http.MethodGet, address, path, nil)
	if err != nil {
		return err
	}
	return d.follow(req, s, cancel)
}

func (d *Direct) follow(req *http.Request, s *stream, cancel context.CancelFunc) error {
	resp, err := d.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errorOf(resp)
	}
	watchdog := time.AfterFunc(silence, cancel)
	defer watchdog.Stop()
	err = s.read(resp.Body, func() { watchdog.Reset(silence) })
	var ce *CallError
	if err != nil && !errors.As(err, &ce) {
		s.cuts++
	}
	if err == nil {
		// Reading to the end lets the connection be used again.
		_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxLineBytes))
	}
	return err
}

// stream is the caller's place in one generation.
type stream struct {
	onToken func(id string, offset int, text string)
	id      string
	next    int // offset of the next token
	finish  string
	cuts    int
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

// read passes on tokens until [DONE]. Any other end is an error.
func (s *stream) read(body io.Reader, alive func()) error {
	r := bufio.NewReaderSize(body, 16<<10)
	offset, event := -1, ""
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return fmt.Errorf("stream broke after token %d: %w", s.next, err)
		}
		alive()
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
			if err := s.chunk(offset, value); err != nil {
				return err
			}
		}
	}
}

func (s *stream) chunk(offset int, data string) error {
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
	s.next = offset + 1
	return nil
}

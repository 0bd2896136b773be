package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/internal/sleep"
)

const (
	maxAnswerBytes = 16 << 20
	// retryPause is the pause before another attempt when no advice came.
	retryPause = 100 * time.Millisecond
)

// Call is a call to a plain service.
type Call struct {
	Service string
	Method  string
	Path    string // with a leading slash; may have a query
	Body    []byte
	// ContentType of the body; may be empty.
	ContentType string
	// IdempotencyKey is required for protected paths; a call with a key may be
	// sent again without running twice.
	IdempotencyKey string
	// Class of the request; empty for the account's default.
	Class string
}

// Answer is a complete answer of a target.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed: the answer of an earlier request with the same key.
	Replayed bool
}

// repeatable reports whether the call may be sent again although it may have
// run.
func (q Call) repeatable() bool {
	return q.Method == http.MethodGet || q.Method == http.MethodHead || q.IdempotencyKey != ""
}

// Call runs a call to a plain service. An *Error tells whether it ran: over all
// attempts, not only the last one.
func (c *Client) Call(ctx context.Context, q Call) (*Answer, error) {
	mayHaveRun := false
	var last *Error
	for range c.cfg.Attempts {
		answer, err := c.send(ctx, q)
		if err == nil {
			return answer, nil
		}
		last = err
		mayHaveRun = mayHaveRun || err.Execution != NotRun
		if err.permanent() || err.Execution == Ran || err.Execution == Unknown && !q.repeatable() {
			break
		}
		if !sleep.For(ctx, max(err.RetryAfter, retryPause)) {
			break
		}
	}
	if mayHaveRun && last.Execution == NotRun && !last.permanent() {
		last.Execution = Unknown
	}
	return nil, last
}

// send sends the call once.
func (c *Client) send(ctx context.Context, q Call) (*Answer, *Error) {
	address, err := c.addresses.pick(ctx)
	if err != nil {
		return nil, asError(err)
	}
	r, err := http.NewRequestWithContext(ctx, q.Method, "http://"+address+"/v1/services/"+q.Service+q.Path, q.body())
	if err != nil {
		return nil, &Error{Code: 1001, Name: "BAD_REQUEST", Message: err.Error(), Execution: NotRun}
	}
	if r.Body != nil && len(q.Body) > 0 {
		r.ContentLength = int64(len(q.Body))
	}
	c.authorize(r)
	set(r, "Content-Type", q.ContentType)
	set(r, keyHeader, q.IdempotencyKey)
	set(r, classHeader, q.Class)
	client := c.http
	if !q.repeatable() {
		client = c.fresh
	}
	resp, err := client.Do(r)
	if err != nil {
		c.addresses.failed(address)
		return nil, sendError(err)
	}
	defer resp.Body.Close()
	if e := refusal(resp); e != nil {
		return nil, e
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if err != nil || len(body) > maxAnswerBytes {
		// The answer is cut: it must not be taken for a complete one.
		c.addresses.failed(address)
		return nil, &Error{Code: CodeOutcomeUnknown, Name: "OUTCOME_UNKNOWN", Message: "the answer is not complete", Execution: Unknown}
	}
	return &Answer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
		Replayed: resp.Header.Get(replayedHeader) == "true",
	}, nil
}

// body returns the request body in a form that net/http cannot send a second
// time. Otherwise it repeats a request with an idempotency key by itself when a
// reused connection breaks, and hides that the first one may have run.
func (q Call) body() io.Reader {
	if q.Method == http.MethodGet || q.Method == http.MethodHead {
		return nil
	}
	return onceReader{bytes.NewReader(q.Body)}
}

type onceReader struct{ io.Reader }

func (c *Client) authorize(r *http.Request) { r.Header.Set("Authorization", "Bearer "+c.cfg.Key) }

func set(r *http.Request, header, value string) {
	if value != "" {
		r.Header.Set(header, value)
	}
}

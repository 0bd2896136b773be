package client

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/sleep"
)

const (
	maxResponseBytes = 16 << 20
	// retryPause is the minimum pause between two attempts.
	retryPause = 100 * time.Millisecond
)

// Call is a call to a plain service.
type Call struct {
	Service string
	Method  string
	Path    string // starts with a slash; may include a query
	Body    []byte
	// ContentType of Body; may be empty.
	ContentType string
	// IdempotencyKey is required for protected paths. A call with a key can be
	// retried without running twice.
	IdempotencyKey string
	// Class of the request; empty: the account's default class.
	Class string
}

// Answer is the complete response of a target.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Replayed is true for the stored answer to an earlier request with the same key.
	Replayed bool
}

// repeatable reports whether the call may be retried even if it may already have
// run.
func (q Call) repeatable() bool {
	return q.Method == http.MethodGet || q.Method == http.MethodHead || q.IdempotencyKey != ""
}

// Call sends a call to a plain service and retries it where that is safe. The
// Execution of a returned *Error covers all attempts, not only the last one.
func (c *Client) Call(ctx context.Context, q Call) (*Answer, error) {
	mayHaveRun := false
	var lastErr *Error
	for range c.cfg.Attempts {
		answer, err := c.sendOnce(ctx, q)
		if err == nil {
			return answer, nil
		}
		lastErr = err
		mayHaveRun = mayHaveRun || err.Execution != NotRun
		if err.permanent() || err.Execution == Ran || err.Execution == Unknown && !q.repeatable() {
			break
		}
		if !sleep.For(ctx, max(err.RetryAfter, retryPause)) {
			break
		}
	}
	if mayHaveRun && lastErr.Execution == NotRun && !lastErr.permanent() {
		lastErr.Execution = Unknown
	}
	return nil, lastErr
}

// sendOnce makes one attempt at the call.
func (c *Client) sendOnce(ctx context.Context, q Call) (*Answer, *Error) {
	address, err := c.addressCache.pickInstance(ctx)
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
	setHeader(r, "Content-Type", q.ContentType)
	setHeader(r, keyHeader, q.IdempotencyKey)
	setHeader(r, classHeader, q.Class)
	client := c.http
	if !q.repeatable() {
		client = c.httpNoReuse
	}
	resp, err := client.Do(r)
	if err != nil {
		c.addressCache.markFailed(address)
		return nil, sendError(err)
	}
	defer resp.Body.Close()
	if e := systemError(resp); e != nil {
		return nil, e
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if err != nil || len(body) > maxResponseBytes || !netconn.IsFramed(resp) {
		// A truncated response must not be returned as a complete one. Instances send none
		// that ends with its connection.
		c.addressCache.markFailed(address)
		return nil, &Error{Code: CodeOutcomeUnknown, Name: "OUTCOME_UNKNOWN", Message: "the response is incomplete or too large", Execution: Unknown}
	}
	return &Answer{
		Status: resp.StatusCode, ContentType: resp.Header.Get("Content-Type"), Body: body,
		Replayed: resp.Header.Get(replayedHeader) == "true",
	}, nil
}

// body returns the request body as a reader that net/http cannot rewind.
// Otherwise net/http itself would retry a request with an idempotency key when a
// reused connection breaks, which would hide that the first attempt may have run.
func (q Call) body() io.Reader {
	if q.Method == http.MethodGet || q.Method == http.MethodHead {
		return nil
	}
	return nonRewindableReader{bytes.NewReader(q.Body)}
}

// nonRewindableReader hides the type of its reader, so that net/http does not recognize it
// as a body that it can rewind.
type nonRewindableReader struct{ io.Reader }

func (c *Client) authorize(r *http.Request) { r.Header.Set("Authorization", "Bearer "+c.cfg.Key) }

func setHeader(r *http.Request, header, value string) {
	if value != "" {
		r.Header.Set(header, value)
	}
}

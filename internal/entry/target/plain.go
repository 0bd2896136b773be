package target

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Limits on skipping crossed responses. A crossed response belongs to another request; the
// response to this request may follow it on the same connection.
const (
	maxCrossed  = 8
	crossedWait = 500 * time.Millisecond
)

// ErrCrossed means that the response belongs to another request.
var ErrCrossed = errors.New("the target's response belongs to another request")

// ErrUnframed means that the target's response ended with its connection, so that nothing
// shows that it is complete.
var ErrUnframed = errors.New("the target's response has neither a length nor chunks")

// ErrTooLarge means that the target's response exceeds Request.MaxResponseBytes.
var ErrTooLarge = errors.New("the target's response is too large")

// Request is a call to a plain service.
type Request struct {
	Method           string
	URI              string // escaped path and query
	ContentType      string
	IdempotencyKey   string
	RequestID        string
	Body             []byte
	MaxResponseBytes int64
	// SkipCrossed makes Call skip responses to other requests and wait briefly for the
	// matching one. Only for calls that cannot be retried; for others a retry is better.
	SkipCrossed bool
	// OnResponse gets the status and header of the response to this request. May be nil.
	OnResponse ResponseFunc
}

// Response is the complete response to a call.
type Response struct {
	Status      int
	ContentType string
	Body        []byte
	Crossed     int // number of skipped responses to other requests
}

// Call sends one request on its own connection and returns the response that carries
// its request id. The request is never sent twice: it is written directly, not by an
// http.Transport, which may retry. beforeSend runs when the connection is open,
// right before the first byte is sent; if it fails, or if no connection can be opened,
// the error is a *NotSentError.
func Call(ctx context.Context, address string, q Request, beforeSend func() error) (*Response, error) {
	r, err := q.newHTTPRequest(address)
	if err != nil {
		return nil, &NotSentError{err}
	}
	c, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(pastDeadline) })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(deadline); err != nil {
			return nil, &NotSentError{err}
		}
	}
	encoded, err := encodeRequest(r)
	if err == nil {
		err = beforeSend()
	}
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		return nil, &NotSentError{err}
	}
	if _, err := c.Write(encoded); err != nil {
		return nil, fmt.Errorf("send to target: %w", err)
	}
	return q.readMatchingResponse(c, r)
}

func (q Request) newHTTPRequest(address string) (*http.Request, error) {
	var body io.Reader
	if len(q.Body) > 0 {
		body = bytes.NewReader(q.Body)
	}
	r, err := http.NewRequest(q.Method, "http://"+address+q.URI, body)
	if err != nil {
		return nil, err
	}
	r.GetBody = nil
	r.Header.Set("User-Agent", "endivetrack")
	r.Header.Set(RequestIDHeader, q.RequestID)
	if q.ContentType != "" {
		r.Header.Set("Content-Type", q.ContentType)
	}
	if q.IdempotencyKey != "" {
		r.Header.Set("Idempotency-Key", q.IdempotencyKey)
	}
	return r, nil
}

// readMatchingResponse returns the response to this request. If q.SkipCrossed is
// set, it discards late responses to other requests.
func (q Request) readMatchingResponse(c net.Conn, r *http.Request) (*Response, error) {
	limited := netconn.NewHeadLimiter(c, stream.ErrTooLong)
	buffered := bufio.NewReaderSize(limited, readBufferBytes)
	for crossed := range maxCrossed {
		limited.BeginHead(maxHeaderBytes)
		response, err := http.ReadResponse(buffered, r)
		if err != nil && crossed > 0 {
			return nil, fmt.Errorf("%w: %w", ErrCrossed, err)
		}
		if err != nil {
			return nil, fmt.Errorf("read the target's response: %w", err)
		}
		limited.EndHead()
		// A response with several IDs may belong to any of these requests.
		ids := response.Header.Values(RequestIDHeader)
		matches := len(ids) == 1 && ids[0] == q.RequestID
		if matches && response.StatusCode >= http.StatusOK {
			q.OnResponse.call(response)
		}
		body, err := io.ReadAll(io.LimitReader(response.Body, q.MaxResponseBytes+1))
		switch {
		case err != nil:
			return nil, fmt.Errorf("read the target's response: %w", err)
		case int64(len(body)) > q.MaxResponseBytes && matches:
			return nil, ErrTooLarge
		case int64(len(body)) > q.MaxResponseBytes:
			return nil, fmt.Errorf("%w: it is too large to be skipped", ErrCrossed)
		case response.StatusCode < http.StatusOK:
			continue
		case !matches && !q.SkipCrossed:
			return nil, ErrCrossed
		case !matches:
			if err := c.SetReadDeadline(time.Now().Add(crossedWait)); err != nil {
				return nil, ErrCrossed
			}
			continue
		case !netconn.IsFramed(response):
			return nil, ErrUnframed
		}
		return &Response{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Body: body, Crossed: crossed}, nil
	}
	return nil, ErrCrossed
}

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
)

// Bounds of reading on after an answer to another request: the right one may
// follow on the connection.
const (
	maxCrossed  = 8
	crossedWait = 500 * time.Millisecond
)

// ErrCrossed means that the target answered with another request's answer.
var ErrCrossed = errors.New("the target sent the answer to another request")

// ErrTooLarge means that the target's answer exceeds the bound.
var ErrTooLarge = errors.New("the target's answer is too large")

// Request is a call to a plain service.
type Request struct {
	Method         string
	URI            string // escaped path and query
	ContentType    string
	IdempotencyKey string
	RequestID      string
	Body           []byte
	MaxAnswer      int64
	// ReadOn waits a while for the right answer after one to another request.
	// Calls that can be repeated do better to be repeated.
	ReadOn bool
}

// Answer is the complete answer to a call.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	Crossed     int // answers to other requests that came first
}

// Call sends one request on a connection of its own and reads the answer that
// carries its request id. Nothing is ever sent twice: the request is written
// by hand, not by a transport that may repeat it. before runs when the
// connection is up, right before the first byte; see NotSentError.
func Call(ctx context.Context, address string, q Request, before func() error) (*Answer, error) {
	r, err := q.build(address)
	if err != nil {
		return nil, &NotSentError{err}
	}
	c, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(past) })
	defer stop()
	if deadline, ok := ctx.Deadline(); ok {
		if err := c.SetDeadline(deadline); err != nil {
			return nil, &NotSentError{err}
		}
	}
	text, err := wireForm(r)
	if err == nil {
		err = before()
	}
	if err == nil && ctx.Err() != nil {
		err = context.Cause(ctx)
	}
	if err != nil {
		return nil, &NotSentError{err}
	}
	if _, err := c.Write(text); err != nil {
		return nil, fmt.Errorf("send to target: %w", err)
	}
	return q.read(c, r)
}

func (q Request) build(address string) (*http.Request, error) {
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

// read returns the answer to this request. Late answers to other requests are
// discarded.
func (q Request) read(c net.Conn, r *http.Request) (*Answer, error) {
	limited := &headerLimit{r: c}
	buffered := bufio.NewReaderSize(limited, readBuffer)
	for crossed := range maxCrossed {
		limited.left = maxHeaderBytes
		answer, err := http.ReadResponse(buffered, r)
		if err != nil && crossed > 0 {
			return nil, fmt.Errorf("%w: %w", ErrCrossed, err)
		}
		if err != nil {
			return nil, fmt.Errorf("read the target's answer: %w", err)
		}
		limited.left = -1
		body, err := io.ReadAll(io.LimitReader(answer.Body, q.MaxAnswer+1))
		mine := answer.Header.Get(RequestIDHeader) == q.RequestID
		switch {
		case err != nil:
			return nil, fmt.Errorf("read the target's answer: %w", err)
		case int64(len(body)) > q.MaxAnswer && mine:
			return nil, ErrTooLarge
		case int64(len(body)) > q.MaxAnswer:
			return nil, fmt.Errorf("answer to another request: %w", ErrTooLarge)
		case answer.StatusCode < http.StatusOK:
			continue
		case !mine && !q.ReadOn:
			return nil, ErrCrossed
		case !mine:
			if err := c.SetReadDeadline(time.Now().Add(crossedWait)); err != nil {
				return nil, ErrCrossed
			}
			continue
		}
		return &Answer{Status: answer.StatusCode, ContentType: answer.Header.Get("Content-Type"), Body: body, Crossed: crossed}, nil
	}
	return nil, ErrCrossed
}

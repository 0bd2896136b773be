package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// maxCrossed bounds the answers to other requests that are read away in front
// of the right one.
const maxCrossed = 4

// notSentError means that no byte of the request left for the target.
type notSentError struct{ err error }

// Error describes the failure.
func (e *notSentError) Error() string { return fmt.Sprintf("not sent: %v", e.err) }

// Unwrap returns the cause.
func (e *notSentError) Unwrap() error { return e.err }

var (
	errLeaving = errors.New("the target gets no new work")
	// errForeign means that the target sent what is no answer to the request.
	errForeign = errors.New("not an answer to this request")
)

// resume tells a target where a stream goes on.
type resume struct {
	lastEvent int64
	copyFrom  string // where the run's memory is; empty: the run starts anew
}

// answer is a target's answer whose body has not been read yet.
type answer struct {
	*http.Response
	conn *targetConn
	// stop ends the watch on the request's context.
	stop func() bool
}

// refused reports whether the target says that nothing ran.
func (a *answer) refused(h *Headers) bool {
	return a.Header.Get(h.NotRun) != "" || a.StatusCode == http.StatusMisdirectedRequest
}

// send sends the request once and returns the head of its answer. Every error
// but a notSentError means that the request may have run.
func (f *Forwarder) send(ctx context.Context, l *lease, q *request, from *resume) (*answer, error) {
	conn, err := l.conn(ctx, !q.repeatable())
	if err != nil {
		return nil, &notSentError{err}
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(past) }) // fails only on a closed connection
	head := f.head(q, l.endpoint, from)
	switch {
	case !f.table.still(l.endpoint) && from == nil:
		err = errLeaving
	case ctx.Err() != nil:
		err = ctx.Err()
	}
	if err != nil {
		stop()
		l.drop(conn)
		return nil, &notSentError{err}
	}
	if _, err := conn.Write(head); err != nil {
		stop()
		l.drop(conn)
		return nil, fmt.Errorf("send: %w", err)
	}
	resp, err := f.readHead(conn, q)
	if err != nil {
		stop()
		l.drop(conn)
		return nil, fmt.Errorf("read answer: %w", err)
	}
	return &answer{Response: resp, conn: conn, stop: stop}, nil
}

// readHead reads the head of the answer to q. Answers to other requests, which
// may come late, are discarded.
func (f *Forwarder) readHead(conn *targetConn, q *request) (*http.Response, error) {
	r := &http.Request{Method: q.method}
	for range maxCrossed {
		resp, err := http.ReadResponse(conn.reader, r)
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		if resp.Header.Get(f.config.Headers.RequestID) == q.id {
			return resp, nil
		}
		f.config.Metrics.Counter("forward.crossed").Inc(1)
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return nil, err
		}
	}
	return nil, errForeign
}

// hopHeaders concern one connection only.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization", "Host",
}

// head builds the bytes of a request for an endpoint.
func (f *Forwarder) head(q *request, e *endpoint, from *resume) []byte {
	h := &f.config.Headers
	var b bytes.Buffer
	b.Grow(1<<10 + len(q.body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.method, q.uri, q.route.Host)
	skip := connectionTokens(q.header)
	for name, values := range q.header {
		if f.dropped(name) || slices.Contains(skip, name) {
			continue
		}
		if from != nil && name == h.LastEventID {
			continue
		}
		for _, v := range values {
			writeHeader(&b, name, v)
		}
	}
	left := max(0, q.left()-deadlineMargin)
	writeHeader(&b, h.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	writeHeader(&b, h.Expect, e.id)
	if q.account != nil {
		writeHeader(&b, h.Account, q.account.Name)
	}
	if q.service.Engine != nil {
		writeHeader(&b, h.Priority, strconv.Itoa(max(0, min(maxPriority, q.priority))))
	}
	if from != nil {
		if from.copyFrom != "" {
			writeHeader(&b, h.CopyFrom, from.copyFrom)
		}
		if from.lastEvent > 0 {
			writeHeader(&b, h.LastEventID, strconv.FormatInt(from.lastEvent, 10))
		}
	}
	if len(q.body) > 0 || q.method == http.MethodPost || q.method == http.MethodPut {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(q.body)))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// maxPriority is the least urgent rank that engines know.
const maxPriority = 9

func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// dropped reports whether a caller's header is not passed on.
func (f *Forwarder) dropped(name string) bool {
	h := &f.config.Headers
	return slices.Contains(hopHeaders, name) || slices.Contains(h.Reserved, name) ||
		name == h.Deadline || name == h.Key || name == h.Account || name == h.Expect || name == h.Priority || name == h.CopyFrom
}

// connectionTokens are the headers that a Connection header names.
func connectionTokens(h http.Header) []string {
	var out []string
	for _, v := range h["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			out = append(out, http.CanonicalHeaderKey(strings.TrimSpace(token)))
		}
	}
	return out
}

// copyHeaders passes an answer's headers on.
func copyHeaders(to, from http.Header) {
	skip := connectionTokens(from)
	for name, values := range from {
		if !slices.Contains(hopHeaders, name) && !slices.Contains(skip, name) {
			to[name] = values
		}
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := to[name]; !ok {
			to[name] = nil // the library must not add its own
		}
	}
}

// genuine reports whether a success carries the target's stamp and no
// encoding, and so can be the target's own answer.
func (f *Forwarder) genuine(resp *http.Response) bool {
	if resp.StatusCode >= http.StatusMultipleChoices {
		return true
	}
	return resp.Header.Get(f.config.Headers.Stamp) != "" && resp.Header.Get("Content-Encoding") == ""
}

// retryPauses tell a caller when to come back after a refusal.
const (
	pauseNoTarget   = 300 * time.Millisecond
	pauseDraining   = 100 * time.Millisecond // another instance serves
	pauseNoManifest = 500 * time.Millisecond
	pauseOverloaded = 700 * time.Millisecond
)

func retryAfter(c resultcode.Code) time.Duration {
	switch c {
	case resultcode.NoTarget:
		return pauseNoTarget
	case resultcode.Draining:
		return pauseDraining
	case resultcode.ControlUnavailable:
		return pauseNoManifest
	case resultcode.Overloaded, resultcode.RetryBudget:
		return pauseOverloaded
	}
	return 0
}

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

	"github.com/endivetrack/endivetrack/internal/netconn"
)

// maxStrayResponses bounds how many informational responses and responses to
// other requests are discarded while the response to a request is awaited.
const maxStrayResponses = 4

// Limits on what a target may send before its response is accepted, in bytes.
const (
	maxResponseHeadBytes = 64 << 10
	// maxStrayBytes bounds the body of a response to another request. A longer one
	// is not read to its end, and the connection is closed.
	maxStrayBytes = 1 << 20
)

// notSentError means that no byte of the request was sent to the target.
type notSentError struct{ err error }

// Error returns the cause with the prefix "not sent: ".
func (e *notSentError) Error() string { return fmt.Sprintf("not sent: %v", e.err) }

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *notSentError) Unwrap() error { return e.err }

var (
	errNotUsable = errors.New("the target accepts no new requests")
	// errUnrelatedResponse means that the response is not one to the request that was sent.
	errUnrelatedResponse = errors.New("not a response to this request")
	errHeadTooLong       = errors.New("the head of the response is too long")
)

// resumePoint tells a target where to continue a stream.
type resumePoint struct {
	lastEvent int64
	// source is the engine that the copy of the run's memory was made at, and handle is that
	// of the copy; both are empty if a new run is started.
	source, handle string
}

// isCopy reports whether the run is continued from a copy of its memory.
func (p *resumePoint) isCopy() bool { return p != nil && p.handle != "" }

// copyFrom returns the location of the copy; empty if a new run is started.
func (p *resumePoint) copyFrom() string {
	if !p.isCopy() {
		return ""
	}
	return p.source + "/" + p.handle
}

// targetResponse is a target's response whose header has been read, but not its
// body.
type targetResponse struct {
	*http.Response
	conn   *targetConn
	sentAt time.Time // when the request was sent
	// companion is nil if the response is framed or had ended when its head was read.
	companion *companion
	// detachContext detaches conn from the request's context; false if that context has ended.
	detachContext func() bool
}

// attachContext makes the rest of the response end with ctx instead of the attempt's
// context. It returns false if that one has ended.
func (a *targetResponse) attachContext(ctx context.Context) bool {
	if !a.detachContext() {
		return false
	}
	a.detachContext = a.conn.expireWith(ctx)
	return true
}

// statesNotRun reports whether the target states that no part of the request ran. Only an
// error status can: a success with that statement contradicts itself.
func (a *targetResponse) statesNotRun(h *Headers) bool {
	stated := a.Header.Get(h.NotRun) != "" && a.StatusCode >= http.StatusBadRequest
	return stated || a.StatusCode == http.StatusMisdirectedRequest
}

// sendRequest sends the request once and returns the response with its body
// unread. Any error other than a notSentError means that the request may have
// run.
func (f *Forwarder) sendRequest(ctx context.Context, l *lease, q *request, resume *resumePoint) (*targetResponse, error) {
	conn, err := f.connect(ctx, l, q, resume)
	if err != nil {
		return nil, &notSentError{err}
	}
	stop := conn.expireWith(ctx)
	data := f.serializeRequest(q, l.endpoint, resume)
	switch {
	case !f.table.mayBeginAt(l.endpoint, resume.isCopy(), time.Now()):
		err = errNotUsable
	case ctx.Err() != nil:
		err = ctx.Err()
	}
	if err != nil {
		stop()
		l.dropConn(conn)
		return nil, &notSentError{err}
	}
	sentAt := time.Now()
	if _, err := conn.Write(data); err != nil {
		stop()
		l.dropConn(conn)
		return nil, fmt.Errorf("send: %w", err)
	}
	resp, err := f.readResponseHead(conn, q)
	if err != nil {
		stop()
		l.dropConn(conn)
		return nil, fmt.Errorf("read answer: %w", err)
	}
	f.recordStatements(l.endpoint, "request "+q.id, resp.StatusCode, resp.Header)
	return &targetResponse{Response: resp, conn: conn, sentAt: sentAt, detachContext: stop}, nil
}

// connect returns a connection on which the request may be sent.
func (f *Forwarder) connect(ctx context.Context, l *lease, q *request, resume *resumePoint) (*targetConn, error) {
	if !f.mustConfirm(q, resume) {
		return l.conn(ctx, !q.repeatable())
	}
	conn, err := l.newConn(ctx)
	if err != nil {
		return nil, err
	}
	if err := f.confirmIncarnation(ctx, conn, q, l.endpoint); err != nil {
		l.dropConn(conn)
		return nil, err
	}
	return conn, nil
}

// readResponseHead reads the status and header of the response to q. Late
// responses to other requests are discarded.
func (f *Forwarder) readResponseHead(conn *targetConn, q *request) (*http.Response, error) {
	r := &http.Request{Method: q.method}
	for range maxStrayResponses {
		conn.head.BeginHead(maxResponseHeadBytes)
		resp, err := http.ReadResponse(conn.reader, r)
		conn.head.EndHead()
		if err != nil {
			return nil, err
		}
		if resp.StatusCode < http.StatusOK {
			continue
		}
		// A response with several IDs may belong to any of these requests.
		if ids := resp.Header.Values(f.config.Headers.RequestID); len(ids) == 1 && ids[0] == q.id {
			return resp, nil
		}
		f.config.Metrics.Counter("forward.crossed").Inc(1)
		if !netconn.IsFramed(resp) {
			return nil, errUnrelatedResponse // no answer can follow on its connection
		}
		n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		if err != nil {
			return nil, err
		}
		if n == maxStrayBytes {
			return nil, errUnrelatedResponse
		}
	}
	return nil, errUnrelatedResponse
}

// hopHeaders are the hop-by-hop headers and others that are set separately for
// each connection.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
	"Content-Length", "Expect", "Proxy-Authenticate", "Proxy-Authorization", "Host",
}

// serializeRequest returns the bytes of the request, body included, as sent to
// the endpoint.
func (f *Forwarder) serializeRequest(q *request, e *endpoint, resume *resumePoint) []byte {
	h := &f.config.Headers
	var b bytes.Buffer
	b.Grow(1<<10 + len(q.body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", q.method, q.uri, q.route.Host)
	skip := connectionHeaders(q.header)
	for name, values := range q.header {
		if f.isStripped(name) || slices.Contains(skip, name) {
			continue
		}
		if resume != nil && name == h.LastEventID {
			continue
		}
		for _, v := range values {
			writeHeader(&b, name, v)
		}
	}
	left := max(0, q.timeLeft()-deadlineMargin)
	writeHeader(&b, h.Deadline, strconv.FormatInt(left.Milliseconds(), 10))
	writeHeader(&b, h.ExpectTarget, e.id)
	if q.account != nil {
		writeHeader(&b, h.Account, q.account.Name)
	}
	if q.service.Engine != nil {
		writeHeader(&b, h.Priority, strconv.Itoa(max(0, min(maxPriority, q.priority))))
	}
	if resume != nil {
		if resume.isCopy() {
			writeHeader(&b, h.CopyFrom, resume.copyFrom())
		}
		if resume.lastEvent > 0 {
			writeHeader(&b, h.LastEventID, strconv.FormatInt(resume.lastEvent, 10))
		}
	}
	if len(q.body) > 0 || q.method == http.MethodPost || q.method == http.MethodPut {
		writeHeader(&b, "Content-Length", strconv.Itoa(len(q.body)))
	}
	b.WriteString("\r\n")
	b.Write(q.body)
	return b.Bytes()
}

// maxPriority is the least urgent priority that engines support.
const maxPriority = 9

func writeHeader(b *bytes.Buffer, name, value string) {
	b.WriteString(name)
	b.WriteString(": ")
	b.WriteString(value)
	b.WriteString("\r\n")
}

// isStripped reports whether a caller's header is not sent to targets.
func (f *Forwarder) isStripped(name string) bool {
	h := &f.config.Headers
	return slices.Contains(hopHeaders, name) || slices.Contains(h.Reserved, name) ||
		name == h.Deadline || name == h.AccountKey || name == h.Account || name == h.ExpectTarget || name == h.Priority || name == h.CopyFrom
}

// connectionHeaders returns the names of the headers that Connection headers
// list. Those headers apply to one connection only.
func connectionHeaders(h http.Header) []string {
	var out []string
	for _, v := range h["Connection"] {
		for token := range strings.SplitSeq(v, ",") {
			out = append(out, http.CanonicalHeaderKey(strings.TrimSpace(token)))
		}
	}
	return out
}

// copyHeaders copies the end-to-end headers of a target's response to the
// response that the caller gets.
func copyHeaders(to, from http.Header) {
	skip := connectionHeaders(from)
	for name, values := range from {
		if !slices.Contains(hopHeaders, name) && !slices.Contains(skip, name) {
			to[name] = values
		}
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, ok := to[name]; !ok {
			to[name] = nil // a nil value keeps net/http from adding its own header
		}
	}
}

// isGenuine reports whether a response can be the target's own: a success must
// carry the target's stamp and no content encoding.
func (f *Forwarder) isGenuine(resp *http.Response) bool {
	if resp.StatusCode >= http.StatusMultipleChoices {
		return true
	}
	return resp.Header.Get(f.config.Headers.Stamp) != "" && resp.Header.Get("Content-Encoding") == ""
}

package target

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/endivetrack/endivetrack/internal/stream"
)

// Bounds of calls to targets.
const (
	dialTimeout   = time.Second
	writeTimeout  = 3 * time.Second
	cancelTimeout = 2 * time.Second
	maxErrorBytes = 4 << 10
	readBuffer    = 4 << 10
	// maxHeaderBytes bounds the header of an answer.
	maxHeaderBytes = 32 << 10
)

// Headers between the entry and targets.
const (
	RequestIDHeader = "X-Request-Id"
	notRunHeader    = "X-Not-Run"
)

// NotSentError means that no byte left for the target: the connection did not
// come up, or the check right before the dispatch refused it.
type NotSentError struct{ Err error }

// Error describes the failure.
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to target: %v", e.Err) }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }

// Hooks are called back while a stream is open, by the goroutine that reads.
type Hooks struct {
	// Before runs after the connection came up and right before the first
	// byte is sent; its error means that nothing is sent. May be nil.
	Before func() error
	// Idle runs at each tick without input; its error ends the read.
	Idle func() error
}

// StatusError is an answer other than 200.
type StatusError struct {
	Status int
	NotRun bool // the target says that nothing ran
	Body   string
}

// Error describes the answer.
func (e *StatusError) Error() string { return fmt.Sprintf("target answered %d: %s", e.Status, e.Body) }

// Engine opens token streams. The zero Tick is not usable.
type Engine struct {
	// Tick is the interval at which reads run idle.
	Tick time.Duration
}

// Stream is an open token stream.
type Stream struct {
	*stream.Reader
	conn *conn
}

// Bind makes reads obey ctx from now on.
func (s *Stream) Bind(ctx context.Context) { s.conn.bind(ctx) }

// Close drops the connection.
func (s *Stream) Close() { _ = s.conn.Close() }

// Start starts a generation.
func (e Engine) Start(ctx context.Context, address, id string, body []byte, hooks Hooks) (*Stream, error) {
	r, err := newRequest(http.MethodPost, address, "/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(RequestIDHeader, id)
	return e.open(ctx, address, r, hooks)
}

// Resume opens the stream of a generation from a token offset.
func (e Engine) Resume(ctx context.Context, address, id string, offset int, hooks Hooks) (*Stream, error) {
	path := "/v1/generations/" + url.PathEscape(id) + "?offset=" + strconv.Itoa(offset)
	r, err := newRequest(http.MethodGet, address, path, nil)
	if err != nil {
		return nil, err
	}
	return e.open(ctx, address, r, hooks)
}

// Cancel cancels a generation.
func (e Engine) Cancel(ctx context.Context, address, id string) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), cancelTimeout)
	defer cancel()
	r, err := newRequest(http.MethodDelete, address, "/v1/generations/"+url.PathEscape(id), nil)
	if err != nil {
		return err
	}
	c, err := dial(ctx, address)
	if err != nil {
		return err
	}
	defer c.Close()
	deadline, _ := ctx.Deadline()
	if err := c.SetDeadline(deadline); err != nil {
		return err
	}
	if err := r.Write(c); err != nil {
		return err
	}
	answer, err := readResponse(c, r)
	if err != nil {
		return err
	}
	_ = answer.Body.Close()
	if answer.StatusCode/100 != 2 {
		return &StatusError{Status: answer.StatusCode}
	}
	return nil
}

func newRequest(method, address, path string, body []byte) (*http.Request, error) {
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	r, err := http.NewRequest(method, "http://"+address+path, reader)
	if err != nil {
		return nil, err
	}
	r.Close = true
	r.Header.Set("User-Agent", "endivetrack")
	return r, nil
}

func dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, &NotSentError{err}
	}
	return c, nil
}

// open sends a request on a new connection and reads the answer's header.
func (e Engine) open(ctx context.Context, address string, r *http.Request, hooks Hooks) (*Stream, error) {
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	text, err := wireForm(r)
	if err == nil {
		err = raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if err == nil && hooks.Before != nil {
		err = hooks.Before()
	}
	if err != nil {
		_ = raw.Close()
		return nil, &NotSentError{err}
	}
	_, err = raw.Write(text)
	c := newConn(ctx, raw, e.Tick, hooks.Idle)
	var answer *http.Response
	if err == nil {
		answer, err = readResponse(c, r)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	if answer.StatusCode != http.StatusOK {
		defer c.Close()
		text, _ := io.ReadAll(io.LimitReader(answer.Body, maxErrorBytes)) // as much of the message as arrives
		return nil, &StatusError{
			Status: answer.StatusCode, Body: string(text),
			NotRun: answer.StatusCode == http.StatusServiceUnavailable && answer.Header.Get(notRunHeader) == "true",
		}
	}
	return &Stream{Reader: stream.NewReader(answer.Body), conn: c}, nil
}

// wireForm returns the bytes of a request, so that nothing but one write stands
// between the last check of the lease and the first byte sent: a process frozen
// in between would send on settings that have changed meanwhile.
func wireForm(r *http.Request) ([]byte, error) {
	var text bytes.Buffer
	err := r.Write(&text)
	return text.Bytes(), err
}

// readResponse reads the header of the final answer, in bounded memory.
func readResponse(c net.Conn, r *http.Request) (*http.Response, error) {
	limited := &headerLimit{r: c, left: maxHeaderBytes}
	buffered := bufio.NewReaderSize(limited, readBuffer)
	for {
		answer, err := http.ReadResponse(buffered, r)
		if err != nil {
			return nil, err
		}
		if answer.StatusCode >= http.StatusOK {
			limited.left = -1
			return answer, nil
		}
	}
}

// headerLimit fails reads beyond left bytes; a negative left means no limit.
type headerLimit struct {
	r    io.Reader
	left int
}

// Read reads from the connection within the limit.
func (l *headerLimit) Read(p []byte) (int, error) {
	if l.left < 0 {
		return l.r.Read(p)
	}
	if l.left == 0 {
		return 0, stream.ErrTooLong
	}
	n, err := l.r.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

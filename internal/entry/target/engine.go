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

	"github.com/endivetrack/endivetrack/internal/netconn"
	"github.com/endivetrack/endivetrack/internal/stream"
)

// Timeouts and size limits of calls to targets.
const (
	dialTimeout     = time.Second
	writeTimeout    = 3 * time.Second
	cancelTimeout   = 2 * time.Second
	maxErrorBytes   = 4 << 10
	readBufferBytes = 4 << 10
	// maxHeaderBytes limits the size of a response header.
	maxHeaderBytes = 32 << 10
)

// Headers of requests to and responses from targets.
const (
	RequestIDHeader = "X-Request-Id"
	notRunHeader    = "X-Not-Run"
	// StartBeforeHeader holds the time, in microseconds of Unix time, after which a
	// target refuses to start a generation.
	StartBeforeHeader = "X-Start-Before"
)

// startWindow is how long after its last check a generation may start. If this process
// is frozen between the check and the first byte sent, only the target can notice.
const startWindow = time.Second

// NotSentError means that no byte was sent to the target: the connection could not be
// opened, or the check right before the dispatch failed.
type NotSentError struct{ Err error }

// Error returns the message of the cause, prefixed with "not sent to target".
func (e *NotSentError) Error() string { return fmt.Sprintf("not sent to target: %v", e.Err) }

// Unwrap returns Err.
func (e *NotSentError) Unwrap() error { return e.Err }

// ResponseFunc gets what a target says in the status and header of a response.
type ResponseFunc func(status int, header http.Header)

// Hooks are callbacks that run in the goroutine that opens and reads a stream.
type Hooks struct {
	// BeforeSend runs when the connection is open, right before the first byte is
	// sent. If it returns an error, nothing is sent. May be nil.
	BeforeSend func() error
	// OnResponse gets the status and header of a response, before its body. May be nil.
	OnResponse ResponseFunc
	// OnIdle runs after each Engine.TickInterval without input; if it fails, so does the read.
	OnIdle func() error
}

// StatusError reports a response with an unexpected status code.
type StatusError struct {
	Status int
	NotRun bool // the target reported that nothing ran
	Body   string
}

// Error returns a message with the status code. It has no bytes of the body, since it can
// reach a caller whose stream has begun.
func (e *StatusError) Error() string { return fmt.Sprintf("target responded with %d", e.Status) }

func (f ResponseFunc) call(r *http.Response) {
	if f != nil {
		f(r.StatusCode, r.Header)
	}
}

// Engine opens token streams and cancels generations. TickInterval must be set.
type Engine struct {
	// TickInterval is the interval at which blocked reads call Hooks.OnIdle.
	TickInterval time.Duration
}

// Stream is an open token stream. The caller must close it.
type Stream struct {
	*stream.Reader
	conn *conn
}

// BindContext replaces the context whose end makes reads fail.
func (s *Stream) BindContext(ctx context.Context) { s.conn.bindContext(ctx) }

// Close closes the connection. It does not cancel the generation.
func (s *Stream) Close() { _ = s.conn.Close() }

// Start dispatches a generation and opens its stream. The error is a *NotSentError if no
// connection could be opened or hooks.BeforeSend failed, and a *StatusError if the target
// did not respond with 200.
func (e Engine) Start(ctx context.Context, address, id string, body []byte, hooks Hooks) (*Stream, error) {
	r, err := newRequest(http.MethodPost, address, "/v1/chat/completions", body)
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set(RequestIDHeader, id)
	return e.openStream(ctx, address, r, hooks, func() {
		r.Header.Set(StartBeforeHeader, strconv.FormatInt(time.Now().Add(startWindow).UnixMicro(), 10))
	})
}

// Resume opens the stream of an existing generation at a token offset. Errors are as
// for Start.
func (e Engine) Resume(ctx context.Context, address, id string, offset int, hooks Hooks) (*Stream, error) {
	path := "/v1/generations/" + url.PathEscape(id) + "?offset=" + strconv.Itoa(offset)
	r, err := newRequest(http.MethodGet, address, path, nil)
	if err != nil {
		return nil, err
	}
	return e.openStream(ctx, address, r, hooks, func() {})
}

// Cancel cancels a generation within cancelTimeout, even if ctx has ended. onResponse may be
// nil.
func (e Engine) Cancel(ctx context.Context, address, id string, onResponse ResponseFunc) error {
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
	response, err := readResponse(c, r)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	onResponse.call(response)
	if response.StatusCode/100 != 2 {
		return &StatusError{Status: response.StatusCode}
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

// openStream sends a request on a new connection and reads the response header. prepare
// is called once the connection is open, before the request is serialized.
func (e Engine) openStream(ctx context.Context, address string, r *http.Request, hooks Hooks, prepare func()) (*Stream, error) {
	raw, err := dial(ctx, address)
	if err != nil {
		return nil, err
	}
	prepare()
	data, err := encodeRequest(r)
	if err == nil {
		err = raw.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
	if err == nil && hooks.BeforeSend != nil {
		err = hooks.BeforeSend()
	}
	if err != nil {
		_ = raw.Close()
		return nil, &NotSentError{err}
	}
	_, err = raw.Write(data)
	c := newConn(ctx, raw, e.TickInterval, hooks.OnIdle)
	var response *http.Response
	if err == nil {
		response, err = readResponse(c, r)
	}
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	hooks.OnResponse.call(response)
	if response.StatusCode != http.StatusOK {
		defer c.Close()
		data, _ := io.ReadAll(io.LimitReader(response.Body, maxErrorBytes)) // ignore an error: a partial message is better than none
		return nil, &StatusError{
			Status: response.StatusCode, Body: string(data),
			NotRun: response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(notRunHeader) == "true",
		}
	}
	return &Stream{Reader: stream.NewReader(response.Body), conn: c}, nil
}

// encodeRequest serializes a request, so that only one write separates the last check
// of the lease from the first byte sent. A process that is frozen in between would
// send a request under settings that may have changed.
func encodeRequest(r *http.Request) ([]byte, error) {
	var encoded bytes.Buffer
	err := r.Write(&encoded)
	return encoded.Bytes(), err
}

// readResponse reads the header of the final response in bounded memory and skips
// informational (1xx) responses.
func readResponse(c net.Conn, r *http.Request) (*http.Response, error) {
	limited := netconn.NewHeadLimiter(c, stream.ErrTooLong)
	limited.BeginHead(maxHeaderBytes)
	buffered := bufio.NewReaderSize(limited, readBufferBytes)
	for {
		response, err := http.ReadResponse(buffered, r)
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			limited.EndHead()
			return response, nil
		}
	}
}

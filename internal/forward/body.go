package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// bufferStep is the buffer space in bytes that is reserved at a time for a body of
// unknown length.
const bufferStep = 64 << 10

// errBufferFull means that the buffer for request bodies has no room left.
var errBufferFull = errors.New("the buffer for request bodies is full")

// readBody reads the whole body into q, so that it can be sent to a target in
// one write and, where allowed, sent again. The caller must call release when the
// request ends, also after an error.
func (f *Forwarder) readBody(w http.ResponseWriter, q *request, r *http.Request, limit int64) (release func(), err error) {
	release = func() {}
	if r.ContentLength > limit {
		return release, resultcode.Newf(resultcode.BodyTooLarge, "a body of %d bytes exceeds %d", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return release, nil
	}
	reserved := max(0, r.ContentLength)
	if !f.reserveBuffer(reserved) {
		return release, resultcode.Newf(resultcode.Overloaded, "%v", errBufferFull)
	}
	release = func() { f.releaseBuffer(reserved) }
	// A slow body must not hold the connection beyond the caller's deadline.
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(q.deadline); err != nil {
		return release, resultcode.Newf(resultcode.Internal, "read body: %v", err)
	}
	var body []byte
	if r.ContentLength > 0 {
		body, err = io.ReadAll(r.Body)
	} else {
		body, err = f.readUnknownLength(r.Body, limit, &reserved)
	}
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, errBufferFull):
		return release, resultcode.Newf(resultcode.Overloaded, "%v", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return release, resultcode.Newf(resultcode.DeadlineExceeded, "the body did not arrive in time")
	case err != nil:
		if errors.Is(err, io.ErrUnexpectedEOF) || r.Context().Err() != nil {
			panic(http.ErrAbortHandler) // the caller closed the connection before the body was complete
		}
		return release, resultcode.Newf(resultcode.BadRequest, "read body: %v", err)
	case int64(len(body)) > limit:
		return release, resultcode.Newf(resultcode.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	q.body = body
	return release, nil
}

// readUnknownLength reads a body of which at most limit+1 bytes are needed, and reserves
// buffer space as it grows. It adds the space to reserved.
func (f *Forwarder) readUnknownLength(r io.Reader, limit int64, reserved *int64) ([]byte, error) {
	var body bytes.Buffer
	for left := limit + 1; left > 0; {
		step := min(left, bufferStep)
		if !f.reserveBuffer(step) {
			return nil, errBufferFull
		}
		*reserved += step
		n, err := io.CopyN(&body, r, step)
		left -= n
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
	}
	return body.Bytes(), nil
}

// headerLineOverhead is the length of a header line without its name and value.
const headerLineOverhead = len(": \r\n")

// headerBytes returns the size of a request's header lines, Host included.
func headerBytes(r *http.Request) int {
	n := len("Host") + len(r.Host) + headerLineOverhead
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + headerLineOverhead
		}
	}
	return n
}

func (f *Forwarder) reserveBuffer(n int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.bufferedBytes > 0 && f.bufferedBytes+n > f.config.BufferBytes {
		return false
	}
	f.bufferedBytes += n
	return true
}

func (f *Forwarder) releaseBuffer(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bufferedBytes -= n
}

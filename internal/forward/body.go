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
// one write and, where allowed, sent again. It takes the room from space.
func (f *Forwarder) readBody(w http.ResponseWriter, q *request, r *http.Request, limit int64, space *bufferSpace) error {
	if r.ContentLength > limit {
		return resultcode.Newf(resultcode.BodyTooLarge, "a body of %d bytes exceeds %d", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return nil
	}
	if !space.reserve(max(0, r.ContentLength)) {
		return resultcode.Newf(resultcode.Overloaded, "%v", errBufferFull)
	}
	// A slow body must not hold the connection beyond the caller's deadline.
	controller := http.NewResponseController(w)
	if err := controller.SetReadDeadline(q.deadline); err != nil {
		return resultcode.Newf(resultcode.Internal, "read body: %v", err)
	}
	var body []byte
	var err error
	if r.ContentLength > 0 {
		body, err = io.ReadAll(r.Body)
	} else {
		body, err = readUnknownLength(r.Body, limit, space)
	}
	if err == nil {
		err = controller.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, errBufferFull):
		return resultcode.Newf(resultcode.Overloaded, "%v", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		return resultcode.Newf(resultcode.DeadlineExceeded, "the body did not arrive in time")
	case err != nil:
		if errors.Is(err, io.ErrUnexpectedEOF) || r.Context().Err() != nil {
			panic(http.ErrAbortHandler) // the caller closed the connection before the body was complete
		}
		return resultcode.Newf(resultcode.BadRequest, "read body: %v", err)
	case int64(len(body)) > limit:
		return resultcode.Newf(resultcode.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	q.body = body
	return nil
}

// readUnknownLength reads a body of which at most limit+1 bytes are needed, and reserves
// space as it grows.
func readUnknownLength(r io.Reader, limit int64, space *bufferSpace) ([]byte, error) {
	var body bytes.Buffer
	for left := limit + 1; left > 0; {
		step := min(left, bufferStep)
		if !space.reserve(step) {
			return nil, errBufferFull
		}
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

// bufferSpace is the part of the buffer for bodies that one request has reserved. Whoever
// creates it must defer release at once: reading a body may panic.
type bufferSpace struct {
	f        *Forwarder
	reserved int64 // bytes
}

// reserve reports whether there was room for n more bytes. The only body in the buffer may
// have any size that the limits on bodies allow.
func (s *bufferSpace) reserve(n int64) bool {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	if s.f.bufferedBytes > 0 && s.f.bufferedBytes+n > s.f.config.BufferBytes {
		return false
	}
	s.f.bufferedBytes += n
	s.reserved += n
	return true
}

// bufferedBytesNow returns how many bytes of the buffer are reserved.
func (f *Forwarder) bufferedBytesNow() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.bufferedBytes
}

// release gives back all that was reserved.
func (s *bufferSpace) release() {
	s.f.mu.Lock()
	defer s.f.mu.Unlock()
	s.f.bufferedBytes -= s.reserved
	s.reserved = 0
}

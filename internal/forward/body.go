package forward

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// chunkedEstimate is the buffer space taken for a body of unknown length.
const chunkedEstimate = 64 << 10

// readBody reads the whole body, so that it can be sent to a target in one
// piece and, where allowed, once more.
func (f *Forwarder) readBody(w http.ResponseWriter, q *request, r *http.Request, limit int64) (release func(), err error) {
	release = func() {}
	if r.ContentLength > limit {
		return release, resultcode.Newf(resultcode.BodyTooLarge, "a body of %d bytes exceeds %d", r.ContentLength, limit)
	}
	if r.ContentLength == 0 {
		return release, nil
	}
	held := r.ContentLength
	if held < 0 {
		held = min(limit, chunkedEstimate)
	}
	if !f.takeBuffer(held) {
		return release, resultcode.Newf(resultcode.Overloaded, "the buffer for bodies is full")
	}
	release = func() { f.giveBuffer(held) }
	// A body that crawls must not outlast what its caller waits for.
	connection := http.NewResponseController(w)
	if err := connection.SetReadDeadline(q.deadline); err != nil {
		return release, resultcode.Newf(resultcode.Internal, "read body: %v", err)
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err == nil {
		err = connection.SetReadDeadline(time.Time{})
	}
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return release, resultcode.Newf(resultcode.DeadlineExceeded, "the body did not arrive in time")
	case err != nil:
		if errors.Is(err, io.ErrUnexpectedEOF) || r.Context().Err() != nil {
			panic(http.ErrAbortHandler) // the caller broke off its request
		}
		return release, resultcode.Newf(resultcode.BadRequest, "read body: %v", err)
	case int64(len(body)) > limit:
		return release, resultcode.Newf(resultcode.BodyTooLarge, "the body exceeds %d bytes", limit)
	}
	q.body = body
	return release, nil
}

// lineBytes is what a header line has beside its name and value.
const lineBytes = len(": \r\n")

// headerBytes is the size of a request's header lines.
func headerBytes(r *http.Request) int {
	n := len("Host") + len(r.Host) + lineBytes
	for name, values := range r.Header {
		for _, v := range values {
			n += len(name) + len(v) + lineBytes
		}
	}
	return n
}

func (f *Forwarder) takeBuffer(n int64) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.buffer > 0 && f.buffer+n > f.config.BufferBytes {
		return false
	}
	f.buffer += n
	return true
}

func (f *Forwarder) giveBuffer(n int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.buffer -= n
}

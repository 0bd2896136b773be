package netconn

import "io"

// HeadLimiter is a reader that bounds the bytes of a response's head. A target in
// trouble may send bytes that are no response until the connection is closed, and the
// parser of net/http keeps all of a head in memory.
type HeadLimiter struct {
	r         io.Reader
	err       error
	remaining int // bytes that may still be read; negative means no limit
}

// NewHeadLimiter returns a HeadLimiter without a limit. Reads beyond a limit fail with
// err.
func NewHeadLimiter(r io.Reader, err error) *HeadLimiter {
	return &HeadLimiter{r: r, err: err, remaining: -1}
}

// BeginHead limits the bytes that are read until EndHead. It must be called before a
// head is read.
func (l *HeadLimiter) BeginHead(limit int) { l.remaining = limit }

// EndHead removes the limit. It must be called before a body is read.
func (l *HeadLimiter) EndHead() { l.remaining = -1 }

// Read reads from the underlying reader within the limit.
func (l *HeadLimiter) Read(p []byte) (int, error) {
	if l.remaining < 0 {
		return l.r.Read(p)
	}
	if l.remaining == 0 {
		return 0, l.err
	}
	n, err := l.r.Read(p[:min(len(p), l.remaining)])
	l.remaining -= n
	return n, err
}

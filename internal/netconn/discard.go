package netconn

import (
	"io"
	"net/http"
	"time"
)

const (
	// maxDiscarded and discardTimeout bound what DiscardBody reads.
	maxDiscarded   = 16 << 20
	discardTimeout = 2 * time.Second
)

// DiscardBody reads what the sender of a refused request has left to send, so that it gets the
// response: if a connection is closed with unread data, the kernel resets it, and many senders
// that are still writing then never read. net/http waits half a second at most. A sender that
// expects to be told to go on is not: it has sent nothing.
func DiscardBody(w http.ResponseWriter, r *http.Request) {
	if r.Body == nil || r.Header.Get("Expect") != "" {
		return
	}
	controller := http.NewResponseController(w)
	if controller.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		return // not a connection
	}
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscarded) // whatever ends it, the response follows
	_ = controller.SetReadDeadline(time.Time{})       // fails only on a closed connection
}

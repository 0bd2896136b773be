package soak

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/platform/platformtest"
)

// misbehavior decides which answers of targets break the protocol. Both methods return nil
// for an answer that keeps to it.
type misbehavior interface {
	answer(t *target, r *http.Request) *oddAnswer
	copyAnswer(t *target, call copyCall) *oddCopyAnswer
}

// framing is how the end of an answer's body is found.
type framing int

const (
	chunked    framing = iota
	unframed           // the body ends with the connection
	withLength         // only for answers with a text
)

// ending is what a target does after the last byte of an answer.
type ending int

const (
	finished ending = iota // ends the body as its framing says and closes the connection
	closed                 // closes the connection without the end that the framing has
	reset                  // resets the connection
	kept                   // ends the body and serves the next request on the connection
	died                   // the process ends, and its host closes the connections properly
)

// repetition is when a target writes an answer once more.
type repetition int

const (
	never    repetition = iota
	atOnce              // right behind the first time
	withNext            // in front of the answer to the next request on the connection
)

// allEvents as the number of events means those up to the last one.
const allEvents = -1

// oddAnswer is an answer that breaks the protocol, or that ends early. Its body is a text,
// and if there is none and the status is 200, the events or the text that are due.
type oddAnswer struct {
	status      int // 200 if zero
	unstamped   bool
	unnamed     bool // without the ID of the request
	notRun      bool // says that the request did not run
	contentType string
	framing     framing
	text        string
	// fromStart makes the events begin with the first one, whatever the request names, and
	// skip leaves out as many.
	fromStart bool
	skip      int
	events    int // how many; allEvents for the rest
	// withoutIDs leaves out the IDs of events. twoIDs adds a second one to each.
	withoutIDs, twoIDs bool
	tail               string // bytes of the body after the events or the text
	missing            int    // bytes of the body that are announced and do not come
	ending             ending
	extra              string // bytes after the end of the answer
	repeat             repetition
	repeatUnnamed      bool // without the ID of the request the second time
}

// oddCopyAnswer is an answer to a copy request that breaks the protocol, or says that the
// copy failed. The first copies of a run succeed unless the answer repeats.
type oddCopyAnswer struct {
	status     int
	withHandle bool
	silent     bool // there is no answer
	// repeats keeps the connection. In front of the answer to a last copy there, the answer to
	// a copy of another run is written once more.
	repeats bool
}

func (t *target) oddAnswer(r *http.Request) *oddAnswer {
	if t.misbehavior == nil {
		return nil
	}
	return t.misbehavior.answer(t, r)
}

func (t *target) oddCopy(call copyCall) *oddCopyAnswer {
	if t.misbehavior == nil {
		return nil
	}
	return t.misbehavior.copyAnswer(t, call)
}

// rawConn is a connection taken over from net/http.
type rawConn struct {
	net.Conn
	*bufio.ReadWriter
	framing framing
}

// takeOver takes a connection over from net/http. It panics if that is not possible, which
// it is with HTTP/1.1.
func takeOver(w http.ResponseWriter, f framing) *rawConn {
	conn, both, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	return &rawConn{Conn: conn, ReadWriter: both, framing: f}
}

// send writes a text at once. An error may be ignored: the peer has left, and further texts
// fail too.
func (c *rawConn) send(text string) error {
	if _, err := c.WriteString(text); err != nil {
		return err
	}
	return c.Flush()
}

// sendPart writes a part of the body at once.
func (c *rawConn) sendPart(text string) error {
	if c.framing == chunked && text != "" {
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
	}
	return c.send(text)
}

// sendEnd writes the end that the framing has.
func (c *rawConn) sendEnd() {
	if c.framing == chunked {
		_ = c.send("0\r\n\r\n")
	}
}

// writeOdd writes an answer that breaks the protocol. The leg is nil if the answer says that
// the request did not run. plainText is the right answer of a plain service.
func (t *target) writeOdd(w http.ResponseWriter, r *http.Request, a *oddAnswer, l *leg, plainText string) {
	c := takeOver(w, a.framing)
	defer c.Close()
	id, text := r.Header.Get(platformtest.RequestIDHeader), a.text
	if text == "" && a.status == 0 && t.self.Service != modelService {
		text = plainText
	}
	t.executionLog.addStatus(id, t.self.ID, a.statusCode())
	_ = c.send(a.head(t.self.ID, id, len(text)))
	if l != nil && text == "" && a.status == 0 && t.self.Service == modelService {
		t.emitOddEvents(r, a, l, c)
	}
	_ = c.sendPart(text + a.tail)
	again := *a
	again.unnamed = again.unnamed || a.repeatUnnamed
	repeated := again.head(t.self.ID, id, len(text)) + text
	switch a.ending {
	case finished:
		c.sendEnd()
	case reset:
		if r, ok := c.Conn.(interface{ Reset() error }); ok {
			_ = r.Reset()
		}
	case died:
		t.crash()
	case kept:
		c.sendEnd()
		_ = c.send(a.extra)
		if a.repeat == atOnce {
			_ = c.send(repeated)
		}
		if a.repeat != withNext {
			repeated = ""
		}
		t.serveNext(r, c, repeated)
	}
}

func (a *oddAnswer) statusCode() int {
	if a.status == 0 {
		return http.StatusOK
	}
	return a.status
}

// head returns the status line and the headers.
func (a *oddAnswer) head(stamp, id string, textBytes int) string {
	content := a.contentType
	if content == "" {
		content = eventStream
	}
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nContent-Type: %s\r\n", a.statusCode(), http.StatusText(a.statusCode()), content)
	for _, h := range []struct {
		write       bool
		name, value string
	}{
		{!a.unnamed, platformtest.RequestIDHeader, id}, {!a.unstamped, platformtest.StampHeader, stamp},
		{a.notRun, platformtest.NotRunHeader, "1"}, {a.framing == chunked, "Transfer-Encoding", "chunked"},
		{a.framing == withLength, "Content-Length", fmt.Sprint(textBytes + a.missing)}, {a.ending != kept, "Connection", "close"},
	} {
		if h.write {
			fmt.Fprintf(&b, "%s: %s\r\n", h.name, h.value)
		}
	}
	b.WriteString("\r\n")
	return b.String()
}

// serveNext serves the next request on a connection of a plain service, and then closes the
// connection. The text before is written in front of the answer.
func (t *target) serveNext(r *http.Request, c *rawConn, before string) {
	next, err := http.ReadRequest(c.Reader)
	if err != nil {
		return
	}
	next = next.WithContext(r.Context())
	body, err := io.ReadAll(next.Body)
	if err != nil || next.Header.Get(platformtest.ExpectTargetHeader) != t.self.ID {
		return
	}
	id := next.Header.Get(platformtest.RequestIDHeader)
	t.addExecution(next, id)
	_ = c.send(before)
	time.Sleep(writeDuration)
	text := expectedResponse(id, body)
	_ = c.send((&oddAnswer{framing: withLength}).head(t.self.ID, id, len(text)) + text)
}

// emitOddEvents writes the events of an answer, until the run is stopped.
func (t *target) emitOddEvents(r *http.Request, a *oddAnswer, l *leg, c *rawConn) {
	if a.fromStart {
		l.sent, l.run.first = 0, 1
	}
	l.sent += a.skip
	last := streamEvents
	if a.events != allEvents {
		last = min(last, l.sent+a.events)
	}
	t.emitEvents(r.Context(), l, last, func(event string) error {
		id, data, _ := strings.Cut(event, "\n")
		switch {
		case a.withoutIDs:
			event = data
		case a.twoIDs:
			event = id + "\nid: 1\n" + data
		}
		return c.sendPart(event)
	})
}

// writeOddCopy writes an answer to a copy request. text is the right answer.
func (t *target) writeOddCopy(w http.ResponseWriter, r *http.Request, call copyCall, a *oddCopyAnswer, text string) {
	switch {
	case a.silent:
		sleep(r.Context(), 2*requestTimeout)
		panic(http.ErrAbortHandler)
	case a.repeats:
		t.serveCopyConn(takeOver(w, withLength), call, text)
	case a.withHandle:
		w.WriteHeader(a.status)
		_, _ = io.WriteString(w, text) // the caller may have left
	default:
		w.WriteHeader(a.status)
	}
}

// serveCopyConn writes the answer to a copy request and serves the further ones on the
// connection.
func (t *target) serveCopyConn(c *rawConn, call copyCall, text string) {
	defer c.Close()
	first, firstID := text, call.ID
	for {
		if call.Last && call.ID != firstID {
			text = copyAnswerHead(first) + first + copyAnswerHead(text) + text
		} else {
			text = copyAnswerHead(text) + text
		}
		if c.send(text) != nil {
			return
		}
		next, err := http.ReadRequest(c.Reader)
		if err != nil || next.URL.Path != platformtest.CopyPath || json.NewDecoder(next.Body).Decode(&call) != nil {
			return
		}
		if text = t.copyRun(call, call.To); text == "" {
			return
		}
	}
}

func copyAnswerHead(text string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", len(text))
}

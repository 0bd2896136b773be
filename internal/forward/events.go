package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/endivetrack/endivetrack/internal/stream"
)

// maxEventBytes is the largest event that is accepted from a target.
const maxEventBytes = stream.MaxLineBytes

// errNotAnEvent means that a stream has text which is no server-sent event.
var errNotAnEvent = errors.New("not a server-sent event")

// streamEvent is one block of a stream: lines up to an empty line.
type streamEvent struct {
	raw     []byte
	hasData bool
	hasID   bool
	id      []byte
	// number is the ID if numbered is set: it is a decimal number without sign and leading zeros.
	number   int64
	numbered bool
}

// isComment reports whether a caller's parser makes no event of the block.
func (e *streamEvent) isComment() bool { return !e.hasData && !e.hasID }

// parseEvent parses a block. It fails for a block that a caller could read in another way,
// and for one without data and ID that has more than comments and settings.
func parseEvent(raw []byte) (streamEvent, error) {
	e := streamEvent{raw: raw}
	unknown := false
	for line := range bytes.Lines(raw) {
		line = bytes.TrimSuffix(bytes.TrimSuffix(line, []byte("\n")), []byte("\r"))
		if bytes.ContainsRune(line, '\r') {
			return streamEvent{}, errNotAnEvent // callers take a carriage return for the end of a line
		}
		name, value, _ := bytes.Cut(line, []byte(":"))
		switch {
		case len(line) == 0 || line[0] == ':':
		case string(name) == "data":
			e.hasData = true
		case string(name) == "id" && e.hasID:
			return streamEvent{}, errNotAnEvent
		case string(name) == "id":
			e.hasID, e.id = true, bytes.TrimSpace(value)
			e.number, e.numbered = parseEventID(e.id)
		case string(name) != "event" && string(name) != "retry":
			unknown = true
		}
	}
	if unknown && e.isComment() {
		return streamEvent{}, errNotAnEvent
	}
	return e, nil
}

// parseEventID parses an ID that is a decimal number in its only form.
func parseEventID(id []byte) (int64, bool) {
	number, err := strconv.ParseInt(string(id), 10, 64)
	if err != nil || number < 0 || strconv.FormatInt(number, 10) != string(id) {
		return 0, false
	}
	return number, true
}

// eventReader splits a stream into complete server-sent events without changing
// their bytes.
type eventReader struct {
	r   *bufio.Reader
	raw []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, connReadBufferBytes)}
}

// next returns the next complete event, whose bytes are valid until the next call. io.EOF
// means that the stream ended between two events; io.ErrUnexpectedEOF, within an event.
func (e *eventReader) next() (streamEvent, error) {
	e.raw = e.raw[:0]
	for {
		line, err := e.r.ReadSlice('\n')
		e.raw = append(e.raw, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.raw) <= maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(e.raw) > 0 && len(bytes.Trim(e.raw, "\r\n")) == 0:
			return streamEvent{raw: e.raw}, nil // empty lines after the last event
		case errors.Is(err, io.EOF) && len(e.raw) > 0:
			return streamEvent{}, io.ErrUnexpectedEOF
		case err != nil:
			return streamEvent{}, err
		case len(e.raw) > maxEventBytes:
			return streamEvent{}, stream.ErrTooLong
		}
		if eventEnds(e.raw) {
			return parseEvent(e.raw)
		}
	}
}

// hasBufferedEvent reports whether another complete event has already arrived.
func (e *eventReader) hasBufferedEvent() bool {
	waiting, err := e.r.Peek(e.r.Buffered())
	return err == nil && bytes.Contains(waiting, eventSeparator)
}

var eventSeparator = []byte("\n\n")

// eventEnds reports whether the bytes end with an empty line.
func eventEnds(b []byte) bool {
	return bytes.HasSuffix(b, eventSeparator) || bytes.HasSuffix(b, []byte("\n\r\n"))
}

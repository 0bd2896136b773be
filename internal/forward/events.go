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

// eventReader splits a stream into complete server-sent events without changing
// their bytes.
type eventReader struct {
	r     *bufio.Reader
	event []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(r, connReadBufferBytes)}
}

// next returns the bytes and the ID of the next complete event; the ID is 0 if
// the event has none. The bytes are valid until the next call. io.EOF means that
// the stream ended between two events; io.ErrUnexpectedEOF, within an event.
func (e *eventReader) next() (raw []byte, id int64, err error) {
	e.event = e.event[:0]
	for {
		line, err := e.r.ReadSlice('\n')
		e.event = append(e.event, line...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && len(e.event) <= maxEventBytes:
			continue
		case errors.Is(err, io.EOF) && len(e.event) > 0:
			return nil, 0, io.ErrUnexpectedEOF
		case err != nil:
			return nil, 0, err
		case len(e.event) > maxEventBytes:
			return nil, 0, stream.ErrTooLong
		}
		if eventEnds(e.event) {
			return e.event, eventID(e.event), nil
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

// eventID returns the first valid numeric ID in an event, or 0.
func eventID(event []byte) int64 {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err == nil {
			return id
		}
	}
	return 0
}

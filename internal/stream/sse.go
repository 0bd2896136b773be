// Package stream reads and writes token streams in server-sent event format.
// Its Sequencer merges the events received on successive unreliable connections
// into one stream that contains each token of a generation exactly once and in
// order.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxLineBytes is the maximum length of a line and of the data of one event.
const MaxLineBytes = 64 << 10

const readBufferBytes = 4 << 10

// Errors that Reader.Read returns for streams that violate the wire format.
var (
	// ErrTooLong means a line or an event exceeds MaxLineBytes.
	ErrTooLong = errors.New("stream: line or event too long")
)

// Event is one server-sent event or comment. Its slices are valid until the
// next call to Reader.Read.
type Event struct {
	ID      []byte
	Name    []byte
	Data    []byte
	Comment []byte
	// IsComment is true for a comment line; only Comment is set then.
	IsComment bool
}

// Reader decodes server-sent events and limits the length of lines and events.
type Reader struct {
	buf      *bufio.Reader
	longLine []byte // copy of a line that exceeds the buffer

	id, name, data []byte
	inEvent        bool // fields of an incomplete event were read
	hasData        bool
}

// NewReader returns a Reader that decodes the events in r.
func NewReader(r io.Reader) *Reader {
	return &Reader{buf: bufio.NewReaderSize(r, readBufferBytes)}
}

// Buffered reports whether another complete event is already in the buffer. If
// so, Read does not block.
func (r *Reader) Buffered() bool {
	received, err := r.buf.Peek(r.buf.Buffered())
	return err == nil && bytes.Contains(received, eventEnd)
}

var eventEnd = []byte("\n\n")

// Read returns the next event or comment. It returns io.EOF if the stream ended
// between events and io.ErrUnexpectedEOF if it ended within one.
func (r *Reader) Read() (Event, error) {
	if !r.inEvent {
		r.id, r.name, r.data, r.hasData = r.id[:0], r.name[:0], r.data[:0], false
	}
	for {
		line, err := r.readLine()
		if err != nil {
			return Event{}, err
		}
		switch {
		case len(line) == 0:
			if !r.inEvent {
				continue
			}
			r.inEvent = false
			return Event{ID: r.id, Name: r.name, Data: r.data}, nil
		case line[0] == ':':
			return Event{IsComment: true, Comment: bytes.TrimSpace(line[1:])}, nil
		}
		if err := r.parseField(line); err != nil {
			return Event{}, err
		}
	}
}

func (r *Reader) parseField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte{':'})
	value = bytes.TrimPrefix(value, []byte{' '})
	switch string(name) {
	case "id":
		r.id = append(r.id[:0], value...)
	case "event":
		r.name = append(r.name[:0], value...)
	case "data":
		if r.hasData {
			r.data = append(r.data, '\n')
		}
		if len(r.data)+len(value) > MaxLineBytes {
			return ErrTooLong
		}
		r.data, r.hasData = append(r.data, value...), true
	default:
		return nil // the format requires that unknown fields are ignored
	}
	r.inEvent = true
	return nil
}

// readLine returns the next line without its line terminator. The result is
// valid until the next call.
func (r *Reader) readLine() ([]byte, error) {
	part, err := r.buf.ReadSlice('\n')
	if err == nil {
		return trimLineEnd(part), nil
	}
	r.longLine = append(r.longLine[:0], part...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(r.longLine) > MaxLineBytes {
			return nil, ErrTooLong
		}
		part, err = r.buf.ReadSlice('\n')
		r.longLine = append(r.longLine, part...)
	}
	if err == nil && len(r.longLine) > MaxLineBytes {
		return nil, ErrTooLong
	}
	if errors.Is(err, io.EOF) && (len(r.longLine) > 0 || r.inEvent) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return trimLineEnd(r.longLine), nil
}

func trimLineEnd(line []byte) []byte {
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
}

// Fixed parts of a stream.
var (
	// HeartbeatLine is a comment that shows that an idle connection is alive.
	HeartbeatLine = []byte(": heartbeat\n\n")
	// DoneEvent is the last event of a complete stream.
	DoneEvent = []byte("data: [DONE]\n\n")
)

// DoneData is the data of DoneEvent.
const DoneData = "[DONE]"

// AppendChunk appends an event with a JSON chunk at the given token offset to
// dst. data must not contain line breaks; JSON encoders write none.
func AppendChunk(dst []byte, offset int, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = strconv.AppendInt(dst, int64(offset), 10)
	dst = append(dst, "\ndata: "...)
	dst = append(dst, data...)
	return append(dst, '\n', '\n')
}

// AppendError appends the error event that ends a failed stream to dst. data is
// the error as JSON, without line breaks.
func AppendError(dst, data []byte) []byte {
	dst = append(dst, "event: error\ndata: "...)
	dst = append(dst, data...)
	return append(dst, '\n', '\n')
}

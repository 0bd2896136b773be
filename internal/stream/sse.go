// Package stream reads and writes token streams. The sequencer turns the events
// of unreliable connections into one stream in which each token of a single
// generation occurs exactly once and in order.
package stream

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"
)

// MaxLineBytes bounds one line of a stream, and the data of one event.
const MaxLineBytes = 64 << 10

const readBufferBytes = 4 << 10

// Errors of a stream that breaks the wire format.
var (
	// ErrTooLong means a line or an event exceeds MaxLineBytes.
	ErrTooLong = errors.New("stream: line or event too long")
)

// Event is one server-sent event or comment. Its slices are valid until the
// next call of Read.
type Event struct {
	ID      []byte
	Name    []byte
	Data    []byte
	Comment []byte
	// IsComment is set for comment lines, which carry no other field.
	IsComment bool
}

// Reader decodes server-sent events with bounded lines.
type Reader struct {
	r    *bufio.Reader
	long []byte // a line that does not fit the buffer

	id, name, data []byte
	fields         bool // a field of an unfinished event was read
	hasData        bool
}

// NewReader returns a reader of r.
func NewReader(r io.Reader) *Reader {
	return &Reader{r: bufio.NewReaderSize(r, readBufferBytes)}
}

// Buffered reports whether a further whole event was already received.
func (r *Reader) Buffered() bool {
	waiting, err := r.r.Peek(r.r.Buffered())
	return err == nil && bytes.Contains(waiting, eventEnd)
}

var eventEnd = []byte("\n\n")

// Read returns the next event or comment. io.EOF means that the stream ended
// between events; io.ErrUnexpectedEOF that an event was cut.
func (r *Reader) Read() (Event, error) {
	if !r.fields {
		r.id, r.name, r.data, r.hasData = r.id[:0], r.name[:0], r.data[:0], false
	}
	for {
		line, err := r.line()
		if err != nil {
			return Event{}, err
		}
		switch {
		case len(line) == 0:
			if !r.fields {
				continue
			}
			r.fields = false
			return Event{ID: r.id, Name: r.name, Data: r.data}, nil
		case line[0] == ':':
			return Event{IsComment: true, Comment: bytes.TrimSpace(line[1:])}, nil
		}
		if err := r.field(line); err != nil {
			return Event{}, err
		}
	}
}

func (r *Reader) field(line []byte) error {
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
		return nil // unknown fields are ignored, as the format demands
	}
	r.fields = true
	return nil
}

// line returns the next line without its end.
func (r *Reader) line() ([]byte, error) {
	part, err := r.r.ReadSlice('\n')
	if err == nil {
		return trimEnd(part), nil
	}
	r.long = append(r.long[:0], part...)
	for errors.Is(err, bufio.ErrBufferFull) {
		if len(r.long) > MaxLineBytes {
			return nil, ErrTooLong
		}
		part, err = r.r.ReadSlice('\n')
		r.long = append(r.long, part...)
	}
	if err == nil && len(r.long) > MaxLineBytes {
		return nil, ErrTooLong
	}
	if errors.Is(err, io.EOF) && (len(r.long) > 0 || r.fields) {
		return nil, io.ErrUnexpectedEOF
	}
	if err != nil {
		return nil, err
	}
	return trimEnd(r.long), nil
}

func trimEnd(line []byte) []byte {
	return bytes.TrimSuffix(line[:len(line)-1], []byte{'\r'})
}

// Lines that are sent as they are.
var (
	// HeartbeatLine keeps a silent connection known as alive.
	HeartbeatLine = []byte(": heartbeat\n\n")
	// DoneEvent ends a complete stream.
	DoneEvent = []byte("data: [DONE]\n\n")
)

// DoneData is the data of the event that ends a complete stream.
const DoneData = "[DONE]"

// AppendChunk appends the event of one chunk at a token offset. data must not
// contain line breaks; JSON encoders write none.
func AppendChunk(dst []byte, offset int, data []byte) []byte {
	dst = append(dst, "id: "...)
	dst = strconv.AppendInt(dst, int64(offset), 10)
	dst = append(dst, "\ndata: "...)
	dst = append(dst, data...)
	return append(dst, '\n', '\n')
}

// AppendError appends the event that ends a failed stream.
func AppendError(dst, data []byte) []byte {
	dst = append(dst, "event: error\ndata: "...)
	dst = append(dst, data...)
	return append(dst, '\n', '\n')
}

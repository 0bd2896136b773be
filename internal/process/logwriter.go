package process

import (
	"bufio"
	"io"
	"sync/atomic"
)

// Bounds of the log's buffer.
const (
	logLines       = 4096
	logBufferBytes = 32 << 10
)

// LogWriter writes log lines without ever blocking the caller: lines that do
// not fit its buffer are dropped and counted.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewLogWriter returns a writer to out. Close it to write what is buffered.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{lines: make(chan []byte, logLines), done: make(chan struct{})}
	go w.run(bufio.NewWriterSize(out, logBufferBytes))
	return w
}

// Write takes one line.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that did not fit.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and ends the writer.
func (w *LogWriter) Close() error {
	close(w.lines)
	<-w.done
	return nil
}

func (w *LogWriter) run(out *bufio.Writer) {
	defer close(w.done)
	for line := range w.lines {
		w.write(out, line)
		if len(w.lines) == 0 && out.Flush() != nil {
			w.dropped.Add(1)
		}
	}
	if out.Flush() != nil {
		w.dropped.Add(1)
	}
}

func (w *LogWriter) write(out *bufio.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

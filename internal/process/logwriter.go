package process

import (
	"bufio"
	"io"
	"sync/atomic"
)

// Sizes of the log's buffers.
const (
	logBufferLines = 4096
	logBufferBytes = 32 << 10
)

// LogWriter writes log lines in the background and never blocks the caller.
// Lines that do not fit into its buffer are dropped and counted.
type LogWriter struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewLogWriter returns a LogWriter that writes to out. The caller must call
// Close to write the buffered lines.
func NewLogWriter(out io.Writer) *LogWriter {
	w := &LogWriter{lines: make(chan []byte, logBufferLines), done: make(chan struct{})}
	go w.run(bufio.NewWriterSize(out, logBufferBytes))
	return w
}

// Write queues a copy of one line. It always returns success, even if it drops
// the line.
func (w *LogWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that did not fit into the buffer, plus the
// number of errors of the underlying writer.
func (w *LogWriter) Dropped() int64 { return w.dropped.Load() }

// Close writes the buffered lines and stops the writer. Write must not be
// called afterwards.
func (w *LogWriter) Close() error {
	close(w.lines)
	<-w.done
	return nil
}

func (w *LogWriter) run(out *bufio.Writer) {
	defer close(w.done)
	for line := range w.lines {
		w.writeLine(out, line)
		if len(w.lines) == 0 && out.Flush() != nil {
			w.dropped.Add(1)
		}
	}
	if out.Flush() != nil {
		w.dropped.Add(1)
	}
}

func (w *LogWriter) writeLine(out *bufio.Writer, line []byte) {
	if _, err := out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}

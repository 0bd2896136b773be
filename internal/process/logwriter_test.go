package process

import (
	"bytes"
	"io"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against lines that are lost or reordered although the buffer has room.
func TestLogWriterKeepsOrder(t *testing.T) {
	var out bytes.Buffer
	w := NewLogWriter(&out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := io.WriteString(w, line)
		assert.NilError(t, err)
	}
	assert.NilError(t, w.Close())
	assert.Equal(t, out.String(), "a\nb\nc\n")
}

// blockedWriter blocks every Write until release is closed, like a pipe whose
// reader has stopped reading.
type blockedWriter struct {
	release chan struct{}
	blocked atomic.Bool
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	b.blocked.Store(true)
	<-b.release
	return len(p), nil
}

// Guards against requests that block because the output of the log blocks.
func TestLogWriterNeverBlocks(t *testing.T) {
	blocked := &blockedWriter{release: make(chan struct{})}
	w := NewLogWriter(blocked)
	started := time.Now()
	for range 4 * logBufferLines {
		_, err := w.Write(bytes.Repeat([]byte("x"), 100))
		assert.NilError(t, err)
	}
	assert.Assert(t, time.Since(started) < 5*time.Second)
	assert.Assert(t, w.Dropped() > 0)
	close(blocked.release)
	assert.NilError(t, w.Close())
}

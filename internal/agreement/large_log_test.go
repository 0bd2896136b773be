package agreement

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/wal"
)

func TestBeforeLastBoundsEntriesAndBytes(t *testing.T) {
	l := memLog{baseIndex: 10}
	for n := range 5 {
		l.append(wal.Entry{Index: uint64(11 + n), Data: make([]byte, 100)})
	}
	assert.Equal(t, l.beforeLast(15, 1000, 1000), uint64(10))
	assert.Equal(t, l.beforeLast(15, 2, 1000), uint64(13))
	assert.Equal(t, l.beforeLast(14, 1000, 250), uint64(12))
	assert.Equal(t, l.beforeLast(14, 1000, 99), uint64(14), "not even one fits")
	assert.Equal(t, l.beforeLast(14, 0, 1000), uint64(14))
	assert.Equal(t, l.beforeLast(9, 5, 1000), uint64(9), "before the log")
}

// Guards against a log that grows with the size of commands, so that a node whose memory is
// bounded cannot be started again.
func TestLogIsBoundedInBytes(t *testing.T) {
	const (
		commandBytes = 90_000
		commands     = 600 // 54 MB
		// maxLogBytes: what is applied between two snapshots, what is kept for followers, and
		// the segments that are partly of use, at both ends.
		maxLogBytes = DefaultSnapshotBytes + DefaultKeepBytes + 2*wal.DefaultSegmentBytes + 4<<20
	)
	g, ctx := newTestGroup(t, 1, nil), testDeadline(t)
	command := string(bytes.Repeat([]byte("x"), commandBytes))
	for n := range commands {
		g.propose(ctx, fmt.Sprint(n, command))
	}
	files, err := filepath.Glob(filepath.Join(g.dir, "a", "*.log"))
	assert.NilError(t, err)
	total := int64(0)
	for _, f := range files {
		info, err := os.Stat(f)
		assert.NilError(t, err)
		total += info.Size()
	}
	t.Logf("%d bytes of log after %d bytes of commands", total, commands*commandBytes)
	assert.Assert(t, total <= maxLogBytes, "%d bytes of log after %d bytes of commands", total, commands*commandBytes)
}

package agreement

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

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
	total := logBytes(t, filepath.Join(g.dir, "a"))
	t.Logf("%d bytes of log after %d bytes of commands", total, commands*commandBytes)
	assert.Assert(t, total <= maxLogBytes, "%d bytes of log after %d bytes of commands", total, commands*commandBytes)
}

// lastCommand is a state machine whose state is its last command.
type lastCommand struct{ data []byte }

func (m *lastCommand) Apply(_ uint64, command []byte) any { m.data = command; return nil }
func (m *lastCommand) Snapshot() ([]byte, error)          { return m.data, nil }
func (m *lastCommand) Restore(data []byte) error          { m.data = data; return nil }

// BenchmarkStart measures the start of a node against the size of its log: the time and the
// allocations until it has opened the log. The state is small.
func BenchmarkStart(b *testing.B) {
	const commandBytes = 90_000
	for _, megabytes := range []int{0, 2, 4, 8, 16, 64} {
		b.Run(fmt.Sprintf("after %d MB", megabytes), func(b *testing.B) {
			dir := filepath.Join(b.TempDir(), "a")
			config := Config{Name: "a", Address: "a", Bootstrap: []Member{{Name: "a", Address: "a"}}, DataDir: dir, ElectionTimeout: 50 * time.Millisecond, HeartbeatInterval: 10 * time.Millisecond}
			node := startAlone(b, config)
			for range megabytes * 1_000_000 / commandBytes {
				_, err := node.Propose(b.Context(), make([]byte, commandBytes))
				assert.NilError(b, err)
			}
			node.Stop()
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				n, err := Start(config, &lastCommand{}, memoryTransport{network: &memoryNetwork{}}, nil)
				assert.NilError(b, err)
				b.StopTimer()
				n.Stop()
				b.StartTimer()
			}
			b.ReportMetric(float64(logBytes(b, dir))/1e6, "MB-log")
		})
	}
}

// startAlone starts the only node of a group and waits until it leads.
func startAlone(b *testing.B, config Config) *Node {
	node, err := Start(config, &lastCommand{}, memoryTransport{network: &memoryNetwork{}}, nil)
	assert.NilError(b, err)
	for node.Status().Role != Leader {
		time.Sleep(time.Millisecond)
	}
	return node
}

func logBytes(t testing.TB, dir string) (total int64) {
	files, err := filepath.Glob(filepath.Join(dir, "*.log"))
	assert.NilError(t, err)
	for _, f := range files {
		info, err := os.Stat(f)
		assert.NilError(t, err)
		total += info.Size()
	}
	return total
}

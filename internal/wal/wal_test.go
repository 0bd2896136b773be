package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

func makeEntries(first, last, term uint64) []Entry {
	var out []Entry
	for i := first; i <= last; i++ {
		out = append(out, Entry{Index: i, Term: term, Type: EntryCommand, Data: fmt.Appendf(nil, "command %d of term %d", i, term)})
	}
	return out
}

func mustOpen(t *testing.T, dir string, o Options) (*Log, State) {
	t.Helper()
	l, s, err := Open(dir, o)
	assert.NilError(t, err)
	return l, s
}

// newestSegment returns the path of the segment with the highest number.
func newestSegment(t *testing.T, dir string) string {
	t.Helper()
	names, err := filepath.Glob(filepath.Join(dir, "*"+segmentSuffix))
	assert.NilError(t, err)
	return names[len(names)-1]
}

func requireCode(t *testing.T, err error, code resultcode.Code) {
	t.Helper()
	var e *resultcode.Error
	assert.Assert(t, errors.As(err, &e) && e.Code == code, "%v", err)
}

// Guards against losing entries, votes or replacements of entries when a log of
// several segments is reopened.
func TestReopenReturnsAppendedEntries(t *testing.T) {
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, Options{SegmentBytes: 256})
	for i := uint64(1); i <= 50; i += 5 {
		assert.NilError(t, l.Append(HardState{Term: 2, Vote: "x"}, makeEntries(i, i+4, 2)))
	}
	assert.NilError(t, l.Append(HardState{Term: 3, Vote: "y"}, makeEntries(41, 43, 3)))
	assert.NilError(t, l.Append(HardState{Term: 4}, nil))
	assert.NilError(t, l.Close())
	l, s := mustOpen(t, dir, Options{})
	defer func() { assert.NilError(t, l.Close()) }()
	assert.DeepEqual(t, s.HardState, HardState{Term: 4})
	assert.DeepEqual(t, s.Entries, append(makeEntries(1, 40, 2), makeEntries(41, 43, 3)...))
}

// Guards against a compacted log that cannot be reopened, and against segments
// that are not removed although a snapshot covers them.
func TestCompactRemovesCoveredSegments(t *testing.T) {
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, Options{SegmentBytes: 256})
	for i := uint64(1); i <= 50; i++ {
		assert.NilError(t, l.Append(HardState{Term: 2}, makeEntries(i, i, 2)))
	}
	snapshot := Snapshot{Index: 40, Term: 2, Membership: []byte("m"), Data: []byte("d")}
	assert.NilError(t, l.SaveSnapshot(snapshot))
	before := len(l.segments)
	assert.NilError(t, l.Compact(30))
	assert.Assert(t, len(l.segments) < before)
	assert.NilError(t, l.Close())
	l, s := mustOpen(t, dir, Options{})
	defer func() { assert.NilError(t, l.Close()) }()
	assert.DeepEqual(t, s.Snapshot, snapshot)
	assert.Assert(t, s.PrevIndex <= 30 && s.PrevTerm == 2)
	assert.DeepEqual(t, s.Entries, makeEntries(s.PrevIndex+1, 50, 2))
}

// Guards against refusing to open, or keeping damaged entries, after a crash in
// the middle of a write. It tries every truncated length of the last record.
func TestTornTailIsTruncated(t *testing.T) {
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, Options{})
	assert.NilError(t, l.Append(HardState{Term: 2}, makeEntries(1, 3, 2)))
	durableSize := l.offset
	assert.NilError(t, l.Append(HardState{Term: 3}, makeEntries(4, 4, 3)))
	assert.NilError(t, l.Close())
	name := newestSegment(t, dir)
	content, err := os.ReadFile(name)
	assert.NilError(t, err)
	for size := int(durableSize); size < len(content); size++ {
		damagedDir := t.TempDir()
		assert.NilError(t, os.WriteFile(filepath.Join(damagedDir, filepath.Base(name)), content[:size], 0o600))
		l, s := mustOpen(t, damagedDir, Options{})
		assert.DeepEqual(t, s.HardState, HardState{Term: 2})
		assert.DeepEqual(t, s.Entries, makeEntries(1, 3, 2))
		assert.NilError(t, l.Close())
	}
}

// Guards against opening a log with missing entries: a flipped bit in any byte
// before the last record must be reported as corruption.
func TestCorruptionInTheMiddleIsRefused(t *testing.T) {
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, Options{})
	assert.NilError(t, l.Append(HardState{Term: 2}, makeEntries(1, 3, 2)))
	durableSize := l.offset
	assert.NilError(t, l.Append(HardState{Term: 2}, makeEntries(4, 4, 2)))
	assert.NilError(t, l.Close())
	name := newestSegment(t, dir)
	content, err := os.ReadFile(name)
	assert.NilError(t, err)
	for i := range int(durableSize) {
		damagedDir := t.TempDir()
		corrupted := append([]byte(nil), content...)
		corrupted[i] ^= 0x10
		assert.NilError(t, os.WriteFile(filepath.Join(damagedDir, filepath.Base(name)), corrupted, 0o600))
		_, _, err := Open(damagedDir, Options{})
		requireCode(t, err, resultcode.LogCorrupt)
	}
}

// Guards against two processes that write to one directory.
func TestDirectoryIsLocked(t *testing.T) {
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, Options{})
	_, _, err := Open(dir, Options{})
	requireCode(t, err, resultcode.DiskFailed)
	assert.NilError(t, l.Close())
}

// Guards against voting again under an identity whose earlier votes were lost with
// the log.
func TestIdentityWithoutLogIsRefused(t *testing.T) {
	dir := t.TempDir()
	l, _ := mustOpen(t, dir, Options{})
	_, err := l.LoadIdentity()
	assert.Assert(t, errors.Is(err, ErrNoIdentity))
	assert.NilError(t, l.SaveIdentity([]byte("me")))
	assert.NilError(t, l.Close())
	assert.NilError(t, os.Remove(newestSegment(t, dir)))
	_, _, err = Open(dir, Options{})
	requireCode(t, err, resultcode.LogCorrupt)
}

// Guards against mistaking bytes inside a command for a record: a torn write that
// contains them would be reported as corruption.
func TestRecordAtOtherPositionIsInvalid(t *testing.T) {
	record := appendRecord(nil, recordPosition{file: 1, offset: 64}, recordGroup, []byte("payload"))
	_, _, _, err := decodeRecord(record, recordPosition{file: 1, offset: 64})
	assert.NilError(t, err)
	for _, pos := range []recordPosition{{1, 65}, {2, 64}} {
		_, _, _, err := decodeRecord(record, pos)
		assert.Assert(t, errors.Is(err, errBadRecord))
	}
}

// Guards against a start that needs many times the memory of the log: it is read once, kept
// once and written once, whatever its size.
func TestOpenAllocatesTheLogThreeTimes(t *testing.T) {
	const (
		entries    = 160
		entryBytes = 100_000
		allowed    = 3*entries*entryBytes + 4*maxGroupBytes
	)
	dir := t.TempDir()
	l, _, err := Open(dir, Options{})
	assert.NilError(t, err)
	for n := range uint64(entries) {
		assert.NilError(t, l.Append(HardState{Term: 1}, []Entry{{Index: n + 1, Term: 1, Type: EntryCommand, Data: make([]byte, entryBytes)}}))
	}
	assert.NilError(t, l.Close())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	l, s, err := Open(dir, Options{})
	assert.NilError(t, err)
	runtime.ReadMemStats(&after)
	assert.Equal(t, len(s.Entries), entries)
	assert.NilError(t, l.Close())
	got := after.TotalAlloc - before.TotalAlloc
	assert.Assert(t, got <= allowed, "%d bytes allocated for a log of %d bytes", got, entries*entryBytes)
}

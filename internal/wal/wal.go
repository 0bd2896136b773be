// Package wal is a write-ahead log. It stores a replicated log, a voter's hard
// state, its identity and snapshots durably in one directory.
//
// A record appended to a segment is synced before the next one is written, and a
// new segment is synced before it is renamed into place. An invalid record that is
// followed by a valid one therefore cannot be a torn write: it is corruption, and
// Open refuses the directory.
package wal

import (
	"errors"
	"fmt"
	"io"
	"iter"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/internal/faultpoint"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// File names in the directory.
const (
	segmentSuffix  = ".log"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
	identityName   = "identity"
	lockName       = "lock"
)

// DefaultSegmentBytes is the default of Options.SegmentBytes.
const DefaultSegmentBytes = 8 << 20

// Fault points at which tests inject failures.
const (
	PointBeforeWrite          faultpoint.Point = "wal.before_write"
	PointBeforeSync           faultpoint.Point = "wal.before_sync"
	PointAfterSync            faultpoint.Point = "wal.after_sync"
	PointBeforeSegmentRename  faultpoint.Point = "wal.before_segment_rename"
	PointAfterSegmentRename   faultpoint.Point = "wal.after_segment_rename"
	PointBeforeSegmentRemove  faultpoint.Point = "wal.before_segment_remove"
	PointAfterSegmentRemove   faultpoint.Point = "wal.after_segment_remove"
	PointBeforeSnapshotRename faultpoint.Point = "wal.before_snapshot_rename"
	PointAfterSnapshotRename  faultpoint.Point = "wal.after_snapshot_rename"
	PointBeforeIdentityRename faultpoint.Point = "wal.before_identity_rename"
	PointAfterIdentityRename  faultpoint.Point = "wal.after_identity_rename"
)

// Options configures a Log.
type Options struct {
	// FS is the file system. Default OS.
	FS FS
	// SegmentBytes is the size above which Append starts a new segment.
	// Default DefaultSegmentBytes.
	SegmentBytes int
}

// State is the content of a directory as read by Open.
type State struct {
	HardState HardState
	// Snapshot is the newest snapshot; its Index is 0 if there is none.
	Snapshot Snapshot
	// PrevIndex and PrevTerm identify the entry before Entries[0].
	PrevIndex, PrevTerm uint64
	Entries             []Entry
}

// segment is one file of the log. Segments have consecutive numbers.
type segment struct {
	number    uint64
	lastIndex uint64 // highest index of the segment's entries
}

// Log is an open directory, locked against other processes. Append, Reset and
// Compact must be called by one goroutine; SaveSnapshot may be called by another.
type Log struct {
	fs           FS
	dir          string
	segmentBytes int
	dirLock      io.Closer

	file         File
	offset       uint64
	segments     []segment // in ascending order of number; the last one is open in file
	state        HardState
	recordBuf    []byte
	firstFailure atomic.Pointer[error]

	// snapshotMu serializes saving a local snapshot and one received from the
	// leader, since both remove older snapshot files.
	snapshotMu sync.Mutex
}

// Open locks and reads a directory, which it creates if necessary, and rewrites
// the log to a new segment. The rewrite makes the content durable: after a failed
// sync, the operating system may return cached data that never reached the disk.
// Errors have the result code LogCorrupt if the content is damaged, and DiskFailed
// otherwise.
func Open(dir string, o Options) (*Log, State, error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: o.FS, dir: dir, segmentBytes: o.SegmentBytes}
	if err := l.fs.MkdirAll(dir); err != nil {
		return nil, State{}, diskError(err)
	}
	lock, err := l.fs.Lock(l.path(lockName))
	if err != nil {
		return nil, State{}, diskError(err)
	}
	l.dirLock = lock
	state, err := l.load()
	if err == nil {
		err = l.checkComplete()
	}
	if err == nil {
		err = l.Reset(state.HardState, state.PrevIndex, state.PrevTerm, state.Entries)
	}
	if err != nil {
		return nil, State{}, trace.NewAggregate(err, l.Close())
	}
	return l, state, nil
}

// checkComplete returns an error if the directory has an identity but no segment.
// The first segment is written before the identity, so an identity without a
// segment means that the log was lost, together with the votes cast under that identity.
func (l *Log) checkComplete() error {
	_, err := l.LoadIdentity()
	if errors.Is(err, ErrNoIdentity) {
		return nil
	}
	if err == nil && len(l.segments) == 0 {
		return corruptError("the directory has an identity but no log")
	}
	return err
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

func segmentName(n uint64) string { return fmt.Sprintf("%016x%s", n, segmentSuffix) }

// Append makes the hard state and entries durable with one sync. An entry whose
// index is already in the log replaces the existing entry and all after it. After
// a failure, this and all later calls fail.
func (l *Log) Append(s HardState, entries []Entry) error {
	if err := l.failure(); err != nil {
		return err
	}
	if l.offset > uint64(l.segmentBytes) && len(entries) > 0 {
		if err := l.rotate(entries[0]); err != nil {
			return l.recordFailure(err)
		}
	}
	payload := encodeGroup(s, entries)
	if len(payload) > MaxRecordBytes {
		return l.recordFailure(fmt.Errorf("group of %d bytes exceeds the bound of %d", len(payload), MaxRecordBytes))
	}
	if err := l.writeRecord(recordGroup, payload); err != nil {
		return l.recordFailure(err)
	}
	l.state = s
	if n := len(entries); n > 0 {
		current := &l.segments[len(l.segments)-1]
		current.lastIndex = max(current.lastIndex, entries[n-1].Index)
	}
	return nil
}

// writeRecord appends one record to the current segment and syncs it.
func (l *Log) writeRecord(typ RecordType, payload []byte) error {
	pos := recordPosition{file: l.segments[len(l.segments)-1].number, offset: l.offset}
	l.recordBuf = appendRecord(l.recordBuf[:0], pos, typ, payload)
	if err := faultpoint.Hit(PointBeforeWrite); err != nil {
		return err
	}
	if _, err := l.file.Write(l.recordBuf); err != nil {
		return err
	}
	if err := faultpoint.Hit(PointBeforeSync); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.offset += uint64(len(l.recordBuf))
	return faultpoint.Hit(PointAfterSync)
}

// rotate starts a new segment whose first entry will be next.
func (l *Log) rotate(next Entry) error {
	return l.startSegment(header{state: l.state, prevIndex: next.Index - 1}, encodeGroups(l.state, nil))
}

// startSegment durably creates the next segment with a header record and the
// given group records, and makes it the current segment.
func (l *Log) startSegment(h header, groups iter.Seq[[]byte]) error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	offset := uint64(0)
	write := func(file File) error {
		written, err := writeSegment(file, number, h, groups)
		offset = written
		return err
	}
	file, err := l.createFileDurably(segmentName(number), write, PointBeforeSegmentRename, PointAfterSegmentRename)
	if err != nil {
		return err
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	l.file, l.offset = file, offset
	l.segments = append(l.segments, segment{number: number, lastIndex: h.prevIndex})
	return nil
}

// writeSegment writes the records one after the other, so that one of them is in memory at a
// time, and returns the number of bytes.
func writeSegment(file File, number uint64, h header, groups iter.Seq[[]byte]) (offset uint64, err error) {
	var buf []byte
	write := func(typ RecordType, payload []byte) error {
		buf = appendRecord(buf[:0], recordPosition{file: number, offset: offset}, typ, payload)
		offset += uint64(len(buf))
		_, err := file.Write(buf)
		return err
	}
	if err := write(recordHeader, encodeHeader(h)); err != nil {
		return 0, err
	}
	for g := range groups {
		if err := write(recordGroup, g); err != nil {
			return 0, err
		}
	}
	return offset, nil
}

// createFileDurably writes a file under a temporary name, syncs it, renames it and
// syncs the directory. It returns the open file.
func (l *Log) createFileDurably(name string, write func(File) error, before, after faultpoint.Point) (File, error) {
	tempPath := l.path(name + tempSuffix)
	file, err := l.fs.Create(tempPath)
	if err != nil {
		return nil, err
	}
	steps := []func() error{
		func() error { return write(file) },
		file.Sync,
		func() error { return faultpoint.Hit(before) },
		func() error { return l.fs.Rename(tempPath, l.path(name)) },
		func() error { return l.fs.SyncDir(l.dir) },
		func() error { return faultpoint.Hit(after) },
	}
	for _, step := range steps {
		if err := step(); err != nil {
			return nil, errors.Join(err, file.Close())
		}
	}
	return file, nil
}

// writeFileDurably writes a complete file as createFileDurably does, and closes it.
func (l *Log) writeFileDurably(name string, data []byte, before, after faultpoint.Point) error {
	write := func(file File) error {
		_, err := file.Write(data)
		return err
	}
	file, err := l.createFileDurably(name, write, before, after)
	if err != nil {
		return err
	}
	return file.Close()
}

// maxGroupBytes limits the entry data in one group record written by Reset. A
// larger single entry gets its own record.
const maxGroupBytes = 1 << 20

// Reset replaces the log by the hard state and the given entries. prevIndex and
// prevTerm identify the entry before them.
func (l *Log) Reset(s HardState, prevIndex, prevTerm uint64, entries []Entry) error {
	if err := l.failure(); err != nil {
		return err
	}
	h := header{state: s, reset: true, prevIndex: prevIndex, prevTerm: prevTerm}
	if err := l.startSegment(h, encodeGroups(s, entries)); err != nil {
		return l.recordFailure(err)
	}
	l.state = s
	current := &l.segments[len(l.segments)-1]
	if n := len(entries); n > 0 {
		current.lastIndex = entries[n-1].Index
	}
	return l.removeSegments(len(l.segments) - 1)
}

// encodeGroups returns the payloads of the group records that hold the entries.
func encodeGroups(s HardState, entries []Entry) iter.Seq[[]byte] {
	return func(yield func([]byte) bool) {
		for len(entries) > 0 {
			n, size := 0, 0
			for n < len(entries) && (n == 0 || size+len(entries[n].Data) <= maxGroupBytes) {
				size += len(entries[n].Data)
				n++
			}
			if !yield(encodeGroup(s, entries[:n])) {
				return
			}
			entries = entries[n:]
		}
	}
}

// Compact removes the oldest segments, as long as none of their entries is after
// index. The caller must have saved a snapshot that covers index.
func (l *Log) Compact(index uint64) error {
	if err := l.failure(); err != nil {
		return err
	}
	n := 0
	for n < len(l.segments)-1 && l.segments[n].lastIndex <= index {
		n++
	}
	return l.removeSegments(n)
}

// removeSegments removes the n oldest segments. Each removal is made durable
// before the next one, so that a crash never leaves a gap in the numbers.
func (l *Log) removeSegments(n int) error {
	for ; n > 0; n-- {
		if err := l.removeSegmentDurably(segmentName(l.segments[0].number)); err != nil {
			return l.recordFailure(err)
		}
		l.segments = slices.Delete(l.segments, 0, 1)
	}
	return nil
}

// removeSegmentDurably removes a segment file and syncs the directory.
func (l *Log) removeSegmentDurably(name string) error {
	if err := faultpoint.Hit(PointBeforeSegmentRemove); err != nil {
		return err
	}
	if err := l.fs.Remove(l.path(name)); err != nil {
		return err
	}
	if err := l.fs.SyncDir(l.dir); err != nil {
		return err
	}
	return faultpoint.Hit(PointAfterSegmentRemove)
}

// recordFailure records err if it is the first failure, and returns the first
// failure. Later writes return it too, because the content of the file is unknown
// after a failed write or sync.
func (l *Log) recordFailure(err error) error {
	err = diskError(err)
	l.firstFailure.CompareAndSwap(nil, &err)
	return l.failure()
}

func (l *Log) failure() error {
	if err := l.firstFailure.Load(); err != nil {
		return *err
	}
	return nil
}

func diskError(err error) error {
	return trace.Wrap(resultcode.Newf(resultcode.DiskFailed, "%v", err))
}

func corruptError(format string, args ...any) error {
	return trace.Wrap(resultcode.Newf(resultcode.LogCorrupt, format, args...))
}

// Close closes the current segment and unlocks the directory. Later
// operations fail.
func (l *Log) Close() error {
	var errs []error
	if l.file != nil {
		errs = append(errs, l.file.Close())
	}
	if l.dirLock != nil {
		errs = append(errs, l.dirLock.Close())
	}
	_ = l.recordFailure(errors.New("the log is closed"))
	return errors.Join(errs...)
}

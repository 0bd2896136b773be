// Package wal keeps a replicated log, a voter's hard state and snapshots
// durable in one folder.
//
// Everything that one sync makes durable is one record. The next record is
// written only after that sync, so a bad record with a valid one behind it
// cannot be a torn write: it is corruption, and Open refuses the folder.
package wal

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/internal/faultpoint"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Names in the folder.
const (
	segmentSuffix  = ".log"
	snapshotSuffix = ".snap"
	tempSuffix     = ".tmp"
	identityName   = "identity"
	lockName       = "lock"
)

// DefaultSegmentBytes is the size beyond which a new segment is started.
const DefaultSegmentBytes = 8 << 20

// Steps at which tests inject failures.
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

// Options of a log.
type Options struct {
	// FS defaults to the operating system's.
	FS FS
	// SegmentBytes is the size beyond which a new segment is started.
	// Default DefaultSegmentBytes.
	SegmentBytes int
}

// State is what a folder holds.
type State struct {
	HardState HardState
	// Snapshot is the newest one; its Index is 0 if there is none.
	Snapshot Snapshot
	// PrevIndex and PrevTerm name the entry before the first of Entries.
	PrevIndex, PrevTerm uint64
	Entries             []Entry
}

// segment is a file of the log.
type segment struct {
	number uint64
	last   uint64 // highest index of an entry in it
}

// Log is an open folder. Append, Reset and Compact are called by one
// goroutine; SaveSnapshot may be called by another.
type Log struct {
	fs           FS
	dir          string
	segmentBytes int
	lock         io.Closer

	file     File
	offset   uint64
	segments []segment // ascending; the last is open in file
	state    HardState
	buf      []byte
	failed   atomic.Pointer[error]

	// snapshots orders a snapshot of the own state and one that is received at
	// the same time; both remove older files.
	snapshots sync.Mutex
}

// Open reads a folder, creates it if it does not exist, and starts a new
// segment that holds all that was read. The rewrite makes the content durable
// again: after a failed sync the operating system may show data in its cache
// that never reached the disk.
func Open(dir string, o Options) (*Log, State, error) {
	if o.FS == nil {
		o.FS = OS{}
	}
	if o.SegmentBytes <= 0 {
		o.SegmentBytes = DefaultSegmentBytes
	}
	l := &Log{fs: o.FS, dir: dir, segmentBytes: o.SegmentBytes}
	if err := l.fs.MkdirAll(dir); err != nil {
		return nil, State{}, diskFailed(err)
	}
	lock, err := l.fs.Lock(l.path(lockName))
	if err != nil {
		return nil, State{}, diskFailed(err)
	}
	l.lock = lock
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

// checkComplete refuses a folder that has an identity but no segment: Open
// writes a segment before any identity, so the log was lost, and with it the
// votes cast under the identity.
func (l *Log) checkComplete() error {
	_, err := l.LoadIdentity()
	if errors.Is(err, ErrNoIdentity) {
		return nil
	}
	if err == nil && len(l.segments) == 0 {
		return corrupt("the folder has an identity but no log")
	}
	return err
}

func (l *Log) path(name string) string { return filepath.Join(l.dir, name) }

func segmentName(n uint64) string { return fmt.Sprintf("%016x%s", n, segmentSuffix) }

// Append makes the hard state and entries durable with one sync. An entry
// with an index that is already in the log replaces it and all behind it.
// After a failure the log accepts nothing more.
func (l *Log) Append(s HardState, entries []Entry) error {
	if err := l.failure(); err != nil {
		return err
	}
	if l.offset > uint64(l.segmentBytes) && len(entries) > 0 {
		if err := l.rotate(entries[0]); err != nil {
			return l.fail(err)
		}
	}
	payload := encodeGroup(s, entries)
	if len(payload) > MaxRecordBytes {
		return l.fail(fmt.Errorf("group of %d bytes exceeds the bound of %d", len(payload), MaxRecordBytes))
	}
	if err := l.writeRecord(recordGroup, payload); err != nil {
		return l.fail(err)
	}
	l.state = s
	if n := len(entries); n > 0 {
		open := &l.segments[len(l.segments)-1]
		open.last = max(open.last, entries[n-1].Index)
	}
	return nil
}

// writeRecord writes one record to the open segment and syncs it.
func (l *Log) writeRecord(typ RecordType, payload []byte) error {
	at := position{file: l.segments[len(l.segments)-1].number, offset: l.offset}
	l.buf = appendRecord(l.buf[:0], at, typ, payload)
	if err := faultpoint.Hit(PointBeforeWrite); err != nil {
		return err
	}
	if _, err := l.file.Write(l.buf); err != nil {
		return err
	}
	if err := faultpoint.Hit(PointBeforeSync); err != nil {
		return err
	}
	if err := l.file.Sync(); err != nil {
		return err
	}
	l.offset += uint64(len(l.buf))
	return faultpoint.Hit(PointAfterSync)
}

// rotate starts a new segment in front of the entry next.
func (l *Log) rotate(next Entry) error {
	return l.startSegment(header{state: l.state, prevIndex: next.Index - 1})
}

// startSegment creates the next segment with its header record and, once it is
// durable under its name, continues the log in it.
func (l *Log) startSegment(h header, groups ...[]byte) error {
	number := uint64(1)
	if n := len(l.segments); n > 0 {
		number = l.segments[n-1].number + 1
	}
	data := appendRecord(nil, position{file: number}, recordHeader, encodeHeader(h))
	for _, g := range groups {
		data = appendRecord(data, position{file: number, offset: uint64(len(data))}, recordGroup, g)
	}
	name := segmentName(number)
	file, err := l.createDurable(name, data, PointBeforeSegmentRename, PointAfterSegmentRename)
	if err != nil {
		return err
	}
	if l.file != nil {
		if err := l.file.Close(); err != nil {
			return errors.Join(err, file.Close())
		}
	}
	l.file, l.offset = file, uint64(len(data))
	l.segments = append(l.segments, segment{number: number, last: h.prevIndex})
	return nil
}

// createDurable writes a file under a temporary name, syncs it, renames it and
// syncs the folder. The file stays open.
func (l *Log) createDurable(name string, data []byte, before, after faultpoint.Point) (File, error) {
	temp := l.path(name + tempSuffix)
	file, err := l.fs.Create(temp)
	if err != nil {
		return nil, err
	}
	steps := []func() error{
		func() error { _, err := file.Write(data); return err },
		file.Sync,
		func() error { return faultpoint.Hit(before) },
		func() error { return l.fs.Rename(temp, l.path(name)) },
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

// writeDurable is createDurable for a file that is complete.
func (l *Log) writeDurable(name string, data []byte, before, after faultpoint.Point) error {
	file, err := l.createDurable(name, data, before, after)
	if err != nil {
		return err
	}
	return file.Close()
}

// maxGroupBytes bounds the groups that Reset writes.
const maxGroupBytes = 4 << 20

// Reset replaces the whole log by the hard state and entries behind prevIndex.
func (l *Log) Reset(s HardState, prevIndex, prevTerm uint64, entries []Entry) error {
	if err := l.failure(); err != nil {
		return err
	}
	var groups [][]byte
	for rest := entries; len(rest) > 0; {
		n, size := 0, 0
		for n < len(rest) && (n == 0 || size+len(rest[n].Data) <= maxGroupBytes) {
			size += len(rest[n].Data)
			n++
		}
		groups = append(groups, encodeGroup(s, rest[:n]))
		rest = rest[n:]
	}
	h := header{state: s, reset: true, prevIndex: prevIndex, prevTerm: prevTerm}
	if err := l.startSegment(h, groups...); err != nil {
		return l.fail(err)
	}
	l.state = s
	open := &l.segments[len(l.segments)-1]
	if n := len(entries); n > 0 {
		open.last = entries[n-1].Index
	}
	return l.removeSegments(len(l.segments) - 1)
}

// Compact removes the segments whose entries all have an index of at most
// index. A durable snapshot must cover them.
func (l *Log) Compact(index uint64) error {
	if err := l.failure(); err != nil {
		return err
	}
	n := 0
	for n < len(l.segments)-1 && l.segments[n].last <= index {
		n++
	}
	return l.removeSegments(n)
}

// removeSegments removes the n oldest segments. Each removal is made durable
// before the next, so that a crash never leaves a gap in the numbers.
func (l *Log) removeSegments(n int) error {
	for ; n > 0; n-- {
		if err := l.removeDurable(segmentName(l.segments[0].number)); err != nil {
			return l.fail(err)
		}
		l.segments = slices.Delete(l.segments, 0, 1)
	}
	return nil
}

func (l *Log) removeDurable(name string) error {
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

// fail records the first failed write or sync. What the file holds is unknown
// from then on.
func (l *Log) fail(err error) error {
	err = diskFailed(err)
	l.failed.CompareAndSwap(nil, &err)
	return l.failure()
}

func (l *Log) failure() error {
	if err := l.failed.Load(); err != nil {
		return *err
	}
	return nil
}

func diskFailed(err error) error {
	return trace.Wrap(resultcode.Newf(resultcode.DiskFailed, "%v", err))
}

func corrupt(format string, args ...any) error {
	return trace.Wrap(resultcode.Newf(resultcode.LogCorrupt, format, args...))
}

// Close releases the folder.
func (l *Log) Close() error {
	var errs []error
	if l.file != nil {
		errs = append(errs, l.file.Close())
	}
	if l.lock != nil {
		errs = append(errs, l.lock.Close())
	}
	_ = l.fail(errors.New("the log is closed"))
	return errors.Join(errs...)
}

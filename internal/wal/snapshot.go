package wal

import (
	"errors"
	"fmt"
	"strings"
)

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// ErrSnapshotTooLarge reports that an encoded snapshot exceeds MaxRecordBytes and
// was not written.
var ErrSnapshotTooLarge = errors.New("wal: snapshot too large")

// SaveSnapshot makes s durable and then removes older snapshots. It does not
// compact the log.
func (l *Log) SaveSnapshot(s Snapshot) error {
	l.snapshotMu.Lock()
	defer l.snapshotMu.Unlock()
	if err := l.failure(); err != nil {
		return err
	}
	payload := encodeSnapshot(s)
	if len(payload) > MaxRecordBytes {
		return fmt.Errorf("%w: %d bytes", ErrSnapshotTooLarge, len(payload))
	}
	data := appendRecord(nil, recordPosition{file: s.Index}, recordSnapshot, payload)
	if err := l.writeFileDurably(snapshotName(s.Index), data, PointBeforeSnapshotRename, PointAfterSnapshotRename); err != nil {
		return l.recordFailure(err)
	}
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return l.recordFailure(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) && name < snapshotName(s.Index) {
			if err := l.fs.Remove(l.path(name)); err != nil {
				return l.recordFailure(err)
			}
		}
	}
	return nil
}

func (l *Log) loadSnapshot(index uint64) (Snapshot, error) {
	name := snapshotName(index)
	payload, err := l.readRecordFile(name, index, recordSnapshot)
	if err != nil {
		return Snapshot{}, err
	}
	s, err := decodeSnapshot(payload)
	if err != nil || s.Index != index {
		return Snapshot{}, corruptError("%s: malformed snapshot", name)
	}
	return s, nil
}

// readRecordFile reads a file that consists of one record and returns the
// payload. Such files are renamed into place after they are synced, so an invalid
// record is never a torn write.
func (l *Log) readRecordFile(name string, number uint64, want RecordType) ([]byte, error) {
	data, err := l.fs.ReadFile(l.path(name), maxFileBytes)
	if err != nil {
		return nil, diskError(err)
	}
	typ, payload, size, err := decodeRecord(data, recordPosition{file: number})
	if err != nil || typ != want || size != len(data) {
		return nil, corruptError("%s: bad record", name)
	}
	return payload, nil
}

// SaveIdentity durably stores the voter's identity and replaces an earlier one.
func (l *Log) SaveIdentity(identity []byte) error {
	if err := l.failure(); err != nil {
		return err
	}
	data := appendRecord(nil, recordPosition{}, recordIdentity, identity)
	if err := l.writeFileDurably(identityName, data, PointBeforeIdentityRename, PointAfterIdentityRename); err != nil {
		return l.recordFailure(err)
	}
	return nil
}

// ErrNoIdentity reports that no identity was saved in the directory.
var ErrNoIdentity = errors.New("wal: no identity")

// LoadIdentity returns the identity stored by SaveIdentity, or ErrNoIdentity.
func (l *Log) LoadIdentity() ([]byte, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, diskError(err)
	}
	for _, name := range names {
		if name == identityName {
			return l.readRecordFile(identityName, 0, recordIdentity)
		}
	}
	return nil, ErrNoIdentity
}

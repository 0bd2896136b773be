package wal

import (
	"errors"
	"fmt"
	"strings"
)

func snapshotName(index uint64) string { return fmt.Sprintf("%016x%s", index, snapshotSuffix) }

// ErrSnapshotTooLarge means that a snapshot exceeds MaxRecordBytes. Nothing was
// written.
var ErrSnapshotTooLarge = errors.New("wal: snapshot too large")

// SaveSnapshot makes s durable and then removes the older snapshots.
func (l *Log) SaveSnapshot(s Snapshot) error {
	l.snapshots.Lock()
	defer l.snapshots.Unlock()
	if err := l.failure(); err != nil {
		return err
	}
	payload := encodeSnapshot(s)
	if len(payload) > MaxRecordBytes {
		return fmt.Errorf("%w: %d bytes", ErrSnapshotTooLarge, len(payload))
	}
	data := appendRecord(nil, position{file: s.Index}, recordSnapshot, payload)
	if err := l.writeDurable(snapshotName(s.Index), data, PointBeforeSnapshotRename, PointAfterSnapshotRename); err != nil {
		return l.fail(err)
	}
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return l.fail(err)
	}
	for _, name := range names {
		if strings.HasSuffix(name, snapshotSuffix) && name < snapshotName(s.Index) {
			if err := l.fs.Remove(l.path(name)); err != nil {
				return l.fail(err)
			}
		}
	}
	return nil
}

func (l *Log) loadSnapshot(index uint64) (Snapshot, error) {
	name := snapshotName(index)
	payload, err := l.readWhole(name, index, recordSnapshot)
	if err != nil {
		return Snapshot{}, err
	}
	s, err := decodeSnapshot(payload)
	if err != nil || s.Index != index {
		return Snapshot{}, corrupt("%s: malformed snapshot", name)
	}
	return s, nil
}

// readWhole reads a file that consists of one record. Such files are renamed
// into place after their sync, so a bad record is never a torn write.
func (l *Log) readWhole(name string, number uint64, want RecordType) ([]byte, error) {
	data, err := l.fs.ReadFile(l.path(name), maxFileBytes)
	if err != nil {
		return nil, diskFailed(err)
	}
	typ, payload, size, err := decodeRecord(data, position{file: number})
	if err != nil || typ != want || size != len(data) {
		return nil, corrupt("%s: bad record", name)
	}
	return payload, nil
}

// SaveIdentity makes the voter's identity durable.
func (l *Log) SaveIdentity(identity []byte) error {
	if err := l.failure(); err != nil {
		return err
	}
	data := appendRecord(nil, position{}, recordIdentity, identity)
	if err := l.writeDurable(identityName, data, PointBeforeIdentityRename, PointAfterIdentityRename); err != nil {
		return l.fail(err)
	}
	return nil
}

// ErrNoIdentity means that the folder has no identity yet.
var ErrNoIdentity = errors.New("wal: no identity")

// LoadIdentity returns what SaveIdentity stored.
func (l *Log) LoadIdentity() ([]byte, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return nil, diskFailed(err)
	}
	for _, name := range names {
		if name == identityName {
			return l.readWhole(identityName, 0, recordIdentity)
		}
	}
	return nil, ErrNoIdentity
}

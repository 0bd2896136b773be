package wal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// maxFileBytes bounds what is read of one file: a segment may exceed its
// intended size by one record.
const maxFileBytes = 2 * MaxRecordBytes

// load reads the snapshot and all segments of the folder.
func (l *Log) load() (State, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return State{}, diskFailed(err)
	}
	var segments, snapshots []uint64
	for _, name := range names {
		switch {
		case strings.HasSuffix(name, tempSuffix):
			err = l.fs.Remove(l.path(name))
		case strings.HasSuffix(name, segmentSuffix):
			segments, err = appendNumber(segments, name, segmentSuffix)
		case strings.HasSuffix(name, snapshotSuffix):
			snapshots, err = appendNumber(snapshots, name, snapshotSuffix)
		}
		if err != nil {
			return State{}, diskFailed(err)
		}
	}
	r := replay{}
	for i, number := range segments {
		if i > 0 && number != segments[i-1]+1 {
			return State{}, corrupt("segment %016x is missing", segments[i-1]+1)
		}
		if err := l.loadSegment(&r, number, i == len(segments)-1); err != nil {
			return State{}, err
		}
	}
	if n := len(snapshots); n > 0 {
		if r.state.Snapshot, err = l.loadSnapshot(snapshots[n-1]); err != nil {
			return State{}, err
		}
	}
	return r.finish()
}

func appendNumber(numbers []uint64, name, suffix string) ([]uint64, error) {
	n, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("file name %q: %w", name, err)
	}
	return append(numbers, n), nil
}

func (l *Log) loadSegment(r *replay, number uint64, newest bool) error {
	name := segmentName(number)
	data, err := l.fs.ReadFile(l.path(name), maxFileBytes)
	if err != nil {
		return diskFailed(err)
	}
	l.segments = append(l.segments, segment{number: number})
	for offset := 0; offset < len(data); {
		at := position{file: number, offset: uint64(offset)}
		typ, payload, size, err := decodeRecord(data[offset:], at)
		if err != nil {
			if offset > 0 && newest && !validRecordAfter(data[offset:], at) {
				return nil // a torn write that was never acknowledged
			}
			return corrupt("%s: bad record at offset %d", name, offset)
		}
		if err := r.record(typ, payload, offset == 0, len(l.segments) == 1); err != nil {
			return trace.Wrap(corrupt("%s: record at offset %d: %v", name, offset, err))
		}
		offset += size
	}
	if len(data) == 0 {
		return corrupt("%s: empty segment", name)
	}
	return nil
}

// replay applies the records of the segments in order.
type replay struct {
	state State
}

func (r *replay) record(typ RecordType, payload []byte, first, oldest bool) error {
	switch {
	case first != (typ == recordHeader):
		return fmt.Errorf("type %d in the wrong place", typ)
	case typ == recordHeader:
		return r.header(payload, oldest)
	case typ == recordGroup:
		return r.group(payload)
	default:
		return fmt.Errorf("unknown type %d", typ)
	}
}

func (r *replay) header(payload []byte, oldest bool) error {
	h, err := decodeHeader(payload)
	if err != nil {
		return err
	}
	r.state.HardState = h.state
	if h.reset || oldest {
		r.state.PrevIndex, r.state.PrevTerm, r.state.Entries = h.prevIndex, h.prevTerm, nil
	}
	if h.prevIndex > r.last() {
		return fmt.Errorf("entries %d to %d are missing", r.last()+1, h.prevIndex)
	}
	return nil
}

func (r *replay) group(payload []byte) error {
	s, entries, err := decodeGroup(payload)
	if err != nil {
		return err
	}
	if s.Term < r.state.HardState.Term {
		return fmt.Errorf("term %d after term %d", s.Term, r.state.HardState.Term)
	}
	r.state.HardState = s
	for _, e := range entries {
		if e.Index == 0 || e.Index > r.last()+1 {
			return fmt.Errorf("entry %d follows entry %d", e.Index, r.last())
		}
		if e.Index <= r.state.PrevIndex {
			return fmt.Errorf("entry %d replaces one behind the log's start", e.Index)
		}
		r.state.Entries = append(r.state.Entries[:e.Index-r.state.PrevIndex-1], e)
	}
	return nil
}

func (r *replay) last() uint64 { return r.state.PrevIndex + uint64(len(r.state.Entries)) }

// termAt returns the term of the entry at index, 0 if the log does not hold it.
func (r *replay) termAt(index uint64) uint64 {
	switch {
	case index == r.state.PrevIndex:
		return r.state.PrevTerm
	case index < r.state.PrevIndex || index > r.last():
		return 0
	}
	return r.state.Entries[index-r.state.PrevIndex-1].Term
}

// finish joins the log to the snapshot. The log does not reach or contradicts
// a snapshot received from the leader if the process ended before it replaced
// the log; all of the log is then older than the snapshot.
func (r *replay) finish() (State, error) {
	s := &r.state
	if s.PrevIndex > s.Snapshot.Index {
		return State{}, corrupt("the log starts behind entry %d but the newest snapshot ends at %d", s.PrevIndex, s.Snapshot.Index)
	}
	if s.Snapshot.Index == 0 {
		return *s, nil
	}
	if s.PrevTerm == 0 && s.PrevIndex < s.Snapshot.Index {
		// A rotated segment does not record the term before its first entry.
		r.dropFirst()
	}
	if s.PrevIndex == s.Snapshot.Index && s.PrevTerm == 0 {
		s.PrevTerm = s.Snapshot.Term
	}
	if r.termAt(s.Snapshot.Index) != s.Snapshot.Term {
		s.PrevIndex, s.PrevTerm, s.Entries = s.Snapshot.Index, s.Snapshot.Term, nil
	}
	return *s, nil
}

// dropFirst moves the start of the log behind its first entry.
func (r *replay) dropFirst() {
	if len(r.state.Entries) == 0 || r.state.PrevIndex == 0 {
		return
	}
	first := r.state.Entries[0]
	r.state.PrevIndex, r.state.PrevTerm, r.state.Entries = first.Index, first.Term, r.state.Entries[1:]
}

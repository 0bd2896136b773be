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
	if err := l.loadSegments(&r, segments); err != nil {
		return State{}, err
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

// loadSegments replays the segments from the last one on that resets the log.
// Those before it were about to be removed when the process ended, and may end
// in a torn write of the process before.
func (l *Log) loadSegments(r *replay, numbers []uint64) error {
	contents := make([][]byte, len(numbers))
	first := len(numbers)
	for first > 0 {
		first--
		data, err := l.fs.ReadFile(l.path(segmentName(numbers[first])), maxFileBytes)
		if err != nil {
			return diskFailed(err)
		}
		contents[first] = data
		if startsWithReset(data, numbers[first]) {
			break
		}
	}
	for i, number := range numbers {
		l.segments = append(l.segments, segment{number: number})
		if i > 0 && number != numbers[i-1]+1 {
			return corrupt("segment %016x is missing", numbers[i-1]+1)
		}
		if i < first {
			continue
		}
		if err := loadSegment(r, number, contents[i], i == first, i == len(numbers)-1); err != nil {
			return err
		}
	}
	return nil
}

func startsWithReset(data []byte, number uint64) bool {
	typ, payload, _, err := decodeRecord(data, position{file: number})
	if err != nil || typ != recordHeader {
		return false
	}
	h, err := decodeHeader(payload)
	return err == nil && h.reset
}

func loadSegment(r *replay, number uint64, data []byte, oldest, newest bool) error {
	name := segmentName(number)
	for offset := 0; offset < len(data); {
		at := position{file: number, offset: uint64(offset)}
		typ, payload, size, err := decodeRecord(data[offset:], at)
		if err != nil {
			if offset > 0 && newest && !validRecordAfter(data[offset:], at) {
				return nil // a torn write that was never acknowledged
			}
			return corrupt("%s: bad record at offset %d", name, offset)
		}
		if err := r.record(typ, payload, offset == 0, oldest); err != nil {
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
	// reset: the log starts where a reset put it, and not where the first
	// segment that was not removed happens to start.
	reset bool
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
	if oldest {
		r.reset = h.reset
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
			if err := r.replaceStart(e); err != nil {
				return err
			}
			continue
		}
		r.state.Entries = append(r.state.Entries[:e.Index-r.state.PrevIndex-1], e)
	}
	return nil
}

// replaceStart takes an entry that replaces one of a removed segment. Segments
// are removed once a snapshot covers them, so the log went on beyond its start
// afterwards.
func (r *replay) replaceStart(e Entry) error {
	if r.reset {
		return fmt.Errorf("entry %d replaces one that a snapshot covers", e.Index)
	}
	r.state.PrevTerm, r.state.Entries = 0, nil
	if e.Index == r.state.PrevIndex {
		r.state.PrevTerm = e.Term
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

package wal

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/gravitational/trace"
)

// maxFileBytes is the maximum size of a file that is read. A segment may exceed
// SegmentBytes by one record.
const maxFileBytes = 2 * MaxRecordBytes

// load reads the newest snapshot and the segments, and removes temporary files.
func (l *Log) load() (State, error) {
	names, err := l.fs.ReadDir(l.dir)
	if err != nil {
		return State{}, diskError(err)
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
			return State{}, diskError(err)
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
	return r.reconcileSnapshot()
}

// appendNumber appends the hexadecimal number in a file name to numbers.
func appendNumber(numbers []uint64, name, suffix string) ([]uint64, error) {
	n, err := strconv.ParseUint(strings.TrimSuffix(name, suffix), 16, 64)
	if err != nil {
		return nil, fmt.Errorf("file name %q: %w", name, err)
	}
	return append(numbers, n), nil
}

// loadSegments replays the segments, starting with the last one that resets the
// log. Earlier segments are left over if a process ended before it removed them, and
// they may end in a torn write of an earlier process.
func (l *Log) loadSegments(r *replay, numbers []uint64) error {
	contents := make([][]byte, len(numbers))
	first := len(numbers)
	for first > 0 {
		first--
		data, err := l.fs.ReadFile(l.path(segmentName(numbers[first])), maxFileBytes)
		if err != nil {
			return diskError(err)
		}
		contents[first] = data
		if startsWithReset(data, numbers[first]) {
			break
		}
	}
	for i, number := range numbers {
		l.segments = append(l.segments, segment{number: number})
		if i > 0 && number != numbers[i-1]+1 {
			return corruptError("segment %016x is missing", numbers[i-1]+1)
		}
		if i < first {
			continue
		}
		if err := loadSegment(r, number, contents[i], i == first, i == len(numbers)-1); err != nil {
			return err
		}
		contents[i] = nil // the entries are copies: at most one segment beside them is in memory
	}
	return nil
}

// startsWithReset reports whether a segment's header record resets the log.
func startsWithReset(data []byte, number uint64) bool {
	typ, payload, _, err := decodeRecord(data, recordPosition{file: number})
	if err != nil || typ != recordHeader {
		return false
	}
	h, err := decodeHeader(payload)
	return err == nil && h.reset
}

// loadSegment replays one segment. oldest and newest mark the first and the last
// replayed segment; only the newest may end in a torn write.
func loadSegment(r *replay, number uint64, data []byte, oldest, newest bool) error {
	name := segmentName(number)
	for offset := 0; offset < len(data); {
		pos := recordPosition{file: number, offset: uint64(offset)}
		typ, payload, size, err := decodeRecord(data[offset:], pos)
		if err != nil {
			if offset > 0 && newest && !validRecordAfter(data[offset:], pos) {
				return nil // the bad record is a torn write, which was never acknowledged
			}
			return corruptError("%s: bad record at offset %d", name, offset)
		}
		if err := r.applyRecord(typ, payload, offset == 0, oldest); err != nil {
			return trace.Wrap(corruptError("%s: record at offset %d: %v", name, offset, err))
		}
		offset += size
	}
	if len(data) == 0 {
		return corruptError("%s: empty segment", name)
	}
	return nil
}

// replay builds state by applying the records of the segments in order.
type replay struct {
	state State
	// reset is set if the first replayed segment resets the log. Otherwise the
	// log starts at the first segment that was not removed.
	reset bool
}

// applyRecord applies one record. first is set for the first record of a segment,
// and oldest for the records of the first replayed segment.
func (r *replay) applyRecord(typ RecordType, payload []byte, first, oldest bool) error {
	switch {
	case first != (typ == recordHeader):
		return fmt.Errorf("unexpected record type %d at this offset", typ)
	case typ == recordHeader:
		return r.applyHeader(payload, oldest)
	case typ == recordGroup:
		return r.applyGroup(payload)
	default:
		return fmt.Errorf("unknown type %d", typ)
	}
}

func (r *replay) applyHeader(payload []byte, oldest bool) error {
	h, err := decodeHeader(payload)
	if err != nil {
		return err
	}
	r.state.HardState = h.state
	if oldest {
		r.reset = h.reset
		r.state.PrevIndex, r.state.PrevTerm, r.state.Entries = h.prevIndex, h.prevTerm, nil
	}
	if h.prevIndex > r.lastIndex() {
		return fmt.Errorf("entries %d to %d are missing", r.lastIndex()+1, h.prevIndex)
	}
	return nil
}

func (r *replay) applyGroup(payload []byte) error {
	s, entries, err := decodeGroup(payload)
	if err != nil {
		return err
	}
	if s.Term < r.state.HardState.Term {
		return fmt.Errorf("term %d after term %d", s.Term, r.state.HardState.Term)
	}
	r.state.HardState = s
	for _, e := range entries {
		if e.Index == 0 || e.Index > r.lastIndex()+1 {
			return fmt.Errorf("entry %d follows entry %d", e.Index, r.lastIndex())
		}
		if e.Index <= r.state.PrevIndex {
			if err := r.truncateBeforeStart(e); err != nil {
				return err
			}
			continue
		}
		r.state.Entries = append(r.state.Entries[:e.Index-r.state.PrevIndex-1], e)
	}
	return nil
}

// truncateBeforeStart handles an entry that replaces one in a removed segment. Such
// an entry also replaces all entries after it, so all loaded entries are dropped.
// Segments are removed only once a snapshot covers them, so later records of the log
// contain entries after its start again.
func (r *replay) truncateBeforeStart(e Entry) error {
	if r.reset {
		return fmt.Errorf("entry %d replaces one that a snapshot covers", e.Index)
	}
	r.state.PrevTerm, r.state.Entries = 0, nil
	if e.Index == r.state.PrevIndex {
		r.state.PrevTerm = e.Term
	}
	return nil
}

func (r *replay) lastIndex() uint64 { return r.state.PrevIndex + uint64(len(r.state.Entries)) }

// termAt returns the term of the entry at index, or 0 if the entry is not in the
// log.
func (r *replay) termAt(index uint64) uint64 {
	switch {
	case index == r.state.PrevIndex:
		return r.state.PrevTerm
	case index < r.state.PrevIndex || index > r.lastIndex():
		return 0
	}
	return r.state.Entries[index-r.state.PrevIndex-1].Term
}

// reconcileSnapshot makes the log consistent with the snapshot and returns the
// result. If the process ended after it saved a snapshot received from the leader
// and before it reset the log, the log may end before the snapshot or contradict it.
// The log is then older than the snapshot and is discarded.
func (r *replay) reconcileSnapshot() (State, error) {
	s := &r.state
	if s.PrevIndex > s.Snapshot.Index {
		return State{}, corruptError("the log starts after entry %d but the newest snapshot ends at %d", s.PrevIndex, s.Snapshot.Index)
	}
	if s.Snapshot.Index == 0 {
		return *s, nil
	}
	if s.PrevTerm == 0 && s.PrevIndex < s.Snapshot.Index {
		// A rotated segment does not record the term before its first entry.
		r.dropFirstEntry()
	}
	if s.PrevIndex == s.Snapshot.Index && s.PrevTerm == 0 {
		s.PrevTerm = s.Snapshot.Term
	}
	if r.termAt(s.Snapshot.Index) != s.Snapshot.Term {
		s.PrevIndex, s.PrevTerm, s.Entries = s.Snapshot.Index, s.Snapshot.Term, nil
	}
	return *s, nil
}

// dropFirstEntry removes the first entry and makes its term the term before the
// log.
func (r *replay) dropFirstEntry() {
	if len(r.state.Entries) == 0 || r.state.PrevIndex == 0 {
		return
	}
	first := r.state.Entries[0]
	r.state.PrevIndex, r.state.PrevTerm, r.state.Entries = first.Index, first.Term, r.state.Entries[1:]
}

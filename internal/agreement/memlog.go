package agreement

import "github.com/endivetrack/endivetrack/internal/wal"

// memLog is the in-memory part of the log: all entries after a base entry. Only
// the index and term of the base entry are kept.
type memLog struct {
	baseIndex, baseTerm uint64
	entries             []wal.Entry
	// stableIndex is the index of the last durable entry.
	stableIndex uint64
}

func (l *memLog) lastIndex() uint64 { return l.baseIndex + uint64(len(l.entries)) }

func (l *memLog) lastTerm() uint64 { return l.term(l.lastIndex()) }

// term returns the term of the entry at index, or 0 if it is not in memory.
func (l *memLog) term(index uint64) uint64 {
	switch {
	case index == l.baseIndex:
		return l.baseTerm
	case index < l.baseIndex || index > l.lastIndex():
		return 0
	}
	return l.entries[index-l.baseIndex-1].Term
}

// entriesFrom returns consecutive entries starting at index: at least one, and
// more as long as their data fits into maxBytes. It returns nil if index is not
// in memory.
func (l *memLog) entriesFrom(index uint64, maxBytes int) []wal.Entry {
	if index <= l.baseIndex || index > l.lastIndex() {
		return nil
	}
	rest := l.entries[index-l.baseIndex-1:]
	n, size := 0, 0
	for n < len(rest) && (n == 0 || size+len(rest[n].Data) <= maxBytes) {
		size += len(rest[n].Data)
		n++
	}
	return rest[:n:n]
}

// dataBytes returns the total data size of the in-memory entries in (after, upTo].
func (l *memLog) dataBytes(after, upTo uint64) int {
	size := 0
	for i := max(after, l.baseIndex) + 1; i <= upTo && i <= l.lastIndex(); i++ {
		size += len(l.entries[i-l.baseIndex-1].Data)
	}
	return size
}

func (l *memLog) append(entries ...wal.Entry) { l.entries = append(l.entries, entries...) }

// truncate removes all entries after index. Slices returned earlier keep their
// contents, because later appends copy the entries.
func (l *memLog) truncate(index uint64) {
	n := index - l.baseIndex
	l.entries = l.entries[:n:n]
	l.stableIndex = min(l.stableIndex, index)
}

// compact removes the entries up to and including index.
func (l *memLog) compact(index uint64) {
	if index <= l.baseIndex || index > l.lastIndex() {
		return
	}
	term := l.term(index)
	l.entries = append([]wal.Entry(nil), l.entries[index-l.baseIndex:]...)
	l.baseIndex, l.baseTerm = index, term
}

// beforeLast returns the index before the last entries up to and including index that are
// at most as many as count and together at most as large as size, in bytes of data.
func (l *memLog) beforeLast(index, count uint64, size int) uint64 {
	index = min(index, l.lastIndex())
	for ; index > l.baseIndex && count > 0; count-- {
		size -= len(l.entries[index-l.baseIndex-1].Data)
		if size < 0 {
			break
		}
		index--
	}
	return index
}

// reset empties the log and makes index its base entry.
func (l *memLog) reset(index, term uint64) {
	*l = memLog{baseIndex: index, baseTerm: term, stableIndex: index}
}

// conflictHint returns the index at which the leader should retry after the
// entry at index did not match: the one before the first entry of that entry's
// term. Finding the point up to which the logs match then takes one round trip
// per conflicting term instead of one per entry.
func (l *memLog) conflictHint(index uint64) uint64 {
	if index > l.lastIndex() {
		return l.lastIndex()
	}
	term := l.term(index)
	for index > l.baseIndex+1 && l.term(index-1) == term {
		index--
	}
	return max(index, 1) - 1
}

package wal

import (
	"encoding/binary"
	"errors"
)

// HardState is a voter's state that must survive a restart: its current term and
// its vote in that term.
type HardState struct {
	Term uint64
	Vote string // incarnation of the candidate that got the vote; "" if there was no vote
}

// EntryType determines the meaning of an entry's data.
type EntryType byte

// Entry types.
const (
	EntryCommand    EntryType = 1
	EntryMembership EntryType = 2
	EntryNoop       EntryType = 3 // first entry of a leader's term
)

// Entry is one entry of the replicated log.
type Entry struct {
	Index uint64
	Term  uint64
	Type  EntryType
	Data  []byte
}

// Snapshot is the state after applying the log up to and including Index.
type Snapshot struct {
	Index      uint64
	Term       uint64
	Membership []byte // membership of the voters' group, in the caller's encoding
	Data       []byte
}

// errMalformed reports that a record with a valid checksum cannot be decoded.
var errMalformed = errors.New("wal: malformed payload")

// header is the content of a segment's first record.
type header struct {
	state HardState
	// reset makes replay ignore all earlier segments.
	reset bool
	// prevIndex and prevTerm identify the entry before the segment's first one.
	prevIndex, prevTerm uint64
}

func appendBytes(buf, b []byte) []byte {
	return append(binary.AppendUvarint(buf, uint64(len(b))), b...)
}

func appendHardState(buf []byte, s HardState) []byte {
	return appendBytes(binary.AppendUvarint(buf, s.Term), []byte(s.Vote))
}

func encodeHeader(h header) []byte {
	flag := byte(0)
	if h.reset {
		flag = 1
	}
	buf := appendHardState([]byte{flag}, h.state)
	return binary.AppendUvarint(binary.AppendUvarint(buf, h.prevIndex), h.prevTerm)
}

// Most bytes that a group record's payload has beside the vote and the entries' data: numbers
// and an entry's type.
const (
	maxGroupOverhead = 3 * binary.MaxVarintLen64
	maxEntryOverhead = 3*binary.MaxVarintLen64 + 1
)

// encodeGroup encodes the payload of a group record: the hard state and entries
// with consecutive indexes.
func encodeGroup(s HardState, entries []Entry) []byte {
	size := maxGroupOverhead + len(s.Vote)
	for _, e := range entries {
		size += maxEntryOverhead + len(e.Data)
	}
	buf := appendHardState(make([]byte, 0, size), s)
	buf = binary.AppendUvarint(buf, uint64(len(entries)))
	for _, e := range entries {
		buf = binary.AppendUvarint(buf, e.Index)
		buf = binary.AppendUvarint(buf, e.Term)
		buf = append(buf, byte(e.Type))
		buf = appendBytes(buf, e.Data)
	}
	return buf
}

func encodeSnapshot(s Snapshot) []byte {
	buf := make([]byte, 0, maxEntryOverhead+binary.MaxVarintLen64+len(s.Membership)+len(s.Data))
	buf = binary.AppendUvarint(binary.AppendUvarint(buf, s.Index), s.Term)
	return appendBytes(appendBytes(buf, s.Membership), s.Data)
}

// payloadReader decodes the payload of a record. After an error, all reads return
// zero values.
type payloadReader struct {
	data []byte
	err  error
}

func (r *payloadReader) markMalformed() { r.data, r.err = nil, errMalformed }

func (r *payloadReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	if n <= 0 {
		r.markMalformed()
		return 0
	}
	r.data = r.data[n:]
	return v
}

func (r *payloadReader) byte() byte {
	if len(r.data) == 0 {
		r.markMalformed()
		return 0
	}
	b := r.data[0]
	r.data = r.data[1:]
	return b
}

func (r *payloadReader) bytes() []byte {
	n := r.uvarint()
	if n > uint64(len(r.data)) {
		r.markMalformed()
		return nil
	}
	b := append([]byte(nil), r.data[:n]...)
	r.data = r.data[n:]
	return b
}

func (r *payloadReader) hardState() HardState {
	return HardState{Term: r.uvarint(), Vote: string(r.bytes())}
}

// checkEnd returns errMalformed if a read failed or the payload has unread bytes
// left.
func (r *payloadReader) checkEnd() error {
	if r.err == nil && len(r.data) > 0 {
		return errMalformed
	}
	return r.err
}

func decodeHeader(payload []byte) (header, error) {
	r := payloadReader{data: payload}
	h := header{reset: r.byte() == 1, state: r.hardState(), prevIndex: r.uvarint(), prevTerm: r.uvarint()}
	return h, r.checkEnd()
}

func decodeGroup(payload []byte) (HardState, []Entry, error) {
	r := payloadReader{data: payload}
	s := r.hardState()
	var entries []Entry
	for n := r.uvarint(); n > 0 && r.err == nil; n-- {
		e := Entry{Index: r.uvarint(), Term: r.uvarint(), Type: EntryType(r.byte()), Data: r.bytes()}
		entries = append(entries, e)
	}
	return s, entries, r.checkEnd()
}

func decodeSnapshot(payload []byte) (Snapshot, error) {
	r := payloadReader{data: payload}
	s := Snapshot{Index: r.uvarint(), Term: r.uvarint(), Membership: r.bytes(), Data: r.bytes()}
	return s, r.checkEnd()
}

package wal

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a decoder that panics, reads beyond its input, or accepts data
// that the encoder would not write.
func FuzzDecodeRecord(f *testing.F) {
	pos := recordPosition{file: 3, offset: 40}
	f.Add(appendRecord(nil, pos, recordGroup, encodeGroup(HardState{Term: 5, Vote: "v"}, makeEntries(7, 9, 5))))
	f.Add(appendRecord(nil, pos, recordHeader, encodeHeader(header{state: HardState{Term: 1}, reset: true, prevIndex: 4, prevTerm: 1})))
	f.Add(appendRecord(nil, pos, recordSnapshot, encodeSnapshot(Snapshot{Index: 4, Term: 1, Membership: []byte("m"), Data: []byte("d")})))
	record := appendRecord(nil, pos, recordGroup, encodeGroup(HardState{Term: 5}, nil))
	f.Add(record[:len(record)-1])
	f.Add(make([]byte, 64))
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0, 0, 0, 0, 2})
	f.Fuzz(func(t *testing.T, data []byte) {
		// The payload decoders must not panic on any input, since these direct calls
		// pass data whose checksum has not been verified.
		_, _, _ = decodeGroup(data)
		_, _ = decodeHeader(data)
		_, _ = decodeSnapshot(data)
		typ, payload, size, err := decodeRecord(data, pos)
		if err != nil {
			return
		}
		assert.DeepEqual(t, appendRecord(nil, pos, typ, payload), data[:size])
		if typ == recordGroup {
			if s, e, err := decodeGroup(payload); err == nil {
				s2, e2, err := decodeGroup(encodeGroup(s, e))
				assert.NilError(t, err)
				assert.DeepEqual(t, s2, s)
				assert.DeepEqual(t, e2, e)
			}
		}
	})
}

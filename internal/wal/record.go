package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"slices"
)

// A record is {length uint32, CRC32C uint32, type byte, payload}, little endian.
// The length is that of the payload. The checksum also covers the number of the
// file and the record's offset, so that a copy of a record elsewhere, for example
// inside a command, is not mistaken for a record.
const (
	recordHeaderBytes = 9
	// MaxRecordBytes is the maximum payload size of a record. A larger length
	// field means that the record is damaged.
	MaxRecordBytes = 256 << 20
)

// RecordType determines the encoding of a record's payload.
type RecordType byte

// Record types.
const (
	recordHeader   RecordType = 1 // first record of a segment
	recordGroup    RecordType = 2 // the hard state and entries with consecutive indexes; written by Append, and by Reset and Open in a new segment
	recordSnapshot RecordType = 3
	recordIdentity RecordType = 4
)

// errBadRecord reports that no valid record starts at the position to decode.
var errBadRecord = errors.New("wal: bad record")

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

// recordPosition is the place of a record: the number of its file (a segment's
// number, a snapshot's index or 0 for the identity) and the offset in it.
type recordPosition struct {
	file   uint64
	offset uint64
}

func checksum(pos recordPosition, length uint32, typ RecordType, payload []byte) uint32 {
	var prefix [21]byte
	binary.LittleEndian.PutUint64(prefix[0:], pos.file)
	binary.LittleEndian.PutUint64(prefix[8:], pos.offset)
	binary.LittleEndian.PutUint32(prefix[16:], length)
	prefix[20] = byte(typ)
	return crc32.Update(crc32.Checksum(prefix[:], castagnoliTable), castagnoliTable, payload)
}

// appendRecord appends a record, encoded for position pos, to buf.
func appendRecord(buf []byte, pos recordPosition, typ RecordType, payload []byte) []byte {
	n := uint32(len(payload))
	buf = slices.Grow(buf, recordHeaderBytes+len(payload))
	buf = binary.LittleEndian.AppendUint32(buf, n)
	buf = binary.LittleEndian.AppendUint32(buf, checksum(pos, n, typ, payload))
	buf = append(buf, byte(typ))
	return append(buf, payload...)
}

// decodeRecord decodes the record at the start of data, whose position is pos,
// and returns its total size. The payload is a subslice of data.
func decodeRecord(data []byte, pos recordPosition) (typ RecordType, payload []byte, size int, err error) {
	if len(data) < recordHeaderBytes {
		return 0, nil, 0, errBadRecord
	}
	n := binary.LittleEndian.Uint32(data)
	if n > MaxRecordBytes || int(n) > len(data)-recordHeaderBytes {
		return 0, nil, 0, errBadRecord
	}
	typ = RecordType(data[8])
	payload = data[recordHeaderBytes : recordHeaderBytes+int(n)]
	if checksum(pos, n, typ, payload) != binary.LittleEndian.Uint32(data[4:]) {
		return 0, nil, 0, errBadRecord
	}
	return typ, payload, recordHeaderBytes + int(n), nil
}

// validRecordAfter reports whether a valid record starts anywhere after the first
// byte of data, whose position is pos.
func validRecordAfter(data []byte, pos recordPosition) bool {
	for i := 1; i+recordHeaderBytes <= len(data); i++ {
		next := recordPosition{file: pos.file, offset: pos.offset + uint64(i)}
		if _, _, _, err := decodeRecord(data[i:], next); err == nil {
			return true
		}
	}
	return false
}

package wal

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
)

// A record is {length uint32, CRC32C uint32, type byte, payload}, little
// endian. The checksum also covers the file's number and the record's offset,
// so that a copy of a record at another place, for example inside a command,
// is not taken for a record.
const (
	recordHeaderBytes = 9
	// MaxRecordBytes bounds one record's payload; a longer length field is
	// damage.
	MaxRecordBytes = 256 << 20
)

// RecordType says how a record's payload is encoded.
type RecordType byte

// Record types.
const (
	recordHeader   RecordType = 1 // first record of a segment
	recordGroup    RecordType = 2 // what one sync made durable
	recordSnapshot RecordType = 3
	recordIdentity RecordType = 4
)

// errBadRecord means that no valid record starts at an offset.
var errBadRecord = errors.New("wal: bad record")

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// position is where a record lies.
type position struct {
	file   uint64
	offset uint64
}

func checksum(at position, length uint32, typ RecordType, payload []byte) uint32 {
	var prefix [21]byte
	binary.LittleEndian.PutUint64(prefix[0:], at.file)
	binary.LittleEndian.PutUint64(prefix[8:], at.offset)
	binary.LittleEndian.PutUint32(prefix[16:], length)
	prefix[20] = byte(typ)
	return crc32.Update(crc32.Checksum(prefix[:], castagnoli), castagnoli, payload)
}

// appendRecord adds an encoded record for position at to buf.
func appendRecord(buf []byte, at position, typ RecordType, payload []byte) []byte {
	n := uint32(len(payload))
	buf = binary.LittleEndian.AppendUint32(buf, n)
	buf = binary.LittleEndian.AppendUint32(buf, checksum(at, n, typ, payload))
	buf = append(buf, byte(typ))
	return append(buf, payload...)
}

// decodeRecord reads the record at the start of data, which lies at position
// at. The payload shares data's memory.
func decodeRecord(data []byte, at position) (typ RecordType, payload []byte, size int, err error) {
	if len(data) < recordHeaderBytes {
		return 0, nil, 0, errBadRecord
	}
	n := binary.LittleEndian.Uint32(data)
	if n > MaxRecordBytes || int(n) > len(data)-recordHeaderBytes {
		return 0, nil, 0, errBadRecord
	}
	typ = RecordType(data[8])
	payload = data[recordHeaderBytes : recordHeaderBytes+int(n)]
	if checksum(at, n, typ, payload) != binary.LittleEndian.Uint32(data[4:]) {
		return 0, nil, 0, errBadRecord
	}
	return typ, payload, recordHeaderBytes + int(n), nil
}

// validRecordAfter reports whether a valid record starts anywhere in data
// behind its first byte.
func validRecordAfter(data []byte, at position) bool {
	for i := 1; i+recordHeaderBytes <= len(data); i++ {
		next := position{file: at.file, offset: at.offset + uint64(i)}
		if _, _, _, err := decodeRecord(data[i:], next); err == nil {
			return true
		}
	}
	return false
}

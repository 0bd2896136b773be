package stream

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// Parts of a generation id: g1.<service>.<target>.<unique part>.
const (
	idPrefix    = "g1."
	uniqueBytes = 16
	// MaxIDBytes bounds a generation id on the wire.
	MaxIDBytes = 256
)

// NewUnique returns the 128-bit random part of a generation id.
func NewUnique() string {
	b := make([]byte, uniqueBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err) // crypto/rand never fails on supported systems
	}
	return hex.EncodeToString(b)
}

// GenerationID builds the id of one run of a request at one target.
func GenerationID(service, target, unique string) string {
	return idPrefix + service + "." + target + "." + unique
}

// SplitID returns the target and the unique part of a generation id of the
// given service. Service and target names may contain dots, so only the
// service's settings can tell where its name ends.
func SplitID(id, service string) (target, unique string, ok bool) {
	rest, ok := strings.CutPrefix(id, idPrefix+service+".")
	if !ok || len(id) > MaxIDBytes {
		return "", "", false
	}
	dot := strings.LastIndexByte(rest, '.')
	if dot <= 0 || dot == len(rest)-1 {
		return "", "", false
	}
	return rest[:dot], rest[dot+1:], true
}

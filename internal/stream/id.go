package stream

import (
	"crypto/rand"
	"encoding/hex"
	"strings"
)

// A generation id has the form g1.<service>.<target>.<unique part>.
const (
	idPrefix    = "g1."
	uniqueBytes = 16
	// MaxIDBytes is the maximum length of a generation id in a request.
	MaxIDBytes = 256
)

// RandomID returns 128 random bits as hexadecimal text, for unique ids that cannot be
// guessed.
func RandomID() string {
	b := make([]byte, uniqueBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err) // crypto/rand never fails on supported systems
	}
	return hex.EncodeToString(b)
}

// GenerationID returns the id of one run of a request at one target.
func GenerationID(service, target, unique string) string {
	return idPrefix + service + "." + target + "." + unique
}

// SplitID returns the target and the unique part of a generation id of the
// given service. ok is false if id is malformed, too long or belongs to another
// service. The caller must pass the service because service and target names
// may contain dots: the id alone does not show where the service name ends.
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

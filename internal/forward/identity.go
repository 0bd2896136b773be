package forward

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"

	"github.com/endivetrack/endivetrack/internal/quarantine"
)

// identityBytes is the length of a request's identity. The hash is cryptographic, so
// that no caller can send a request with the identity of another caller's.
const identityBytes = 16

// identityOf returns what all repeats of a request have in common: a hash of its route's
// host, method, path, client account and body.
func identityOf(q *request) string {
	account := ""
	if q.account != nil {
		account = q.account.Name
	}
	h := sha256.New()
	for _, field := range [][]byte{[]byte(q.route.Host), []byte(q.method), []byte(q.uri), []byte(account), q.body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	return quarantine.IdentityPrefix + hex.EncodeToString(h.Sum(nil)[:identityBytes])
}

// Package peerauth creates and checks the keys of client accounts, targets,
// operators and the system's own processes. Settings contain only SHA-256
// digests of keys. Keys have at least 128 random bits, so a digest without salt
// cannot be reversed by guessing.
package peerauth

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"net/http"
	"strings"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// PeerHeader is the header with the key that the system's processes share.
const PeerHeader = "X-Endivetrack-Peer-Key"

const (
	bearerPrefix = "Bearer "
	// MinKeyBytes is the minimum length of a key's text.
	MinKeyBytes    = 22
	randomKeyBytes = 24
)

// Digest returns the SHA-256 digest of a key in lower-case hex, the form used in
// settings.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ValidDigest reports whether s is a SHA-256 digest in lower-case hex.
func ValidDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size && s == strings.ToLower(s)
}

// Matches reports whether digest is the digest of key. It takes constant time.
func Matches(key, digest string) bool {
	return subtle.ConstantTimeCompare([]byte(Digest(key)), []byte(digest)) == 1
}

// NewKey returns a random key of 24 bytes in hex.
func NewKey() string {
	b := make([]byte, randomKeyBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err) // crypto/rand never fails on supported systems
	}
	return hex.EncodeToString(b)
}

// Bearer returns the bearer token of the Authorization header, or "".
func Bearer(h http.Header) string {
	v := h.Get("Authorization")
	if !strings.HasPrefix(v, bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(v[len(bearerPrefix):])
}

// RequirePeer passes only requests whose peer key has the given digest to next.
// It responds to all others with status 401.
func RequirePeer(digest string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Matches(r.Header.Get(PeerHeader), digest) {
			http.Error(w, resultcode.Newf(resultcode.Unauthenticated, "peer key missing or wrong").Error(), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport wraps next and adds the peer key to a copy of each request.
func Transport(key string, next http.RoundTripper) http.RoundTripper {
	return transport{key: key, next: next}
}

type transport struct {
	key  string
	next http.RoundTripper
}

func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set(PeerHeader, t.key)
	return t.next.RoundTrip(r)
}

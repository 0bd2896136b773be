// Package peerauth checks the keys of client accounts, targets, operators and
// the system's own processes. Settings hold only SHA-256 digests of keys; keys
// are random with at least 128 bits, so a plain digest is not open to guessing.
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

// PeerHeader carries the shared key of the system's own processes.
const PeerHeader = "X-Endivetrack-Peer-Key"

const (
	bearerPrefix = "Bearer "
	// MinKeyBytes is the least length of a key's text.
	MinKeyBytes = 22
	keyBytes    = 24
)

// Digest returns the hex SHA-256 digest of a key, as settings store it.
func Digest(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// ValidDigest reports whether s has the form that Digest returns.
func ValidDigest(s string) bool {
	b, err := hex.DecodeString(s)
	return err == nil && len(b) == sha256.Size && s == strings.ToLower(s)
}

// Matches compares a key with a digest in constant time.
func Matches(key, digest string) bool {
	return subtle.ConstantTimeCompare([]byte(Digest(key)), []byte(digest)) == 1
}

// NewKey returns a random key.
func NewKey() string {
	b := make([]byte, keyBytes)
	if _, err := rand.Read(b); err != nil {
		panic(err) // crypto/rand never fails on supported systems
	}
	return hex.EncodeToString(b)
}

// Bearer returns the bearer key of a request, or "".
func Bearer(h http.Header) string {
	v := h.Get("Authorization")
	if !strings.HasPrefix(v, bearerPrefix) {
		return ""
	}
	return strings.TrimSpace(v[len(bearerPrefix):])
}

// RequirePeer lets only requests with the shared peer key through.
func RequirePeer(digest string, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !Matches(r.Header.Get(PeerHeader), digest) {
			http.Error(w, resultcode.Newf(resultcode.Unauthenticated, "peer key missing or wrong").Error(), http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// Transport adds the shared peer key to each request.
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

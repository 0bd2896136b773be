package settings

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Delta turns one revision's text into the next one's by replacing its middle.
// A change of one value in the settings of 1,800 client accounts (about 400 kB)
// then costs a few bytes per instance instead of the whole text.
type Delta struct {
	KeepPrefix int // bytes of the base's start that stay
	KeepSuffix int // bytes of the base's end that stay
	Middle     []byte
	Hash       uint64 // xxhash64 of the resulting text
}

// Diff returns the delta from base to next.
func Diff(base, next []byte) Delta {
	most := min(len(base), len(next))
	prefix := 0
	for prefix < most && base[prefix] == next[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < most-prefix && base[len(base)-1-suffix] == next[len(next)-1-suffix] {
		suffix++
	}
	return Delta{
		KeepPrefix: prefix, KeepSuffix: suffix,
		Middle: next[prefix : len(next)-suffix],
		Hash:   xxhash.Sum64(next),
	}
}

// Apply returns the text that the delta makes of base. The hash guards
// against a base that is not the one the delta was made from.
func (d Delta) Apply(base []byte) ([]byte, error) {
	if d.KeepPrefix < 0 || d.KeepSuffix < 0 || d.KeepPrefix+d.KeepSuffix > len(base) {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "settings delta keeps %d and %d of %d bytes", d.KeepPrefix, d.KeepSuffix, len(base))
	}
	if size := d.KeepPrefix + len(d.Middle) + d.KeepSuffix; size > MaxBytes {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "settings delta makes %d bytes, at most %d", size, MaxBytes)
	}
	next := slices.Concat(base[:d.KeepPrefix], d.Middle, base[len(base)-d.KeepSuffix:])
	if xxhash.Sum64(next) != d.Hash {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "settings delta does not fit its base")
	}
	return next, nil
}

package settings

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Delta describes a settings text relative to a base text: both share a prefix and
// a suffix, and Middle is the part of the new text in between. A change of one
// value in the settings of 1,800 client accounts (about 400 kB) then costs a few
// bytes per instance instead of the complete text.
type Delta struct {
	KeepPrefix int // number of bytes kept from the start of the base
	KeepSuffix int // number of bytes kept from the end of the base
	Middle     []byte
	Hash       uint64 // xxHash64 of the text that Apply must return
}

// Diff returns the delta that turns base into next. Its Middle is a subslice of
// next.
func Diff(base, next []byte) Delta {
	maxKeep := min(len(base), len(next))
	prefix := 0
	for prefix < maxKeep && base[prefix] == next[prefix] {
		prefix++
	}
	suffix := 0
	for suffix < maxKeep-prefix && base[len(base)-1-suffix] == next[len(next)-1-suffix] {
		suffix++
	}
	return Delta{
		KeepPrefix: prefix, KeepSuffix: suffix,
		Middle: next[prefix : len(next)-suffix],
		Hash:   xxhash.Sum64(next),
	}
}

// Apply returns the text that results from applying the delta to base. It returns
// an error if the text exceeds MaxBytes, or if its hash shows that base is not the
// text that the delta was computed from.
func (d Delta) Apply(base []byte) ([]byte, error) {
	if d.KeepPrefix < 0 || d.KeepSuffix < 0 || d.KeepPrefix+d.KeepSuffix > len(base) {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "settings delta keeps %d and %d of %d bytes", d.KeepPrefix, d.KeepSuffix, len(base))
	}
	if size := d.KeepPrefix + len(d.Middle) + d.KeepSuffix; size > MaxBytes {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "settings delta results in %d bytes, at most %d", size, MaxBytes)
	}
	next := slices.Concat(base[:d.KeepPrefix], d.Middle, base[len(base)-d.KeepSuffix:])
	if xxhash.Sum64(next) != d.Hash {
		return nil, resultcode.Newf(resultcode.MessageMalformed, "settings delta does not fit its base")
	}
	return next, nil
}

package quarantine

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"slices"
	"strings"
	"time"
)

// IdentityPrefix begins the identity of a whole request, which its repeats have in common.
const IdentityPrefix = "request="

// Conditions for the quarantine of a request. They answer callers that send one request
// again and again, at any instance, which crashes each target that begins to run it.
const (
	// certainRepeats is how many crashes suffice if several requests are equally suspect.
	// Others that were repeated together with the crashing one are rarely in a fourth.
	certainRepeats = 4
	// verdictDelay is the time after a crash in which other instances tell which requests
	// they lost with the target.
	verdictDelay = 100 * time.Millisecond
	// minCrashesToSpare is how many crashes keep a request from the last target of its
	// service, until the others had restartTime to come back.
	minCrashesToSpare = 2
	restartTime       = 5 * time.Second
)

// identityBytes is the length of an identity. The hash is cryptographic, so that no caller
// can send a request with the identity of another caller's.
const identityBytes = 16

// Identity returns what all repeats of a request have in common: a hash of its fields.
func Identity(fields ...[]byte) string {
	h := sha256.New()
	for _, field := range fields {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(field)))
		h.Write(length[:])
		h.Write(field)
	}
	return IdentityPrefix + hex.EncodeToString(h.Sum(nil)[:identityBytes])
}

// IsIdentity reports whether a part is the identity of a request. No part that a caller
// names may be one: served, it would clear the request that has this identity.
func IsIdentity(part string) bool { return strings.HasPrefix(part, IdentityPrefix) }

// quarantineIdentities quarantines the identities that are suspect of the most crashes,
// then those that are suspect of the most of the crashes that these do not explain, and so
// on. Crashes that the quarantine of another request explains count, too.
func (s *Store) quarantineIdentities(now time.Time) {
	crashes := s.crashesExcept(s.explainedByParts)
	open := s.crashesExcept(s.explained)
	for len(open) > 0 {
		found := s.strongestIdentities(crashes, open, now)
		if len(found) == 0 {
			return
		}
		for _, c := range found {
			s.quarantine(c, now)
			open = c.unexplained(open)
		}
	}
}

// strongestIdentities returns the identities that are suspect of the most crashes, one of
// the open ones at least, if these suffice. Those that are suspect of the same crashes are
// returned only if these are certainRepeats or more.
func (s *Store) strongestIdentities(crashes, open []*crash, now time.Time) []candidate {
	isOpen := func(a appearance) bool { return slices.Contains(open, a.crash) }
	best := mostCrashes(indexParts(crashes, IsIdentity), func(identity string, in []appearance) []candidate {
		if !slices.ContainsFunc(in, isOpen) {
			return nil
		}
		return s.examineIdentity(identity, in)
	})
	return slices.DeleteFunc(slices.Clone(best), func(c candidate) bool {
		return c.isRecent(now) || (c.crashes < certainRepeats && slices.ContainsFunc(best, c.rivals))
	})
}

// examineIdentity returns the candidate for an identity; none if the evidence does not
// suffice. Unlike requests with a common part, repeats may have been sent to several
// targets at once.
func (s *Store) examineIdentity(identity string, in []appearance) []candidate {
	if len(in) < minCrashes {
		return nil
	}
	first := in[0]
	if s.cleanAfter(identity, first.at.Add(-cleanBefore)) || !s.cleanAfter(serviceKey(first.service), first.at) {
		return nil
	}
	return []candidate{{suspect: identity, parts: []string{identity}, crashes: len(in), in: in}}
}

// undecided returns until when a request is refused because its targets have just
// crashed, and other instances may not yet have told what else was on them.
func (s *Store) undecided(features []string, now time.Time) (until time.Time, ok bool) {
	n, last := s.suspicion(features, now, verdictDelay)
	until = last.Add(verdictDelay)
	return until, n >= minCrashes && now.Before(until)
}

// suspicion returns of how many crashes a request is suspect and when the last one was;
// 0 if no target has crashed within recent, or if the request was served since the first.
func (s *Store) suspicion(features []string, now time.Time, recent time.Duration) (n int, last time.Time) {
	anyRecent := slices.ContainsFunc(s.crashes, func(c *crash) bool { return now.Sub(c.at) < recent })
	if !anyRecent || len(features) == 0 || !IsIdentity(features[0]) {
		return 0, time.Time{}
	}
	var first time.Time
	for _, c := range s.crashes {
		if !slices.ContainsFunc(c.suspects, func(x Suspect) bool { return slices.Contains(x.Shared, features[0]) }) {
			continue
		}
		if n == 0 || c.at.Before(first) {
			first = c.at
		}
		if n == 0 || c.at.After(last) {
			last = c.at
		}
		n++
	}
	if s.cleanAfter(features[0], first.Add(-cleanBefore)) {
		return 0, time.Time{}
	}
	return n, last
}

// isRecent reports whether other instances may not yet have told of the last crash.
func (c candidate) isRecent(now time.Time) bool {
	return now.Sub(c.in[len(c.in)-1].at) < verdictDelay
}

// rivals reports whether another candidate is suspect of a crash that c is suspect of.
func (c candidate) rivals(other candidate) bool {
	return !slices.Equal(c.parts, other.parts) && slices.ContainsFunc(c.in, func(a appearance) bool {
		return slices.ContainsFunc(other.in, func(b appearance) bool { return a.crash == b.crash })
	})
}

// SpareLast reports whether a request must not be sent to the last target of its service
// that has not crashed: two others have just crashed with it.
func (s *Store) SpareLast(features []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n, _ := s.suspicion(features, s.now(), restartTime)
	return n >= minCrashesToSpare
}

// CrashedRecently reports whether an incarnation of a target crashed within the time that
// a restart takes.
func (s *Store) CrashedRecently(id CrashID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.crash(id)
	return c != nil && s.now().Sub(c.at) < restartTime
}

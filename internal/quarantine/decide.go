package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// Conditions for a quarantine. They answer a load of requests that have one part in
// common, at any instance, each of which crashes the target that begins to answer it.
const (
	// minCrashes is how many crashes, each by a request that was sent after the one
	// before, a part must be suspect of. Targets that crash together count once.
	minCrashes = 3
	// minCrashesToNarrow is the same for a part that is quarantined together with others.
	minCrashesToNarrow = 2
	// certainCrashes is how many crashes suffice if several sets are equally suspect.
	certainCrashes = 5
	// minRequests is how many requests, told apart by their own parts, must be suspects.
	minRequests = 2
	// cleanBefore is how long before its first crash a part's last success still counts.
	cleanBefore = 2 * time.Second
)

// candidate is a set of parts that may crash targets.
type candidate struct {
	parts   []string // sorted
	crashes int
}

// decide quarantines the sets of parts that the known crashes prove. The caller holds
// s.mu.
func (s *Store) decide(now time.Time) {
	s.decidedAt = now
	s.expire(now)
	for {
		found := s.strongest()
		if len(found) == 0 {
			return
		}
		for _, c := range found {
			s.quarantine(c, now)
		}
	}
}

// strongest returns the sets that are suspect of the most crashes, if these suffice.
// Several sets with the same number are returned only if the number is certainCrashes
// or more; otherwise the next crash will tell.
func (s *Store) strongest() []candidate {
	open := s.openCrashes()
	var best []candidate
	for _, p := range suspectParts(open) {
		c, ok := s.examine(p, open)
		if !ok {
			continue
		}
		switch {
		case len(best) == 0 || c.crashes > best[0].crashes:
			best = []candidate{c}
		case c.crashes == best[0].crashes && !slices.ContainsFunc(best, func(b candidate) bool { return slices.Equal(b.parts, c.parts) }):
			best = append(best, c)
		}
	}
	if len(best) > 1 && best[0].crashes < certainCrashes {
		return nil
	}
	return best
}

// openCrashes returns the crashes that no quarantine explains.
func (s *Store) openCrashes() []*crash {
	var open []*crash
	for _, c := range s.crashes {
		if !s.explained(c) {
			open = append(open, c)
		}
	}
	slices.SortFunc(open, func(a, b *crash) int { return a.at.Compare(b.at) })
	return open
}

// suspectParts returns the parts of all suspects, sorted.
func suspectParts(crashes []*crash) []string {
	parts := map[string]bool{}
	for _, c := range crashes {
		for _, x := range c.suspects {
			for _, p := range x.Shared {
				parts[p] = true
			}
		}
	}
	return slices.Sorted(maps.Keys(parts))
}

// examine returns the set of parts that come with part p in each crash that p is
// suspect of, p included. It returns false if the evidence does not suffice.
func (s *Store) examine(p string, crashes []*crash) (candidate, bool) {
	var first, last *crash
	var common []string
	chain := 0
	owners := map[string]bool{}
	for _, c := range crashes {
		together, sentAt := c.partsWith(p, owners)
		if together == nil {
			continue
		}
		if first == nil {
			first, common = c, together
		}
		common = slices.DeleteFunc(common, func(q string) bool { return !slices.Contains(together, q) })
		if last == nil || !sentAt.Before(last.at) {
			chain++
			last = c
		}
	}
	needed := minCrashes
	if s.isQuarantined(p) {
		needed = minCrashesToNarrow
	}
	if chain < needed || len(owners) < minRequests {
		return candidate{}, false
	}
	since := first.at.Add(-cleanBefore)
	if s.cleanAfter(p, since) || !s.cleanAfter(serviceKey(first.service), first.at) {
		return candidate{}, false
	}
	common = slices.DeleteFunc(common, func(q string) bool { return s.cleanAfter(q, since) })
	slices.SortFunc(common, cmp.Compare[string])
	return candidate{parts: slices.Compact(common), crashes: chain}, true
}

// partsWith returns the shared parts of the suspects that have part p, and when the last
// of them was sent; nil if there is none. It adds their own parts to owners.
func (c *crash) partsWith(p string, owners map[string]bool) (together []string, sentAt time.Time) {
	for _, x := range c.suspects {
		if !slices.Contains(x.Shared, p) {
			continue
		}
		owners[x.Own] = true
		together = append(together, x.Shared...)
		if x.SentAt.After(sentAt) {
			sentAt = x.SentAt
		}
	}
	return together, sentAt
}

package quarantine

import (
	"maps"
	"slices"
	"time"
)

// Conditions for a quarantine. They answer a load of requests that have one part in
// common, or are repeats of one request, at any instance, each of which crashes the
// target that begins to answer it.
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
	// maxSets is how many sets of parts one part may be quarantined in at a time. Further
	// ones are found by the crashes that follow.
	maxSets = 8
	// cleanBefore is how long before its first crash a part's last success still counts.
	cleanBefore = 2 * time.Second
)

// candidate is a set of parts that may crash targets.
type candidate struct {
	suspect string   // the part or identity that the crashes are counted of
	parts   []string // sorted, suspect included
	crashes int
	in      []appearance // the crashes that suspect is suspect of
}

// decide quarantines the sets of parts and then the identities that the known crashes
// prove. The caller holds s.mu.
//
// Invariant: each round of quarantineParts and quarantineIdentities takes at least one
// crash away from those that are still open, whatever becomes of its quarantines.
func (s *Store) decide(now time.Time) {
	s.decidedAt = now
	s.expire(now)
	s.quarantineParts(now)
	s.quarantineIdentities(now)
}

// quarantineParts quarantines the sets of parts that are suspect of the most crashes, then
// those that are suspect of the most of the other crashes, and so on.
func (s *Store) quarantineParts(now time.Time) {
	open := s.crashesExcept(s.explainedByParts)
	for len(open) > 0 {
		found := s.strongestParts(open)
		if len(found) == 0 {
			return
		}
		for _, c := range found {
			s.quarantine(c, now)
			open = c.unexplained(open)
		}
	}
}

// unexplained returns the crashes that the candidate is not suspect of.
func (c candidate) unexplained(crashes []*crash) []*crash {
	return slices.DeleteFunc(crashes, func(x *crash) bool {
		return slices.ContainsFunc(c.in, func(a appearance) bool { return a.crash == x })
	})
}

// strongestParts returns the sets of parts that are suspect of the most of the open
// crashes, if these suffice. Sets of several parts with the same number are returned only
// if the number is certainCrashes or more; otherwise the next crash will tell.
func (s *Store) strongestParts(open []*crash) []candidate {
	index := indexParts(open, func(p string) bool { return !IsIdentity(p) })
	best := mostCrashes(index, s.examine)
	rivals := slices.ContainsFunc(best, func(c candidate) bool { return c.suspect != best[0].suspect })
	if rivals && best[0].crashes < certainCrashes {
		return nil
	}
	return best
}

// mostCrashes returns the candidates with the most crashes, each set of parts once.
func mostCrashes(index map[string][]appearance, examine func(p string, in []appearance) []candidate) []candidate {
	var best []candidate
	for _, p := range slices.Sorted(maps.Keys(index)) {
		for _, c := range examine(p, index[p]) {
			switch {
			case len(best) == 0 || c.crashes > best[0].crashes:
				best = []candidate{c}
			case c.crashes == best[0].crashes && !slices.ContainsFunc(best, c.hasSameParts):
				best = append(best, c)
			}
		}
	}
	return best
}

func (c candidate) hasSameParts(other candidate) bool { return slices.Equal(c.parts, other.parts) }

// crashesExcept returns the crashes that are not excluded, in the order of their times.
func (s *Store) crashesExcept(excluded func(*crash) bool) []*crash {
	var out []*crash
	for _, c := range s.crashes {
		if !excluded(c) {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *crash) int { return a.at.Compare(b.at) })
	return out
}

// appearance is a crash that a part is suspect of, with the suspects that have the part.
type appearance struct {
	*crash
	suspects []Suspect
}

// indexParts returns, for each shared part that is wanted, the crashes that it is suspect
// of, in their order.
func indexParts(crashes []*crash, wanted func(part string) bool) map[string][]appearance {
	index := map[string][]appearance{}
	for _, c := range crashes {
		for _, x := range c.suspects {
			for _, p := range x.Shared {
				if !wanted(p) {
					continue
				}
				list := index[p]
				if n := len(list); n > 0 && list[n-1].crash == c {
					list[n-1].suspects = append(list[n-1].suspects, x)
					continue
				}
				index[p] = append(list, appearance{crash: c, suspects: []Suspect{x}})
			}
		}
	}
	return index
}

// examine returns the sets of parts that come with part p in each crash that p is
// suspect of, p included. It returns none if the evidence does not suffice. A part that
// is quarantined together with others is judged by the crashes that this explains, too.
func (s *Store) examine(p string, open []appearance) []candidate {
	first := open[0]
	chain := chainLength(open)
	needed, all := minCrashes, open
	if s.isQuarantined(p) {
		needed, all = minCrashesToNarrow, slices.Concat(s.appearancesInSets(p), open)
	}
	if chain < needed || countOwners(all) < minRequests {
		return nil
	}
	if s.causedByOneRequest(open) {
		return nil
	}
	if s.cleanAfter(p, first.at.Add(-cleanBefore)) || !s.cleanAfter(serviceKey(first.service), first.at) {
		return nil
	}
	since := all[0].at.Add(-cleanBefore)
	clean := func(q string) bool { return s.cleanAfter(q, since) }
	var found []candidate
	for _, parts := range commonSets(p, all, clean) {
		found = append(found, candidate{suspect: p, parts: parts, crashes: chain, in: open})
	}
	return found
}

// appearancesInSets returns the crashes that quarantines of p together with other parts
// explain, and no other quarantine of parts does.
func (s *Store) appearancesInSets(p string) []appearance {
	withPart := func(r *record) bool { return slices.Contains(r.Parts, p) }
	others := func(r *record) bool { return !r.IsRequest() && !withPart(r) }
	explained := s.crashesExcept(func(c *crash) bool { return !s.explainedBy(c, withPart) || s.explainedBy(c, others) })
	return indexParts(explained, func(q string) bool { return q == p })[p]
}

// causedByOneRequest reports whether repeats of one request may be the cause of all the
// crashes, or of all but one if that request is quarantined.
func (s *Store) causedByOneRequest(appearances []appearance) bool {
	for r, in := range countRequests(appearances) {
		others := len(appearances) - in
		if others == 0 || (others < minCrashesToNarrow && s.isQuarantined(r.identity)) {
			return true
		}
	}
	return false
}

// requestKey is what repeats of one request have in common.
type requestKey struct{ identity, own string }

// countRequests returns in how many of the appearances each request is. Requests without
// an identity are left out.
func countRequests(appearances []appearance) map[requestKey]int {
	count := map[requestKey]int{}
	for _, a := range appearances {
		seen := map[requestKey]bool{}
		for _, x := range a.suspects {
			if n := slices.IndexFunc(x.Shared, IsIdentity); n >= 0 {
				seen[requestKey{x.Shared[n], x.Own}] = true
			}
		}
		for r := range seen {
			count[r]++
		}
	}
	return count
}

// chainLength returns how many of the crashes follow each other: each by a request that
// was sent after the crash before it.
func chainLength(appearances []appearance) int {
	length := 0
	var last *crash
	for _, a := range appearances {
		sentLate := slices.ContainsFunc(a.suspects, func(x Suspect) bool { return last == nil || !x.SentAt.Before(last.at) })
		if sentLate {
			length++
			last = a.crash
		}
	}
	return length
}

// countOwners returns the number of different requests among the suspects.
func countOwners(appearances []appearance) int {
	owners := map[string]bool{}
	for _, a := range appearances {
		for _, x := range a.suspects {
			owners[x.Own] = true
		}
	}
	return len(owners)
}

package quarantine

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
)

// partSet is a set of parts as bits: bit i stands for part i of a sorted list, which has
// at most maxParts elements.
type partSet uint64

func (s partSet) contains(other partSet) bool { return s&other == other }

func (s partSet) size() int { return bits.OnesCount64(uint64(s)) }

// parts returns the parts of the list that the set has.
func (s partSet) parts(list []string) []string {
	var out []string
	for i, p := range list {
		if s.contains(1 << i) {
			out = append(out, p)
		}
	}
	return out
}

// commonSets returns sets of part p and others of which each of the appearances has a
// suspect with all of them: no other set can be the cause of the crashes. Each of the
// appearances has a suspect with p. Clean parts are left out. Of the sets that are
// possible, the largest are returned, and at most maxSets.
func commonSets(p string, appearances []appearance, clean func(part string) bool) [][]string {
	others := slices.DeleteFunc(commonParts(appearances), func(q string) bool { return q == p || clean(q) })
	list := append(others[:min(len(others), maxParts-1)], p)
	slices.Sort(list)
	sets := []partSet{1<<len(list) - 1}
	for _, a := range appearances {
		sets = intersections(sets, suspectSets(a.suspects, list))
	}
	out := make([][]string, 0, len(sets))
	for _, s := range sets {
		out = append(out, s.parts(list))
	}
	return out
}

// commonParts returns the parts that come with each of the appearances, sorted.
func commonParts(appearances []appearance) []string {
	seenIn := map[string]int{}
	for n, a := range appearances {
		for _, x := range a.suspects {
			for _, p := range x.Shared {
				if seenIn[p] == n {
					seenIn[p]++
				}
			}
		}
	}
	maps.DeleteFunc(seenIn, func(p string, n int) bool { return n < len(appearances) || IsIdentity(p) })
	return slices.Sorted(maps.Keys(seenIn))
}

// suspectSets returns which parts of the list each suspect has; equal sets once.
func suspectSets(suspects []Suspect, list []string) []partSet {
	index := make(map[string]int, len(list))
	for i, p := range list {
		index[p] = i
	}
	var out []partSet
	for _, x := range suspects {
		var set partSet
		for _, p := range x.Shared {
			if i, ok := index[p]; ok {
				set |= 1 << i
			}
		}
		if !slices.Contains(out, set) {
			out = append(out, set)
		}
	}
	return out
}

// intersections returns the largest sets that one of a and one of b have in common, at
// most maxSets.
func intersections(a, b []partSet) []partSet {
	var out []partSet
	for _, x := range a {
		for _, y := range b {
			out = addLargest(out, x&y)
		}
	}
	slices.SortStableFunc(out, func(x, y partSet) int { return cmp.Compare(y.size(), x.size()) })
	return out[:min(len(out), maxSets)]
}

// addLargest adds a set to others, so that none contains another.
func addLargest(sets []partSet, set partSet) []partSet {
	if slices.ContainsFunc(sets, func(s partSet) bool { return s.contains(set) }) {
		return sets
	}
	sets = slices.DeleteFunc(sets, set.contains)
	return append(sets, set)
}

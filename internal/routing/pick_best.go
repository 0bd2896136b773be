package routing

// Best picks the candidate with the highest score. Ties go to the candidate with
// the fewest requests in flight, then to the first by name. A deterministic pick
// causes no herding here, because the owner's counts are exact.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(scored []ScoredCandidate) *Candidate {
	best := scored[0]
	for _, s := range scored[1:] {
		if s.Score > best.Score || s.Score == best.Score && winsTie(s, best) {
			best = s
		}
	}
	return best.Candidate
}

// winsTie reports whether a is picked before b at equal scores.
func winsTie(a, b ScoredCandidate) bool {
	if a.InFlight != b.InFlight {
		return a.InFlight < b.InFlight
	}
	return a.Name < b.Name
}

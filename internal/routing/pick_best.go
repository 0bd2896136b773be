package routing

// Best picks the highest score. Equal scores go to the candidate with the
// fewest requests, then by name: the owner's counts are exact, so that a
// deterministic pick does not herd.
type Best struct{}

// Pick implements Picker.
func (Best) Pick(scored []Scored) *Candidate {
	best := scored[0]
	for _, s := range scored[1:] {
		if s.Score > best.Score || s.Score == best.Score && before(s, best) {
			best = s
		}
	}
	return best.Candidate
}

func before(a, b Scored) bool {
	if a.InFlight != b.InFlight {
		return a.InFlight < b.InFlight
	}
	return a.Name < b.Name
}

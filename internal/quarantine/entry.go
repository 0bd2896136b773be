package quarantine

import (
	"slices"
	"time"
)

// How long a quarantine holds.
const (
	// firstHold is how long a set of parts is quarantined for the first time. Each
	// further time doubles it, up to maxHold.
	firstHold = 10 * time.Minute
	maxHold   = 4 * time.Hour
)

// Quarantine is a set of parts that crash targets when one request has all of them.
type Quarantine struct {
	Parts []string  `json:"parts"` // sorted
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	// Times is how often the set was quarantined.
	Times int `json:"times"`
}

// entry is a quarantine with its state. After its end it is kept as long as it held:
// one crash then suffices to quarantine its parts again.
type entry struct {
	Quarantine
	lifted    bool
	changedAt time.Time
}

func (e *entry) active(now time.Time) bool { return !e.lifted && now.Before(e.Until) }

// end returns until when the entry explains crashes.
func (e *entry) end() time.Time {
	if e.lifted {
		return e.changedAt
	}
	return e.Until
}

// explains reports whether one of the crash's suspects has all parts of the entry.
func (e *entry) explains(c *crash) bool {
	return slices.ContainsFunc(c.suspects, func(x Suspect) bool { return ContainsAll(x.Shared, e.Parts) })
}

func (s *Store) explained(c *crash) bool {
	for _, e := range s.quarantines {
		if c.at.Before(e.end()) && e.explains(c) {
			return true
		}
	}
	return false
}

func (s *Store) isQuarantined(part string) bool {
	for _, e := range s.quarantines {
		if !e.lifted && slices.Contains(e.Parts, part) {
			return true
		}
	}
	return false
}

// quarantine puts a set of parts in quarantine. Larger sets that contain it end.
func (s *Store) quarantine(c candidate, now time.Time) {
	times := 1
	if old := s.quarantines[key(c.parts)]; old != nil {
		times = old.Times + 1
	}
	s.removeSupersets(c.parts)
	s.put(&entry{Quarantine: Quarantine{Parts: c.parts, Since: now, Until: now.Add(hold(times)), Times: times}, changedAt: now})
	s.metrics.Counter("quarantine.begun").Inc(1)
	s.log.Error().Strs("parts", c.parts).Int("crashes", c.crashes).Int("times", times).Dur("hold", hold(times)).Msg("prompt parts quarantined")
	s.updateGauge(now)
	s.notifyChanged()
}

// removeSupersets removes the entries that contain all of the parts.
func (s *Store) removeSupersets(parts []string) {
	for k, e := range s.quarantines {
		if ContainsAll(e.Parts, parts) {
			delete(s.quarantines, k)
		}
	}
}

// hold returns how long a set is quarantined for the given time, counted from 1.
func hold(times int) time.Duration {
	return min(maxHold, firstHold<<min(times-1, 10))
}

// put stores an entry. If there are too many, the one that ends first is removed.
func (s *Store) put(e *entry) {
	s.quarantines[key(e.Parts)] = e
	if s.onBegin != nil && e.active(s.now()) {
		go s.onBegin(e.Parts)
	}
	if len(s.quarantines) <= maxQuarantines {
		return
	}
	var oldest *entry
	for _, x := range s.quarantines {
		if oldest == nil || x.end().Before(oldest.end()) {
			oldest = x
		}
	}
	delete(s.quarantines, key(oldest.Parts))
}

// correct removes the parts that were served from the quarantines. One without a part
// left was wrong.
func (s *Store) correct(now time.Time) {
	for k, e := range s.quarantines {
		if !e.active(now) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(e.Parts), func(p string) bool { return s.cleanAfter(p, e.Since) })
		switch len(rest) {
		case len(e.Parts):
		case 0:
			s.lift(e, now, "requests with these parts were served")
		default:
			delete(s.quarantines, k)
			s.narrow(e, rest, now)
		}
	}
}

// narrow replaces an entry by one for fewer of its parts.
func (s *Store) narrow(e *entry, parts []string, now time.Time) {
	if known := s.quarantines[key(parts)]; known != nil && known.active(now) {
		return
	}
	e.Parts, e.changedAt = parts, now
	s.put(e)
	s.log.Warn().Strs("parts", parts).Msg("prompt parts quarantined without those that were served")
	s.notifyChanged()
}

func (s *Store) lift(e *entry, now time.Time, reason string) {
	e.lifted, e.changedAt = true, now
	s.metrics.Counter("quarantine.lifted").Inc(1)
	s.log.Warn().Strs("parts", e.Parts).Str("reason", reason).Msg("quarantine lifted")
	s.updateGauge(now)
	s.notifyChanged()
}

// expire forgets old crashes and entries, and renews an ended quarantine whose parts
// crash a target again.
func (s *Store) expire(now time.Time) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c *crash) bool { return now.Sub(c.at) > crashRetention })
	for k, e := range s.quarantines {
		held := e.Until.Sub(e.Since)
		switch {
		case now.After(e.Until.Add(held)):
			delete(s.quarantines, k)
		case !e.lifted && !e.active(now) && s.crashesAgain(e):
			s.quarantine(candidate{parts: e.Parts, crashes: 1}, now)
		}
	}
	s.updateGauge(now)
}

// crashesAgain reports whether a target has crashed with the parts of an ended
// quarantine, and no request with one of them was served since it ended.
func (s *Store) crashesAgain(e *entry) bool {
	if slices.ContainsFunc(e.Parts, func(p string) bool { return s.cleanAfter(p, e.Until) }) {
		return false
	}
	return slices.ContainsFunc(s.crashes, func(c *crash) bool { return c.at.After(e.Until) && e.explains(c) })
}

func (s *Store) updateGauge(now time.Time) {
	active := 0
	for _, e := range s.quarantines {
		if e.active(now) {
			active++
		}
	}
	s.metrics.Gauge("quarantine.active").Update(float64(active))
}

// List returns the quarantines in force, those that began last first.
func (s *Store) List() []Quarantine {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	out := []Quarantine{}
	for _, e := range s.quarantines {
		if e.active(now) {
			out = append(out, e.Quarantine)
		}
	}
	slices.SortFunc(out, func(a, b Quarantine) int { return b.Since.Compare(a.Since) })
	return out
}

// Lift ends the quarantine of exactly these parts at all instances. It returns false if
// they are not quarantined.
func (s *Store) Lift(parts []string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	sorted := slices.Clone(parts)
	slices.Sort(sorted)
	e := s.quarantines[key(sorted)]
	if e == nil || !e.active(now) {
		return false
	}
	s.lift(e, now, "by an operator")
	return true
}

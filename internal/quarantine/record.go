package quarantine

import (
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// How long a quarantine holds.
const (
	// firstHold is how long a set of parts is quarantined for the first time. Each
	// further time doubles it, up to maxHold.
	firstHold = 10 * time.Minute
	maxHold   = 4 * time.Hour
)

// Quarantine is a set of parts that crash targets when one request has all of them, or
// the identity of one request.
type Quarantine struct {
	Parts []string  `json:"parts"` // sorted
	Since time.Time `json:"since"`
	Until time.Time `json:"until"`
	// Times is how often the set was quarantined.
	Times int `json:"times"`
}

// IsRequest reports whether repeats of one request are quarantined, not parts of prompts.
func (q Quarantine) IsRequest() bool { return len(q.Parts) == 1 && IsIdentity(q.Parts[0]) }

// Error returns the error for a request that falls under a quarantine.
func Error(q Quarantine) *resultcode.Error {
	if q.IsRequest() {
		return resultcode.Newf(resultcode.RequestQuarantined, "targets crash when they run this request (%s)", q.Parts[0])
	}
	return resultcode.Newf(resultcode.PromptQuarantined, "targets crash when they answer a prompt with the parts %v", q.Parts)
}

// record is a quarantine with its state. After its end it is kept as long as it held:
// one crash then suffices to quarantine its parts again.
type record struct {
	Quarantine
	lifted    bool
	changedAt time.Time
}

func (r *record) active(now time.Time) bool { return !r.lifted && now.Before(r.Until) }

// end returns until when the record explains crashes.
func (r *record) end() time.Time {
	if r.lifted {
		return r.changedAt
	}
	return r.Until
}

// explains reports whether one of the crash's suspects has all parts of the record.
func (r *record) explains(c *crash) bool {
	return slices.ContainsFunc(c.suspects, func(x Suspect) bool { return ContainsAll(x.Shared, r.Parts) })
}

// explained reports whether a quarantine is the cause of a crash.
func (s *Store) explained(c *crash) bool {
	return c.forgotten.parts || c.forgotten.request || s.explainedBy(c, func(*record) bool { return true })
}

// explainedByParts is explained without the quarantines of whole requests: their crashes
// are still evidence against the parts that the request has in common with others.
func (s *Store) explainedByParts(c *crash) bool {
	return c.forgotten.parts || s.explainedBy(c, func(r *record) bool { return !r.IsRequest() })
}

func (s *Store) explainedBy(c *crash, counts func(*record) bool) bool {
	for _, r := range s.quarantines {
		if counts(r) && c.at.Before(r.end()) && r.explains(c) {
			return true
		}
	}
	return false
}

func (s *Store) isQuarantined(part string) bool {
	for _, r := range s.quarantines {
		if !r.lifted && slices.Contains(r.Parts, part) {
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
	s.put(&record{Quarantine: Quarantine{Parts: c.parts, Since: now, Until: now.Add(hold(times)), Times: times}, changedAt: now})
	s.metrics.Counter("quarantine.begun").Inc(1)
	s.log.Error().Strs("parts", c.parts).Int("crashes", c.crashes).Int("times", times).Dur("hold", hold(times)).Msg("quarantined")
	s.updateGauge(now)
	s.changed.Set()
}

// removeSupersets removes the records that contain all of the parts.
func (s *Store) removeSupersets(parts []string) {
	for k, r := range s.quarantines {
		if ContainsAll(r.Parts, parts) {
			delete(s.quarantines, k)
		}
	}
}

// hold returns how long a set is quarantined for the given time, counted from 1.
func hold(times int) time.Duration {
	return min(maxHold, firstHold<<min(times-1, 10))
}

// put stores a record. If there are too many, the other one that ends first is removed.
func (s *Store) put(r *record) {
	s.quarantines[key(r.Parts)] = r
	s.recordsChanged.Set()
	if s.onBegin != nil && r.active(s.now()) {
		go s.onBegin(r.Parts)
	}
	if len(s.quarantines) <= maxQuarantines {
		return
	}
	var oldest *record
	for _, x := range s.quarantines {
		if x != r && (oldest == nil || x.end().Before(oldest.end())) {
			oldest = x
		}
	}
	s.forget(oldest)
}

// forget removes a record for which there is no room, with the crashes that led to it:
// they would lead to it again at once, and so displace another one.
func (s *Store) forget(r *record) {
	delete(s.quarantines, key(r.Parts))
	for _, c := range s.crashes {
		if r.explains(c) {
			c.forgotten.parts = c.forgotten.parts || !r.IsRequest()
			c.forgotten.request = c.forgotten.request || r.IsRequest()
		}
	}
	s.metrics.Counter("quarantine.forgotten").Inc(1)
	s.log.Error().Strs("parts", r.Parts).Int("kept", len(s.quarantines)).Msg("quarantine forgotten, there are too many")
}

// correct removes the parts that were served from the quarantines. One without a part
// left was wrong.
func (s *Store) correct(now time.Time) {
	for k, r := range s.quarantines {
		if !r.active(now) {
			continue
		}
		rest := slices.DeleteFunc(slices.Clone(r.Parts), func(p string) bool { return s.cleanAfter(p, r.Since) })
		switch len(rest) {
		case len(r.Parts):
		case 0:
			s.lift(r, now, "requests with these parts were served")
		default:
			delete(s.quarantines, k)
			s.narrow(r, rest, now)
		}
	}
}

// narrow replaces a record by one for fewer of its parts.
func (s *Store) narrow(r *record, parts []string, now time.Time) {
	if known := s.quarantines[key(parts)]; known != nil && known.active(now) {
		return
	}
	r.Parts, r.changedAt = parts, now
	s.put(r)
	s.log.Warn().Strs("parts", parts).Msg("quarantined without the parts that were served")
	s.changed.Set()
}

func (s *Store) lift(r *record, now time.Time, reason string) {
	r.lifted, r.changedAt = true, now
	s.recordsChanged.Set()
	s.metrics.Counter("quarantine.lifted").Inc(1)
	s.log.Warn().Strs("parts", r.Parts).Str("reason", reason).Msg("quarantine lifted")
	s.updateGauge(now)
	s.changed.Set()
}

// expire forgets old crashes and records, and renews an ended quarantine whose parts
// crash a target again.
func (s *Store) expire(now time.Time) {
	s.crashes = slices.DeleteFunc(s.crashes, func(c *crash) bool { return now.Sub(c.at) > crashRetention })
	for k, r := range s.quarantines {
		held := r.Until.Sub(r.Since)
		switch {
		case now.After(r.Until.Add(held)):
			delete(s.quarantines, k)
		case !r.lifted && !r.active(now) && s.crashesAgain(r):
			s.quarantine(candidate{parts: r.Parts, crashes: 1}, now)
		}
	}
	s.updateGauge(now)
}

// crashesAgain reports whether a target has crashed with the parts of an ended
// quarantine, and no request with one of them was served since it ended.
func (s *Store) crashesAgain(r *record) bool {
	if slices.ContainsFunc(r.Parts, func(p string) bool { return s.cleanAfter(p, r.Until) }) {
		return false
	}
	return slices.ContainsFunc(s.crashes, func(c *crash) bool { return c.at.After(r.Until) && r.explains(c) })
}

func (s *Store) updateGauge(now time.Time) {
	active := 0
	for _, r := range s.quarantines {
		if r.active(now) {
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
	for _, r := range s.quarantines {
		if r.active(now) {
			out = append(out, r.Quarantine)
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
	r := s.quarantines[key(sorted)]
	if r == nil || !r.active(now) {
		return false
	}
	s.lift(r, now, "by an operator")
	return true
}

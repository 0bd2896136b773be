package quarantine

import (
	"maps"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/age"
	"github.com/endivetrack/endivetrack/internal/fleet"
)

const (
	// sentCrashAge is the age up to which crashes are sent to peers. Older ones have
	// led to a quarantine or are too few.
	sentCrashAge = 30 * time.Second
	// maxEvidenceBytes bounds one datagram, without the list of served parts, and
	// maxCrashBytes the suspects of one crash in it. A datagram in many packets is more
	// likely to be lost.
	maxEvidenceBytes = 12 << 10
	maxCrashBytes    = 4 << 10
	// maxQuarantineBytes bounds the quarantines in one datagram. The replicated state holds
	// the others.
	maxQuarantineBytes = 8 << 10
	// maxParts bounds the parts of one received suspect or quarantine.
	maxParts = 64
	// mergeTolerance is the difference below which two times of change are the same one,
	// told by datagrams that took different times.
	mergeTolerance = 500 * time.Millisecond
)

// Evidence returns what peers need to know, within maxEvidenceBytes; nil if there is
// nothing. Crashes that a quarantine explains are left out, older ones give way to newer
// ones.
func (s *Store) Evidence() *api.FleetEvidence {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	m := &api.FleetEvidence{}
	s.addQuarantines(m, now)
	left := maxEvidenceBytes - proto.Size(m)
	for _, c := range slices.Backward(s.crashes) {
		if now.Sub(c.at) > sentCrashAge || s.explainedByParts(c) {
			continue
		}
		x := encodeCrash(c, now)
		if left -= proto.Size(x); left < 0 {
			break
		}
		m.Crashes = append(m.Crashes, x)
	}
	if len(m.Crashes) == 0 && len(m.Quarantines) == 0 {
		return nil
	}
	for _, p := range partsOf(m) {
		if at, ok := s.cleanTimes(p).Peek(p); ok {
			m.Served = append(m.Served, &api.FleetServedPart{Part: p, AgeMs: age.Of(at, now)})
		}
	}
	return m
}

// addQuarantines adds the quarantines that have not ended, those that changed last first.
// One that does not fit is left out: it must not keep the others from being told.
func (s *Store) addQuarantines(m *api.FleetEvidence, now time.Time) {
	newestFirst := slices.SortedFunc(maps.Values(s.quarantines), func(a, b *record) int { return b.changedAt.Compare(a.changedAt) })
	left := maxQuarantineBytes
	for _, r := range newestFirst {
		if !now.Before(r.Until) {
			continue
		}
		x := encodeRecord(r, now)
		if size := proto.Size(x); size <= left {
			left -= size
			m.Quarantines = append(m.Quarantines, x)
		}
	}
}

// partsOf returns the shared parts and the keys of the services that evidence names.
func partsOf(m *api.FleetEvidence) []string {
	parts := map[string]bool{}
	add := func(list []string) {
		for _, p := range list {
			parts[p] = true
		}
	}
	for _, c := range m.Crashes {
		parts[serviceKey(c.Service)] = true
		for _, x := range c.Suspects {
			add(x.Shared)
		}
	}
	for _, q := range m.Quarantines {
		add(q.Parts)
	}
	return slices.Collect(maps.Keys(parts))
}

// encodeCrash encodes a crash with as many of its suspects as fit into maxCrashBytes.
func encodeCrash(c *crash, now time.Time) *api.FleetCrash {
	m := &api.FleetCrash{Target: c.id.Target, Born: c.id.Incarnation, Service: c.service, AgeMs: age.Of(c.at, now)}
	left := maxCrashBytes
	for _, x := range c.suspects {
		encoded := &api.FleetSuspect{Shared: x.Shared, Own: x.Own, SentMs: age.Of(x.SentAt, now)}
		if left -= proto.Size(encoded); left < 0 {
			break
		}
		m.Suspects = append(m.Suspects, encoded)
	}
	return m
}

func encodeRecord(r *record, now time.Time) *api.FleetQuarantine {
	q := r.replicated()
	m := encodeReport(&q, now)
	m.ChangedMs = age.Of(r.changedAt, now)
	return m
}

// encodeReport encodes a record for a control instance.
func encodeReport(q *fleet.QuarantineRecord, now time.Time) *api.FleetQuarantine {
	return &api.FleetQuarantine{
		Parts: q.Parts, SinceMs: age.Of(q.Since, now), LeftMs: age.Millis(q.Until.Sub(now)), Times: uint32(q.Times), Lifted: q.Lifted,
	}
}

// Merge adds what a peer knows.
func (s *Store) Merge(m *api.FleetEvidence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	for _, p := range m.GetServed() {
		s.mergeServed(p, now)
	}
	clears := false
	for _, c := range m.GetCrashes() {
		s.mergeCrash(c, now)
		clears = clears || s.clearsSuspect(c, m.GetServed(), now)
	}
	s.boundSharedParts()
	for _, q := range m.GetQuarantines() {
		s.mergeRecord(q, now)
	}
	s.correct(now)
	s.decide(now)
	if clears {
		s.changed.Set()
	}
}

// clearsSuspect reports whether a request that is suspect of the crash was served here,
// which the sender of the evidence does not know.
func (s *Store) clearsSuspect(m *api.FleetCrash, served []*api.FleetServedPart, now time.Time) bool {
	since := age.Time(now, m.GetAgeMs()).Add(-cleanBefore)
	for _, x := range m.GetSuspects() {
		for _, p := range x.GetShared() {
			if !IsIdentity(p) || !s.cleanAfter(p, since) {
				continue
			}
			known := slices.ContainsFunc(served, func(o *api.FleetServedPart) bool {
				return o.GetPart() == p && !s.cleanAfter(p, age.Time(now, o.GetAgeMs()).Add(mergeTolerance))
			})
			if !known {
				return true
			}
		}
	}
	return false
}

func (s *Store) mergeServed(m *api.FleetServedPart, now time.Time) {
	at, times := age.Time(now, m.GetAgeMs()), s.cleanTimes(m.GetPart())
	if known, ok := times.Peek(m.GetPart()); !ok || at.After(known) {
		times.Add(m.GetPart(), at)
	}
}

func (s *Store) mergeCrash(m *api.FleetCrash, now time.Time) {
	id, at := CrashID{Target: m.GetTarget(), Incarnation: m.GetBorn()}, age.Time(now, m.GetAgeMs())
	c := s.crash(id)
	if c == nil {
		c = &crash{id: id, service: m.GetService(), at: at}
		s.addCrash(c)
	}
	if at.Before(c.at) {
		c.at = at
	}
	for _, x := range m.GetSuspects() {
		if shared := x.GetShared(); len(shared) <= maxParts {
			c.addSuspect(Suspect{Shared: shared, Own: x.GetOwn(), SentAt: age.Time(now, x.GetSentMs())})
		}
	}
}

// mergeRecord adopts a peer's quarantine unless this instance knows a newer state of it.
func (s *Store) mergeRecord(m *api.FleetQuarantine, now time.Time) {
	parts := slices.Clone(m.GetParts())
	slices.Sort(parts)
	if len(parts) == 0 || len(parts) > maxParts || strings.Contains(key(parts), ":") {
		return
	}
	changedAt := age.Time(now, m.GetChangedMs())
	known := s.quarantines[key(parts)]
	if known != nil && !isNewer(m.GetLifted(), changedAt, known) {
		return
	}
	s.adopt(&record{lifted: m.GetLifted(), changedAt: changedAt, Quarantine: Quarantine{
		Parts: parts, Since: age.Time(now, m.GetSinceMs()), Until: now.Add(time.Duration(m.GetLeftMs()) * time.Millisecond), Times: int(m.GetTimes()),
	}}, "peer", now)
}

// adopt stores a record that another instance has decided, unless a quarantine of fewer of
// its parts is in force. source says where it is from.
func (s *Store) adopt(r *record, source string, now time.Time) {
	if s.supersededByPart(r.Parts, now) {
		return
	}
	if r.active(now) {
		s.removeSupersets(r.Parts)
		s.log.Warn().Strs("parts", r.Parts).Int("times", r.Times).Str("source", source).Msg("quarantined elsewhere")
	}
	s.put(r)
	s.updateGauge(now)
}

// isNewer reports whether a peer's state of a record, lifted or not, is newer than the
// known one. Of two states of the same time the lifted one is the newer.
func isNewer(lifted bool, changedAt time.Time, known *record) bool {
	if lifted && !known.lifted {
		return changedAt.After(known.changedAt.Add(-mergeTolerance))
	}
	return changedAt.After(known.changedAt.Add(mergeTolerance))
}

// supersededByPart reports whether a quarantine of fewer of the parts is in force.
func (s *Store) supersededByPart(parts []string, now time.Time) bool {
	for _, r := range s.quarantines {
		if r.active(now) && len(r.Parts) < len(parts) && ContainsAll(parts, r.Parts) {
			return true
		}
	}
	return false
}

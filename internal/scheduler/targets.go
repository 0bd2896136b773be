package scheduler

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/api"
)

// Times that the owner's view of targets depends on.
const (
	// TargetLease is how long an announcement entitles a target to new work.
	TargetLease = 3 * time.Second
	// forgetAfter removes a silent target without permits.
	forgetAfter = 5 * time.Minute
	// takeOverTime is how long a new owner admits only takeOverShare of each
	// limit, because holders' reports may still be on their way.
	takeOverTime  = time.Second
	takeOverShare = 0.25
)

// defaultLimit bounds a target that does not say how much it can run.
const defaultLimit = 8

type target struct {
	name         string
	announcement *api.Announcement // nil until the first one
	seen         time.Time
	inFlight     int
}

// Announce takes a target's announcement.
func (s *Shard) Announce(a *api.Announcement, now time.Time) {
	t := s.target(a.GetTarget())
	if t.announcement != nil && a.GetIncarnation() == t.announcement.GetIncarnation() &&
		a.GetPreemptionsTotal() > t.announcement.GetPreemptionsTotal() {
		s.totals.Preemptions += uint64(a.GetPreemptionsTotal() - t.announcement.GetPreemptionsTotal())
	}
	t.announcement, t.seen = a, now
}

func (s *Shard) target(name string) *target {
	t := s.targets[name]
	if t == nil {
		t = &target{name: name}
		s.targets[name] = t
	}
	return t
}

func (t *target) serves(model string, plain bool) bool {
	return t.announcement != nil && (plain || slices.Contains(t.announcement.GetModels(), model))
}

func (s *Shard) usable(t *target, r Request, now time.Time) bool {
	a := t.announcement
	return t.serves(r.Class.GetModel(), s.plain()) &&
		now.Sub(t.seen) <= TargetLease && !a.GetLeaving() &&
		s.team.FailureDomainInService(a.GetFailureDomain()) &&
		!slices.Contains(s.service.DrainedTargets, t.name) &&
		!slices.Contains(r.Exclude, t.name)
}

func (s *Shard) limit(t *target, now time.Time) int {
	limit := defaultLimit
	if s.plain() {
		limit = s.service.MaxInFlight
	}
	if now.Sub(s.started) < takeOverTime {
		limit = int(float64(limit)*takeOverShare + 0.5)
	}
	return limit
}

// FreePermits returns how many permits the targets have left.
func (s *Shard) FreePermits(now time.Time) int {
	free := 0
	for _, t := range s.targets {
		if s.alive(t, now) {
			free += max(0, s.limit(t, now)-t.inFlight)
		}
	}
	return free
}

func (s *Shard) alive(t *target, now time.Time) bool {
	return t.announcement != nil && now.Sub(t.seen) <= TargetLease && !t.announcement.GetLeaving()
}

// forgetSilent removes targets that were silent for long.
func (s *Shard) forgetSilent(now time.Time) {
	maps.DeleteFunc(s.targets, func(_ string, t *target) bool {
		return t.inFlight == 0 && now.Sub(t.seen) > forgetAfter
	})
}

// Targets returns the announcement of every announced target, by name.
func (s *Shard) Targets() []*api.Announcement {
	var out []*api.Announcement
	for _, t := range s.targets {
		if t.announcement != nil {
			out = append(out, t.announcement)
		}
	}
	slices.SortFunc(out, func(a, b *api.Announcement) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	return out
}

// Status describes the targets, by name.
func (s *Shard) Status(now time.Time) []*api.TargetStatus {
	var out []*api.TargetStatus
	for _, name := range slices.Sorted(maps.Keys(s.targets)) {
		t := s.targets[name]
		a := t.announcement
		out = append(out, &api.TargetStatus{
			Name: name, Address: a.GetAddress(), FailureDomain: a.GetFailureDomain(),
			Cold: a.GetCold(), Leaving: a.GetLeaving(), InService: s.team.FailureDomainInService(a.GetFailureDomain()),
			InFlight: uint32(t.inFlight), Limit: uint32(s.limit(t, now)),
			MemoryTokens: a.GetMemoryTokens(), PreemptionsTotal: a.GetPreemptionsTotal(),
		})
	}
	return out
}

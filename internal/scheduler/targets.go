package scheduler

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/admission"
	"github.com/endivetrack/endivetrack/internal/routing"
)

const (
	// forgetAfter removes a silent target without permits.
	forgetAfter = 5 * time.Minute
	// takeOverTime is how long a new owner admits only takeOverShare of each
	// limit, because holders' reports may still be on their way.
	takeOverTime  = time.Second
	takeOverShare = 0.25
	// reportFloorTime is how long the load that a target reports is a floor
	// for what the owner knows, after a take-over or the target's first
	// announcement.
	reportFloorTime = 2 * time.Second
	// forecastTTL is how old a target's forecast may be while nothing changes.
	forecastTTL = 100 * time.Millisecond
)

// Shares kept for short classes while requests of them arrive.
const (
	shortConcurrencyShare = 0.125
	shortMemoryShare      = 0.05
	// shortMemory is how long after the last arrival the shares are kept.
	shortMemory = 30 * time.Second
)

// TargetState is how the owner sees a target.
type TargetState string

// States of targets.
const (
	TargetUnknown TargetState = ""        // not announced yet
	TargetCold    TargetState = "cold"    // in its cold start ramp
	TargetWarm    TargetState = "warm"    // at its learned limit
	TargetLeaving TargetState = "leaving" // gets no new work, by its own wish
	TargetSilent  TargetState = "silent"  // its lease has run out
)

// Change is a change of a target's state.
type Change struct {
	Target   string
	From, To TargetState
}

func (s *Shard) state(t *target, now time.Time) TargetState {
	switch {
	case t.announcement == nil:
		return TargetUnknown
	case now.Sub(t.seen) > routing.TargetLease:
		return TargetSilent
	case t.announcement.GetLeaving():
		return TargetLeaving
	case !s.plain() && t.limit.Cold():
		return TargetCold
	}
	return TargetWarm
}

// target is what the owner knows of one target.
type target struct {
	name         string
	announcement *api.Announcement // nil until the first one
	seen         time.Time
	appeared     time.Time // first announcement
	permits      map[string]*permit
	shorts       int         // permits of short classes
	idleSince    time.Time   // when the last permit ended
	state        TargetState // at the last tick

	limit  *admission.Limit // nil until the first announcement
	margin admission.Margin
	prefix *routing.PrefixRecord

	forecast   admission.Forecast
	forecastAt time.Time // zero: must be rebuilt

	freed bool // capacity was freed since the last full pass

	sample    admission.Sample // of the control interval
	gapTokens float64          // tokens behind the sample's gap
	interval  time.Time        // start of the control interval
}

// Announce takes a target's announcement.
func (s *Shard) Announce(a *api.Announcement, now time.Time) {
	t := s.target(a.GetTarget(), now)
	last := t.announcement
	if !s.alive(t, now) || !sameCapacity(last, a) {
		s.free(t)
	}
	t.announcement, t.seen = a, now
	switch {
	case last == nil:
		t.appeared = now
		t.limit = admission.NewLimit(int(a.GetMaxRunning()))
		if !a.GetCold() {
			t.limit.Resume(int(a.GetReportedRunning()))
		}
	case last.GetIncarnation() != a.GetIncarnation():
		t.limit.Cool()
		t.prefix.Reset()
	}
	t.limit.Announce(a.GetCold())
	if last != nil && last.GetIncarnation() == a.GetIncarnation() && a.GetPreemptionsTotal() > last.GetPreemptionsTotal() {
		s.totals.Preemptions += uint64(a.GetPreemptionsTotal() - last.GetPreemptionsTotal())
		t.sample.Preempted = true
	}
	t.limit.SetMax(int(a.GetMaxRunning()))
	for _, e := range a.GetCacheEvents() {
		t.prefix.Event(e, now)
	}
}

func sameCapacity(a, b *api.Announcement) bool {
	return a.GetMaxRunning() == b.GetMaxRunning() && a.GetMemoryTokens() == b.GetMemoryTokens() && slices.Equal(a.GetModels(), b.GetModels())
}

func (s *Shard) target(name string, now time.Time) *target {
	t := s.targets[name]
	if t == nil {
		t = &target{name: name, seen: now, idleSince: now, interval: now, permits: map[string]*permit{}, prefix: routing.NewPrefixRecord()}
		s.targets[name] = t
	}
	return t
}

// candidate describes the target to the routing plugins, without the fields
// that depend on the request; nil before the first announcement.
func (s *Shard) candidate(t *target, short bool, now time.Time) *routing.Candidate {
	a := t.announcement
	if a == nil {
		return nil
	}
	c := &routing.Candidate{
		Name:          t.name,
		FailureDomain: a.GetFailureDomain(),
		Models:        a.GetModels(),
		Announced:     t.seen,
		Leaving:       a.GetLeaving(),
		Drained:       slices.Contains(s.service.DrainedTargets, t.name),
		InService:     s.team.FailureDomainInService(a.GetFailureDomain()),
		InFlight:      s.inFlight(t, now),
		Limit:         s.limit(t, now),
		Bound:         int(a.GetMaxRunning()),
	}
	if !s.plain() {
		c.Memory = float64(a.GetMemoryTokens())
	}
	if !short && now.Sub(s.shortSeen) < shortMemory {
		kept := int(math.Ceil(float64(c.Limit) * shortConcurrencyShare))
		if c.Limit > kept {
			c.Limit -= max(0, kept-t.shorts)
		}
		c.Memory *= 1 - shortMemoryShare
	}
	return c
}

// inFlight is the owner's exact count, or the reported load while the owner
// may not know all permits yet.
func (s *Shard) inFlight(t *target, now time.Time) int {
	n := len(t.permits)
	if s.trustsReport(t, now) {
		n = max(n, int(t.announcement.GetReportedRunning()))
	}
	return n
}

func (s *Shard) trustsReport(t *target, now time.Time) bool {
	return now.Sub(s.started) < reportFloorTime || now.Sub(t.appeared) < reportFloorTime
}

func (s *Shard) limit(t *target, now time.Time) int {
	limit := s.service.MaxInFlight
	if !s.plain() {
		limit = t.limit.Allowed()
	}
	if now.Sub(s.started) < takeOverTime {
		limit = int(math.Ceil(float64(limit) * takeOverShare))
	}
	return limit
}

// peakWith predicts the peak of the target's resident tokens if it also ran
// the request.
func (s *Shard) peakWith(t *target, r Request, forecast *admission.Forecast, now time.Time) float64 {
	s.refreshForecast(t, now)
	peak := t.forecast.PeakWith(forecast, t.margin.Value())
	if s.trustsReport(t, now) {
		peak = max(peak, float64(t.announcement.GetReportedTokens()+r.Class.GetPromptTokens()))
	}
	return peak
}

// requestForecast is the forecast of a request that does not run yet.
func (s *Shard) requestForecast(c *api.RequestClass) *admission.Forecast {
	return admission.ForecastOf(admission.Sequence{
		Prompt: int(c.GetPromptTokens()), Max: s.maxOutput(c), Residual: s.lengths.Curve(lengthKey(c)),
	})
}

func (s *Shard) refreshForecast(t *target, now time.Time) {
	if !t.forecastAt.IsZero() && now.Sub(t.forecastAt) < forecastTTL {
		return
	}
	t.forecast, t.forecastAt = admission.Forecast{}, now
	for _, id := range slices.Sorted(maps.Keys(t.permits)) { // a fixed order of summation
		t.forecast.Add(admission.ForecastOf(s.sequence(t.permits[id], now)))
	}
}

// FreePermits returns how many permits the targets have left.
func (s *Shard) FreePermits(now time.Time) int {
	free := 0
	for _, t := range s.targets {
		if s.alive(t, now) {
			free += max(0, s.limit(t, now)-s.inFlight(t, now))
		}
	}
	return free
}

func (s *Shard) alive(t *target, now time.Time) bool {
	return t.announcement != nil && now.Sub(t.seen) <= routing.TargetLease && !t.announcement.GetLeaving()
}

// control ends the target's control interval and adjusts its limit. It returns
// true when the limit grew.
func (t *target) control(now time.Time, targetGap time.Duration) bool {
	if now.Sub(t.interval) < admission.ControlInterval || t.limit == nil {
		return false
	}
	before := t.limit.Allowed()
	t.limit.Observe(t.sample, targetGap)
	t.margin.Observe(t.sample.Preempted)
	t.sample, t.gapTokens, t.interval = admission.Sample{InFlight: len(t.permits)}, 0, now
	return t.limit.Allowed() > before
}

// Targets returns the announcement of every target that is alive, by name.
func (s *Shard) Targets(now time.Time) []*api.Announcement {
	var out []*api.Announcement
	for _, t := range s.targets {
		if s.alive(t, now) {
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
		if a == nil {
			continue
		}
		s.refreshForecast(t, now)
		out = append(out, &api.TargetStatus{
			Name: name, Address: a.GetAddress(), FailureDomain: a.GetFailureDomain(),
			Cold: !s.plain() && t.limit.Cold(), Leaving: a.GetLeaving(), InService: s.team.FailureDomainInService(a.GetFailureDomain()),
			InFlight: uint32(len(t.permits)), Limit: uint32(s.limit(t, now)),
			PredictedTokens: uint32(t.forecast.Peak(t.margin.Value())),
			MemoryTokens:    a.GetMemoryTokens(), PreemptionsTotal: a.GetPreemptionsTotal(),
		})
	}
	return out
}

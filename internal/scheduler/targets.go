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
	"github.com/endivetrack/endivetrack/internal/statement"
)

const (
	// silentTargetTTL is how long a silent target without permits is kept.
	silentTargetTTL = 5 * time.Minute
	// takeoverPeriod is how long a new owner admits only takeoverLimitShare
	// of each limit, because holders' first reports may still be in transit.
	takeoverPeriod     = time.Second
	takeoverLimitShare = 0.25
	// reportFloorPeriod is how long the load that a target reports is used as
	// a lower bound of the owner's own count, after a takeover or after the
	// target's first announcement.
	reportFloorPeriod = 2 * time.Second
	// forecastTTL is the maximum age of a target's forecast while its permits do not change.
	forecastTTL = 100 * time.Millisecond
)

// Shares of each target's capacity that are reserved for short classes (whose
// outputs have only a few tokens) while requests of such classes arrive.
const (
	shortConcurrencyShare = 0.125
	shortMemoryShare      = 0.05
	// shortShareTTL is how long the shares stay reserved after a short class's last request.
	shortShareTTL = 30 * time.Second
)

// TargetState is the state of a target as the owner sees it.
type TargetState string

// States of targets.
const (
	TargetUnknown TargetState = ""        // no announcement yet
	TargetCold    TargetState = "cold"    // its limit is raised gradually after a cold start (ramp)
	TargetWarm    TargetState = "warm"    // it runs requests up to its learned limit
	TargetLeaving TargetState = "leaving" // it has announced, or said in an answer, that it accepts no new work
	TargetSilent  TargetState = "silent"  // its last announcement is older than routing.TargetLease
)

// TargetStateChange is a change of a target's state.
type TargetStateChange struct {
	Target   string
	From, To TargetState
}

// stateOf returns the target's state at the given time.
func (s *Shard) stateOf(t *target, now time.Time) TargetState {
	switch {
	case t.announcement == nil:
		return TargetUnknown
	case now.Sub(t.lastAnnounced) > routing.TargetLease:
		return TargetSilent
	case t.isLeaving(now):
		return TargetLeaving
	case !s.isPlainService() && t.limit.Cold():
		return TargetCold
	}
	return TargetWarm
}

// target is the owner's record of one target. lastAnnounced is the time of the last
// announcement, or of the record's creation before the first one.
type target struct {
	name           string
	announcement   *api.Announcement // latest announcement; nil before the first one
	saidLeaving    leavingStatement
	lastAnnounced  time.Time
	firstAnnounced time.Time // time of the first announcement
	permits        map[string]*permit
	shortPermits   int         // permits of short classes
	idleSince      time.Time   // when the last permit of the target was removed
	state          TargetState // state at the last call of Tick

	limit  *admission.Limit // concurrency limit; nil before the first announcement
	margin admission.Margin
	prefix *routing.PrefixRecord

	forecast   admission.Forecast
	forecastAt time.Time // when forecast was built; zero if it must be rebuilt

	freed bool // the target's capacity may have grown since the last full pass

	sample        admission.Sample // observations of the current control interval
	gapTokens     float64          // number of tokens over which sample.Gap is averaged
	intervalStart time.Time        // start of the current control interval
}

// leavingStatement is what an incarnation of a target said of itself in an answer, and when
// the first instance heard it.
type leavingStatement struct {
	incarnation string // empty: none
	at          time.Time
}

// RecordLeaving records that an incarnation of a target said in an answer that it leaves. It
// gets no new work from then on, whatever its announcements say, until its next incarnation
// or until statement.MaxLeaving has passed.
func (s *Shard) RecordLeaving(i *api.TargetIncarnation, now time.Time) {
	t, incarnation := s.targets[i.GetTarget()], i.GetIncarnation()
	if t == nil || incarnation == "" || t.announcement.GetIncarnation() != incarnation || t.saidLeaving.incarnation == incarnation {
		return
	}
	t.saidLeaving = leavingStatement{incarnation, now}
}

// CurrentTargets returns the names of those targets whose present incarnation is listed.
func (s *Shard) CurrentTargets(incarnations []*api.TargetIncarnation) []string {
	var names []string
	for _, i := range incarnations {
		if t := s.targets[i.GetTarget()]; t != nil && t.announcement.GetIncarnation() == i.GetIncarnation() {
			names = append(names, t.name)
		}
	}
	return names
}

// isLeaving reports whether the target's incarnation has announced that it leaves, or said
// so in an answer.
func (t *target) isLeaving(now time.Time) bool {
	a := t.announcement
	said := t.saidLeaving.incarnation != "" && t.saidLeaving.incarnation == a.GetIncarnation() && now.Sub(t.saidLeaving.at) < statement.MaxLeaving
	return a.GetLeaving() || said
}

// Announce updates the target's record from its announcement. A new incarnation
// restarts the cold start ramp and clears the record of cached prefixes. An incarnation that
// leaves does not return: an announcement which says so was sent earlier and arrives late.
func (s *Shard) Announce(a *api.Announcement, now time.Time) {
	t := s.getOrCreateTarget(a.GetTarget(), now)
	last := t.announcement
	if last.GetLeaving() && !a.GetLeaving() && last.GetIncarnation() == a.GetIncarnation() {
		return
	}
	if !s.acceptsWork(t, now) || !sameCapacity(last, a) {
		s.markFreed(t)
	}
	t.announcement, t.lastAnnounced = a, now
	switch {
	case last == nil:
		t.firstAnnounced = now
		t.limit = admission.NewLimit(int(a.GetMaxRunning()))
		if !a.GetCold() {
			t.limit.ResumeRamp(int(a.GetReportedRunning()))
		}
	case last.GetIncarnation() != a.GetIncarnation():
		t.limit.RestartRamp()
		t.prefix.Reset()
	}
	t.limit.SetAnnouncedCold(a.GetCold())
	if last != nil && last.GetIncarnation() == a.GetIncarnation() && a.GetPreemptionsTotal() > last.GetPreemptionsTotal() {
		s.totals.Preemptions += uint64(a.GetPreemptionsTotal() - last.GetPreemptionsTotal())
		t.sample.Preempted = true
	}
	t.limit.SetMax(int(a.GetMaxRunning()))
	for _, e := range a.GetCacheEvents() {
		t.prefix.ApplyEvent(e, now)
	}
}

// sameCapacity reports whether a and b announce the same models, concurrency and
// memory.
func sameCapacity(a, b *api.Announcement) bool {
	return a.GetMaxRunning() == b.GetMaxRunning() && a.GetMemoryTokens() == b.GetMemoryTokens() && slices.Equal(a.GetModels(), b.GetModels())
}

// getOrCreateTarget returns the record of the named target and creates it if
// missing.
func (s *Shard) getOrCreateTarget(name string, now time.Time) *target {
	t := s.targets[name]
	if t == nil {
		t = &target{name: name, lastAnnounced: now, idleSince: now, intervalStart: now, permits: map[string]*permit{}, prefix: routing.NewPrefixRecord()}
		s.targets[name] = t
	}
	return t
}

// candidate returns the target's routing candidate, without the fields that
// depend on the request (PeakTokens, CachedShare) and without DomainLoad. If
// short is not set, the shares reserved for short classes are subtracted. It
// returns nil before the target's first announcement.
func (s *Shard) candidate(t *target, short bool, now time.Time) *routing.Candidate {
	a := t.announcement
	if a == nil {
		return nil
	}
	c := &routing.Candidate{
		Name:          t.name,
		FailureDomain: a.GetFailureDomain(),
		Models:        a.GetModels(),
		LastAnnounced: t.lastAnnounced,
		Leaving:       t.isLeaving(now),
		Drained:       slices.Contains(s.service.DrainedTargets, t.name),
		InService:     s.team.FailureDomainInService(a.GetFailureDomain()),
		InFlight:      s.inFlight(t, now),
		Limit:         s.allowedRequests(t, now),
		MaxRunning:    int(a.GetMaxRunning()),
	}
	if !s.isPlainService() {
		c.MemoryTokens = float64(a.GetMemoryTokens())
	}
	if !short && now.Sub(s.lastShortArrival) < shortShareTTL {
		reservedSlots := int(math.Ceil(float64(c.Limit) * shortConcurrencyShare))
		if c.Limit > reservedSlots {
			c.Limit -= max(0, reservedSlots-t.shortPermits)
		}
		c.MemoryTokens *= 1 - shortMemoryShare
	}
	return c
}

// inFlight returns the number of the target's permits. While the owner may not
// have a record of all permits yet, it is at least the load that the target
// reports.
func (s *Shard) inFlight(t *target, now time.Time) int {
	n := len(t.permits)
	if s.usesReportedLoad(t, now) {
		n = max(n, int(t.announcement.GetReportedRunning()))
	}
	return n
}

// usesReportedLoad reports whether the load that the target reports is a lower
// bound of the owner's own count; see reportFloorPeriod.
func (s *Shard) usesReportedLoad(t *target, now time.Time) bool {
	return now.Sub(s.started) < reportFloorPeriod || now.Sub(t.firstAnnounced) < reportFloorPeriod
}

// allowedRequests returns how many requests the target may run now. It is
// reduced during the takeover period.
func (s *Shard) allowedRequests(t *target, now time.Time) int {
	limit := s.service.MaxInFlight
	if !s.isPlainService() {
		limit = t.limit.Allowed()
	}
	if now.Sub(s.started) < takeoverPeriod {
		limit = int(math.Ceil(float64(limit) * takeoverLimitShare))
	}
	return limit
}

// predictedPeak returns the predicted peak of the target's resident tokens if it
// also ran the request.
func (s *Shard) predictedPeak(t *target, r Request, forecast *admission.Forecast, now time.Time) float64 {
	s.refreshForecast(t, now)
	peak := t.forecast.PeakWith(forecast, t.margin.Value())
	if s.usesReportedLoad(t, now) {
		peak = max(peak, float64(t.announcement.GetReportedTokens())+float64(r.Class.GetPromptTokens()))
	}
	return peak
}

// requestForecast returns the memory forecast of a request that has not started.
func (s *Shard) requestForecast(c *api.RequestClass) *admission.Forecast {
	return admission.ForecastOf(admission.Sequence{
		Prompt: int(c.GetPromptTokens()), Max: s.maxOutput(c), Residual: s.lengths.SurvivalCurve(lengthKey(c)),
	})
}

// refreshForecast rebuilds the target's memory forecast if it is outdated.
func (s *Shard) refreshForecast(t *target, now time.Time) {
	if !t.forecastAt.IsZero() && now.Sub(t.forecastAt) < forecastTTL {
		return
	}
	t.forecast, t.forecastAt = admission.Forecast{}, now
	for _, id := range slices.Sorted(maps.Keys(t.permits)) { // summed in a fixed order because the result must not depend on map order
		t.forecast.Add(admission.ForecastOf(s.sequenceOf(t.permits[id], now)))
	}
}

// FreePermits returns how many more permits the available targets' limits allow.
func (s *Shard) FreePermits(now time.Time) int {
	free := 0
	for _, t := range s.targets {
		if s.acceptsWork(t, now) {
			free += max(0, s.allowedRequests(t, now)-s.inFlight(t, now))
		}
	}
	return free
}

// acceptsWork reports whether the target's lease is valid and it accepts new
// work.
func (s *Shard) acceptsWork(t *target, now time.Time) bool {
	return t.announcement != nil && now.Sub(t.lastAnnounced) <= routing.TargetLease && !t.isLeaving(now)
}

// adjustLimit adjusts the target's limit and risk margin if its control interval
// is over, and starts the next interval. It reports whether the limit grew.
func (t *target) adjustLimit(now time.Time, tokenIntervalGoal time.Duration) bool {
	if now.Sub(t.intervalStart) < admission.ControlInterval || t.limit == nil {
		return false
	}
	before := t.limit.Allowed()
	t.limit.ObserveInterval(t.sample, tokenIntervalGoal)
	t.margin.ObserveInterval(t.sample.Preempted)
	t.sample, t.gapTokens, t.intervalStart = admission.Sample{InFlight: len(t.permits)}, 0, now
	return t.limit.Allowed() > before
}

// Targets returns the latest announcement of every target that accepts new
// work, sorted by name.
func (s *Shard) Targets(now time.Time) []*api.Announcement {
	var out []*api.Announcement
	for _, t := range s.targets {
		if s.acceptsWork(t, now) {
			out = append(out, t.announcement)
		}
	}
	slices.SortFunc(out, func(a, b *api.Announcement) int { return cmp.Compare(a.GetTarget(), b.GetTarget()) })
	return out
}

// Status returns the status of all announced targets, sorted by name.
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
			Cold: !s.isPlainService() && t.limit.Cold(), Leaving: t.isLeaving(now), InService: s.team.FailureDomainInService(a.GetFailureDomain()),
			InFlight: uint32(len(t.permits)), Limit: uint32(s.allowedRequests(t, now)),
			PredictedTokens: uint32(t.forecast.Peak(t.margin.Value())),
			MemoryTokens:    a.GetMemoryTokens(), PreemptionsTotal: a.GetPreemptionsTotal(),
		})
	}
	return out
}

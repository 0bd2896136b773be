package scheduler

import (
	"maps"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/admission"
)

// Parameters of the reconciliation of permits with holders' reports.
const (
	// reclaimAfterMisses is how many successive full reports of its holder must
	// lack a permit before the permit is reclaimed.
	reclaimAfterMisses = 2
	// grantGrace is the age below which a permit may be absent from a report:
	// the holder may have sent the report before the grant arrived.
	grantGrace = 500 * time.Millisecond
	// releasedTTL is how long the ids of released permits are kept, so that a
	// report sent before the release does not bring the permit back.
	releasedTTL = 5 * time.Second
)

// cleanupInterval is the time between two calls of cleanUp.
const cleanupInterval = time.Second

// maxExtrapolation bounds how far progress is extrapolated beyond a report.
const maxExtrapolation = 2 * time.Second

// unobserved is the value of permit.observedLength before the first report.
const unobserved = -1

// permit allows its holder (the session of the instance that serves the caller)
// to run one request on a target. The grant is provisional until the holder's
// first report lists it. missedReports counts the holder's successive reports
// without the permit.
type permit struct {
	id            string
	target        *target
	holder        uint64
	class         *api.RequestClass
	short         bool
	grantedAt     time.Time
	missedReports int

	progress       *api.Progress // newest progress report; nil before the first one
	progressAt     time.Time
	observedLength int // output tokens last passed to the length predictor
}

// addPermit registers the permit with the shard and its target.
func (s *Shard) addPermit(p *permit, now time.Time) {
	t := p.target
	s.permits[p.id] = p
	t.permits[p.id] = p
	if p.short {
		t.shortPermits++
	}
	t.sample.InFlight = max(t.sample.InFlight, len(t.permits))
	if !t.forecastAt.IsZero() {
		t.forecast.Add(admission.ForecastOf(s.sequenceOf(p, now)))
	}
}

// removePermit unregisters the permit and marks its target as freed.
func (s *Shard) removePermit(p *permit, now time.Time) {
	t := p.target
	delete(s.permits, p.id)
	delete(t.permits, p.id)
	if p.short {
		t.shortPermits--
	}
	t.forecastAt = time.Time{}
	s.markFreed(t)
	if len(t.permits) == 0 {
		t.idleSince = now
	}
}

// sequenceOf estimates the tokens that the permit's request has in memory now.
// It extrapolates the output length from the last report.
func (s *Shard) sequenceOf(p *permit, now time.Time) admission.Sequence {
	since, gap := p.grantedAt, s.tokenIntervalGoal()
	produced := int(p.progress.GetOutputTokens())
	if p.progress != nil {
		since = p.progressAt
	}
	if us := p.progress.GetMeanGapUs(); us > 0 {
		gap = time.Duration(us) * time.Microsecond
	}
	limit := s.maxOutput(p.class)
	produced += int(min(now.Sub(since), maxExtrapolation) / max(gap, time.Microsecond))
	return admission.Sequence{
		Prompt: int(p.class.GetPromptTokens()), Produced: min(produced, limit), Max: limit, Residual: s.lengths.SurvivalCurve(lengthKey(p.class)),
	}
}

func (s *Shard) permitProto(p *permit) *api.Permit {
	a := p.target.announcement
	return &api.Permit{Id: p.id, Target: p.target.name, Address: a.GetAddress(), FailureDomain: a.GetFailureDomain(), Epoch: s.epoch, Incarnation: a.GetIncarnation()}
}

// Release ends the permit named in final. It returns false if the holder's
// session does not hold that permit, for example because the generation was
// transferred to another instance.
func (s *Shard) Release(holder uint64, reason api.ReleaseReason, final *api.Progress, now time.Time) bool {
	p := s.permits[final.GetPermitId()]
	if p == nil || p.holder != holder {
		return false
	}
	if reason != api.ReleaseReason_RELEASE_REASON_NOT_STARTED {
		s.recordProgress(p, final, now)
	}
	length := int(final.GetOutputTokens())
	if reason == api.ReleaseReason_RELEASE_REASON_FINISHED && !s.isPlainService() && length < s.maxOutput(p.class) {
		s.lengths.ObserveEnd(lengthKey(p.class), p.observedLength, length)
	}
	s.removePermit(p, now)
	s.released[p.id] = now
	return true
}

// Report reconciles the shard with a holder's full list of permits. Unknown
// permits are adopted, because the holder runs their requests whether or not the
// owner has a record of them. Permits missing from several successive reports
// are reclaimed.
func (s *Shard) Report(holder uint64, list []*api.Progress, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, progress := range list {
		id := progress.GetPermitId()
		listed[id] = true
		p := s.permits[id]
		if p == nil {
			p = s.adoptPermit(holder, progress, now)
		}
		if p == nil || p.holder != holder {
			continue
		}
		p.missedReports = 0
		s.recordProgress(p, progress, now)
	}
	for id, p := range s.permits {
		if p.holder != holder || listed[id] || now.Sub(p.grantedAt) < grantGrace {
			continue
		}
		if p.missedReports++; p.missedReports >= reclaimAfterMisses {
			s.removePermit(p, now)
			s.totals.Reclaimed++
		}
	}
}

// adoptPermit adds a permit that the shard has no record of. It returns nil if
// the permit was released recently.
func (s *Shard) adoptPermit(holder uint64, progress *api.Progress, now time.Time) *permit {
	if _, wasReleased := s.released[progress.GetPermitId()]; wasReleased {
		return nil
	}
	class := progress.GetRequest()
	p := &permit{
		id: progress.GetPermitId(), target: s.getOrCreateTarget(progress.GetTarget(), now), holder: holder, class: class,
		short: s.team.Classes[class.GetClass()].Short, grantedAt: now, observedLength: int(progress.GetOutputTokens()),
	}
	s.addPermit(p, now)
	return p
}

// recordProgress updates the length predictor and the target's limit and its
// sample (the observations of the current control interval) from the permit's
// progress: output length, time between tokens, time to the first token, and
// preemptions.
func (s *Shard) recordProgress(p *permit, progress *api.Progress, now time.Time) {
	if s.isPlainService() {
		return
	}
	t, last := p.target, p.progress
	p.progress, p.progressAt = progress, now
	length := int(progress.GetOutputTokens())
	if length > p.observedLength {
		s.lengths.ObserveLength(lengthKey(p.class), p.observedLength, length)
		p.observedLength = length
	}
	if ms := progress.GetFirstTokenMs(); ms > 0 && last.GetFirstTokenMs() == 0 && t.limit != nil {
		t.limit.ObserveFirstToken(time.Duration(ms) * time.Millisecond)
	}
	preempted := progress.GetPreemptions() > last.GetPreemptions()
	if preempted {
		t.sample.Preempted = true
	}
	tokens := length - int(last.GetOutputTokens())
	if us := progress.GetMeanGapUs(); us > 0 && tokens > 0 {
		t.gapTokens += float64(tokens)
		gap := time.Duration(us) * time.Microsecond
		t.sample.Gap += time.Duration(float64(gap-t.sample.Gap) * float64(tokens) / t.gapTokens)
		if !preempted && t.limit != nil {
			t.limit.ObserveReport(tokens, max(t.sample.InFlight, len(t.permits)), gap)
		}
	}
}

// Transfer moves a permit to another holder. An unknown permit is adopted,
// because the target resumes the generation in any case. It returns nil if the
// permit is unknown and either the target has not announced itself or the permit
// was released recently.
func (s *Shard) Transfer(to uint64, id, targetName string, now time.Time) *api.Permit {
	p := s.permits[id]
	if p == nil {
		if t := s.targets[targetName]; t == nil || t.announcement == nil {
			return nil
		}
		if p = s.adoptPermit(to, &api.Progress{PermitId: id, Target: targetName}, now); p == nil {
			return nil
		}
	}
	p.holder, p.missedReports, p.grantedAt = to, 0, now
	return s.permitProto(p)
}

// ReclaimFromEndedSessions reclaims all permits whose holder's session is not in live.
func (s *Shard) ReclaimFromEndedSessions(live map[uint64]bool, now time.Time) {
	for _, p := range s.permits {
		if !live[p.holder] {
			s.removePermit(p, now)
			s.totals.Reclaimed++
		}
	}
}

// cleanUp deletes expired records of released permits, and targets without
// permits that have been silent for silentTargetTTL.
func (s *Shard) cleanUp(now time.Time) {
	s.lastCleanup = now
	maps.DeleteFunc(s.released, func(_ string, at time.Time) bool { return now.Sub(at) > releasedTTL })
	maps.DeleteFunc(s.targets, func(_ string, t *target) bool {
		return len(t.permits) == 0 && now.Sub(t.lastAnnounced) > silentTargetTTL
	})
}

// Tick does the shard's periodic work: it cleans up and adjusts the targets'
// limits. It returns the changes of target state since the last call.
func (s *Shard) Tick(now time.Time) (changes []TargetStateChange) {
	if now.Sub(s.lastCleanup) >= cleanupInterval {
		s.cleanUp(now)
	}
	for _, t := range s.targets {
		if t.adjustLimit(now, s.tokenIntervalGoal()) {
			s.markFreed(t)
		}
		if state := s.stateOf(t, now); state != t.state {
			changes = append(changes, TargetStateChange{t.name, t.state, state})
			t.state = state
			if s.acceptsWork(t, now) {
				s.markFreed(t)
			}
		}
	}
	return changes
}

// PermitsHeldElsewhere returns the ids of the listed permits that another holder has.
func (s *Shard) PermitsHeldElsewhere(holder uint64, list []*api.Progress) []string {
	var out []string
	for _, progress := range list {
		if p := s.permits[progress.GetPermitId()]; p != nil && p.holder != holder {
			out = append(out, p.id)
		}
	}
	return out
}

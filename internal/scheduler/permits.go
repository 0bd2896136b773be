package scheduler

import (
	"maps"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/admission"
)

// Rules of reconciliation with holders' reports.
const (
	// missedReports is how many successive full reports of the holder may
	// lack a permit before it is reclaimed.
	missedReports = 2
	// grantGrace is how old a permit must be for a report to miss it: the
	// report may have left the holder before the grant arrived there.
	grantGrace = 500 * time.Millisecond
	// releasedTTL is how long a released permit is not taken up again from a
	// report that was sent before the release.
	releasedTTL = 5 * time.Second
)

// cleanInterval is the time between two searches for what can be forgotten.
const cleanInterval = time.Second

// extrapolation bounds how far progress is extrapolated beyond a report.
const extrapolation = 2 * time.Second

// unobserved is the length of an output before its first report.
const unobserved = -1

// permit is the right of a holder to run one request at a target. The grant is
// provisional until the holder's first report lists it.
type permit struct {
	id      string
	target  *target
	holder  uint64
	class   *api.RequestClass
	short   bool
	granted time.Time
	missed  int

	progress   *api.Progress // newest; nil before the first report
	progressAt time.Time
	observed   int // output length last given to the length predictor
}

func (s *Shard) add(p *permit, now time.Time) {
	t := p.target
	s.permits[p.id] = p
	t.permits[p.id] = p
	if p.short {
		t.shorts++
	}
	t.sample.InFlight = max(t.sample.InFlight, len(t.permits))
	if !t.forecastAt.IsZero() {
		t.forecast.Add(admission.ForecastOf(s.sequence(p, now)))
	}
}

func (s *Shard) remove(p *permit, now time.Time) {
	t := p.target
	delete(s.permits, p.id)
	delete(t.permits, p.id)
	if p.short {
		t.shorts--
	}
	t.forecastAt = time.Time{}
	s.free(t)
	if len(t.permits) == 0 {
		t.idleSince = now
	}
}

// sequence describes what the permit's request holds in memory now.
func (s *Shard) sequence(p *permit, now time.Time) admission.Sequence {
	since, gap := p.granted, s.targetGap()
	produced := int(p.progress.GetOutputTokens())
	if p.progress != nil {
		since = p.progressAt
	}
	if us := p.progress.GetMeanGapUs(); us > 0 {
		gap = time.Duration(us) * time.Microsecond
	}
	limit := s.maxOutput(p.class)
	produced += int(min(now.Sub(since), extrapolation) / max(gap, time.Microsecond))
	return admission.Sequence{
		Prompt: int(p.class.GetPromptTokens()), Produced: min(produced, limit), Max: limit, Residual: s.lengths.Curve(lengthKey(p.class)),
	}
}

func (s *Shard) proto(p *permit) *api.Permit {
	a := p.target.announcement
	return &api.Permit{Id: p.id, Target: p.target.name, Address: a.GetAddress(), FailureDomain: a.GetFailureDomain(), Epoch: s.epoch}
}

// Release ends a permit. It returns false when the session does not hold it:
// another instance serves the generation now.
func (s *Shard) Release(holder uint64, reason api.ReleaseReason, final *api.Progress, now time.Time) bool {
	p := s.permits[final.GetPermitId()]
	if p == nil || p.holder != holder {
		return false
	}
	if reason != api.ReleaseReason_RELEASE_REASON_NOT_STARTED {
		s.observe(p, final, now)
	}
	length := int(final.GetOutputTokens())
	if reason == api.ReleaseReason_RELEASE_REASON_FINISHED && !s.plain() && length < s.maxOutput(p.class) {
		s.lengths.Finish(lengthKey(p.class), p.observed, length)
	}
	s.remove(p, now)
	s.released[p.id] = now
	return true
}

// Report takes a holder's full list of permits. Permits that the shard does
// not know are taken up: the holder runs them, whatever the owner remembers.
func (s *Shard) Report(holder uint64, list []*api.Progress, now time.Time) {
	listed := make(map[string]bool, len(list))
	for _, progress := range list {
		id := progress.GetPermitId()
		listed[id] = true
		p := s.permits[id]
		if p == nil {
			p = s.takeUp(holder, progress, now)
		}
		if p == nil || p.holder != holder {
			continue
		}
		p.missed = 0
		s.observe(p, progress, now)
	}
	for id, p := range s.permits {
		if p.holder != holder || listed[id] || now.Sub(p.granted) < grantGrace {
			continue
		}
		if p.missed++; p.missed >= missedReports {
			s.remove(p, now)
			s.totals.Reclaimed++
		}
	}
}

// takeUp adds a permit that only its holder knows; nil when it was released.
func (s *Shard) takeUp(holder uint64, progress *api.Progress, now time.Time) *permit {
	if _, gone := s.released[progress.GetPermitId()]; gone {
		return nil
	}
	class := progress.GetRequest()
	p := &permit{
		id: progress.GetPermitId(), target: s.target(progress.GetTarget(), now), holder: holder, class: class,
		short: s.team.Classes[class.GetClass()].Short, granted: now, observed: int(progress.GetOutputTokens()),
	}
	s.add(p, now)
	return p
}

// observe takes the progress of a permit into account: output length, time
// between tokens, time to the first token and preemptions.
func (s *Shard) observe(p *permit, progress *api.Progress, now time.Time) {
	if s.plain() {
		return
	}
	t, last := p.target, p.progress
	p.progress, p.progressAt = progress, now
	length := int(progress.GetOutputTokens())
	if length > p.observed {
		s.lengths.Observe(lengthKey(p.class), p.observed, length)
		p.observed = length
	}
	if ms := progress.GetFirstTokenMs(); ms > 0 && last.GetFirstTokenMs() == 0 && t.limit != nil {
		t.limit.FirstToken(time.Duration(ms) * time.Millisecond)
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
			t.limit.Report(tokens, max(t.sample.InFlight, len(t.permits)), gap)
		}
	}
}

// Transfer moves a permit to another holder. A permit that the shard does not
// know yet is taken up: the target resumes the generation in any case.
func (s *Shard) Transfer(to uint64, id, targetName string, now time.Time) *api.Permit {
	p := s.permits[id]
	if p == nil {
		if t := s.targets[targetName]; t == nil || t.announcement == nil {
			return nil
		}
		if p = s.takeUp(to, &api.Progress{PermitId: id, Target: targetName}, now); p == nil {
			return nil
		}
	}
	p.holder, p.missed, p.granted = to, 0, now
	return s.proto(p)
}

// KeepHolders reclaims the permits of holders whose session is not live.
func (s *Shard) KeepHolders(live map[uint64]bool, now time.Time) {
	for _, p := range s.permits {
		if !live[p.holder] {
			s.remove(p, now)
			s.totals.Reclaimed++
		}
	}
}

// clean forgets permits released and targets silent for long.
func (s *Shard) clean(now time.Time) {
	s.cleaned = now
	maps.DeleteFunc(s.released, func(_ string, at time.Time) bool { return now.Sub(at) > releasedTTL })
	maps.DeleteFunc(s.targets, func(_ string, t *target) bool {
		return len(t.permits) == 0 && now.Sub(t.seen) > forgetAfter
	})
}

// Tick does the shard's periodic work and returns the targets whose state has
// changed.
func (s *Shard) Tick(now time.Time) (changes []Change) {
	if now.Sub(s.cleaned) >= cleanInterval {
		s.clean(now)
	}
	for _, t := range s.targets {
		if t.control(now, s.targetGap()) {
			s.free(t)
		}
		if state := s.state(t, now); state != t.state {
			changes = append(changes, Change{t.name, t.state, state})
			t.state = state
		}
	}
	return changes
}

// Moved returns the permits of a holder's report that another holder has.
func (s *Shard) Moved(holder uint64, list []*api.Progress) []string {
	var out []string
	for _, progress := range list {
		if p := s.permits[progress.GetPermitId()]; p != nil && p.holder != holder {
			out = append(out, p.id)
		}
	}
	return out
}

package admission

import "time"

// Parameters of the control of a target's concurrency.
const (
	// ControlInterval is the time between two adjustments of a target's limit.
	// It equals the holders' report interval.
	ControlInterval = time.Second
	// gapSetpoint is the share of the policy's time between tokens at which the
	// control aims. The rest absorbs the growth of outputs after admission.
	gapSetpoint = 0.85
	// minIncrease and maxIncrease bound the increase per interval, in requests. The
	// estimated best limit is too low if a large part of an engine's step time is
	// constant, so the limit must grow beyond the estimate to find the real one.
	minIncrease = 0.2
	maxIncrease = 2.0
	// gradientGain is the share of the distance to the estimated best limit
	// by which the limit moves per interval.
	gradientGain = 0.5
	// minBackoffFactor is the smallest factor applied to the limit in one interval.
	minBackoffFactor = 0.7
	// preemptionBackoffFactor is applied after an interval with preemptions. It is near 1
	// because the memory forecast with its risk margin, not the limit, prevents preemptions.
	preemptionBackoffFactor = 0.95
)

// Parameters of the cold start ramp (the gradual raise of a cold target's limit)
// and of the detection of cold targets.
const (
	// ColdLimit is the limit at which the ramp of a cold target starts.
	ColdLimit = 2
	// MaxWarmIdle is how long a target may be idle before it counts as cold and its
	// warm limit no longer applies.
	MaxWarmIdle = 10 * time.Second
	// coldGapFactor is the multiple of the policy's time between tokens above
	// which a target counts as cold.
	coldGapFactor = 3.0
	// A target counts as cold if a time to the first token exceeds slowFirstTokenFactor times the
	// moving average (new values have the weight firstTokenWeight) plus slowFirstTokenFloor.
	slowFirstTokenFactor = 4
	slowFirstTokenFloor  = 500 * time.Millisecond
	firstTokenWeight     = 0.1
	// goodGapFactor is the largest multiple of the policy's time between tokens
	// at which an interval of a cold target counts as successful.
	goodGapFactor = 1.0
	// A report counts as slow if its time between tokens exceeds slowGapFactor times the
	// expected one. It resets the count of slow reports if its time is at most
	// clearedGapFactor times the expected one. Reports in between are ignored, because
	// they mix steps from before and after a change.
	slowGapFactor    = 2.0
	clearedGapFactor = 1.3
	// coldAfterSlowReports is how many slow reports without a reset in between make a target cold.
	coldAfterSlowReports = 2
	// minReportTokens is the number of tokens below which a report is ignored.
	minReportTokens = 5
	// failedRampFactor is applied to the learned limit after each failed
	// interval of a ramp far below that limit.
	failedRampFactor = 0.95
)

// DefaultMaxRunning is the maximum concurrency of a target that does not announce
// one.
const DefaultMaxRunning = 32

// Sample holds the observations of a target in one control interval. Preempted is
// set if the target preempted at least one request.
type Sample struct {
	Gap          time.Duration // mean time between tokens; 0 if there were no tokens
	InFlight     int           // largest number of requests that the target ran at once in the interval
	LimitReached bool          // set if the limit kept a request waiting
	Preempted    bool
}

// Limit is the adaptive concurrency limit of one target, up to max. It keeps a
// moving average of the time to the first token (meanTimeToFirstToken).
//
// Invariant: while the target is cold, Allowed is at most the ramp limit, which
// starts at ColdLimit and at most doubles per successful interval. While the
// target itself announces that it is cold, Allowed is at most ColdLimit: the
// time between tokens of a cold engine stays good until just before it is
// overloaded.
type Limit struct {
	warmLimit            float64 // limit when the target is warm
	warmLimitLearned     bool    // set if warmLimit comes from observation, not from max
	max                  float64
	rampLimit            float64 // limit during the cold start ramp; 0 when warm
	announcedCold        bool    // set while the target announces that it is cold
	meanTimeToFirstToken time.Duration
	steps                stepModel // expected time between tokens of the warm target
	slowReports          int       // slow reports since the last one that reset the count
}

// NewLimit returns the limit of a cold target that can run at most max requests.
// If max is 0 or less, DefaultMaxRunning applies.
func NewLimit(max int) *Limit {
	l := &Limit{rampLimit: ColdLimit}
	l.SetMax(max)
	l.warmLimit = l.max
	return l
}

// SetMax sets the maximum number of requests that the target can run. If n is 0
// or less, DefaultMaxRunning applies.
func (l *Limit) SetMax(n int) {
	if n <= 0 {
		n = DefaultMaxRunning
	}
	l.max = float64(n)
	l.warmLimit = min(l.warmLimit, l.max)
}

// Cold reports whether the target is in its cold start ramp.
func (l *Limit) Cold() bool { return l.rampLimit > 0 }

// Allowed returns how many requests the target may run now.
func (l *Limit) Allowed() int {
	if l.announcedCold {
		return max(1, int(min(l.rampLimit, l.warmLimit, ColdLimit)))
	}
	if l.Cold() {
		return max(1, int(min(l.rampLimit, l.warmLimit)))
	}
	return max(1, int(l.warmLimit))
}

// SetAnnouncedCold records whether the target announces that it is cold. The ramp
// restarts when the target begins to announce this, and rises only after the
// target has stopped announcing it.
func (l *Limit) SetAnnouncedCold(cold bool) {
	if cold && !l.announcedCold {
		l.RestartRamp()
	}
	l.announcedCold = cold
}

// RestartRamp treats the target as cold: it restarts the ramp at ColdLimit. The
// learned limit remains the goal of the ramp.
func (l *Limit) RestartRamp() { l.rampLimit, l.slowReports = ColdLimit, 0 }

// ResumeRamp raises the ramp to the number of requests that the target already
// runs. It is for targets that were warm under a previous owner.
func (l *Limit) ResumeRamp(running int) { l.rampLimit = min(l.max, max(l.rampLimit, float64(running))) }

// ObserveFirstToken records the time to a request's first token. It returns true
// if the time shows that a warm target has become cold.
func (l *Limit) ObserveFirstToken(d time.Duration) bool {
	slow := l.meanTimeToFirstToken > 0 && d > slowFirstTokenFactor*l.meanTimeToFirstToken+slowFirstTokenFloor
	if slow && !l.Cold() {
		l.RestartRamp()
		return true
	}
	if !slow {
		l.meanTimeToFirstToken = movingAverage(l.meanTimeToFirstToken, d, firstTokenWeight)
	}
	return false
}

// ObserveReport records one request's mean time between tokens since its last
// report, with the number of tokens and the target's concurrency. Each report is
// checked at once because targets become cold without warning, and a warm limit
// would admit too many requests until the next control interval. It returns true
// if the report shows that a warm target has become cold.
func (l *Limit) ObserveReport(tokens, inFlight int, gap time.Duration) bool {
	expected := l.steps.predict(inFlight)
	if tokens < minReportTokens || expected == 0 || l.Cold() {
		return false
	}
	switch ratio := float64(gap) / float64(expected); {
	case ratio <= clearedGapFactor:
		l.slowReports = 0
	case ratio > slowGapFactor:
		l.slowReports++
	}
	if l.slowReports < coldAfterSlowReports {
		return false
	}
	l.RestartRamp()
	return true
}

// ObserveInterval adjusts the limit at the end of a control interval.
// tokenIntervalGoal is the time between tokens that the policy sets as the goal.
// ObserveInterval reports whether the interval's sample turned the target from
// warm (limited by its learned limit) to cold (limited by the ramp).
func (l *Limit) ObserveInterval(s Sample, tokenIntervalGoal time.Duration) bool {
	if s.Gap <= 0 {
		return false
	}
	if l.Cold() {
		l.adjustRamp(s, tokenIntervalGoal)
		return false
	}
	if float64(s.Gap) > coldGapFactor*float64(tokenIntervalGoal) && !s.Preempted {
		l.RestartRamp()
		return true
	}
	l.adjustWarmLimit(s, tokenIntervalGoal)
	l.steps.observe(s.InFlight, s.Gap)
	return false
}

// adjustRamp adjusts the ramp after a control interval. An interval counts as
// successful only if at least half of the ramp limit was in use.
func (l *Limit) adjustRamp(s Sample, tokenIntervalGoal time.Duration) {
	maxGoodGap := goodGapFactor * float64(tokenIntervalGoal)
	if expected := l.steps.predict(s.InFlight); expected > 0 {
		maxGoodGap = min(maxGoodGap, slowGapFactor*float64(expected))
	}
	switch {
	case float64(s.Gap) > maxGoodGap || s.Preempted:
		l.failRampInterval()
	case !l.announcedCold && float64(s.InFlight) >= l.rampLimit/2:
		if l.rampLimit *= 2; l.rampLimit >= l.warmLimit {
			l.rampLimit, l.warmLimitLearned = 0, true
		}
	}
}

// failRampInterval lowers the ramp after a failed interval. While the target
// announces that it is cold, nothing else changes. Otherwise the ramp ends if no
// limit was learned before or if the ramp has reached half of the learned limit,
// because it has then found the limit. A failure further below is attributed to
// the cold start itself and lowers the learned limit only slightly.
func (l *Limit) failRampInterval() {
	lowered := max(1, l.rampLimit*minBackoffFactor)
	if l.announcedCold {
		l.rampLimit = lowered
		return
	}
	if !l.warmLimitLearned || l.rampLimit >= l.warmLimit/2 {
		l.warmLimit, l.rampLimit, l.warmLimitLearned = lowered, 0, true
		return
	}
	l.warmLimit *= failedRampFactor
	l.rampLimit = lowered
}

// adjustWarmLimit moves the warm limit towards the concurrency at which the time
// between tokens would equal the setpoint, which it can estimate because that time
// is about linear in concurrency. Increases are bounded by an amount, decreases by
// a factor.
func (l *Limit) adjustWarmLimit(s Sample, tokenIntervalGoal time.Duration) {
	best := float64(s.InFlight) * gapSetpoint * float64(tokenIntervalGoal) / float64(s.Gap)
	if float64(s.Gap) <= gapSetpoint*float64(tokenIntervalGoal) {
		if s.LimitReached {
			l.warmLimit += min(maxIncrease, max(minIncrease, gradientGain*(best-l.warmLimit)))
		}
	} else if best < l.warmLimit {
		l.warmLimit = max(l.warmLimit*minBackoffFactor, l.warmLimit+gradientGain*(best-l.warmLimit))
	}
	if s.Preempted {
		l.warmLimit *= preemptionBackoffFactor
	}
	l.warmLimit = min(l.max, max(1, l.warmLimit))
}

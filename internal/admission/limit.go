package admission

import "time"

// Control of a target's concurrency.
const (
	// ControlInterval is the time between two observations of a target; the
	// holders report once a second.
	ControlInterval = time.Second
	// gapSetpoint is the share of the policy's time between tokens that the
	// control aims at; the rest absorbs outputs growing after admission.
	gapSetpoint = 0.85
	// minStep and maxStep bound the increase in one interval. The estimated
	// best limit is too low while a step has a large constant part, so that
	// the limit has to grow beyond it to find the real one.
	minStep = 0.2
	maxStep = 2.0
	// gradientGain is the share of the distance to the estimated best limit
	// that one interval covers.
	gradientGain = 0.5
	// minBackoff bounds the decrease in one interval.
	minBackoff = 0.7
	// preemptedBackoff is the decrease after preemptions. It is small because
	// the memory forecast with its risk margin is what prevents them.
	preemptedBackoff = 0.95
)

// Cold start.
const (
	// ColdLimit is what a cold target gets at first.
	ColdLimit = 2
	// IdleSpell is how long a target may run nothing before its warm limit is
	// no longer trusted.
	IdleSpell = 10 * time.Second
	// coldGap is the multiple of the aimed-at time between tokens at which a
	// target is taken for cold.
	coldGap = 3.0
	// slowFirstToken is the multiple of the usual time to the first token at
	// which a target is taken for cold, on top of slowFirstTokenFloor.
	slowFirstToken      = 4
	slowFirstTokenFloor = 500 * time.Millisecond
	firstTokenWeight    = 0.1
	// goodGap is the multiple of the policy's time between tokens up to which
	// an interval of a cold target counts as successful.
	goodGap = 1.0
	// slowGap is the multiple of the expected time between tokens at which a
	// request's report makes its target suspect of being cold, and mixedGap
	// the one up to which the report clears it. Reports in between mix steps
	// from before and after a change.
	slowGap  = 2.0
	mixedGap = 1.3
	// suspectReports is how many reports in a row make a target cold.
	suspectReports = 2
	// minReportTokens is how many tokens a report must cover to count.
	minReportTokens = 5
	// distrust is the factor on the learned limit for each failed interval of
	// a ramp.
	distrust = 0.95
)

// UnknownMax bounds a target that does not say how many requests it can run.
const UnknownMax = 32

// Sample is what was observed of a target in one control interval.
type Sample struct {
	Gap       time.Duration // mean time between tokens; 0 when no token came
	InFlight  int           // most requests at one time
	Wanted    bool          // the limit kept a request waiting
	Preempted bool
}

// Limit is the adaptive concurrency limit of one target.
//
// Invariant: while the target is cold, Allowed is at most the ramp, which
// starts at ColdLimit and at most doubles per successful interval. While the
// target announces itself that it is cold, Allowed is at most ColdLimit: a
// cold engine shows a good time between tokens until just before it falls over.
type Limit struct {
	value      float64 // limit of the warm target
	learned    bool    // value comes from observation
	max        float64
	ramp       float64 // 0 when warm
	announced  bool    // the target says that it is cold
	firstToken time.Duration
	steps      stepModel // of the warm target
	suspect    int       // slow reports in a row
}

// NewLimit returns the limit of a cold target that can run at most max
// requests; 0 is unknown.
func NewLimit(max int) *Limit {
	l := &Limit{ramp: ColdLimit}
	l.SetMax(max)
	l.value = l.max
	return l
}

// SetMax takes a change of the target's own bound; 0 is unknown.
func (l *Limit) SetMax(n int) {
	if n <= 0 {
		n = UnknownMax
	}
	l.max = float64(n)
	l.value = min(l.value, l.max)
}

// Cold reports whether the target is in its cold start ramp.
func (l *Limit) Cold() bool { return l.ramp > 0 }

// Allowed returns how many requests the target may run now.
func (l *Limit) Allowed() int {
	if l.announced {
		return max(1, int(min(l.ramp, l.value, ColdLimit)))
	}
	if l.Cold() {
		return max(1, int(min(l.ramp, l.value)))
	}
	return max(1, int(l.value))
}

// Announce takes what the target says about itself. The ramp starts when it
// begins to say that it is cold, and rises only after it has stopped.
func (l *Limit) Announce(cold bool) {
	if cold && !l.announced {
		l.Cool()
	}
	l.announced = cold
}

// Cool restarts the ramp. The learned limit remains the ramp's goal.
func (l *Limit) Cool() { l.ramp, l.suspect = ColdLimit, 0 }

// Resume lets a target that a former owner had warm start its ramp at what it
// runs already.
func (l *Limit) Resume(running int) { l.ramp = min(l.max, max(l.ramp, float64(running))) }

// FirstToken takes the time to a request's first token. It returns true when
// the target turned out to be cold.
func (l *Limit) FirstToken(d time.Duration) bool {
	slow := l.firstToken > 0 && d > slowFirstToken*l.firstToken+slowFirstTokenFloor
	if slow && !l.Cold() {
		l.Cool()
		return true
	}
	if !slow {
		l.firstToken = smooth(l.firstToken, d, firstTokenWeight)
	}
	return false
}

// Report takes one request's mean time between tokens since its last report,
// with the target's concurrency. Targets turn cold without warning, and until
// the next control interval a warm limit would let too much in. It returns
// true when the target turned out to be cold.
func (l *Limit) Report(tokens, inFlight int, gap time.Duration) bool {
	expected := l.steps.predict(inFlight)
	if tokens < minReportTokens || expected == 0 || l.Cold() {
		return false
	}
	switch ratio := float64(gap) / float64(expected); {
	case ratio <= mixedGap:
		l.suspect = 0
	case ratio > slowGap:
		l.suspect++
	}
	if l.suspect < suspectReports {
		return false
	}
	l.Cool()
	return true
}

// Observe adjusts the limit to one control interval. It returns true when the
// target turned out to be cold.
func (l *Limit) Observe(s Sample, target time.Duration) bool {
	if s.Gap <= 0 {
		return false
	}
	if l.Cold() {
		l.climb(s, target)
		return false
	}
	if float64(s.Gap) > coldGap*float64(target) && !s.Preempted {
		l.Cool()
		return true
	}
	l.adapt(s, target)
	l.steps.observe(s.InFlight, s.Gap)
	return false
}

// climb moves the ramp. Only an interval in which the ramp was put to the test
// counts as successful.
func (l *Limit) climb(s Sample, target time.Duration) {
	good := goodGap * float64(target)
	if expected := l.steps.predict(s.InFlight); expected > 0 {
		good = min(good, slowGap*float64(expected))
	}
	switch {
	case float64(s.Gap) > good || s.Preempted:
		l.climbFailed()
	case !l.announced && float64(s.InFlight) >= l.ramp/2:
		if l.ramp *= 2; l.ramp >= l.value {
			l.ramp, l.learned = 0, true
		}
	}
}

// climbFailed ends the ramp when it has found the limit: nothing was learned
// before, or the ramp came near what was. A failure far below the learned limit
// is taken for the cold start itself, and weakens the trust in the limit.
func (l *Limit) climbFailed() {
	lower := max(1, l.ramp*minBackoff)
	if l.announced {
		l.ramp = lower
		return
	}
	if !l.learned || l.ramp >= l.value/2 {
		l.value, l.ramp, l.learned = lower, 0, true
		return
	}
	l.value *= distrust
	l.ramp = lower
}

// adapt moves the warm limit towards the concurrency at which the time between
// tokens would be at the setpoint, since it is about linear in concurrency:
// additively upwards, multiplicatively downwards.
func (l *Limit) adapt(s Sample, target time.Duration) {
	best := float64(s.InFlight) * gapSetpoint * float64(target) / float64(s.Gap)
	if float64(s.Gap) <= gapSetpoint*float64(target) {
		if s.Wanted {
			l.value += min(maxStep, max(minStep, gradientGain*(best-l.value)))
		}
	} else if best < l.value {
		l.value = max(l.value*minBackoff, l.value+gradientGain*(best-l.value))
	}
	if s.Preempted {
		l.value *= preemptedBackoff
	}
	l.value = min(l.max, max(1, l.value))
}

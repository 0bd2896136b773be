package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// exactLength is the residual of an output with this known length.
type exactLength int

func (e exactLength) Survival(produced, more int) float64 {
	if produced+more < int(e) {
		return 1
	}
	return 0
}

// Guards against admission beyond a target's memory: with exact lengths the
// predicted peak is never below the real one. Mutation that this test detects:
// ForecastOf uses the growth at the start of each interval instead of its end.
func TestForecastCoversExactPeak(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var f Forecast
		type seq struct{ resident, left int }
		var seqs []seq
		for range rapid.IntRange(1, 20).Draw(t, "n") {
			length := rapid.IntRange(1, 5000).Draw(t, "length")
			s := Sequence{Prompt: rapid.IntRange(0, 500).Draw(t, "prompt"), Produced: rapid.IntRange(0, length-1).Draw(t, "produced"),
				Max: rapid.SampledFrom([]int{0, length, 5000}).Draw(t, "max"), Residual: exactLength(length)}
			f.Add(ForecastOf(s))
			seqs = append(seqs, seq{s.Prompt + s.Produced, length - s.Produced})
		}
		peak := 0
		for step := 0; step <= 5000; step++ {
			sum := 0
			for _, s := range seqs {
				if step <= s.left {
					sum += s.resident + step
				}
			}
			peak = max(peak, sum)
		}
		assert.Assert(t, f.Peak(0) >= float64(peak), "predicted %v, real %v", f.Peak(0), peak)
	})
}

// Guards against a predictor that does not learn a class, and against one that
// has no prediction for a new account from the coarser class. Mutations that this
// test detects: updateHistograms records only the finest class; blendCurve
// ignores the counts.
func TestLengthPredictorLearnsAndFallsBack(t *testing.T) {
	l := NewLengthPredictor()
	key := ClassKey{"a", "m", "check"}
	prior := l.SurvivalCurve(key).Survival(0, 200)
	for range 300 {
		l.ObserveEnd(key, notStarted, 50)
	}
	for _, k := range []ClassKey{key, {"new", "m", "check"}} {
		c := l.SurvivalCurve(k)
		assert.Assert(t, c.Survival(0, 30) > 0.9, "%v: %v", k, c.Survival(0, 30))
		assert.Assert(t, c.Survival(0, 200) < prior/5, "%v: %v", k, c.Survival(0, 200))
		assert.Assert(t, c.ExpectedRemaining(0, 1000) > 30 && c.ExpectedRemaining(0, 1000) < 80, "%v: %v", k, c.ExpectedRemaining(0, 1000))
	}
}

// Guards against a bias towards short outputs while long ones still run and so
// have not been recorded as finished. Mutation that this test detects:
// ObserveLength records nothing.
func TestRunningOutputsCountAsReached(t *testing.T) {
	l := NewLengthPredictor()
	key := ClassKey{"a", "m", "appraisal"}
	for range 100 {
		l.ObserveEnd(key, notStarted, 50)
		l.ObserveLength(key, notStarted, 2000) // this output still runs
	}
	assert.Assert(t, l.SurvivalCurve(key).Survival(0, 1500) > 0.4)
}

// Guards against survival functions that rise or leave the range 0 to 1.
func TestSurvivalNeverRises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLengthPredictor()
		key := ClassKey{"a", "m", "k"}
		for range rapid.IntRange(0, 100).Draw(t, "n") {
			l.ObserveEnd(key, notStarted, rapid.IntRange(1, 100_000).Draw(t, "length"))
		}
		produced, last := rapid.IntRange(0, 100_000).Draw(t, "produced"), 1.0
		for more := 0; more < 200_000; more += 997 {
			p := l.SurvivalCurve(key).Survival(produced, more)
			assert.Assert(t, p >= 0 && p <= last)
			last = p
		}
	})
}

// tokenIntervalGoal is the time between tokens that the policy sets as the goal.
const tokenIntervalGoal = 31 * time.Millisecond

// Guards against a limit that stays low after a disturbance or settles too high.
// In a closed loop with an engine whose step time grows with its batch, the time
// between tokens must return to at most tokenIntervalGoal and come close to it.
// Mutations that this test detects: adjustWarmLimit never increases the limit; it
// never decreases it.
func TestLimitRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(2, 12).Draw(t, "base ms")) * time.Millisecond
		slope := time.Duration(rapid.IntRange(300, 2500).Draw(t, "slope us")) * time.Microsecond
		l := NewLimit(64)
		run := func(intervals int, factor time.Duration) (gap time.Duration) {
			for range intervals {
				n := l.Allowed()
				gap = factor * (base + time.Duration(n)*slope)
				l.ObserveInterval(Sample{Gap: gap, InFlight: n, LimitReached: true}, tokenIntervalGoal)
			}
			return gap
		}
		run(60, 1)
		run(rapid.IntRange(1, 20).Draw(t, "slow intervals"), 2)
		gap := run(90, 1)
		assert.Assert(t, gap <= tokenIntervalGoal, "gap %v at limit %d", gap, l.Allowed())
		assert.Assert(t, gap+2*slope >= tokenIntervalGoal*7/10 || l.Allowed() >= 63, "gap %v at limit %d", gap, l.Allowed())
	})
}

// Guards against a cold target that receives more requests than its ramp (the
// gradual raise of its limit) allows: whatever is observed, the limit starts at
// ColdLimit and at most doubles after each control interval without preemptions
// whose time between tokens is at most tokenIntervalGoal. Mutations that this test
// detects: adjustRamp multiplies by 4; RestartRamp keeps the ramp; any other
// interval raises the ramp.
func TestColdTargetStaysBelowRamp(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := NewLimit(rapid.IntRange(0, 64).Draw(t, "max"))
		bound := ColdLimit
		for range 30 {
			if rapid.IntRange(0, 9).Draw(t, "cool") == 0 {
				l.RestartRamp()
				bound = ColdLimit
			}
			s := Sample{
				Gap:       time.Duration(rapid.IntRange(0, 80).Draw(t, "gap")) * time.Millisecond,
				InFlight:  rapid.IntRange(0, l.Allowed()).Draw(t, "in flight"),
				Preempted: rapid.IntRange(0, 9).Draw(t, "preempted") == 0,
			}
			cold := l.Cold()
			l.ObserveInterval(s, tokenIntervalGoal)
			if cold && s.Gap > 0 && s.Gap <= tokenIntervalGoal && !s.Preempted {
				bound *= 2
			}
			assert.Assert(t, !l.Cold() || l.Allowed() <= bound, "allowed %d, bound %d", l.Allowed(), bound)
			if !l.Cold() {
				bound = max(bound, l.Allowed()) // the target is warm now, so its learned limit applies
			}
		}
	})
}

// Guards against the use of a warm limit after the target has become cold, as
// shown by the time to the first token or the time between tokens. Mutations that
// this test detects: ObserveFirstToken never restarts the ramp; ObserveInterval
// ignores a large gap.
func TestLimitDetectsColdTarget(t *testing.T) {
	warm := func() *Limit {
		l := NewLimit(32)
		for range 10 {
			l.ObserveFirstToken(50 * time.Millisecond)
			l.ObserveInterval(Sample{Gap: 10 * time.Millisecond, InFlight: l.Allowed()}, tokenIntervalGoal)
		}
		assert.Assert(t, !l.Cold())
		return l
	}
	l := warm()
	assert.Assert(t, l.ObserveFirstToken(3*time.Second))
	assert.Equal(t, l.Allowed(), ColdLimit)
	l = warm()
	assert.Assert(t, l.ObserveInterval(Sample{Gap: 100 * time.Millisecond, InFlight: 2}, tokenIntervalGoal))
	assert.Equal(t, l.Allowed(), ColdLimit)
}

// Guards against a target that becomes cold without warning and receives as many
// requests as a warm one until the next control interval. A cold engine's step
// time can be well within the policy's bound, so reports are compared with the
// step model. One slow report is not sufficient: the request may have waited for
// other requests' prompts. Mutations that this test detects: ObserveReport never
// restarts the ramp; it restarts it at the first slow report; predict ignores the
// concurrency.
func TestReportsDetectColdTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := time.Duration(rapid.IntRange(3, 8).Draw(t, "base ms")) * time.Millisecond
		step := func(n int) time.Duration { return base + time.Duration(n)*400*time.Microsecond }
		l := NewLimit(32)
		for i := range 40 {
			n := min(l.Allowed(), 2+i%20)
			l.ObserveInterval(Sample{Gap: step(n), InFlight: n, LimitReached: true}, tokenIntervalGoal)
		}
		assert.Assert(t, !l.Cold())
		for range 50 {
			n := rapid.IntRange(1, 24).Draw(t, "n")
			noise := time.Duration(rapid.IntRange(80, 125).Draw(t, "noise"))
			assert.Assert(t, !l.ObserveReport(20, n, step(n)*noise/100), "a normal report at concurrency %d restarted the ramp", n)
		}
		n := rapid.IntRange(4, 20).Draw(t, "cold n")
		assert.Assert(t, !l.ObserveReport(20, n, 3*step(n)))
		assert.Assert(t, l.ObserveReport(20, n, 3*step(n)))
		assert.Equal(t, l.Allowed(), ColdLimit)
	})
}

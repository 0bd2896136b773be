package admission

import "math"

// A forecast covers the next 32,768 tokens of every running output, in intervals
// that grow by the factor forecastGrowth.
const (
	forecastFirstInterval = 16
	forecastGrowth        = 1.25
	forecastIntervals     = 36
)

// forecastBounds holds the starts of the forecast's intervals, in tokens from now,
// and the end of the last one.
var forecastBounds = func() (b [forecastIntervals + 1]int) {
	x := float64(forecastFirstInterval)
	for i := 1; i <= forecastIntervals; i++ {
		b[i] = int(math.Ceil(x))
		x *= forecastGrowth
	}
	return b
}()

// Residual is the distribution of an output's remaining length.
type Residual interface {
	// Survival returns the probability that an output that still runs after
	// produced tokens produces more than the given number of further tokens.
	Survival(produced, more int) float64
}

// Sequence is a request that a target runs or could run, with what determines its
// memory use.
type Sequence struct {
	Prompt   int // length of the prompt in tokens
	Produced int // length of the output so far in tokens
	Max      int // maximum length of the output in tokens; 0 if unknown
	Residual Residual
}

// Forecast predicts how many tokens are resident in a target's memory over the
// coming engine steps. Each running output grows by one token per step until it
// ends.
//
// Invariant: if the residuals are exact, Peak is at least the largest number of
// resident tokens that the sequences reach.
//
// mean and variance hold the mean and the variance of the number of resident
// tokens, by interval.
type Forecast struct {
	mean     [forecastIntervals]float64
	variance [forecastIntervals]float64
}

// ForecastOf returns the forecast of a single sequence.
func ForecastOf(s Sequence) *Forecast {
	f := &Forecast{}
	for i := range forecastIntervals {
		growth := forecastBounds[i+1]
		if s.Max > 0 {
			left := max(0, s.Max-s.Produced)
			if left < forecastBounds[i] {
				break
			}
			growth = min(growth, left)
		}
		p := s.Residual.Survival(s.Produced, forecastBounds[i])
		tokens := float64(s.Prompt + s.Produced + growth)
		f.mean[i] = p * tokens
		f.variance[i] = p * (1 - p) * tokens * tokens
	}
	return f
}

// Add adds the sequences of another forecast to f.
func (f *Forecast) Add(other *Forecast) {
	for i := range forecastIntervals {
		f.mean[i] += other.mean[i]
		f.variance[i] += other.variance[i]
	}
}

// Peak returns the largest predicted number of resident tokens over all
// intervals. The prediction for an interval is the mean plus margin times the
// standard deviation.
func (f *Forecast) Peak(margin float64) float64 { return f.PeakWith(&Forecast{}, margin) }

// PeakWith returns the peak of the sequences of f and other together. It changes
// neither.
func (f *Forecast) PeakWith(other *Forecast, margin float64) float64 {
	peak := 0.0
	for i := range forecastIntervals {
		peak = max(peak, f.mean[i]+other.mean[i]+margin*math.Sqrt(f.variance[i]+other.variance[i]))
	}
	return peak
}

// Bounds of the risk margin, in standard deviations.
const (
	initialMargin = 1.3
	minMargin     = 0.9
	maxMargin     = 3.0
)

// Margin is the adaptive risk margin of a target's forecasts. It grows after each
// control interval with preemptions and shrinks slowly without them.
type Margin struct{ adjustment float64 }

// Value returns the current margin in standard deviations.
func (m *Margin) Value() float64 { return initialMargin + m.adjustment }

// ObserveInterval adjusts the margin at the end of a control interval.
// preempted is set if the target preempted any request in the interval.
func (m *Margin) ObserveInterval(preempted bool) {
	if preempted {
		m.adjustment = min(maxMargin-initialMargin, m.adjustment+0.5)
		return
	}
	m.adjustment = max(minMargin-initialMargin, m.adjustment-0.01)
}

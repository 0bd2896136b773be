package admission

import "math"

// The forecast looks at the next 32,768 tokens of every running output, at
// steps that grow by forecastGrowth.
const (
	forecastFirst  = 16
	forecastGrowth = 1.25
	forecastSteps  = 36
)

// forecastBounds are the starts of the forecast's intervals, in tokens from now.
var forecastBounds = func() (b [forecastSteps + 1]int) {
	x := float64(forecastFirst)
	for i := 1; i <= forecastSteps; i++ {
		b[i] = int(math.Ceil(x))
		x *= forecastGrowth
	}
	return b
}()

// Residual is the distribution of an output's remaining length.
type Residual interface {
	// Survival returns the probability that an output that has produced
	// tokens produces more than the given number of further tokens.
	Survival(produced, more int) float64
}

// Sequence is a running or candidate request in a target's memory.
type Sequence struct {
	Prompt   int // tokens
	Produced int // tokens
	Max      int // most tokens the output can have; 0 unknown
	Residual Residual
}

// Forecast predicts how many tokens are resident in a target's memory over the
// coming steps. Running outputs grow by one token per step until they end.
//
// Invariant: when the residuals are exact, Peak is at least the largest
// resident count that the sequences reach.
type Forecast struct {
	mean     [forecastSteps]float64
	variance [forecastSteps]float64
}

// ForecastOf returns the forecast of a single sequence.
func ForecastOf(s Sequence) *Forecast {
	f := &Forecast{}
	for i := range forecastSteps {
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

// Add takes further sequences into the forecast.
func (f *Forecast) Add(other *Forecast) {
	for i := range forecastSteps {
		f.mean[i] += other.mean[i]
		f.variance[i] += other.variance[i]
	}
}

// Peak returns the largest predicted resident count: the mean plus margin
// standard deviations.
func (f *Forecast) Peak(margin float64) float64 { return f.PeakWith(&Forecast{}, margin) }

// PeakWith returns the peak with further sequences.
func (f *Forecast) PeakWith(other *Forecast, margin float64) float64 {
	peak := 0.0
	for i := range forecastSteps {
		peak = max(peak, f.mean[i]+other.mean[i]+margin*math.Sqrt(f.variance[i]+other.variance[i]))
	}
	return peak
}

// Bounds of the risk margin, in standard deviations.
const (
	startMargin = 1.3
	minMargin   = 0.9
	maxMargin   = 3.0
)

// Margin adapts the risk margin of a target's forecasts: it grows at each
// preemption and shrinks slowly while there are none.
type Margin struct{ extra float64 }

// Value returns the margin in standard deviations.
func (m *Margin) Value() float64 { return startMargin + m.extra }

// Observe takes one control interval into account.
func (m *Margin) Observe(preempted bool) {
	if preempted {
		m.extra = min(maxMargin-startMargin, m.extra+0.5)
		return
	}
	m.extra = max(minMargin-startMargin, m.extra-0.01)
}

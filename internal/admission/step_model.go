package admission

import "time"

// Parameters of the step model.
const (
	// modelDecay is the weight that an observation keeps per further one.
	modelDecay = 0.98
	// modelWeight is the weight of observations from which on the model is used.
	modelWeight = 5
)

// stepModel is a line fitted to a warm target's time between tokens over its
// concurrency, by least squares with decaying weights.
type stepModel struct {
	weight, n, nn, gap, ngap float64
}

func (m *stepModel) observe(n int, gap time.Duration) {
	x, y := float64(n), gap.Seconds()
	for _, f := range []struct {
		sum   *float64
		value float64
	}{{&m.weight, 1}, {&m.n, x}, {&m.nn, x * x}, {&m.gap, y}, {&m.ngap, x * y}} {
		*f.sum = *f.sum*modelDecay + f.value
	}
}

// predict returns the expected time between tokens; 0 while too little is known.
func (m *stepModel) predict(n int) time.Duration {
	if m.weight < modelWeight {
		return 0
	}
	meanN, meanGap := m.n/m.weight, m.gap/m.weight
	slope := 0.0
	if variance := m.nn/m.weight - meanN*meanN; variance > 0.25 {
		slope = max(0, (m.ngap/m.weight-meanN*meanGap)/variance)
	}
	// A step has a constant part, so that it shrinks less than in proportion.
	low := meanGap * min(1, float64(n)/max(1, meanN))
	return time.Duration(max(low, meanGap+slope*(float64(n)-meanN)) * float64(time.Second))
}

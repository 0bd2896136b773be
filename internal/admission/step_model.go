package admission

import "time"

// Parameters of the step model.
const (
	// stepModelDecay is the factor on the weight of earlier observations at each new one.
	stepModelDecay = 0.98
	// stepModelMinWeight is the total weight of observations needed for a prediction.
	stepModelMinWeight = 5
)

// stepModel predicts a warm target's time between tokens (the duration of one
// engine step) from its concurrency n. It is a line fitted by least squares with
// decaying weights, and stores the weighted sums.
type stepModel struct {
	weight, sumN, sumNN, sumGap, sumNGap float64
}

// observe adds an observation at the concurrency n.
func (m *stepModel) observe(n int, gap time.Duration) {
	x, y := float64(n), gap.Seconds()
	for _, f := range []struct {
		sum   *float64
		value float64
	}{{&m.weight, 1}, {&m.sumN, x}, {&m.sumNN, x * x}, {&m.sumGap, y}, {&m.sumNGap, x * y}} {
		*f.sum = *f.sum*stepModelDecay + f.value
	}
}

// predict returns the expected time between tokens at the concurrency n, or 0 if
// there are too few observations.
func (m *stepModel) predict(n int) time.Duration {
	if m.weight < stepModelMinWeight {
		return 0
	}
	meanN, meanGap := m.sumN/m.weight, m.sumGap/m.weight
	slope := 0.0
	if variance := m.sumNN/m.weight - meanN*meanN; variance > 0.25 {
		slope = max(0, (m.sumNGap/m.weight-meanN*meanGap)/variance)
	}
	// Part of a step's duration is constant, so the duration shrinks less than in
	// proportion to concurrency.
	low := meanGap * min(1, float64(n)/max(1, meanN))
	return time.Duration(max(low, meanGap+slope*(float64(n)-meanN)) * float64(time.Second))
}

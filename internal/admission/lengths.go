// Package admission decides when a request may run: which waiting request is
// next, how long outputs will be, how much memory running requests will need at
// their peak, and how many requests a target can run. It does no I/O and takes
// the time as an argument.
package admission

import (
	"math"
	"sort"
	"time"
)

// Shape of the length histograms. Bucket bounds grow by the factor bucketGrowth,
// which limits the error of a predicted length to 25%.
const (
	firstBucket  = 8
	bucketGrowth = 1.25
	bucketCount  = 54 // covers outputs of up to 10^6 tokens
)

const (
	// priorWeight is how many observations the estimate of the next coarser class counts as.
	priorWeight = 8
	// priorHazard is the share of outputs assumed to end within a bucket if
	// there are no observations. It makes outputs twice as long half as
	// frequent, a heavier tail than that of the usual length distributions.
	priorHazard = 1 - 1/bucketGrowth
	// maxExposure is the number of outputs that reached a bucket at which the
	// bucket's counts are halved, so that old observations fade.
	maxExposure = 1024
	// maxClasses bounds the classes in memory; the least recently used one is evicted.
	maxClasses = 4096
	// maxCurveLag is the number of observations after which a cached survival curve is rebuilt.
	maxCurveLag = 16
)

// bucketBounds holds the smallest length of each bucket, in tokens.
var bucketBounds = func() (b [bucketCount]int) {
	x := float64(firstBucket)
	for i := 1; i < bucketCount; i++ {
		b[i] = int(math.Ceil(x))
		x *= bucketGrowth
	}
	return b
}()

// bucketTable maps common lengths to buckets. It exists because one decision
// looks up dozens of buckets.
var bucketTable = func() (t [1 << 16]uint8) {
	for i := range t {
		t[i] = uint8(searchBucket(i))
	}
	return t
}()

// bucketOf returns the index of the bucket that contains the length.
func bucketOf(length int) int {
	if uint(length) < uint(len(bucketTable)) {
		return int(bucketTable[length])
	}
	return searchBucket(length)
}

func searchBucket(length int) int {
	return max(0, sort.SearchInts(bucketBounds[:], length+1)-1)
}

// ClassKey identifies a class of requests whose outputs have similar lengths. An
// empty field matches any value and so makes a coarser class. Kind is the name of
// the request class in the settings.
type ClassKey struct {
	Account string
	Model   string
	Kind    string
}

// coarserClasses returns the classes to fall back to, finest first.
func (k ClassKey) coarserClasses() [3]ClassKey {
	return [3]ClassKey{{Model: k.Model, Kind: k.Kind}, {Kind: k.Kind}, {}}
}

// histogram counts, per bucket, the outputs that reached the bucket and those
// that ended in it. Outputs that still run count as reached only, so that long
// outputs are included while they run. curve caches the class's survival function
// as of the observation number curveBuiltAt; nil before the first use.
type histogram struct {
	reached  [bucketCount]float64
	ended    [bucketCount]float64
	lastUsed uint64 // observation number of the last use, for eviction

	curve        *SurvivalCurve
	curveBuiltAt uint64
}

// LengthPredictor learns the distribution of output lengths per class online.
type LengthPredictor struct {
	classes      map[ClassKey]*histogram
	observations uint64
}

// NewLengthPredictor returns a predictor without observations. Its predictions
// come from priorHazard.
func NewLengthPredictor() *LengthPredictor {
	return &LengthPredictor{classes: map[ClassKey]*histogram{}}
}

// notStarted stands for the previous length at a request's first observation.
const notStarted = -1

// ObserveLength records that an output of the class has grown to the length
// given as to. The argument from is its length at the previous observation, or
// negative at the first one.
func (l *LengthPredictor) ObserveLength(k ClassKey, from, to int) {
	l.updateHistograms(k, func(h *histogram) { h.recordReached(from, to) })
}

// ObserveEnd records that an output of the class ended at the given length. The
// argument from is the same as for ObserveLength. Callers must not record
// cancelled outputs, whose full length is unknown.
func (l *LengthPredictor) ObserveEnd(k ClassKey, from, length int) {
	l.updateHistograms(k, func(h *histogram) {
		h.recordReached(from, length)
		h.ended[bucketOf(length)]++
	})
}

// updateHistograms applies record to the histograms of the class and of all
// coarser classes.
func (l *LengthPredictor) updateHistograms(k ClassKey, record func(*histogram)) {
	l.observations++
	record(l.histogram(k))
	for _, c := range k.coarserClasses() {
		if c != k {
			record(l.histogram(c))
		}
	}
}

// histogram returns the histogram of the class and creates it if missing.
func (l *LengthPredictor) histogram(k ClassKey) *histogram {
	h := l.classes[k]
	if h == nil {
		if len(l.classes) >= maxClasses {
			l.evictLeastRecentlyUsed()
		}
		h = &histogram{}
		l.classes[k] = h
	}
	h.lastUsed = l.observations
	return h
}

// evictLeastRecentlyUsed deletes the least recently used class that has an
// account. Coarser classes are kept.
func (l *LengthPredictor) evictLeastRecentlyUsed() {
	var oldest ClassKey
	used := uint64(math.MaxUint64)
	for k, h := range l.classes {
		if h.lastUsed < used && k.Account != "" {
			oldest, used = k, h.lastUsed
		}
	}
	delete(l.classes, oldest)
}

// recordReached counts the buckets that an output reached by growing between two
// lengths.
func (h *histogram) recordReached(from, to int) {
	first := 0
	if from > notStarted {
		first = bucketOf(from) + 1
	}
	for b := first; b <= bucketOf(to); b++ {
		if h.reached[b] >= maxExposure {
			h.reached[b] /= 2
			h.ended[b] /= 2
		}
		h.reached[b]++
	}
}

// SurvivalCurve is the survival function of the output length of a class.
type SurvivalCurve struct {
	// reachProbability[b] is the probability that an output reaches bucket b.
	reachProbability [bucketCount + 1]float64
}

// minReachProbability keeps conditional probabilities defined for lengths far
// beyond all observations.
const minReachProbability = 1e-12

// SurvivalCurve returns the survival function of the class. Where the class has
// few observations, it is blended with those of the coarser classes.
func (l *LengthPredictor) SurvivalCurve(k ClassKey) *SurvivalCurve {
	h := l.classes[k]
	if h != nil && h.curve != nil && l.observations-h.curveBuiltAt < maxCurveLag {
		return h.curve
	}
	c := l.blendCurve(k)
	if h != nil {
		h.curve, h.curveBuiltAt = c, l.observations
	}
	return c
}

// blendCurve builds the survival function of the class. Starting from the
// prior, each finer class refines the estimate of the coarser one.
func (l *LengthPredictor) blendCurve(k ClassKey) *SurvivalCurve {
	coarser := k.coarserClasses()
	chain := [4]*histogram{l.classes[coarser[2]], l.classes[coarser[1]], l.classes[coarser[0]], l.classes[k]}
	c := &SurvivalCurve{}
	c.reachProbability[0] = 1
	for b := range bucketCount {
		hazard := priorHazard
		for i, h := range chain {
			if h != nil && (i == 0 || h != chain[i-1]) {
				hazard = (h.ended[b] + priorWeight*hazard) / (h.reached[b] + priorWeight)
			}
		}
		c.reachProbability[b+1] = max(minReachProbability, c.reachProbability[b]*(1-hazard))
	}
	return c
}

// Survival returns the probability that an output that still runs after produced
// tokens produces more than the given number of further tokens. An output that
// reaches a bucket counts as reaching the bucket's end.
func (c *SurvivalCurve) Survival(produced, more int) float64 {
	return c.reachProbability[bucketOf(produced+more)] / c.reachProbability[bucketOf(produced)]
}

// ExpectedRemaining returns the expected number of further tokens of an output
// that has produced the given number of tokens and cannot exceed limit.
func (c *SurvivalCurve) ExpectedRemaining(produced, limit int) float64 {
	start := bucketOf(produced)
	sum := 0.0
	for b := start; b < bucketCount; b++ {
		lo, hi := max(bucketBounds[b], produced), limit
		if b+1 < bucketCount {
			hi = min(limit, bucketBounds[b+1])
		}
		if hi <= lo {
			break
		}
		// On average an output that ends in a bucket ends in its middle.
		sum += float64(hi-lo) * (c.reachProbability[b] + c.reachProbability[b+1]) / 2 / c.reachProbability[start]
	}
	return sum
}

// movingAverage returns the exponential moving average mean updated by value. A
// mean of 0 is replaced by value.
func movingAverage(mean, value time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(weight*float64(value-mean))
}

// Package admission holds the decisions on when a request may run: which
// waiting request is next, how long outputs will be, how much memory running
// requests will need at their peak, and how many requests a target can run. It
// is pure: state and time come in, decisions go out.
package admission

import (
	"math"
	"sort"
	"time"
)

// Shape of the length histograms. Bucket bounds grow by bucketGrowth, which
// bounds the error of a predicted length to 25%.
const (
	firstBucket  = 8
	bucketGrowth = 1.25
	bucketCount  = 54 // covers outputs of up to 10^6 tokens
)

const (
	// priorWeight is how many observations the next coarser class counts for.
	priorWeight = 8
	// priorHazard is the share of outputs that end within a bucket when
	// nothing is known: outputs twice as long are half as frequent, a heavier
	// tail than that of the usual length distributions.
	priorHazard = 1 - 1/bucketGrowth
	// maxExposure halves a bucket's counts when reached, so that old
	// observations fade.
	maxExposure = 1024
	// maxClasses bounds memory; the class used least recently is dropped.
	maxClasses = 4096
	// curveRefresh is how many observations a cached curve may lag behind.
	curveRefresh = 16
)

// bucketBounds are the first lengths of the buckets.
var bucketBounds = func() (b [bucketCount]int) {
	x := float64(firstBucket)
	for i := 1; i < bucketCount; i++ {
		b[i] = int(math.Ceil(x))
		x *= bucketGrowth
	}
	return b
}()

// bucketTable holds the buckets of common lengths; prediction looks up dozens
// of buckets per decision.
var bucketTable = func() (t [1 << 16]uint8) {
	for i := range t {
		t[i] = uint8(searchBucket(i))
	}
	return t
}()

func bucketOf(length int) int {
	if uint(length) < uint(len(bucketTable)) {
		return int(bucketTable[length])
	}
	return searchBucket(length)
}

func searchBucket(length int) int {
	return max(0, sort.SearchInts(bucketBounds[:], length+1)-1)
}

// ClassKey identifies requests whose outputs have similar lengths. Empty
// fields make a coarser class.
type ClassKey struct {
	Account string
	Model   string
	Kind    string
}

// coarser returns the classes to fall back to, nearest first.
func (k ClassKey) coarser() [3]ClassKey {
	return [3]ClassKey{{Model: k.Model, Kind: k.Kind}, {Kind: k.Kind}, {}}
}

// histogram counts, per bucket, the outputs that reached the bucket and those
// that ended in it. Outputs still running count as reached only, so that long
// outputs are not missed while they run.
type histogram struct {
	reached [bucketCount]float64
	ended   [bucketCount]float64
	used    uint64 // observation number, for eviction

	curve   *Curve
	curveAt uint64
}

// Lengths learns output lengths per class online.
type Lengths struct {
	classes      map[ClassKey]*histogram
	observations uint64
}

// NewLengths returns a predictor that knows only the prior.
func NewLengths() *Lengths { return &Lengths{classes: map[ClassKey]*histogram{}} }

// notStarted is the length before a request's first observation.
const notStarted = -1

// Observe records that an output of the class grew to the given length, from
// the length of its previous observation; from is negative at the first one.
func (l *Lengths) Observe(k ClassKey, from, to int) {
	l.each(k, func(h *histogram) { h.advance(from, to) })
}

// Finish records that an output of the class ended at the given length.
// Cancelled outputs are not recorded: their length is not known.
func (l *Lengths) Finish(k ClassKey, from, length int) {
	l.each(k, func(h *histogram) {
		h.advance(from, length)
		h.ended[bucketOf(length)]++
	})
}

func (l *Lengths) each(k ClassKey, record func(*histogram)) {
	l.observations++
	record(l.histogram(k))
	for _, c := range k.coarser() {
		if c != k {
			record(l.histogram(c))
		}
	}
}

func (l *Lengths) histogram(k ClassKey) *histogram {
	h := l.classes[k]
	if h == nil {
		if len(l.classes) >= maxClasses {
			l.evict()
		}
		h = &histogram{}
		l.classes[k] = h
	}
	h.used = l.observations
	return h
}

func (l *Lengths) evict() {
	var oldest ClassKey
	used := uint64(math.MaxUint64)
	for k, h := range l.classes {
		if h.used < used && k.Account != "" {
			oldest, used = k, h.used
		}
	}
	delete(l.classes, oldest)
}

func (h *histogram) advance(from, to int) {
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

// Curve is the survival function of a class's output length.
type Curve struct {
	// reach[b] is the probability that an output reaches bucket b.
	reach [bucketCount + 1]float64
}

// minReach keeps conditional probabilities defined far beyond all observations.
const minReach = 1e-12

// Curve returns the survival function of the class, blended with those of the
// coarser classes where the class has few observations.
func (l *Lengths) Curve(k ClassKey) *Curve {
	h := l.classes[k]
	if h != nil && h.curve != nil && l.observations-h.curveAt < curveRefresh {
		return h.curve
	}
	c := l.blend(k)
	if h != nil {
		h.curve, h.curveAt = c, l.observations
	}
	return c
}

func (l *Lengths) blend(k ClassKey) *Curve {
	coarser := k.coarser()
	chain := [4]*histogram{l.classes[coarser[2]], l.classes[coarser[1]], l.classes[coarser[0]], l.classes[k]}
	c := &Curve{}
	c.reach[0] = 1
	for b := range bucketCount {
		hazard := priorHazard
		for i, h := range chain {
			if h != nil && (i == 0 || h != chain[i-1]) {
				hazard = (h.ended[b] + priorWeight*hazard) / (h.reached[b] + priorWeight)
			}
		}
		c.reach[b+1] = max(minReach, c.reach[b]*(1-hazard))
	}
	return c
}

// Survival returns the probability that an output that has produced tokens and
// still runs produces more than the given number of further tokens. Lengths
// are rounded up to their bucket's end.
func (c *Curve) Survival(produced, more int) float64 {
	return c.reach[bucketOf(produced+more)] / c.reach[bucketOf(produced)]
}

// Remaining returns the expected number of further tokens of an output that
// has produced tokens and cannot exceed limit.
func (c *Curve) Remaining(produced, limit int) float64 {
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
		sum += float64(hi-lo) * (c.reach[b] + c.reach[b+1]) / 2 / c.reach[start]
	}
	return sum
}

// smooth returns an exponentially weighted mean that starts at the first value.
func smooth(mean, value time.Duration, weight float64) time.Duration {
	if mean == 0 {
		return value
	}
	return mean + time.Duration(weight*float64(value-mean))
}

package admission

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

// firstItem returns the item that is served next, or nil.
func firstItem(q *Queue[int]) *Item[int] {
	for it := range q.All() {
		return it
	}
	return nil
}

// Guards against a low-priority request that is never served because requests of
// a higher priority keep arriving. Mutation that this test detects: bandAt
// ignores the age.
func TestQueueDoesNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		priority := rapid.IntRange(0, Bands-2).Draw(t, "priority")
		timeout := time.Duration(rapid.IntRange(5, 60).Draw(t, "timeout")) * time.Second
		low := &Item[int]{Account: "low", Weight: 1, Cost: 10, Priority: priority, Arrived: start, Deadline: start.Add(timeout)}
		q.Push(low, start)
		for now := start; ; now = now.Add(100 * time.Millisecond) {
			for range 2 {
				q.Push(&Item[int]{Account: "high", Weight: 1, Cost: 10, Priority: Bands - 1, Arrived: now, Deadline: now.Add(time.Hour)}, now)
			}
			for _, it := range q.Advance(now) {
				assert.Assert(t, it != low, "dropped after %v", now.Sub(start))
			}
			it := firstItem(&q)
			q.Serve(it)
			if it == low {
				return
			}
		}
	})
}

// Guards against an account that receives more than its weighted share while
// others wait: with two backlogged accounts, service divided by weight differs by
// at most one request of each. Mutation that this test detects: Serve does not
// divide by the weight.
func TestQueueFairness(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		weights := []float64{float64(rapid.IntRange(1, 10).Draw(t, "w0")), float64(rapid.IntRange(1, 10).Draw(t, "w1"))}
		names := []string{"a", "b"}
		const maxCost = 1000
		push := func(i int) {
			cost := float64(rapid.IntRange(1, maxCost).Draw(t, "cost"))
			q.Push(&Item[int]{Account: names[i], Weight: weights[i], Cost: cost, Arrived: start, Deadline: start.Add(time.Hour), Value: i}, start)
		}
		push(0)
		push(1)
		served := make([]float64, 2)
		for range 60 {
			it := firstItem(&q)
			q.Serve(it)
			served[it.Value] += it.Cost / it.Weight
			push(it.Value)
			bound := maxCost/weights[0] + maxCost/weights[1]
			assert.Assert(t, math.Abs(served[0]-served[1]) <= bound, "%v, bound %v", served, bound)
		}
	})
}

// Guards against lost and duplicated items, requests served after their deadline,
// and a request that loses its place because its wait is divided into slices, one
// call after another.
// Mutations that this test detects: Advance keeps items at their deadline; push
// inserts in order of Push calls.
func TestQueueKeepsOrderAndDeadlines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		n := rapid.IntRange(1, 30).Draw(t, "n")
		for i := range n {
			waited := time.Duration(rapid.IntRange(0, 9_000).Draw(t, "waited")) * time.Millisecond
			q.Push(&Item[int]{Account: "a", Weight: 1, Priority: Bands - 1, Arrived: start.Add(-waited), Deadline: start.Add(10*time.Second - waited), Value: i}, start)
		}
		now := start.Add(time.Duration(rapid.IntRange(0, 12_000).Draw(t, "later")) * time.Millisecond)
		dropped := q.Advance(now)
		for _, it := range dropped {
			assert.Assert(t, !now.Before(it.Deadline))
		}
		served, last := 0, time.Time{}
		for it := firstItem(&q); it != nil; it = firstItem(&q) {
			assert.Assert(t, now.Before(it.Deadline))
			assert.Assert(t, !it.Arrived.Before(last))
			last = it.Arrived
			q.Serve(it)
			served++
		}
		assert.Equal(t, served+len(dropped), n)
		assert.Equal(t, q.Len(), 0)
	})
}

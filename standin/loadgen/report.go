package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the histograms, in microseconds.
const (
	lowestMicros  = 1
	highestMicros = 600_000_000
	digits        = 3
)

// Quantiles describes one histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Write is what the caller knows of one protected write.
type Write struct {
	Key       string `json:"key"`
	Path      string `json:"path"`
	RequestID string `json:"request_id,omitempty"`
	// Outcome is answered, not_run or unknown.
	Outcome string `json:"outcome"`
	At      int64  `json:"at"`
}

// Outcomes of a write.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

// Report is what callers saw in one run.
type Report struct {
	Team      string `json:"team"`
	Seed      uint64 `json:"seed"`
	StartedAt int64  `json:"started_at"` // wall clock microseconds
	EndedAt   int64  `json:"ended_at"`

	Requests int `json:"requests"`
	// Whole requests got their complete, own answer.
	Whole int `json:"whole"`
	// Lost answers or tokens: a stream with a hole, a stream or an answer that
	// never came to its end although it ran or may have run.
	Lost int `json:"lost"`
	// Missing tokens: holes inside a stream, before its last delivered token.
	Missing int `json:"missing"`
	// Duplicated tokens.
	Duplicated int `json:"duplicated"`
	// Foreign tokens or answers: wrong text, another generation, another call.
	Foreign int `json:"foreign"`
	// Cut connections inside a stream, resumed or not.
	Cut int `json:"cut"`
	// Refused requests ended with "not run".
	Refused int `json:"refused"`
	// Repeats are further attempts after "not run".
	Repeats int `json:"repeats"`

	Kinds       map[string]int `json:"kinds"`
	WholeKinds  map[string]int `json:"whole_kinds"`
	Errors      map[string]int `json:"errors"` // by code, name and execution
	FirstErrors []string       `json:"first_errors,omitempty"`
	// Refusals are attempts after which a request was sent again, by code; known
	// of callers without the client package.
	Refusals   map[string]int       `json:"refusals,omitempty"`
	FirstToken map[string]Quantiles `json:"first_token"` // by class
	Gap        map[string]Quantiles `json:"gap"`         // time between tokens, by class
	Latency    map[string]Quantiles `json:"latency"`     // whole request, by kind or class
	Stalls     int                  `json:"stalls"`      // gaps beyond the stall bound
	StallMS    float64              `json:"stall_ms"`    // their total length
	Tokens     int                  `json:"tokens"`
	// GoodTokens are those that came within the first-token and gap bounds.
	GoodTokens int `json:"good_tokens"`
	// GoodRequests are generations that ended whole, with the first token in
	// its bound and 95 in 100 gaps in theirs.
	GoodRequests int     `json:"good_requests"`
	Timeline     []int   `json:"whole_per_second"` // whole requests by second of their end
	Writes       []Write `json:"writes"`
	// Generations has the times of each generation.
	Generations []GenerationTimes `json:"generations"`
}

// GenerationTimes are wall clock microseconds; FirstToken is 0 when none came.
type GenerationTimes struct {
	Due        int64 `json:"due"`
	FirstToken int64 `json:"first_token"`
	End        int64 `json:"end"`
	Tokens     int   `json:"tokens"`
}

// recorder collects a report from concurrent requests.
type recorder struct {
	mu     sync.Mutex
	report Report
	hists  map[string]map[string]*hdrhistogram.Histogram // measure, then class
	start  time.Time
}

func newRecorder(team string, seed uint64) *recorder {
	return &recorder{
		report: Report{
			Team: team, Seed: seed, Kinds: map[string]int{}, WholeKinds: map[string]int{}, Errors: map[string]int{},
			Writes: []Write{},
		},
		hists: map[string]map[string]*hdrhistogram.Histogram{},
		start: time.Now(),
	}
}

func (r *recorder) observe(measure, class string, d time.Duration) {
	byClass := r.hists[measure]
	if byClass == nil {
		byClass = map[string]*hdrhistogram.Histogram{}
		r.hists[measure] = byClass
	}
	for _, c := range []string{class, "all"} {
		if byClass[c] == nil {
			byClass[c] = hdrhistogram.New(lowestMicros, highestMicros, digits)
		}
		_ = byClass[c].RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
	}
}

func (r *recorder) whole(kind string) {
	r.report.Whole++
	r.report.WholeKinds[kind]++
	second := int(time.Since(r.start) / time.Second)
	for len(r.report.Timeline) <= second {
		r.report.Timeline = append(r.report.Timeline, 0)
	}
	r.report.Timeline[second]++
}

const maxFirstErrors = 20

func (r *recorder) fault(text string) {
	if len(r.report.FirstErrors) < maxFirstErrors {
		r.report.FirstErrors = append(r.report.FirstErrors, text)
	}
}

func (r *recorder) quantiles(measure string) map[string]Quantiles {
	out := map[string]Quantiles{}
	for class, h := range r.hists[measure] {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		out[class] = Quantiles{
			Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: ms(50), P95: ms(95), P99: ms(99), P999: ms(99.9),
			Max: float64(h.Max()) / 1000,
		}
	}
	return out
}

func (r *recorder) finish() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.StartedAt, r.report.EndedAt = r.start.UnixMicro(), time.Now().UnixMicro()
	r.report.FirstToken = r.quantiles(measureFirstToken)
	r.report.Gap = r.quantiles(measureGap)
	r.report.Latency = r.quantiles(measureLatency)
	return r.report
}

package loadgen

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Range of the recorder's histograms in microseconds, and their precision in
// significant decimal digits.
const (
	lowestMicros      = 1
	highestMicros     = 600_000_000
	significantDigits = 3
)

// Quantiles summarizes one histogram, in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	Mean  float64 `json:"mean_ms"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
	P999  float64 `json:"p999_ms"`
	Max   float64 `json:"max_ms"`
}

// Write is the outcome of one protected write (a call with an idempotency key) as its
// caller saw it.
type Write struct {
	Key       string `json:"key"`
	Path      string `json:"path"`
	RequestID string `json:"request_id,omitempty"`
	// Outcome is answered, not_run or unknown.
	Outcome string `json:"outcome"`
	At      int64  `json:"at"`
}

// Outcomes of a write. Unknown writes may have run.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

// Report summarizes one run as its callers saw it.
type Report struct {
	Team      string `json:"team"`
	Seed      uint64 `json:"seed"`
	StartedAt int64  `json:"started_at"` // start of the run in wall clock microseconds
	EndedAt   int64  `json:"ended_at"`

	Requests int `json:"requests"`
	// Complete counts requests that got the complete response that belongs to them.
	Complete int `json:"whole"`
	// Lost counts requests with missing, duplicated or foreign tokens, or with an
	// incomplete stream or response although they ran or may have run.
	Lost int `json:"lost"`
	// FalselyComplete counts the lost generations that ended for their callers without an error.
	FalselyComplete int `json:"falsely_complete"`
	// Missing counts tokens skipped before the last delivered token of a stream.
	Missing int `json:"missing"`
	// Duplicated counts tokens that were delivered again.
	Duplicated int `json:"duplicated"`
	// Foreign counts tokens and responses that are wrong or belong to another request.
	Foreign int `json:"foreign"`
	// Cut counts connections lost during a stream, whether or not the stream was resumed.
	Cut int `json:"cut"`
	// Refused counts requests that ended with an error response that says "not run".
	Refused int `json:"refused"`
	// Retries counts the attempts of a request beyond its first, for example after "not run".
	Retries int `json:"repeats"`

	Kinds          map[string]int `json:"kinds"`
	CompleteByKind map[string]int `json:"whole_kinds"`
	Errors         map[string]int `json:"errors"` // number of errors by code, name and execution
	FirstErrors    []string       `json:"first_errors,omitempty"`
	// Refusals counts failed attempts after which a request was sent again, by
	// code. Only a DirectCaller reports them.
	Refusals   map[string]int       `json:"refusals,omitempty"`
	FirstToken map[string]Quantiles `json:"first_token"` // time to the first token, by class
	Gap        map[string]Quantiles `json:"gap"`         // time between tokens, by class
	Latency    map[string]Quantiles `json:"latency"`     // latency of complete requests, by kind or class
	Stalls     int                  `json:"stalls"`      // number of gaps between tokens longer than Bounds.Stall
	StallMS    float64              `json:"stall_ms"`    // total length of the gaps that Stalls counts
	Tokens     int                  `json:"tokens"`
	// GoodTokens counts tokens that met their bound, in generations whose first token met its own.
	GoodTokens int `json:"good_tokens"`
	// GoodRequests counts generations that delivered every token, with the first
	// token within its bound and at least 95 of 100 gaps between tokens within their bound.
	GoodRequests      int     `json:"good_requests"`
	CompletePerSecond []int   `json:"whole_per_second"` // number of complete requests by the second in which they ended
	Writes            []Write `json:"writes"`
	// Generations holds the times of each generation.
	Generations []GenerationTimes `json:"generations"`
}

// GenerationTimes holds the times of one generation in wall clock microseconds. Due
// is when its request was to be sent; FirstToken is 0 if no token arrived.
type GenerationTimes struct {
	Due        int64 `json:"due"`
	FirstToken int64 `json:"first_token"`
	End        int64 `json:"end"`
	Tokens     int   `json:"tokens"`
}

// recorder builds a report from concurrent requests. Callers of its methods, except
// buildReport, must hold mu.
type recorder struct {
	mu         sync.Mutex
	report     Report
	histograms map[string]map[string]*hdrhistogram.Histogram // by name of the measured value, then by class
	start      time.Time
}

func newRecorder(team string, seed uint64) *recorder {
	return &recorder{
		report: Report{
			Team: team, Seed: seed, Kinds: map[string]int{}, CompleteByKind: map[string]int{}, Errors: map[string]int{},
			Writes: []Write{},
		},
		histograms: map[string]map[string]*hdrhistogram.Histogram{},
		start:      time.Now(),
	}
}

func (r *recorder) observe(measure, class string, d time.Duration) {
	byClass := r.histograms[measure]
	if byClass == nil {
		byClass = map[string]*hdrhistogram.Histogram{}
		r.histograms[measure] = byClass
	}
	for _, c := range []string{class, "all"} {
		if byClass[c] == nil {
			byClass[c] = hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
		}
		_ = byClass[c].RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
	}
}

// countComplete counts a request that got its complete response.
func (r *recorder) countComplete(kind string) {
	r.report.Complete++
	r.report.CompleteByKind[kind]++
	second := int(time.Since(r.start) / time.Second)
	for len(r.report.CompletePerSecond) <= second {
		r.report.CompletePerSecond = append(r.report.CompletePerSecond, 0)
	}
	r.report.CompletePerSecond[second]++
}

const maxFirstErrors = 20

// addError adds the text of an error to FirstErrors, up to maxFirstErrors texts.
func (r *recorder) addError(text string) {
	if len(r.report.FirstErrors) < maxFirstErrors {
		r.report.FirstErrors = append(r.report.FirstErrors, text)
	}
}

func (r *recorder) quantiles(measure string) map[string]Quantiles {
	out := map[string]Quantiles{}
	for class, h := range r.histograms[measure] {
		ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
		out[class] = Quantiles{
			Count: h.TotalCount(), Mean: h.Mean() / 1000, P50: ms(50), P95: ms(95), P99: ms(99), P999: ms(99.9),
			Max: float64(h.Max()) / 1000,
		}
	}
	return out
}

func (r *recorder) buildReport() Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.StartedAt, r.report.EndedAt = r.start.UnixMicro(), time.Now().UnixMicro()
	r.report.FirstToken = r.quantiles(measureFirstToken)
	r.report.Gap = r.quantiles(measureGap)
	r.report.Latency = r.quantiles(measureLatency)
	return r.report
}

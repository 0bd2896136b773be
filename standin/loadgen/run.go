package loadgen

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"net/http"
	"sync"
	"time"

	"github.com/endivetrack/endivetrack/standin/expected"
	"github.com/endivetrack/endivetrack/standin/service"
)

// Names of the measured values that the recorder keeps histograms of.
const (
	measureFirstToken = "first_token"
	measureGap        = "gap"
	measureLatency    = "latency"
)

// Bounds are the limits within which a caller counts tokens as good.
type Bounds struct {
	FirstToken time.Duration // maximum time to the first token; default 1.8 s (docs/design.md, section 1)
	Gap        time.Duration // maximum time between two tokens; default 31 ms
	Stall      time.Duration // gap between tokens above which a stream counts as stalled; default 250 ms, about eight times Gap
}

// DefaultBounds returns the bounds that docs/design.md requires.
func DefaultBounds() Bounds {
	return Bounds{FirstToken: 1800 * time.Millisecond, Gap: 31 * time.Millisecond, Stall: 250 * time.Millisecond}
}

// goodGapShare is the share of gaps between tokens that must be within Bounds.Gap for
// a generation to count as good.
const goodGapShare = 0.95

// Run sends the scheduled requests, each at its time, and waits until all have
// ended. When ctx ends, it sends no further requests, and the running ones end with
// an error. callers has one Caller per account of the profile, in the same order.
func Run(ctx context.Context, p Profile, l Load, b Bounds, callers []Caller) Report {
	arrivals := Schedule(p, l)
	r := newRecorder(p.Team, l.Seed)
	timer := time.NewTimer(0)
	defer timer.Stop()
	var wg sync.WaitGroup
	for _, a := range arrivals {
		timer.Reset(time.Until(r.start.Add(a.At)))
		select {
		case <-timer.C:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() {
			q := request{profile: p, bounds: b, recorder: r, arrival: a, caller: callers[a.Account], due: r.start.Add(a.At)}
			q.run(ctx)
		})
	}
	wg.Wait()
	report := r.buildReport()
	report.Refusals = map[string]int{}
	for _, c := range callers {
		if d, ok := c.(*DirectCaller); ok {
			for code, n := range d.Refusals() {
				report.Refusals[code] += n
			}
		}
	}
	return report
}

// request is one scheduled request that is being executed. due is the time at which
// the schedule requires it to be sent.
type request struct {
	profile  Profile
	bounds   Bounds
	recorder *recorder
	arrival  Arrival
	caller   Caller
	due      time.Time
}

func (q request) run(ctx context.Context) {
	q.recorder.mu.Lock()
	q.recorder.report.Requests++
	q.recorder.report.Kinds[q.arrival.Kind]++
	q.recorder.mu.Unlock()
	switch q.arrival.Kind {
	case KindGenerate:
		q.generate(ctx)
	case KindRead:
		q.read(ctx)
	case KindWrite:
		q.write(ctx)
	}
}

// tokenChecker checks the tokens of one generation as they arrive.
type tokenChecker struct {
	plan       expected.Plan
	due, last  time.Time
	firstToken time.Duration
	id         string
	nextOffset int
	duplicated int
	missing    int
	foreign    int
	gaps       []time.Duration
}

func (w *tokenChecker) checkToken(id string, offset int, text string) {
	now := time.Now()
	if w.nextOffset == 0 {
		w.firstToken, w.id = now.Sub(w.due), id
	} else {
		w.gaps = append(w.gaps, now.Sub(w.last))
	}
	w.last = now
	if offset < w.nextOffset {
		w.duplicated++
		return
	}
	w.missing += offset - w.nextOffset
	if id != w.id || offset >= w.plan.Length || text != w.plan.Token(offset) {
		w.foreign++
	}
	w.nextOffset = offset + 1
}

// complete reports whether the caller received exactly the planned output.
func (w *tokenChecker) complete(g GenerationResult) bool {
	return g.Err == nil && g.Finish == w.plan.Finish && w.nextOffset == w.plan.Length &&
		w.duplicated+w.missing+w.foreign == 0
}

func (q request) generate(ctx context.Context) {
	class := q.profile.Classes[q.arrival.Class]
	w := &tokenChecker{plan: expected.Output(q.arrival.Prompt, class.MaxTokens), due: q.due}
	g := q.caller.Generate(ctx, GenerateRequest{
		Model: q.profile.Model, Class: class.Name, Prompt: q.arrival.Prompt, MaxTokens: class.MaxTokens,
	}, w.checkToken)
	r := q.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Tokens += w.nextOffset
	r.report.Missing += w.missing
	r.report.Duplicated += w.duplicated
	r.report.Foreign += w.foreign
	r.report.Cut += g.Cuts
	r.report.Retries += max(0, g.Attempts-1)
	times := GenerationTimes{Due: q.due.UnixMicro(), End: time.Now().UnixMicro(), Tokens: w.nextOffset}
	if w.nextOffset > 0 {
		times.FirstToken = q.due.Add(w.firstToken).UnixMicro()
	}
	r.report.Generations = append(r.report.Generations, times)
	q.observeTokens(class.Name, w)
	switch {
	case w.complete(g):
		r.countComplete(KindGenerate)
		r.observe(measureLatency, class.Name, time.Since(q.due))
	case w.nextOffset == 0 && isNotRun(g.Err):
		r.report.Refused++
	default:
		r.report.Lost++
		if g.Err == nil {
			r.report.FalselyComplete++
		}
		r.addError(fmt.Sprintf("generation %s: %d of %d tokens, missing %d, duplicated %d, foreign %d, finish %q: %v",
			g.ID, w.nextOffset, w.plan.Length, w.missing, w.duplicated, w.foreign, g.Finish, g.Err))
	}
	r.recordError(g.Err)
}

// observeTokens records token timing and good tokens. The recorder must be locked.
func (q request) observeTokens(class string, w *tokenChecker) {
	r := q.recorder
	if w.nextOffset == 0 {
		return
	}
	r.observe(measureFirstToken, class, w.firstToken)
	good := 0
	for _, gap := range w.gaps {
		r.observe(measureGap, class, gap)
		if gap <= q.bounds.Gap {
			good++
		}
		if gap > q.bounds.Stall {
			r.report.Stalls++
			r.report.StallMS += float64(gap.Microseconds()) / 1000
		}
	}
	if w.firstToken <= q.bounds.FirstToken {
		r.report.GoodTokens += good + 1
		if w.nextOffset == w.plan.Length && float64(good) >= goodGapShare*float64(len(w.gaps)) {
			r.report.GoodRequests++
		}
	}
}

func isNotRun(err error) bool {
	var ce *CallError
	return errors.As(err, &ce) && ce.Execution == OutcomeNotRun
}

func (r *recorder) recordError(err error) {
	if err == nil {
		return
	}
	var ce *CallError
	if errors.As(err, &ce) {
		r.report.Errors[fmt.Sprintf("%d %s %s", ce.Code, ce.Name, ce.Execution)]++
		return
	}
	r.report.Errors["connection"]++
	r.addError(err.Error())
}

func (q request) read(ctx context.Context) {
	response, err := q.caller.Call(ctx, CallRequest{Method: http.MethodGet, Service: q.profile.PlainService, Path: q.arrival.Path})
	r := q.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Retries += max(0, response.Attempts-1)
	q.recordResponse(KindRead, response, nil, err)
}

// recordResponse classifies and counts the response of a call. The recorder must be
// locked.
func (q request) recordResponse(kind string, response CallResponse, body []byte, err error) {
	r := q.recorder
	r.recordError(err)
	switch {
	case err == nil && q.isOwnResponse(response, body):
		r.countComplete(kind)
		r.observe(measureLatency, kind, time.Since(q.due))
	case err == nil:
		r.report.Foreign++
		r.addError(fmt.Sprintf("%s %s: foreign response %.200q", kind, q.arrival.Path, response.Body))
	case isNotRun(err):
		r.report.Refused++
	default:
		r.report.Lost++
		r.addError(fmt.Sprintf("%s %s: %v", kind, q.arrival.Path, err))
	}
}

// isOwnResponse reports whether a response is complete and belongs to this request.
func (q request) isOwnResponse(response CallResponse, body []byte) bool {
	var a service.Response
	return json.Unmarshal(response.Body, &a) == nil && a.Path == q.arrival.Path && a.Key == q.arrival.Key &&
		a.BodyBytes == len(body) && a.BodyCRC == crc32.ChecksumIEEE(body)
}

func (q request) write(ctx context.Context) {
	body := fmt.Appendf(nil, `{"key":%q,"account":%q,"amount":%d}`, q.arrival.Key, q.profile.Accounts[q.arrival.Account].Name, len(q.arrival.Key))
	call := CallRequest{
		Method: http.MethodPost, Service: q.profile.PlainService, Path: q.arrival.Path,
		IdempotencyKey: q.arrival.Key, Body: body,
	}
	response, err := q.caller.Call(ctx, call)
	r := q.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Retries += max(0, response.Attempts-1)
	q.recordResponse(KindWrite, response, body, err)
	w := Write{Key: q.arrival.Key, Path: q.arrival.Path, Outcome: OutcomeUnknown, At: q.due.UnixMicro()}
	switch {
	case err == nil:
		w.Outcome = OutcomeAnswered
	case isNotRun(err):
		w.Outcome = OutcomeNotRun
	}
	r.report.Writes = append(r.report.Writes, w)
	if err == nil && q.arrival.Repeat {
		q.repeatWrite(ctx, call, response.Body)
	}
}

// repeatWrite sends an answered write again and expects the stored answer, whose body
// is want. The recorder must be locked; it is unlocked during the call.
func (q request) repeatWrite(ctx context.Context, call CallRequest, want []byte) {
	r := q.recorder
	r.report.Requests++
	r.report.Kinds[kindRepeat]++
	r.mu.Unlock()
	response, err := q.caller.Call(ctx, call)
	r.mu.Lock()
	r.recordError(err)
	switch {
	case err == nil && bytes.Equal(response.Body, want) && response.Replayed:
		r.countComplete(kindRepeat)
	case err == nil:
		r.report.Foreign++
		r.addError(fmt.Sprintf("repeated write %s: replayed=%t response %.200q", call.IdempotencyKey, response.Replayed, response.Body))
	case isNotRun(err):
		r.report.Refused++
	default:
		r.report.Lost++
	}
}

// kindRepeat is the kind of protected writes sent again with the same key.
const kindRepeat = "repeat"

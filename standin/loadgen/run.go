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

// Measures with histograms.
const (
	measureFirstToken = "first_token"
	measureGap        = "gap"
	measureLatency    = "latency"
)

// Bounds are what a caller counts as good.
type Bounds struct {
	FirstToken time.Duration // default 1.8 s (docs/design.md, section 1)
	Gap        time.Duration // default 31 ms
	Stall      time.Duration // a gap beyond it is a stall; default 250 ms, about eight times Gap
}

// DefaultBounds are the targets of docs/design.md.
func DefaultBounds() Bounds {
	return Bounds{FirstToken: 1800 * time.Millisecond, Gap: 31 * time.Millisecond, Stall: 250 * time.Millisecond}
}

// goodShare is the share of gaps that must be within the bound.
const goodShare = 0.95

// Run sends the arrivals and waits until each has ended or ctx ends. callers
// has one Caller per account of the profile.
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
	report := r.finish()
	report.Refusals = map[string]int{}
	for _, c := range callers {
		if d, ok := c.(*Direct); ok {
			for code, n := range d.Refusals() {
				report.Refusals[code] += n
			}
		}
	}
	return report
}

// request is one arrival under way.
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

// watch checks the tokens of one generation as they arrive.
type watch struct {
	plan       expected.Plan
	due, last  time.Time
	first      time.Duration
	id         string
	next       int
	duplicated int
	missing    int
	foreign    int
	gaps       []time.Duration
}

func (w *watch) token(id string, offset int, text string) {
	now := time.Now()
	if w.next == 0 {
		w.first, w.id = now.Sub(w.due), id
	} else {
		w.gaps = append(w.gaps, now.Sub(w.last))
	}
	w.last = now
	if offset < w.next {
		w.duplicated++
		return
	}
	w.missing += offset - w.next
	if id != w.id || offset >= w.plan.Length || text != w.plan.Token(offset) {
		w.foreign++
	}
	w.next = offset + 1
}

// whole reports whether the stream was the complete, own answer.
func (w *watch) whole(g Generation) bool {
	return g.Err == nil && g.Finish == w.plan.Finish && w.next == w.plan.Length &&
		w.duplicated+w.missing+w.foreign == 0
}

func (q request) generate(ctx context.Context) {
	class := q.profile.Classes[q.arrival.Class]
	w := &watch{plan: expected.Output(q.arrival.Prompt, class.MaxTokens), due: q.due}
	g := q.caller.Generate(ctx, GenerateRequest{
		Model: q.profile.Model, Class: class.Name, Prompt: q.arrival.Prompt, MaxTokens: class.MaxTokens,
	}, w.token)
	r := q.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Tokens += w.next
	r.report.Missing += w.missing
	r.report.Duplicated += w.duplicated
	r.report.Foreign += w.foreign
	r.report.Cut += g.Cuts
	r.report.Repeats += max(0, g.Sends-1)
	times := GenerationTimes{Due: q.due.UnixMicro(), End: time.Now().UnixMicro(), Tokens: w.next}
	if w.next > 0 {
		times.FirstToken = q.due.Add(w.first).UnixMicro()
	}
	r.report.Generations = append(r.report.Generations, times)
	q.observeTokens(class.Name, w)
	switch {
	case w.whole(g):
		r.whole(KindGenerate)
		r.observe(measureLatency, class.Name, time.Since(q.due))
	case w.next == 0 && isNotRun(g.Err):
		r.report.Refused++
	default:
		r.report.Lost++
		r.fault(fmt.Sprintf("generation %s: %d of %d tokens, missing %d, duplicated %d, foreign %d, finish %q: %v",
			g.ID, w.next, w.plan.Length, w.missing, w.duplicated, w.foreign, g.Finish, g.Err))
	}
	r.noteError(g.Err)
}

// observeTokens counts what the caller felt; the recorder is locked.
func (q request) observeTokens(class string, w *watch) {
	r := q.recorder
	if w.next == 0 {
		return
	}
	r.observe(measureFirstToken, class, w.first)
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
	if w.first <= q.bounds.FirstToken {
		r.report.GoodTokens += good + 1
		if w.next == w.plan.Length && float64(good) >= goodShare*float64(len(w.gaps)) {
			r.report.GoodRequests++
		}
	}
}

func isNotRun(err error) bool {
	var ce *CallError
	return errors.As(err, &ce) && ce.Execution == OutcomeNotRun
}

func (r *recorder) noteError(err error) {
	if err == nil {
		return
	}
	var ce *CallError
	if errors.As(err, &ce) {
		r.report.Errors[fmt.Sprintf("%d %s %s", ce.Code, ce.Name, ce.Execution)]++
		return
	}
	r.report.Errors["connection"]++
	r.fault(err.Error())
}

func (q request) read(ctx context.Context) {
	answer, err := q.caller.Call(ctx, CallRequest{Method: http.MethodGet, Service: q.profile.PlainService, Path: q.arrival.Path})
	r := q.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Repeats += max(0, answer.Sends-1)
	q.settle(KindRead, answer, nil, err)
}

// settle classifies the answer of a call; the recorder is locked.
func (q request) settle(kind string, answer CallAnswer, body []byte, err error) {
	r := q.recorder
	r.noteError(err)
	switch {
	case err == nil && q.own(answer, body):
		r.whole(kind)
		r.observe(measureLatency, kind, time.Since(q.due))
	case err == nil:
		r.report.Foreign++
		r.fault(fmt.Sprintf("%s %s: foreign answer %.200q", kind, q.arrival.Path, answer.Body))
	case isNotRun(err):
		r.report.Refused++
	default:
		r.report.Lost++
		r.fault(fmt.Sprintf("%s %s: %v", kind, q.arrival.Path, err))
	}
}

// own reports whether an answer is complete and belongs to this request.
func (q request) own(answer CallAnswer, body []byte) bool {
	var a service.Answer
	return json.Unmarshal(answer.Body, &a) == nil && a.Path == q.arrival.Path && a.Key == q.arrival.Key &&
		a.BodyBytes == len(body) && a.BodyCRC == crc32.ChecksumIEEE(body)
}

func (q request) write(ctx context.Context) {
	body := fmt.Appendf(nil, `{"key":%q,"account":%q,"amount":%d}`, q.arrival.Key, q.profile.Accounts[q.arrival.Account].Name, len(q.arrival.Key))
	call := CallRequest{
		Method: http.MethodPost, Service: q.profile.PlainService, Path: q.arrival.Path,
		IdempotencyKey: q.arrival.Key, Body: body,
	}
	answer, err := q.caller.Call(ctx, call)
	r := q.recorder
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Repeats += max(0, answer.Sends-1)
	q.settle(KindWrite, answer, body, err)
	w := Write{Key: q.arrival.Key, Path: q.arrival.Path, Outcome: OutcomeUnknown, At: q.due.UnixMicro()}
	switch {
	case err == nil:
		w.Outcome = OutcomeAnswered
	case isNotRun(err):
		w.Outcome = OutcomeNotRun
	}
	r.report.Writes = append(r.report.Writes, w)
	if err == nil && q.arrival.Repeat {
		q.repeat(ctx, call, answer.Body)
	}
}

// repeat sends an answered write again: the stored answer must come back. The
// recorder is locked, and unlocked for the time of the call.
func (q request) repeat(ctx context.Context, call CallRequest, want []byte) {
	r := q.recorder
	r.report.Requests++
	r.report.Kinds[kindRepeat]++
	r.mu.Unlock()
	answer, err := q.caller.Call(ctx, call)
	r.mu.Lock()
	r.noteError(err)
	switch {
	case err == nil && bytes.Equal(answer.Body, want) && answer.Replayed:
		r.whole(kindRepeat)
	case err == nil:
		r.report.Foreign++
		r.fault(fmt.Sprintf("repeated write %s: replayed=%t answer %.200q", call.IdempotencyKey, answer.Replayed, answer.Body))
	case isNotRun(err):
		r.report.Refused++
	default:
		r.report.Lost++
	}
}

// kindRepeat counts protected writes that are sent again with the same key.
const kindRepeat = "repeat"

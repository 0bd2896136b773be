package command

import (
	"context"
	"errors"
	"net/http"
	"net/url"
	"path"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/entry/classify"
	"github.com/endivetrack/endivetrack/internal/entry/permit"
	"github.com/endivetrack/endivetrack/internal/entry/reply"
	"github.com/endivetrack/endivetrack/internal/entry/target"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/settings"
	"github.com/endivetrack/endivetrack/internal/stream"
)

const (
	keyHeader      = "Idempotency-Key"
	replayedHeader = "X-Endivetrack-Replayed"
	maxKeyBytes    = 128
	// minAnswerBound is the bound on an answer of a plain service whose bodies
	// have a smaller bound. Answers are kept in memory until they are complete,
	// since a cut answer must not reach the caller.
	minAnswerBound = 1 << 20
)

// plainCall is one call to a plain service while it runs.
type plainCall struct {
	id      *access.Identity
	service string
	spec    settings.Service
	class   settings.Class
	request *api.RequestClass
	send    target.Request
	// sent: a byte of a protected write may have left for a target.
	sent bool
}

// Plain serves ANY /v1/services/{service}/{path}.
func (s *Service) Plain(c echo.Context) error {
	w, r := c.Response(), c.Request()
	id, done, err := s.begin(r)
	if err != nil {
		return err
	}
	defer done()
	call, err := s.parsePlain(id, w, r, c.Param("service"))
	if err != nil {
		return err
	}
	s.counts.plain.Inc(1)
	if !isRead(r.Method) && isProtected(call.spec, r.URL.Path, call.service) {
		return s.protected(r.Context(), w, call)
	}
	ctx, cancel := context.WithTimeout(r.Context(), call.class.QueueTimeout()+call.spec.CallTimeout())
	defer cancel()
	answer, err := s.callPlain(ctx, call)
	if err != nil {
		return err
	}
	writeAnswer(w, answer)
	return nil
}

func isRead(method string) bool { return method == http.MethodGet || method == http.MethodHead }

const servicesPrefix = "/v1/services/"

// servicePath is the path at the target.
func servicePath(full, service string) string {
	return strings.TrimPrefix(full, servicesPrefix+service)
}

func isProtected(spec settings.Service, full, service string) bool {
	p := servicePath(full, service)
	return slices.ContainsFunc(spec.ProtectedPaths, func(prefix string) bool { return strings.HasPrefix(p, prefix) })
}

// parsePlain checks the call. The path must be in its shortest form: a target
// that resolves "//" or "/../" would otherwise run a protected path under the
// name of another one.
func (s *Service) parsePlain(id *access.Identity, w http.ResponseWriter, r *http.Request, service string) (*plainCall, error) {
	spec, ok := id.Team.Services[service]
	if !ok || spec.Kind != settings.KindPlain {
		return nil, resultcode.Newf(resultcode.UnknownService, "the team has no plain service %q", service)
	}
	if !id.MayCall(service) {
		return nil, resultcode.Newf(resultcode.Forbidden, "account %q may not call service %q", id.AccountName, service)
	}
	p := servicePath(r.URL.Path, service)
	if p == "" {
		p = "/"
	}
	if cleaned := path.Clean(p); cleaned != strings.TrimSuffix(p, "/") && cleaned != p || strings.Contains(p, `\`) {
		return nil, resultcode.Newf(resultcode.BadRequest, "the path %q is not in its shortest form", p)
	}
	key := r.Header.Get(keyHeader)
	if !validKey(key) {
		return nil, resultcode.Newf(resultcode.BadRequest, "%s must be 1 to %d printable ASCII characters", keyHeader, maxKeyBytes)
	}
	name, class, err := classify.ClassOf(id, r.Header.Get(classHeader))
	if err != nil {
		return nil, err
	}
	body, err := reply.ReadBody(w, r, spec.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	uri := url.URL{Path: p, RawQuery: r.URL.RawQuery}
	return &plainCall{
		id: id, service: service, spec: spec, class: class,
		request: &api.RequestClass{Account: id.AccountName, Class: name, PromptTokens: classify.PromptTokens(len(body))},
		send: target.Request{
			Method: r.Method, URI: uri.RequestURI(), ContentType: r.Header.Get("Content-Type"),
			IdempotencyKey: key, Body: body, MaxAnswer: max(spec.MaxBodyBytes, minAnswerBound),
		},
	}, nil
}

func validKey(key string) bool {
	if len(key) > maxKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

func writeAnswer(w http.ResponseWriter, a *target.Answer) {
	if a.ContentType != "" {
		w.Header().Set("Content-Type", a.ContentType)
	}
	reply.LimitWrite(w)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body) // a caller that is gone cannot be told
}

// callPlain runs a call that is not protected. Reads are repeated and hedged
// within the retry budget; other calls are repeated only when nothing was sent.
func (s *Service) callPlain(ctx context.Context, call *plainCall) (*target.Answer, error) {
	wanted := s.wanted(call.id, call.service, call.class.QueueTimeout(), call.request)
	read := isRead(call.send.Method)
	mayHaveRun := false
	for {
		wanted.RequestID = stream.NewUnique()
		held, err := s.Acquirer.Acquire(ctx, wanted)
		if err != nil {
			return nil, plainError(err, mayHaveRun)
		}
		var answer *target.Answer
		if read {
			answer, err = s.hedged(ctx, call, wanted, held)
		} else {
			answer, err = s.dispatch(ctx, call, held)
		}
		if err == nil {
			return answer, nil
		}
		wanted.Exclude = append(wanted.Exclude, held.Permit.GetTarget())
		mayHaveRun = mayHaveRun || !isNotSent(err)
		again := ctx.Err() == nil && (read || isNotSent(err)) && elsewhereHelps(err) && !errors.Is(err, target.ErrTooLarge)
		if !again {
			return nil, plainError(err, mayHaveRun)
		}
		if !s.mayRetry(call.id) {
			return nil, budgetSpent(plainError(err, mayHaveRun))
		}
		s.counts.restarted.Inc(1)
	}
}

// plainError gives the error of a call that ended with err.
func plainError(err error, mayHaveRun bool) *resultcode.Error {
	var coded *resultcode.Error
	var notSent *target.NotSentError
	switch {
	case errors.As(err, &coded):
	case errors.As(err, &notSent):
		coded = notSentError(notSent)
	case errors.Is(err, target.ErrTooLarge):
		return resultcode.Newf(resultcode.AnswerTooLarge, "%v", err).WithExecution(resultcode.Ran)
	default:
		return resultcode.Newf(resultcode.OutcomeUnknown, "%v", err).WithExecution(resultcode.Unknown)
	}
	if mayHaveRun && coded.Execution == resultcode.NotRun {
		coded = coded.WithExecution(resultcode.Unknown)
	}
	return coded
}

// dispatch sends the call to the permit's target, once, and ends the permit.
func (s *Service) dispatch(ctx context.Context, call *plainCall, held *permit.Held) (*target.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, call.spec.CallTimeout())
	defer cancel()
	send := call.send
	send.RequestID = stream.NewUnique()
	began := time.Now()
	answer, err := target.Call(ctx, held.Permit.GetAddress(), send, func() error {
		return s.mayDispatch(call.id, call.service, held.Permit)
	})
	s.release(ctx, held, s.plainReason(held, answer, err))
	s.suspect(held, err)
	s.countCrossed(answer, err)
	if err != nil {
		return nil, err
	}
	s.pace.note(call.id.TeamName, call.service, time.Since(began))
	if charge := s.charger(call.id, held.Shard.Region); charge != nil {
		charge(len(send.Body) + len(answer.Body))
	}
	return answer, nil
}

// countCrossed counts answers to other requests.
func (s *Service) countCrossed(answer *target.Answer, err error) {
	if err == nil {
		s.counts.crossed.Inc(int64(answer.Crossed))
	} else if errors.Is(err, target.ErrCrossed) {
		s.counts.crossed.Inc(1)
	}
}

func (s *Service) plainReason(held *permit.Held, answer *target.Answer, err error) api.ReleaseReason {
	var coded *resultcode.Error
	switch {
	case err == nil && answer.Status < http.StatusInternalServerError:
		held.Token(time.Now()) // the answer's latency, as that of a first token
		return api.ReleaseReason_RELEASE_REASON_FINISHED
	case errors.As(err, &coded):
		return api.ReleaseReason_RELEASE_REASON_NOT_STARTED
	case errors.Is(err, context.Canceled):
		return api.ReleaseReason_RELEASE_REASON_CANCELLED
	default:
		return api.ReleaseReason_RELEASE_REASON_FAILED
	}
}

type plainResult struct {
	answer *target.Answer
	err    error
}

// hedged runs a read, and a second one at another target when the first takes
// unusually long. The first good answer wins.
func (s *Service) hedged(ctx context.Context, call *plainCall, wanted permit.Wanted, held *permit.Held) (*target.Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan plainResult, 2)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	run := func(h *permit.Held) {
		answer, err := s.dispatch(ctx, call, h)
		results <- plainResult{answer, err}
	}
	running.Go(func() { run(held) })
	timer := time.NewTimer(s.pace.hedgeAfter(call.id.TeamName, call.service))
	defer timer.Stop()
	outstanding := 1
	var first error
	for outstanding > 0 {
		select {
		case res := <-results:
			outstanding--
			if res.err == nil {
				return res.answer, nil
			}
			if first == nil {
				first = res.err
			}
		case <-timer.C:
			if second := s.second(ctx, call, wanted, held); second != nil {
				outstanding++
				running.Go(func() { run(second) })
			}
		}
	}
	return nil, first
}

// second obtains a permit at another target for a hedged read, without waiting.
func (s *Service) second(ctx context.Context, call *plainCall, wanted permit.Wanted, first *permit.Held) *permit.Held {
	if !s.mayRetry(call.id) {
		return nil
	}
	wanted.RequestID = stream.NewUnique()
	wanted.Exclude = append(slices.Clone(wanted.Exclude), first.Permit.GetTarget())
	wanted.Regions = wanted.Regions[:1]
	held := s.Acquirer.Probe(ctx, wanted)
	if held != nil {
		s.counts.hedged.Inc(1)
	}
	return held
}

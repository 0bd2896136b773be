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
	idempotencyKeyHeader   = "Idempotency-Key"
	replayedHeader         = "X-Endivetrack-Replayed"
	maxIdempotencyKeyBytes = 128
	// minResponseLimit is the response size limit, in bytes, of a plain service whose
	// body limit is smaller than that. Responses are buffered until they are complete,
	// since a truncated one must not reach the caller.
	minResponseLimit = 1 << 20
)

// plainCall is the state of one call to a plain service.
type plainCall struct {
	identity      *access.Identity
	service       string
	spec          settings.Service
	class         settings.Class
	requestClass  *api.RequestClass
	targetRequest target.Request
	// sent is set once a byte of a protected write may have been sent to a target.
	sent bool
}

// CallPlainService serves all methods of /v1/services/{service}/{path}. Calls to protected
// paths, other than reads, run at most once.
func (s *Service) CallPlainService(c echo.Context) error {
	w, r := c.Response(), c.Request()
	identity, releaseSlot, err := s.admitRequest(r)
	if err != nil {
		return err
	}
	defer releaseSlot()
	call, err := s.parsePlainCall(identity, w, r, c.Param("service"))
	if err != nil {
		return err
	}
	s.counts.plain.Inc(1)
	if !isReadMethod(r.Method) && isProtectedPath(call.spec, r.URL.Path, call.service) {
		return s.serveProtectedWrite(r.Context(), w, call)
	}
	ctx, cancel := context.WithTimeout(r.Context(), call.class.QueueTimeout()+call.spec.CallTimeout())
	defer cancel()
	response, err := s.runPlainCall(ctx, call)
	if err != nil {
		return err
	}
	writeResponse(w, response)
	return nil
}

func isReadMethod(method string) bool { return method == http.MethodGet || method == http.MethodHead }

const servicesPrefix = "/v1/services/"

// servicePath returns the path that the target receives.
func servicePath(urlPath, service string) string {
	return strings.TrimPrefix(urlPath, servicesPrefix+service)
}

func isProtectedPath(spec settings.Service, urlPath, service string) bool {
	p := servicePath(urlPath, service)
	return slices.ContainsFunc(spec.ProtectedPaths, func(prefix string) bool { return strings.HasPrefix(p, prefix) })
}

// parsePlainCall reads and validates the call. The path must be in canonical form:
// otherwise a target that resolves "//" or "/../" could run a protected path that
// was requested under an unprotected one.
func (s *Service) parsePlainCall(identity *access.Identity, w http.ResponseWriter, r *http.Request, service string) (*plainCall, error) {
	spec, ok := identity.Team.Services[service]
	if !ok || spec.Kind != settings.KindPlain {
		return nil, resultcode.Newf(resultcode.UnknownService, "the team has no plain service %q", service)
	}
	if !identity.MayCall(service) {
		return nil, resultcode.Newf(resultcode.Forbidden, "account %q may not call service %q", identity.AccountName, service)
	}
	p := servicePath(r.URL.Path, service)
	if p == "" {
		p = "/"
	}
	if cleaned := path.Clean(p); cleaned != strings.TrimSuffix(p, "/") && cleaned != p || strings.Contains(p, `\`) {
		return nil, resultcode.Newf(resultcode.BadRequest, "the path %q is not in canonical form", p)
	}
	key := r.Header.Get(idempotencyKeyHeader)
	if !validIdempotencyKey(key) {
		return nil, resultcode.Newf(resultcode.BadRequest, "%s must be 1 to %d printable ASCII characters", idempotencyKeyHeader, maxIdempotencyKeyBytes)
	}
	name, class, err := classify.ResolveClass(identity, r.Header.Get(classHeader))
	if err != nil {
		return nil, err
	}
	body, err := reply.ReadBody(w, r, spec.MaxBodyBytes)
	if err != nil {
		return nil, err
	}
	uri := url.URL{Path: p, RawQuery: r.URL.RawQuery}
	return &plainCall{
		identity: identity, service: service, spec: spec, class: class,
		requestClass: &api.RequestClass{Account: identity.AccountName, Class: name, PromptTokens: classify.PromptTokens(len(body))},
		targetRequest: target.Request{
			Method: r.Method, URI: uri.RequestURI(), ContentType: r.Header.Get("Content-Type"),
			IdempotencyKey: key, Body: body, MaxResponseBytes: max(spec.MaxBodyBytes, minResponseLimit),
		},
	}, nil
}

func validIdempotencyKey(key string) bool {
	if len(key) > maxIdempotencyKeyBytes {
		return false
	}
	for i := range len(key) {
		if key[i] < ' ' || key[i] > '~' {
			return false
		}
	}
	return true
}

func writeResponse(w http.ResponseWriter, response *target.Response) {
	reply.Write(w, response.Status, response.ContentType, response.Body)
}

// runPlainCall runs a call that is not protected. Reads are retried and hedged within
// the retry budget; other calls are retried only if nothing was sent.
func (s *Service) runPlainCall(ctx context.Context, call *plainCall) (*target.Response, error) {
	req := s.requirements(call.identity, call.service, call.class.QueueTimeout(), call.requestClass)
	read := isReadMethod(call.targetRequest.Method)
	mayHaveRun := false
	for {
		req.RequestID = stream.RandomID()
		held, err := s.Acquirer.Acquire(ctx, req)
		if err != nil {
			return nil, plainCallError(err, mayHaveRun)
		}
		var response *target.Response
		if read {
			response, err = s.readHedged(ctx, call, req, held)
		} else {
			response, err = s.dispatchPlainCall(ctx, call, held)
		}
		if err == nil {
			return response, nil
		}
		req.ExcludedTargets = append(req.ExcludedTargets, held.Permit.GetTarget())
		mayHaveRun = mayHaveRun || !isNotSentError(err)
		retry := ctx.Err() == nil && (read || isNotSentError(err)) && otherTargetMayHelp(err) && !errors.Is(err, target.ErrTooLarge)
		if !retry {
			return nil, plainCallError(err, mayHaveRun)
		}
		if !s.takeRetry(call.identity) {
			return nil, retryBudgetError(plainCallError(err, mayHaveRun))
		}
		s.counts.restarted.Inc(1)
	}
}

// plainCallError converts the error of a call into a result code error. If an earlier
// attempt may have run, "not run" is replaced by "unknown".
func plainCallError(err error, mayHaveRun bool) *resultcode.Error {
	var coded *resultcode.Error
	var notSent *target.NotSentError
	switch {
	case errors.As(err, &coded):
	case errors.As(err, &notSent):
		coded = resultOfNotSent(notSent)
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

// dispatchPlainCall sends the call once to the permit's target and releases the permit.
func (s *Service) dispatchPlainCall(ctx context.Context, call *plainCall, held *permit.HeldPermit) (*target.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, call.spec.CallTimeout())
	defer cancel()
	request := call.targetRequest
	request.RequestID, request.OnResponse = stream.RandomID(), s.recordStatements(held)
	began := time.Now()
	response, err := target.Call(ctx, held.Permit.GetAddress(), request, func() error {
		return s.checkBeforeSend(call.identity, call.service, held)
	})
	s.releasePermit(ctx, held, s.plainReleaseReason(held, response, err))
	s.suspectIfNotSent(held, err)
	s.countCrossed(response, err)
	if err != nil {
		return nil, err
	}
	if isReadMethod(request.Method) {
		s.latencyEstimator.recordLatency(call.identity.TeamName, call.service, time.Since(began))
	}
	if charge := s.linkCharger(call.identity, held.Shard.Region); charge != nil {
		charge(len(request.Body) + len(response.Body))
	}
	return response, nil
}

// countCrossed counts the crossed responses of a call: those that the target sent on the
// call's connection although they belong to other requests.
func (s *Service) countCrossed(response *target.Response, err error) {
	if err == nil {
		s.counts.crossed.Inc(int64(response.Crossed))
	} else if errors.Is(err, target.ErrCrossed) {
		s.counts.crossed.Inc(1)
	}
}

// plainReleaseReason returns the reason that is reported when the permit of a call is
// released. It records the latency of a successful response with the permit.
func (s *Service) plainReleaseReason(held *permit.HeldPermit, response *target.Response, err error) api.ReleaseReason {
	var coded *resultcode.Error
	switch {
	case err == nil && response.Status < http.StatusInternalServerError:
		held.RecordToken(time.Now()) // the owner gets the response latency as the time to the first token
		return api.ReleaseReason_RELEASE_REASON_FINISHED
	case errors.As(err, &coded):
		return api.ReleaseReason_RELEASE_REASON_NOT_STARTED
	case errors.Is(err, context.Canceled):
		return api.ReleaseReason_RELEASE_REASON_CANCELLED
	default:
		return api.ReleaseReason_RELEASE_REASON_FAILED
	}
}

// plainResult is the result of one attempt of a hedged read.
type plainResult struct {
	response *target.Response
	err      error
}

// readHedged runs a read, and starts a second one at another target if the first takes
// unusually long. It returns the first successful response, or the first error if
// all fail.
func (s *Service) readHedged(ctx context.Context, call *plainCall, req permit.Requirements, held *permit.HeldPermit) (*target.Response, error) {
	ctx, cancel := context.WithCancel(ctx)
	results := make(chan plainResult, 2)
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	run := func(h *permit.HeldPermit) {
		response, err := s.dispatchPlainCall(ctx, call, h)
		results <- plainResult{response, err}
	}
	running.Go(func() { run(held) })
	timer := time.NewTimer(s.latencyEstimator.hedgeDelay(call.identity.TeamName, call.service))
	defer timer.Stop()
	outstanding := 1
	var failure error
	for outstanding > 0 {
		select {
		case res := <-results:
			outstanding--
			if res.err == nil {
				return res.response, nil
			}
			if failure == nil || isNotSentError(failure) {
				failure = res.err
			}
		case <-timer.C:
			if second := s.acquireHedge(ctx, call, req, held); second != nil {
				outstanding++
				running.Go(func() { run(second) })
			}
		}
	}
	return nil, failure
}

// acquireHedge obtains a permit for the second attempt of a hedged read, at another target
// in this region, without waiting. It returns nil if the retry budget is exhausted or no
// permit is free.
func (s *Service) acquireHedge(ctx context.Context, call *plainCall, req permit.Requirements, first *permit.HeldPermit) *permit.HeldPermit {
	if !s.takeRetry(call.identity) {
		return nil
	}
	req.RequestID = stream.RandomID()
	req.ExcludedTargets = append(slices.Clone(req.ExcludedTargets), first.Permit.GetTarget())
	req.Regions = req.Regions[:1]
	held := s.Acquirer.TryAcquire(ctx, req)
	if held != nil {
		s.counts.hedged.Inc(1)
	}
	return held
}

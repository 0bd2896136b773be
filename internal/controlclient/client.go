// Package controlclient is a client for the control group. It calls the leader
// first and then, if that fails, the other control instances.
package controlclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
)

// attemptTimeout limits the call to one control instance, so that one that does
// not respond does not use up the caller's entire deadline. All calls made through
// this package are safe to repeat, because they carry an attempt, change or
// session id.
const attemptTimeout = 700 * time.Millisecond

// Client implements api.ControlCommand by trying all control instances in turn.
// It is safe for concurrent use.
type Client struct {
	source     session.Source
	configured []string
	connect    func(address string) api.ControlCommand
}

var _ api.ControlCommand = (*Client)(nil)

// New returns a client that first uses the control addresses in the newest view
// of the source (the copy of the control group's state that this instance has),
// leader first, and then the configured addresses. peerClient is the HTTP
// client for calls to the control instances.
func New(source session.Source, configured []string, peerClient *http.Client) *Client {
	return &Client{source: source, configured: configured, connect: func(address string) api.ControlCommand {
		return api.NewControlCommandProtobufClient("http://"+address, peerClient)
	}}
}

// addresses returns the addresses of the control instances in the order in
// which to try them.
func (c *Client) addresses() []string {
	out := slices.Clone(c.source.View().ControlAddresses)
	for _, a := range c.configured {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// callAny calls the control instances in turn until one returns a response or an
// error other than ControlUnavailable and NotLeader. If any of the attempts may
// have been executed, the execution of the returned error is Unknown.
func callAny[Request, Response any](ctx context.Context, c *Client, request Request, method func(api.ControlCommand, context.Context, Request) (Response, error)) (Response, error) {
	var zero Response
	lastErr := &resultcode.Error{Code: resultcode.ControlUnavailable, Execution: resultcode.NotRun, Message: "no control instance is known"}
	mayHaveRun := false
	for _, address := range c.addresses() {
		attemptCtx, cancel := context.WithTimeout(ctx, attemptTimeout)
		response, err := method(c.connect(address), attemptCtx, request)
		cancel()
		if err == nil {
			return response, nil
		}
		lastErr = toResultError(err)
		mayHaveRun = mayHaveRun || lastErr.Execution != resultcode.NotRun
		if ctx.Err() != nil || lastErr.Code != resultcode.ControlUnavailable && lastErr.Code != resultcode.NotLeader {
			break
		}
	}
	if mayHaveRun {
		lastErr = lastErr.WithExecution(resultcode.Unknown)
	}
	return zero, resultcode.ToTwirp(lastErr)
}

// toResultError converts the error of a failed call to an error with a result
// code. If the connection could not be established, nothing was sent and the
// execution is NotRun.
func toResultError(err error) *resultcode.Error {
	var e *resultcode.Error
	if !errors.As(resultcode.FromTwirp(err), &e) {
		e = &resultcode.Error{Code: resultcode.ControlUnavailable, Execution: resultcode.Unknown, Message: err.Error()}
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return e.WithExecution(resultcode.NotRun)
	}
	return e
}

// OpenSession opens a session for an entry instance.
func (c *Client) OpenSession(ctx context.Context, r *api.OpenSessionRequest) (*api.OpenSessionResponse, error) {
	return callAny(ctx, c, r, api.ControlCommand.OpenSession)
}

// Renew renews a session and returns the state that the caller has not seen yet.
func (c *Client) Renew(ctx context.Context, r *api.RenewRequest) (*api.RenewResponse, error) {
	return callAny(ctx, c, r, api.ControlCommand.Renew)
}

// CloseSession ends a session whose entry instance has stopped starting new work.
func (c *Client) CloseSession(ctx context.Context, r *api.CloseSessionRequest) (*api.CloseSessionResponse, error) {
	return callAny(ctx, c, r, api.ControlCommand.CloseSession)
}

// ApplySettings replaces a team's settings.
func (c *Client) ApplySettings(ctx context.Context, r *api.ApplySettingsRequest) (*api.ApplySettingsResponse, error) {
	return callAny(ctx, c, r, api.ControlCommand.ApplySettings)
}

// BeginWrite commits the intent to dispatch a protected write, a call that runs
// at most once.
func (c *Client) BeginWrite(ctx context.Context, r *api.BeginWriteRequest) (*api.BeginWriteResponse, error) {
	return callAny(ctx, c, r, api.ControlCommand.BeginWrite)
}

// EndWrite commits the stored answer of a protected write, or that the write did
// not run.
func (c *Client) EndWrite(ctx context.Context, r *api.EndWriteRequest) (*api.EndWriteResponse, error) {
	return callAny(ctx, c, r, api.ControlCommand.EndWrite)
}

// AcquireLoad acquires or refreshes a slot for loading model weights.
func (c *Client) AcquireLoad(ctx context.Context, r *api.AcquireLoadRequest) (*api.AcquireLoadResponse, error) {
	return callAny(ctx, c, r, api.ControlCommand.AcquireLoad)
}

// ReleaseLoad releases a slot for loading model weights.
func (c *Client) ReleaseLoad(ctx context.Context, r *api.ReleaseLoadRequest) (*api.ReleaseLoadResponse, error) {
	return callAny(ctx, c, r, api.ControlCommand.ReleaseLoad)
}

// ChangeMember adds, promotes or removes a member of the agreement group.
func (c *Client) ChangeMember(ctx context.Context, r *api.ChangeMemberRequest) (*api.ChangeMemberResponse, error) {
	return callAny(ctx, c, r, api.ControlCommand.ChangeMember)
}

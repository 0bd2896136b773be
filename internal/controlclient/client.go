// Package controlclient calls the control group: the leader first, then the
// other control instances while one does not answer.
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

// attemptTimeout bounds the call of one control instance, so that a silent one
// does not use up the caller's whole time. All calls made through this package
// may be repeated: they carry an attempt, change or session id.
const attemptTimeout = 700 * time.Millisecond

// Client implements api.ControlCommand over all control instances.
type Client struct {
	source     session.Source
	configured []string
	connect    func(address string) api.ControlCommand
}

var _ api.ControlCommand = (*Client)(nil)

// New returns a client that knows the configured addresses and learns the
// present ones, leader first, from the source's view.
func New(source session.Source, configured []string, peers *http.Client) *Client {
	return &Client{source: source, configured: configured, connect: func(address string) api.ControlCommand {
		return api.NewControlCommandProtobufClient("http://"+address, peers)
	}}
}

func (c *Client) addresses() []string {
	out := slices.Clone(c.source.View().ControlAddresses)
	for _, a := range c.configured {
		if !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	return out
}

// call tries the instances in turn until one gives an answer of its own. If
// any attempt may have been carried out, the error says so.
func call[Request, Response any](ctx context.Context, c *Client, request Request, method func(api.ControlCommand, context.Context, Request) (Response, error)) (Response, error) {
	var none Response
	refusal := &resultcode.Error{Code: resultcode.ControlUnavailable, Execution: resultcode.NotRun, Message: "no control instance is known"}
	unknown := false
	for _, address := range c.addresses() {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		response, err := method(c.connect(address), attempt, request)
		cancel()
		if err == nil {
			return response, nil
		}
		refusal = coded(err)
		unknown = unknown || refusal.Execution != resultcode.NotRun
		if ctx.Err() != nil || refusal.Code != resultcode.ControlUnavailable && refusal.Code != resultcode.NotLeader {
			break
		}
	}
	if unknown {
		refusal = refusal.WithExecution(resultcode.Unknown)
	}
	return none, resultcode.ToTwirp(refusal)
}

// coded returns the numbered error of a failed call. A refused connection
// means that nothing was sent.
func coded(err error) *resultcode.Error {
	var e *resultcode.Error
	if !errors.As(resultcode.FromTwirp(err), &e) {
		e = &resultcode.Error{Code: resultcode.ControlUnavailable, Execution: resultcode.Unknown, Message: err.Error()}
	}
	var dial *net.OpError
	if errors.As(err, &dial) && dial.Op == "dial" {
		return e.WithExecution(resultcode.NotRun)
	}
	return e
}

// OpenSession opens a session.
func (c *Client) OpenSession(ctx context.Context, r *api.OpenSessionRequest) (*api.OpenSessionResponse, error) {
	return call(ctx, c, r, api.ControlCommand.OpenSession)
}

// Renew renews a session.
func (c *Client) Renew(ctx context.Context, r *api.RenewRequest) (*api.RenewResponse, error) {
	return call(ctx, c, r, api.ControlCommand.Renew)
}

// CloseSession closes a session.
func (c *Client) CloseSession(ctx context.Context, r *api.CloseSessionRequest) (*api.CloseSessionResponse, error) {
	return call(ctx, c, r, api.ControlCommand.CloseSession)
}

// ApplySettings changes a team's settings.
func (c *Client) ApplySettings(ctx context.Context, r *api.ApplySettingsRequest) (*api.ApplySettingsResponse, error) {
	return call(ctx, c, r, api.ControlCommand.ApplySettings)
}

// BeginWrite commits the intent of a protected write.
func (c *Client) BeginWrite(ctx context.Context, r *api.BeginWriteRequest) (*api.BeginWriteResponse, error) {
	return call(ctx, c, r, api.ControlCommand.BeginWrite)
}

// EndWrite commits the end of a protected write.
func (c *Client) EndWrite(ctx context.Context, r *api.EndWriteRequest) (*api.EndWriteResponse, error) {
	return call(ctx, c, r, api.ControlCommand.EndWrite)
}

// AcquireLoad takes a slot for loading weights.
func (c *Client) AcquireLoad(ctx context.Context, r *api.AcquireLoadRequest) (*api.AcquireLoadResponse, error) {
	return call(ctx, c, r, api.ControlCommand.AcquireLoad)
}

// ReleaseLoad frees a slot for loading weights.
func (c *Client) ReleaseLoad(ctx context.Context, r *api.ReleaseLoadRequest) (*api.ReleaseLoadResponse, error) {
	return call(ctx, c, r, api.ControlCommand.ReleaseLoad)
}

// ChangeMember changes the group's members.
func (c *Client) ChangeMember(ctx context.Context, r *api.ChangeMemberRequest) (*api.ChangeMemberResponse, error) {
	return call(ctx, c, r, api.ControlCommand.ChangeMember)
}

// Package operator is the operators' access to the control group: it applies
// and reads a team's subtree of settings and reports when a change is in force.
package operator

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/peerauth"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/timeline"
)

// Bounds of one call to one control instance.
const (
	callTimeout    = 3 * time.Second
	inForceSlice   = time.Second
	retryPause     = 200 * time.Millisecond
	sourceName     = "endivectl"
	maxResendTries = 20
)

// Config is the operator's configuration file.
type Config struct {
	// ControlAddresses are the IP:port of control instances; tried in order.
	ControlAddresses []string `toml:"control_addresses"`
	// OperatorKeyFile holds the operator key of the team.
	OperatorKeyFile string `toml:"operator_key_file"`
	// EventsDir receives the time line of this tool's calls. Default: none.
	EventsDir string `toml:"events_dir"`
}

// Operator calls the control group.
type Operator struct {
	addresses []string
	key       string
	client    *http.Client
	recorder  *timeline.Recorder
}

// Open loads and checks a configuration file.
func Open(file string) (*Operator, error) {
	var c Config
	if err := process.Load(file, &c); err != nil {
		return nil, err
	}
	if len(c.ControlAddresses) == 0 {
		return nil, process.Invalid(file, "control_addresses", "", "needs at least one address")
	}
	for _, a := range c.ControlAddresses {
		if err := process.CheckAddress(a); err != nil {
			return nil, process.Invalid(file, "control_addresses", a, err.Error())
		}
	}
	key, err := os.ReadFile(c.OperatorKeyFile)
	if err != nil {
		return nil, process.Invalid(file, "operator_key_file", c.OperatorKeyFile, err.Error())
	}
	clock := timeline.NewClock(time.Now)
	recorder, err := timeline.NewRecorder(clock, sourceName, c.EventsDir)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	text := strings.TrimSpace(string(key))
	return &Operator{
		addresses: c.ControlAddresses,
		key:       text,
		client:    &http.Client{Transport: clock.Transport(bearerTransport{text, http.DefaultTransport})},
		recorder:  recorder,
	}, nil
}

// bearerTransport authenticates each call with the operator key.
type bearerTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip adds the key to a copy of the request.
func (t bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	return t.next.RoundTrip(r)
}

// Change is one change of a team's subtree.
type Change struct {
	Team             string
	ExpectedRevision uint64
	// ID makes resending safe: the same id and content give the same result.
	ID   string
	TOML []byte
}

// Apply sends a change until a control instance gives its outcome. The change
// id makes it safe to send again after a lost answer.
func (o *Operator) Apply(ctx context.Context, c Change) (*api.ApplySettingsResponse, error) {
	if c.ID == "" {
		c.ID = peerauth.NewKey()
	}
	req := &api.ApplySettingsRequest{
		Team: c.Team, ExpectedRevision: c.ExpectedRevision, ChangeId: c.ID, Toml: c.TOML, OperatorKey: o.key,
	}
	resp, err := tryEach(ctx, o, func(ctx context.Context, base string) (*api.ApplySettingsResponse, error) {
		return api.NewControlCommandProtobufClient(base, o.client).ApplySettings(ctx, req)
	})
	if err != nil {
		return nil, err
	}
	o.recorder.Record("settings_accepted", "team", c.Team, "revision", fmt.Sprint(resp.Revision), "change_id", c.ID)
	return resp, nil
}

// Read returns a team's newest subtree.
func (o *Operator) Read(ctx context.Context, team string) (*api.TeamSettings, error) {
	resp, err := tryEach(ctx, o, func(ctx context.Context, base string) (*api.ReadSettingsResponse, error) {
		return api.NewControlQueryProtobufClient(base, o.client).ReadSettings(ctx, &api.ReadSettingsRequest{Team: team, OperatorKey: o.key})
	})
	return resp.GetSettings(), err
}

// Status returns the control group's view of itself and of the instances. A
// control instance cut off from its group answers with its own view and no
// leader; that view is returned only if no other instance knows a leader.
func (o *Operator) Status(ctx context.Context) (*api.StatusResponse, error) {
	var leaderless *api.StatusResponse
	var last error
	for _, address := range o.addresses {
		status, err := o.statusOf(ctx, address)
		switch {
		case err != nil:
			last = resultcode.FromTwirp(err)
		case status.GetLeader() != "":
			return status, nil
		case leaderless == nil:
			leaderless = status
		}
	}
	if leaderless != nil {
		return leaderless, nil
	}
	return nil, trace.Wrap(last)
}

func (o *Operator) statusOf(ctx context.Context, address string) (*api.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return api.NewControlQueryProtobufClient("http://"+address, o.client).Status(ctx, &api.StatusRequest{})
}

// WaitInForce waits until every instance obeys the state at version or has
// lost its lease, and calls seen with each answer.
func (o *Operator) WaitInForce(ctx context.Context, version uint64, seen func(*api.InForceResponse)) error {
	req := &api.InForceRequest{Version: version, WaitMs: uint32(inForceSlice.Milliseconds())}
	for {
		resp, err := tryEach(ctx, o, func(ctx context.Context, base string) (*api.InForceResponse, error) {
			return api.NewControlQueryProtobufClient(base, o.client).InForce(ctx, req)
		})
		if err != nil {
			return err
		}
		seen(resp)
		if resp.Everywhere {
			return nil
		}
	}
}

// tryEach calls the control instances in turn until one gives an outcome. An
// answer with a code of its own ends the search; only "not the leader" and
// "control unavailable" lead to the next instance.
func tryEach[T any](ctx context.Context, o *Operator, call func(context.Context, string) (T, error)) (T, error) {
	var none T
	var last error
	for try := range maxResendTries {
		address := o.addresses[try%len(o.addresses)]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		out, err := call(callCtx, "http://"+address)
		cancel()
		if err == nil {
			return out, nil
		}
		last = resultcode.FromTwirp(err)
		if !worthRetrying(last) {
			return none, trace.Wrap(last)
		}
		select {
		case <-ctx.Done():
			return none, trace.Wrap(resultcode.From(last), "gave up: %v", ctx.Err())
		case <-time.After(retryPause):
		}
	}
	return none, trace.Wrap(last)
}

func worthRetrying(err error) bool {
	var e *resultcode.Error
	return errors.As(err, &e) && (e.Code == resultcode.NotLeader || e.Code == resultcode.ControlUnavailable)
}

// ChangeMember changes the control group's members. It is not sent again
// after a lost answer to another member than needed: the group refuses a
// change that is already made. It needs the system's peer key.
func (o *Operator) ChangeMember(ctx context.Context, peerKeyFile string, req *api.ChangeMemberRequest) error {
	key, err := os.ReadFile(peerKeyFile)
	if err != nil {
		return trace.Wrap(err)
	}
	client := &http.Client{Transport: peerauth.Transport(strings.TrimSpace(string(key)), o.client.Transport)}
	_, err = tryEach(ctx, o, func(ctx context.Context, base string) (*api.ChangeMemberResponse, error) {
		return api.NewControlCommandProtobufClient(base, client).ChangeMember(ctx, req)
	})
	return err
}

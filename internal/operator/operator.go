// Package operator is the operators' client of the control group: it reads and
// replaces a team's settings, waits until a change is in force, queries the
// group's status and changes its members.
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

// Limits of calls to the control group, and the process name under which the
// timeline records them.
const (
	callTimeout     = 3 * time.Second
	inForcePollWait = time.Second
	retryPause      = 200 * time.Millisecond
	timelineProcess = "endivectl"
	maxAttempts     = 20
)

// Config holds the settings of an operator's configuration file.
type Config struct {
	// ControlAddresses are the IP:port of control instances, tried in this order.
	ControlAddresses []string `toml:"control_addresses"`
	// OperatorKeyFile is the file with the team's operator key.
	OperatorKeyFile string `toml:"operator_key_file"`
	// EventsDir is the folder of the timeline file. Default: events stay in memory.
	EventsDir string `toml:"events_dir"`
}

// Operator calls the control group with one team's operator key.
type Operator struct {
	addresses []string
	key       string
	client    *http.Client
	recorder  *timeline.Recorder
}

// Open reads and validates a configuration file and returns an Operator for it.
func Open(file string) (*Operator, error) {
	var c Config
	if err := process.DecodeFile(file, &c); err != nil {
		return nil, err
	}
	if len(c.ControlAddresses) == 0 {
		return nil, process.InvalidSetting(file, "control_addresses", "", "needs at least one address")
	}
	for _, a := range c.ControlAddresses {
		if err := process.CheckAddress(a); err != nil {
			return nil, process.InvalidSetting(file, "control_addresses", a, err.Error())
		}
	}
	key, err := os.ReadFile(c.OperatorKeyFile)
	if err != nil {
		return nil, process.InvalidSetting(file, "operator_key_file", c.OperatorKeyFile, err.Error())
	}
	clock := timeline.NewClock(time.Now)
	recorder, err := timeline.NewRecorder(clock, timelineProcess, c.EventsDir)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	operatorKey := strings.TrimSpace(string(key))
	return &Operator{
		addresses: c.ControlAddresses,
		key:       operatorKey,
		client:    &http.Client{Transport: clock.Transport(bearerTransport{operatorKey, http.DefaultTransport})},
		recorder:  recorder,
	}, nil
}

// bearerTransport sends key as the bearer token of each request.
type bearerTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip sends a copy of the request with the key.
func (t bearerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	r = r.Clone(r.Context())
	r.Header.Set("Authorization", "Bearer "+t.key)
	return t.next.RoundTrip(r)
}

// Change describes a replacement of a team's settings.
type Change struct {
	Team             string
	ExpectedRevision uint64
	// ID makes retries safe: a resent change with the same ID and content has the result of the first.
	ID   string
	TOML []byte
}

// Apply sends a change, with retries, until a control instance returns its
// outcome. The change ID, random if c.ID is empty, makes it safe to retry after
// a lost response.
func (o *Operator) Apply(ctx context.Context, c Change) (*api.ApplySettingsResponse, error) {
	if c.ID == "" {
		c.ID = peerauth.NewKey()
	}
	req := &api.ApplySettingsRequest{
		Team: c.Team, ExpectedRevision: c.ExpectedRevision, ChangeId: c.ID, Toml: c.TOML, OperatorKey: o.key,
	}
	resp, err := callWithRetry(ctx, o, func(ctx context.Context, base string) (*api.ApplySettingsResponse, error) {
		return api.NewControlCommandProtobufClient(base, o.client).ApplySettings(ctx, req)
	})
	if err != nil {
		return nil, err
	}
	o.recorder.Record("settings_accepted", "team", c.Team, "revision", fmt.Sprint(resp.Revision), "change_id", c.ID)
	return resp, nil
}

// ReadSettings returns the newest settings of a team.
func (o *Operator) ReadSettings(ctx context.Context, team string) (*api.TeamSettings, error) {
	resp, err := callWithRetry(ctx, o, func(ctx context.Context, base string) (*api.ReadSettingsResponse, error) {
		return api.NewControlQueryProtobufClient(base, o.client).ReadSettings(ctx, &api.ReadSettingsRequest{Team: team, OperatorKey: o.key})
	})
	return resp.GetSettings(), err
}

// Status returns the state of the control group and of the instances. A control
// instance that is partitioned from its group responds with its own state and
// names no leader. Such a response is returned only if no other instance names
// a leader.
func (o *Operator) Status(ctx context.Context) (*api.StatusResponse, error) {
	var leaderless *api.StatusResponse
	var lastErr error
	for _, address := range o.addresses {
		status, err := o.statusFrom(ctx, address)
		switch {
		case err != nil:
			lastErr = resultcode.FromTwirp(err)
		case status.GetLeader() != "":
			return status, nil
		case leaderless == nil:
			leaderless = status
		}
	}
	if leaderless != nil {
		return leaderless, nil
	}
	return nil, trace.Wrap(lastErr)
}

func (o *Operator) statusFrom(ctx context.Context, address string) (*api.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return api.NewControlQueryProtobufClient("http://"+address, o.client).Status(ctx, &api.StatusRequest{})
}

// WaitInForce waits until every instance has applied the state at version, or
// its lease has expired. It calls onResponse with each response, including the
// last one.
func (o *Operator) WaitInForce(ctx context.Context, version uint64, onResponse func(*api.InForceResponse)) error {
	req := &api.InForceRequest{Version: version, WaitMs: uint32(inForcePollWait.Milliseconds())}
	for {
		resp, err := callWithRetry(ctx, o, func(ctx context.Context, base string) (*api.InForceResponse, error) {
			return api.NewControlQueryProtobufClient(base, o.client).InForce(ctx, req)
		})
		if err != nil {
			return err
		}
		onResponse(resp)
		if resp.Everywhere {
			return nil
		}
	}
}

// callWithRetry calls the control instances in turn until one returns a result.
// NotLeader and ControlUnavailable are retried at the next instance, up to
// maxAttempts calls in all; any other error is returned at once.
func callWithRetry[T any](ctx context.Context, o *Operator, call func(context.Context, string) (T, error)) (T, error) {
	var zero T
	var lastErr error
	for attempt := range maxAttempts {
		address := o.addresses[attempt%len(o.addresses)]
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		out, err := call(callCtx, "http://"+address)
		cancel()
		if err == nil {
			return out, nil
		}
		lastErr = resultcode.FromTwirp(err)
		if !retryable(lastErr) {
			return zero, trace.Wrap(lastErr)
		}
		select {
		case <-ctx.Done():
			return zero, trace.Wrap(resultcode.From(lastErr), "gave up: %v", ctx.Err())
		case <-time.After(retryPause):
		}
	}
	return zero, trace.Wrap(lastErr)
}

func retryable(err error) bool {
	var e *resultcode.Error
	return errors.As(err, &e) && (e.Code == resultcode.NotLeader || e.Code == resultcode.ControlUnavailable)
}

// ChangeMember changes the members of the control group. It authenticates with
// the system's peer key, read from peerKeyFile. A retry after a lost response
// cannot make the change twice: the group refuses a change that is already made,
// and ChangeMember then returns that refusal.
func (o *Operator) ChangeMember(ctx context.Context, peerKeyFile string, req *api.ChangeMemberRequest) error {
	key, err := os.ReadFile(peerKeyFile)
	if err != nil {
		return trace.Wrap(err)
	}
	client := &http.Client{Transport: peerauth.Transport(strings.TrimSpace(string(key)), o.client.Transport)}
	_, err = callWithRetry(ctx, o, func(ctx context.Context, base string) (*api.ChangeMemberResponse, error) {
		return api.NewControlCommandProtobufClient(base, client).ChangeMember(ctx, req)
	})
	return err
}

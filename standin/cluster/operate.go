package cluster

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/operator"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Operator opens the control group as an operator does.
func (c *Cluster) Operator() (*operator.Operator, error) {
	return operator.Open(c.path("endivectl.toml"))
}

// ApplySettings applies the present settings and returns once accepted.
func (c *Cluster) ApplySettings(ctx context.Context) error {
	_, err := c.apply(ctx)
	return err
}

func (c *Cluster) apply(ctx context.Context) (*api.ApplySettingsResponse, error) {
	op, err := c.Operator()
	if err != nil {
		return nil, err
	}
	resp, err := op.Apply(ctx, operator.Change{
		Team: Team, ExpectedRevision: c.revision, ID: fmt.Sprintf("change-%d", c.revision+1), TOML: []byte(c.SettingsText()),
	})
	if err != nil {
		return nil, fmt.Errorf("apply settings: %w", err)
	}
	c.revision = resp.Revision
	return resp, nil
}

// SetInService takes a failure domain out of service or back and waits until
// the change is in force. It returns when it was accepted and in force, as
// durations since the call.
func (c *Cluster) SetInService(ctx context.Context, failureDomain string, in bool) (accepted, inForce time.Duration, err error) {
	c.outOfService[failureDomain] = !in
	start := time.Now()
	resp, err := c.apply(ctx)
	if err != nil {
		return 0, 0, err
	}
	accepted = time.Since(start)
	op, err := c.Operator()
	if err != nil {
		return accepted, 0, err
	}
	err = op.WaitInForce(ctx, resp.Version, func(*api.InForceResponse) {})
	return accepted, time.Since(start), err
}

// Revision returns the newest accepted revision of the team's settings.
func (c *Cluster) Revision() uint64 { return c.revision }

// SetAccepted changes whether a failure domain is in service and returns once
// the change is accepted. After an error, calling it again sends the same
// change again.
func (c *Cluster) SubmitInService(ctx context.Context, failureDomain string, in bool) error {
	c.outOfService[failureDomain] = !in
	return c.ApplySettings(ctx)
}

// IsConflict reports whether a change lost against another one.
func IsConflict(err error) bool {
	return errors.Is(err, &resultcode.Error{Code: resultcode.RevisionConflict})
}

// JournalPath returns the file to which a stand-in appends what it ran.
func (c *Cluster) JournalPath(p *Process) string { return c.path(p.Name + ".journal") }

// Swallow makes a stand-in's open connections go silent for good.
func (p *Process) Swallow(ctx context.Context) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+"/standin/faults", strings.NewReader(`{"swallow":true}`))
	if err != nil {
		return err
	}
	req.Close = true
	return doJSON(req, nil)
}

// WaitEnd waits for the process's end.
func (p *Process) WaitExit(timeout time.Duration) error {
	select {
	case <-p.Done():
		return p.exitErr
	case <-time.After(timeout):
		return fmt.Errorf("%s did not end within %v", p.Name, timeout)
	}
}

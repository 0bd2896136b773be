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

// OpenOperator opens a client of the control group with the operator's key.
func (c *Cluster) OpenOperator() (*operator.Operator, error) {
	return operator.Open(c.path("endivectl.toml"))
}

// ApplySettings applies SettingsText and returns once it is accepted, which is
// before the settings are in force on every instance.
func (c *Cluster) ApplySettings(ctx context.Context) error {
	_, err := c.submitSettings(ctx)
	return err
}

// submitSettings submits SettingsText as a change of the newest accepted revision and
// returns the response to it.
func (c *Cluster) submitSettings(ctx context.Context) (*api.ApplySettingsResponse, error) {
	op, err := c.OpenOperator()
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

// SetInServiceAndWait puts a failure domain into or out of service and waits until the
// change is in force. It returns the times from the call until the change was
// accepted and until it was in force.
func (c *Cluster) SetInServiceAndWait(ctx context.Context, failureDomain string, in bool) (accepted, inForce time.Duration, err error) {
	c.outOfService[failureDomain] = !in
	start := time.Now()
	resp, err := c.submitSettings(ctx)
	if err != nil {
		return 0, 0, err
	}
	accepted = time.Since(start)
	op, err := c.OpenOperator()
	if err != nil {
		return accepted, 0, err
	}
	err = op.WaitInForce(ctx, resp.Version, func(*api.InForceResponse) {})
	return accepted, time.Since(start), err
}

// Revision returns the newest revision of the team's settings that was accepted
// through c.
func (c *Cluster) Revision() uint64 { return c.revision }

// SubmitInService puts a failure domain into or out of service and returns once the
// change is accepted. After an error, calling it again with the same arguments
// resends the same change with the same change id.
func (c *Cluster) SubmitInService(ctx context.Context, failureDomain string, in bool) error {
	c.outOfService[failureDomain] = !in
	return c.ApplySettings(ctx)
}

// IsConflict reports whether a change was rejected because its expected revision
// was outdated by another change.
func IsConflict(err error) bool {
	return errors.Is(err, &resultcode.Error{Code: resultcode.RevisionConflict})
}

// JournalPath returns the file to which a stand-in appends one JSON line per event,
// such as the execution of a request.
func (c *Cluster) JournalPath(p *Process) string { return c.path(p.Name + ".journal") }

// Swallow makes the open connections of a stand-in stay silent permanently.
func (p *Process) Swallow(ctx context.Context) error {
	return p.SetStandinFaults(ctx, `{"swallow":true}`)
}

// SetStandinFaults sends a body of POST /standin/faults to a stand-in.
func (p *Process) SetStandinFaults(ctx context.Context, body string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+p.Address+"/standin/faults", strings.NewReader(body))
	if err != nil {
		return err
	}
	req.Close = true
	return doJSON(req, nil)
}

// WaitExit waits until the process has exited and returns its exit error. It
// fails if the process is still running after timeout.
func (p *Process) WaitExit(timeout time.Duration) error {
	select {
	case <-p.Done():
		return p.exitErr
	case <-time.After(timeout):
		return fmt.Errorf("%s did not exit within %v", p.Name, timeout)
	}
}

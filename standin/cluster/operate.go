package cluster

import (
	"context"
	"fmt"
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/operator"
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
	c.outOfUse[failureDomain] = !in
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

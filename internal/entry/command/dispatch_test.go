package command

import (
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/entry/access"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// renewedSource is a session source that switches to its next view (copy of the replicated
// state), with a valid lease, when the lease is checked, as if the session were renewed
// after the caller read the view.
type renewedSource struct {
	session.Source
	view, next *session.View
}

func (s *renewedSource) View() *session.View { return s.view }

func (s *renewedSource) Fresh() bool {
	s.view = s.next
	return true
}

func newViewWithDomain(inService bool) *session.View {
	team := &settings.Team{
		FailureDomains: map[string]settings.FailureDomain{"dakar-b": {Region: "dakar", InService: &inService}},
		Accounts:       map[string]settings.ClientAccount{"a": {}},
	}
	return &session.View{Teams: map[string]session.Team{"t": {Settings: team}}}
}

// Guards against dispatching to a failure domain that was taken out of service
// while the process was frozen: the process reads the old view, its session is
// renewed, and the new lease is valid. Found by make faults, seed 11,
// entry/freeze@generation.before_start.
// Mutation that this test detects: checkDispatch does not compare the view again after it
// checked the lease.
func TestDispatchRechecksViewAfterLeaseRenewal(t *testing.T) {
	s := &Service{
		Deps:   Deps{Source: &renewedSource{view: newViewWithDomain(true), next: newViewWithDomain(false)}},
		counts: newCounters(tally.NoopScope),
	}
	err := s.checkDispatch(&access.Identity{TeamName: "t", AccountName: "a"}, "s", &api.Permit{FailureDomain: "dakar-b"})
	assert.Equal(t, resultcode.From(err).Code, resultcode.NoTarget)
}

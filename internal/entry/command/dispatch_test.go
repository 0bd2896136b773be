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

// renewedSource is renewed between the reading of the view and of the lease.
type renewedSource struct {
	session.Source
	view, next *session.View
}

func (s *renewedSource) View() *session.View { return s.view }

func (s *renewedSource) Fresh() bool {
	s.view = s.next
	return true
}

func viewWith(inService bool) *session.View {
	team := &settings.Team{
		FailureDomains: map[string]settings.FailureDomain{"dakar-b": {Region: "dakar", InService: &inService}},
		Accounts:       map[string]settings.ClientAccount{"a": {}},
	}
	return &session.View{Teams: map[string]session.Team{"t": {Settings: team}}}
}

// Guards against new work in a failure domain that was taken out while the
// process was frozen: it reads the old view, is renewed, and finds the new
// lease valid. make faults, seed 11, entry/freeze@generation.before_start.
// Caught mutation: mayDispatch without the second look at the view.
func TestDispatchOnAViewThatIsRenewedMeanwhile(t *testing.T) {
	s := &Service{
		Deps:   Deps{Source: &renewedSource{view: viewWith(true), next: viewWith(false)}},
		counts: newCounters(tally.NoopScope),
	}
	err := s.mayDispatch(&access.Identity{TeamName: "t", AccountName: "a"}, "s", &api.Permit{FailureDomain: "dakar-b"})
	assert.Equal(t, resultcode.From(err).Code, resultcode.NoTarget)
}

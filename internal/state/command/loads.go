package command

import (
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// LoadLease is how long a load slot is held without being asked for again. A
// slot outlives its session, because the target goes on loading; a new owner
// takes the slot over under a newer epoch.
const LoadLease = 2 * time.Minute

// loadRetryAfterMS advises an owner that found no free slot.
const loadRetryAfterMS = 1000

// acquireLoad takes or refreshes the slot of one target. The team's slots bound
// how many targets load from the weight store at one time.
func acquireLoad(s *model.State, r *api.AcquireLoadRequest) Result {
	t := s.Teams[r.GetTeam()]
	if t == nil {
		return refuse(resultcode.UnknownTeam, "team %q", r.GetTeam())
	}
	if !validName(r.GetTarget()) {
		return refuse(resultcode.MessageMalformed, "target must have 1 to %d bytes", MaxNameBytes)
	}
	if x := s.Sessions[r.GetSessionId()]; x == nil || x.Replaced {
		return refuse(resultcode.SessionUnknown, "session %d", r.GetSessionId())
	}
	if !ownsEpoch(s, r) {
		return refuse(resultcode.StaleEpoch, "session %d owns no shard of team %q at epoch %d", r.GetSessionId(), r.GetTeam(), r.GetEpoch())
	}
	dropExpiredLoads(s, t)
	held := t.Loads[r.GetTarget()]
	if held != nil && held.Epoch > r.GetEpoch() {
		return refuse(resultcode.StaleEpoch, "target %q: epoch %d, newest %d", r.GetTarget(), r.GetEpoch(), held.Epoch)
	}
	if held == nil && len(t.Loads) >= t.Settings.Policy.MaxConcurrentLoads {
		return ok(&api.AcquireLoadResponse{RetryAfterMs: loadRetryAfterMS})
	}
	t.Loads[r.GetTarget()] = &model.Load{
		SessionID: r.GetSessionId(),
		Epoch:     r.GetEpoch(),
		UntilMS:   s.NowMS + uint64(LoadLease.Milliseconds()),
	}
	return ok(&api.AcquireLoadResponse{Granted: true})
}

func ownsEpoch(s *model.State, r *api.AcquireLoadRequest) bool {
	for k, a := range s.Assignments {
		if k.Team == r.GetTeam() && a.Owner == r.GetSessionId() && a.Epoch == r.GetEpoch() {
			return true
		}
	}
	return false
}

func dropExpiredLoads(s *model.State, t *model.Team) {
	for target, l := range t.Loads {
		if l.UntilMS <= s.NowMS {
			delete(t.Loads, target)
		}
	}
}

// releaseLoad frees a slot that the session holds; releasing twice is no error.
func releaseLoad(s *model.State, r *api.ReleaseLoadRequest) Result {
	t := s.Teams[r.GetTeam()]
	if t == nil {
		return refuse(resultcode.UnknownTeam, "team %q", r.GetTeam())
	}
	if l := t.Loads[r.GetTarget()]; l != nil && l.SessionID == r.GetSessionId() {
		delete(t.Loads, r.GetTarget())
	}
	return ok(&api.ReleaseLoadResponse{})
}

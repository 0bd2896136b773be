package command

import (
	"time"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// ModelLoadLease is how long a model load slot is held unless it is acquired
// again. A slot outlives the session that acquired it, because the target
// continues to load; a new owner of the target's shard takes over the slot with
// a newer epoch.
const ModelLoadLease = 2 * time.Minute

// loadRetryAfterMS is the retry delay returned when no model load slot is free.
const loadRetryAfterMS = 1000

// acquireLoad acquires or extends the model load slot of one target. The number of
// slots limits how many of the team's targets load model weights from the weight
// store concurrently.
func acquireLoad(s *model.State, r *api.AcquireLoadRequest) Result {
	t := s.Teams[r.GetTeam()]
	if t == nil {
		return refuse(resultcode.UnknownTeam, "team %q", r.GetTeam())
	}
	if !validName(r.GetTarget()) {
		return refuse(resultcode.MessageMalformed, "target must have 1 to %d bytes", MaxNameBytes)
	}
	if sess := s.Sessions[r.GetSessionId()]; sess == nil || sess.Replaced {
		return refuse(resultcode.SessionUnknown, "session %d", r.GetSessionId())
	}
	if !ownsShardAtEpoch(s, r) {
		return refuse(resultcode.StaleEpoch, "session %d owns no shard of team %q at epoch %d", r.GetSessionId(), r.GetTeam(), r.GetEpoch())
	}
	dropExpiredModelLoads(s, t)
	held := t.ModelLoads[r.GetTarget()]
	if held != nil && held.Epoch > r.GetEpoch() {
		return refuse(resultcode.StaleEpoch, "target %q: epoch %d, newest %d", r.GetTarget(), r.GetEpoch(), held.Epoch)
	}
	if held == nil && len(t.ModelLoads) >= t.Settings.Policy.MaxConcurrentLoads {
		return success(&api.AcquireLoadResponse{RetryAfterMs: loadRetryAfterMS})
	}
	t.ModelLoads[r.GetTarget()] = &model.ModelLoadSlot{
		SessionID: r.GetSessionId(),
		Epoch:     r.GetEpoch(),
		UntilMS:   s.NowMS + uint64(ModelLoadLease.Milliseconds()),
	}
	return success(&api.AcquireLoadResponse{Granted: true})
}

func ownsShardAtEpoch(s *model.State, r *api.AcquireLoadRequest) bool {
	for k, a := range s.Assignments {
		if k.Team == r.GetTeam() && a.Owner == r.GetSessionId() && a.Epoch == r.GetEpoch() {
			return true
		}
	}
	return false
}

func dropExpiredModelLoads(s *model.State, t *model.Team) {
	for target, l := range t.ModelLoads {
		if l.UntilMS <= s.NowMS {
			delete(t.ModelLoads, target)
		}
	}
}

// releaseLoad frees a target's model load slot if the session holds it.
// Releasing a slot twice is not an error.
func releaseLoad(s *model.State, r *api.ReleaseLoadRequest) Result {
	t := s.Teams[r.GetTeam()]
	if t == nil {
		return refuse(resultcode.UnknownTeam, "team %q", r.GetTeam())
	}
	if l := t.ModelLoads[r.GetTarget()]; l != nil && l.SessionID == r.GetSessionId() {
		delete(t.ModelLoads, r.GetTarget())
	}
	return success(&api.ReleaseLoadResponse{})
}

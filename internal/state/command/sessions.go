package command

import (
	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// MaxSessions limits the number of sessions, including replaced ones whose lease
// has not expired yet. The system is designed for 370 instances.
const MaxSessions = 4096

// openSession adds a session with the log index as its id. It replaces older
// sessions of the same instance name: their shards are revoked and remain
// without an owner until the older lease has certainly expired, because the older
// process may still be running.
func openSession(s *model.State, index uint64, r *api.OpenSessionRequest) Result {
	if err := CheckInstance(r.GetInstance()); err != nil {
		return Result{Err: err}
	}
	if len(s.Sessions) >= MaxSessions {
		return refuse(resultcode.Overloaded, "at most %d sessions", MaxSessions)
	}
	for id, old := range s.Sessions {
		if old.Instance.GetName() == r.GetInstance().GetName() && !old.Replaced {
			old.Replaced = true
			revokeShards(s, index, id)
		}
	}
	in := proto.CloneOf(r.GetInstance())
	in.SessionId = index
	s.Sessions[index] = &model.Session{ID: index, Instance: in}
	s.InstancesVersion = index
	return success(&api.OpenSessionResponse{SessionId: index})
}

// CheckInstance returns an error unless all required fields of the instance
// have 1 to MaxNameBytes bytes.
func CheckInstance(in *api.Instance) *resultcode.Error {
	for _, f := range []string{in.GetName(), in.GetIncarnation(), in.GetRegion(), in.GetFailureDomain(), in.GetAddress()} {
		if !validName(f) {
			return resultcode.Newf(resultcode.MessageMalformed, "instance fields must have 1 to %d bytes", MaxNameBytes)
		}
	}
	return nil
}

func revokeShards(s *model.State, index, sessionID uint64) {
	for _, a := range s.Assignments {
		if a.Owner == sessionID {
			a.Owner, a.OwnerAddress, a.FormerOwner, a.RevokedVersion = 0, "", sessionID, index
			s.AssignmentsVersion = index
		}
	}
}

// endSession removes the session and releases the shards of which it is the
// owner or the former owner, so that they can be assigned again.
func endSession(s *model.State, index uint64, r *api.EndSession) Result {
	sess := s.Sessions[r.GetSessionId()]
	if sess == nil {
		return refuse(resultcode.SessionUnknown, "session %d", r.GetSessionId())
	}
	delete(s.Sessions, sess.ID)
	s.InstancesVersion = index
	for _, a := range s.Assignments {
		if a.Owner == sess.ID {
			a.Owner, a.OwnerAddress, a.RevokedVersion = 0, "", index
			s.AssignmentsVersion = index
		}
		if a.FormerOwner == sess.ID {
			a.FormerOwner = 0
		}
	}
	return success(&api.EndSessionResult{})
}

// drainSession marks the session's instance as draining.
func drainSession(s *model.State, index uint64, r *api.DrainSession) Result {
	sess := s.Sessions[r.GetSessionId()]
	if sess == nil || sess.Replaced {
		return refuse(resultcode.SessionUnknown, "session %d", r.GetSessionId())
	}
	if !sess.Instance.GetDraining() {
		in := proto.CloneOf(sess.Instance)
		in.Draining = true
		sess.Instance = in
		s.InstancesVersion = index
	}
	return success(&api.DrainSessionResult{})
}

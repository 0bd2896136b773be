package control

import (
	"context"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/agreement"
	"github.com/endivetrack/endivetrack/internal/process"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/state/model"
	"github.com/endivetrack/endivetrack/internal/state/query"
)

// ChangeMember adds a learner to the agreement group, promotes one to voter or
// removes a member.
func (s *Server) ChangeMember(ctx context.Context, req *api.ChangeMemberRequest) (*api.ChangeMemberResponse, error) {
	return runOnLeader(ctx, s, req, s.changeMember, func(leader API) func(context.Context, *api.ChangeMemberRequest) (*api.ChangeMemberResponse, error) {
		return leader.ChangeMember
	})
}

func (s *Server) changeMember(ctx context.Context, _ *term, req *api.ChangeMemberRequest) (*api.ChangeMemberResponse, error) {
	var err error
	switch req.GetAction() {
	case api.MemberAction_MEMBER_ACTION_ADD_LEARNER:
		if addrErr := process.CheckAddress(req.GetAddress()); addrErr != nil {
			return nil, resultcode.Newf(resultcode.MembershipChange, "address %q: %v", req.GetAddress(), addrErr)
		}
		err = s.log.AddLearner(ctx, agreement.Member{Name: req.GetName(), Incarnation: req.GetIncarnation(), Address: req.GetAddress()})
	case api.MemberAction_MEMBER_ACTION_PROMOTE:
		err = s.log.Promote(ctx, req.GetIncarnation(), req.GetReplacesIncarnation())
	case api.MemberAction_MEMBER_ACTION_REMOVE:
		err = s.log.Remove(ctx, req.GetIncarnation())
	default:
		return nil, resultcode.Newf(resultcode.MessageMalformed, "member action %d is unknown", req.GetAction())
	}
	if err != nil {
		return nil, agreementError(err)
	}
	s.cfg.Timeline.Record("member_changed", "action", req.GetAction().String(), "name", req.GetName(), "incarnation", req.GetIncarnation())
	return &api.ChangeMemberResponse{}, nil
}

// Status returns the members of the agreement group, the entry instances and
// the shard assignments. If there is no known leader, it returns the status as
// this instance sees it, so that operators get some information while there is
// no quorum.
func (s *Server) Status(ctx context.Context, req *api.StatusRequest) (*api.StatusResponse, error) {
	if s.currentTerm() == nil && s.log.Status().LeaderAddress == "" {
		return s.localStatus(), nil
	}
	return runOnLeader(ctx, s, req, s.status, func(leader API) func(context.Context, *api.StatusRequest) (*api.StatusResponse, error) {
		return leader.Status
	})
}

func (s *Server) status(ctx context.Context, _ *term, _ *api.StatusRequest) (*api.StatusResponse, error) {
	if _, err := s.log.ReadBarrier(ctx); err != nil {
		return nil, agreementError(err)
	}
	return s.localStatus(), nil
}

// localStatus returns the status as this instance sees it, which may be out of
// date unless a read barrier came before.
func (s *Server) localStatus() *api.StatusResponse {
	st := s.log.Status()
	out := &api.StatusResponse{Leader: st.LeaderName, Term: st.Term, CommitIndex: st.CommitIndex}
	for _, m := range st.Members {
		out.Members = append(out.Members, &api.ControlMember{
			Name: m.Name, Incarnation: m.Incarnation, Address: m.Address, Voter: m.Voter,
			MatchIndex: st.MatchIndex[m.Incarnation], Leader: m.Name == st.LeaderName,
		})
	}
	s.machine.Read(func(state *model.State) {
		out.Instances, out.Assignments = query.Instances(state), query.Assignments(state)
	})
	return out
}

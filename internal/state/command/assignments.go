package command

import (
	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/state/model"
)

// maxAssignmentChanges limits the number of assignment changes in one command.
const maxAssignmentChanges = 4096

// changeAssignments applies each assignment change whose expected epoch still
// equals the shard's epoch and whose action fits the state. It drops the others;
// the leader proposes new changes based on the latest state.
//
// Invariant: a shard is assigned only while it has no owner and no former owner
// that may still act as owner.
func changeAssignments(s *model.State, index uint64, c *api.ChangeAssignments) Result {
	if len(c.GetChanges()) > maxAssignmentChanges {
		return refuse(resultcode.MessageMalformed, "%d assignment changes, at most %d", len(c.GetChanges()), maxAssignmentChanges)
	}
	var applied uint32
	for _, change := range c.GetChanges() {
		if changeAssignment(s, index, change) {
			applied++
		}
	}
	if applied > 0 {
		s.AssignmentsVersion = index
	}
	return success(&api.ChangeAssignmentsResult{Applied: applied})
}

// changeAssignment applies one change to the assignment of a shard and reports
// whether it did. It drops a change with an invalid shard key or an outdated
// expected epoch, and one whose shard or session is not in the state that the
// action requires.
func changeAssignment(s *model.State, index uint64, change *api.AssignmentChange) bool {
	k := session.KeyOf(change.GetShard())
	if !validName(k.Team) || !validName(k.Service) || !validName(k.Region) {
		return false
	}
	a := s.Assignments[k]
	if a == nil {
		a = &model.Assignment{}
	}
	if a.Epoch != change.GetExpectedEpoch() {
		return false
	}
	switch act := change.GetAction().(type) {
	case *api.AssignmentChange_Revoke_:
		if a.Owner == 0 {
			return false
		}
		a.Owner, a.OwnerAddress, a.FormerOwner, a.RevokedVersion = 0, "", a.Owner, index
		return true
	case *api.AssignmentChange_Assign_:
		owner := s.Sessions[act.Assign.GetOwnerSession()]
		if owner == nil || owner.Replaced || a.Owner != 0 || a.FormerOwner != act.Assign.GetReleasedSession() {
			return false
		}
		s.Assignments[k] = &model.Assignment{Owner: owner.ID, OwnerAddress: owner.Instance.GetAddress(), Epoch: index}
		return true
	case *api.AssignmentChange_Remove_:
		if s.Assignments[k] == nil || a.Owner != 0 || a.FormerOwner != act.Remove.GetReleasedSession() {
			return false
		}
		delete(s.Assignments, k)
		return true
	}
	return false
}

package agreement

import (
	"fmt"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
)

// tick advances the time and starts what is due: join requests, heartbeats or
// an election.
func (c *core) tick(now time.Time) {
	c.now = now
	switch {
	case !c.inGroup():
		c.tickWithoutGroup()
	case c.role == Leader:
		c.tickLeader()
	case !c.isVoter():
		c.tickLearner()
	case !now.Before(c.electionDeadline):
		c.startPreVote()
	}
}

// step processes one message. It returns an error if the message is refused or
// violates an invariant.
func (c *core) step(now time.Time, m Message) error {
	c.now = now
	if m.To != c.cfg.Self.Incarnation && (m.To != "" || m.Type != MsgHello) {
		return resultcode.Newf(resultcode.IdentityMismatch, "message for incarnation %q reached %q", m.To, c.cfg.Self.Incarnation)
	}
	switch m.Type {
	case MsgHello:
		c.onHello(m)
		return nil
	case MsgHelloAnswer:
		c.onHelloAnswer(m)
		return nil
	case MsgForm:
		return c.onForm(m)
	}
	if err := c.checkGroup(m); err != nil {
		return err
	}
	if p, ok := c.peers[m.From.Incarnation]; ok && m.From.Address != "" {
		// The member may have restarted at another address, so its address is
		// updated.
		p.member.Address = m.From.Address
	}
	if m.Type == MsgPreVote {
		if c.cfg.PromoteLearners {
			c.admitOrForward(m.From, false)
		}
		c.onPreVote(m)
		return nil
	}
	if m.Type == MsgVote && c.hasActiveLeader() && !m.Forced {
		return nil // a member that was removed or disconnected must not depose a working leader
	}
	grantedPreVote := m.Type == MsgPreVoteAnswer && !m.Reject
	if m.Term > c.state.Term && !grantedPreVote {
		c.becomeFollower(m.Term)
	}
	return c.stepInTerm(m)
}

// checkGroup refuses messages from other groups. A node without entries accepts
// only the first group that sends it a message.
func (c *core) checkGroup(m Message) error {
	group := c.groupID()
	if !c.inGroup() {
		if c.discovery.group == "" {
			c.discovery.group = m.Group
		}
		group = c.discovery.group
	}
	if m.Group != group {
		return resultcode.Newf(resultcode.IdentityMismatch, "message from group %q reached group %q", m.Group, group)
	}
	return nil
}

func (c *core) stepInTerm(m Message) error {
	if m.Term < c.state.Term {
		c.rejectOldTerm(m)
		return nil
	}
	switch m.Type {
	case MsgPreVoteAnswer:
		c.onPreVoteAnswer(m)
	case MsgVote:
		c.onVote(m)
	case MsgVoteAnswer:
		if c.role == Candidate && !c.preVoting {
			c.countVote(m.From.Incarnation, !m.Reject)
		}
	case MsgAppend, MsgSnapshot:
		if !c.followLeader(m) {
			return c.violation
		}
		if m.Type == MsgSnapshot {
			return c.onSnapshot(m)
		}
		return c.onAppend(m)
	case MsgAppendAnswer, MsgSnapshotAnswer:
		if c.role == Leader {
			c.onFollowerAnswer(m)
		}
	case MsgTakeOver:
		if c.isVoter() && c.role != Leader {
			c.startElection(true)
		}
	}
	return nil
}

// rejectOldTerm informs a deposed leader or candidate of the current term.
func (c *core) rejectOldTerm(m Message) {
	t := map[MessageType]MessageType{MsgAppend: MsgAppendAnswer, MsgSnapshot: MsgAppendAnswer, MsgVote: MsgVoteAnswer}[m.Type]
	if t == 0 {
		return
	}
	answer := c.newAnswer(t, m)
	answer.Reject = true
	// The sender may become leader again in the current term, where its
	// heartbeat rounds are renumbered, and this answer must not count for
	// those rounds.
	answer.Round = 0
	c.sendAfterPersist(answer)
}

// followLeader accepts m's sender as the leader of the current term. It returns
// false if the term already has another leader.
func (c *core) followLeader(m Message) bool {
	if c.role == Leader || (c.leader.Incarnation != "" && c.leader.Incarnation != m.From.Incarnation) {
		c.setViolation("two leaders in term %d: %s/%s and %s/%s", m.Term, c.leader.Name, c.leader.Incarnation, m.From.Name, m.From.Incarnation)
		return false
	}
	if c.role == Candidate {
		c.becomeFollower(m.Term)
	}
	if c.leader.Incarnation == "" {
		c.event("agreement.follow", "leader", m.From.Name, "term", fmt.Sprint(m.Term))
	}
	c.leader = m.From
	c.leaderContact = c.now
	c.resetElectionTimer()
	return true
}

// becomeFollower enters a later term, or ends a candidacy or leadership in the
// current one.
func (c *core) becomeFollower(term uint64) {
	if c.role == Leader {
		c.event("agreement.step_down", "term", fmt.Sprint(c.state.Term))
	}
	if term > c.state.Term {
		c.setState(wal.HardState{Term: term})
		c.leader = Member{}
		c.incoming = nil
	}
	if c.role == Leader {
		c.leader = Member{}
	}
	c.role = Follower
	c.preVoting = false
	c.votes, c.peers, c.rounds = nil, nil, nil
	c.failReads()
	c.quorumContact = time.Time{}
	c.transferTarget = ""
	c.updateLearnerRole()
	c.resetElectionTimer()
}

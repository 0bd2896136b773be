package agreement

import (
	"fmt"
	"time"

	"github.com/endivetrack/endivetrack/internal/wal"
)

// hasActiveLeader reports whether the node had contact with a leader within the
// minimum election timeout. On the leader it reports whether a quorum answered
// within that time.
func (c *core) hasActiveLeader() bool {
	if c.role == Leader {
		return c.now.Sub(c.quorumContact) < c.cfg.ElectionTimeout
	}
	return c.leader.Incarnation != "" && c.now.Sub(c.leaderContact) < c.cfg.ElectionTimeout
}

// startPreVote asks the voters whether they would elect this node. It does not
// change the current term.
func (c *core) startPreVote() {
	c.role = Candidate
	c.leader = Member{}
	c.preVoting = true
	c.votes = map[string]bool{}
	c.resetElectionTimer()
	c.requestVotes(MsgPreVote, c.state.Term+1, false)
	c.countVote(c.cfg.Self.Incarnation, true)
}

// startElection starts an election in the next term. The node's vote for itself
// counts only once it is durable. forced is set if the leader asked this node to
// take over.
func (c *core) startElection(forced bool) {
	c.role = Candidate
	c.leader = Member{}
	c.preVoting = false
	c.votes = map[string]bool{}
	c.setState(wal.HardState{Term: c.state.Term + 1, Vote: c.cfg.Self.Incarnation})
	c.event("agreement.candidate", "term", fmt.Sprint(c.state.Term))
	c.resetElectionTimer()
	c.requestVotes(MsgVote, c.state.Term, forced)
}

func (c *core) requestVotes(t MessageType, term uint64, forced bool) {
	for _, v := range c.members().voters() {
		if v.Incarnation == c.cfg.Self.Incarnation {
			continue
		}
		m := c.newMessage(t, v)
		m.Term, m.Index, m.LogTerm, m.Forced = term, c.log.lastIndex(), c.log.lastTerm(), forced
		c.sendAfterPersist(m)
	}
}

func (c *core) onPreVote(m Message) {
	answer := c.newAnswer(MsgPreVoteAnswer, m)
	if m.Term > c.state.Term && c.rules.mayVote(c) && !c.hasActiveLeader() && c.rules.logUpToDate(c, m) {
		answer.Term = m.Term
	} else {
		answer.Reject = true
	}
	c.sendAfterPersist(answer)
}

func (c *core) onPreVoteAnswer(m Message) {
	if c.role != Candidate || !c.preVoting || (!m.Reject && m.Term != c.state.Term+1) {
		return
	}
	c.countVote(m.From.Incarnation, !m.Reject)
}

func (c *core) onVote(m Message) {
	if !c.rules.mayVote(c) {
		return
	}
	answer := c.newAnswer(MsgVoteAnswer, m)
	voteAvailable := c.state.Vote == "" || c.state.Vote == m.From.Incarnation
	if voteAvailable && c.rules.logUpToDate(c, m) && c.leader.Incarnation == "" && c.role != Leader {
		c.setState(wal.HardState{Term: c.state.Term, Vote: m.From.Incarnation})
		c.resetElectionTimer()
	} else {
		answer.Reject = true
	}
	c.sendAfterPersist(answer)
}

// countVote records a vote. Once a quorum has granted its votes, a pre-vote
// becomes an election and a candidate becomes the leader.
func (c *core) countVote(incarnation string, granted bool) {
	c.votes[incarnation] = granted
	n := 0
	for _, v := range c.members().voters() {
		if c.votes[v.Incarnation] {
			n++
		}
	}
	if n < c.rules.quorum(len(c.members().voters())) {
		return
	}
	if c.preVoting {
		c.startElection(false)
		return
	}
	c.becomeLeader()
}

func (c *core) becomeLeader() {
	c.role = Leader
	c.leader = c.cfg.Self
	c.votes = nil
	c.peers = map[string]*progress{}
	c.rounds, c.quorumRound, c.quorumContact = nil, c.round, time.Time{}
	c.leaderSince = c.now
	c.event("agreement.lead", "term", fmt.Sprint(c.state.Term))
	c.syncPeers()
	c.termStart = c.appendEntry(wal.EntryNoop, nil)
	c.broadcastHeartbeat()
}

// transferLeadership starts to hand the leadership to the voter with the
// highest match index, so that a planned stop takes less than an election
// timeout. It returns false if no voter is in contact. Until the transfer ends,
// proposals are refused so that the voter can catch up.
func (c *core) transferLeadership() bool {
	if c.role != Leader {
		return false
	}
	var best *progress
	c.eachPeer(func(p *progress) {
		if p.member.Voter && c.now.Sub(p.lastContact) < c.cfg.ElectionTimeout && (best == nil || p.match > best.match) {
			best = p
		}
	})
	if best == nil {
		return false
	}
	c.transferTarget, c.leader = best.member.Incarnation, best.member
	c.transferDeadline = c.now.Add(c.cfg.ElectionTimeout)
	c.sendTakeOver(best)
	return true
}

// sendTakeOver asks p to start an election, like TimeoutNow in Raft, if p is the
// transfer target and has the complete log.
func (c *core) sendTakeOver(p *progress) {
	if p.member.Incarnation == c.transferTarget && p.match == c.log.lastIndex() {
		c.sendImmediately(c.newMessage(MsgTakeOver, p.member))
	}
}

// tickLeader steps down if no quorum answered within the election timeout, and
// ends a leadership transfer that takes too long. At each heartbeat interval it
// sends heartbeats, resends unanswered data and repairs the membership.
func (c *core) tickLeader() {
	since := c.leaderSince
	if c.quorumContact.After(since) {
		since = c.quorumContact
	}
	if c.now.Sub(since) > c.cfg.ElectionTimeout {
		c.event("agreement.no_quorum", "term", fmt.Sprint(c.state.Term))
		c.becomeFollower(c.state.Term)
		return
	}
	if c.transferTarget != "" && c.now.After(c.transferDeadline) {
		c.transferTarget, c.leader = "", c.cfg.Self // the transfer target did not become leader before the deadline
	}
	if !c.now.Before(c.nextHeartbeat) {
		c.broadcastHeartbeat()
		c.resendUnanswered()
		c.repairMembers()
	}
}

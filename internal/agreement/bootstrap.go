package agreement

import (
	"slices"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
)

// firstTerm is the term of the entry that forms a group. No leader is ever
// elected in it.
const firstTerm = 1

// discoveryState is the state of a node without a log that looks for a group to
// join or to form.
type discoveryState struct {
	nextHello time.Time
	// withoutLog holds, by name, the other initial voters that answered the
	// newest MsgHello (a request to join a group) and have no log.
	withoutLog map[string]Member
	// newestIncarnation holds, by node name, the last incarnation that sent MsgHello.
	newestIncarnation map[string]string
	// group is the ID of the first group whose messages reached this incarnation of the node.
	group string
	// groupExists is set once any node has answered that a group exists. From
	// then on this node never forms one.
	groupExists bool
}

// tickWithoutGroup sends requests to join an existing group. If this node is
// the coordinator and every other initial voter answered that it has no log, it
// forms the group instead.
//
// An initial voter that lost its disk has a new incarnation and no log. It
// cannot form a second group, because the other initial voters have a log and
// answer that a group exists. It cannot vote either, because no log lists its
// new incarnation.
func (c *core) tickWithoutGroup() {
	if c.isCoordinator() && c.rules.mayFormGroup(c) {
		c.formGroup()
		return
	}
	if c.now.Before(c.discovery.nextHello) {
		return
	}
	c.discovery.nextHello = c.now.Add(c.cfg.ElectionTimeout)
	c.discovery.withoutLog = nil // only answers to the newest MsgHello count
	c.sendHello()
}

// tickLearner asks to join again after a long time without contact from a
// leader, because the group may have removed this incarnation of the node.
func (c *core) tickLearner() {
	if c.now.Before(c.discovery.nextHello) || c.now.Sub(c.leaderContact) < 4*c.cfg.ElectionTimeout {
		return
	}
	c.discovery.nextHello = c.now.Add(c.cfg.ElectionTimeout)
	c.sendHello()
}

func (c *core) sendHello() {
	for _, address := range c.joinAddresses() {
		c.sendImmediately(Message{Type: MsgHello, Group: c.groupID(), From: c.cfg.Self, ToAddress: address})
	}
}

func (c *core) joinAddresses() []string {
	out := slices.Clone(c.cfg.Seeds)
	for _, m := range c.cfg.Bootstrap {
		out = append(out, m.Address)
	}
	for _, m := range c.members().voters() {
		out = append(out, m.Address)
	}
	slices.Sort(out)
	out = slices.Compact(out)
	return slices.DeleteFunc(out, func(a string) bool { return a == c.cfg.Self.Address })
}

// isCoordinator reports whether this node may form the group. The coordinator
// is the initial voter whose name sorts lowest.
func (c *core) isCoordinator() bool {
	if len(c.cfg.Bootstrap) == 0 || c.cfg.Self.Diskless {
		return false
	}
	lowest := slices.MinFunc(c.cfg.Bootstrap, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return lowest.Name == c.cfg.Self.Name
}

// formGroup appends the first log entry, a membership that lists the initial
// voters, and sends it to them.
func (c *core) formGroup() {
	m := membership{}
	for _, b := range c.cfg.Bootstrap {
		voter, ok := c.discovery.withoutLog[b.Name]
		if b.Name == c.cfg.Self.Name {
			voter, ok = c.cfg.Self, true
		}
		if ok {
			m = m.with(Member{Name: b.Name, Incarnation: voter.Incarnation, Address: b.Address, Voter: true})
		}
	}
	m.Group = groupID(m.Members)
	data, err := m.encode()
	if err != nil {
		c.setViolation("cannot encode membership: %v", err)
		return
	}
	c.appendFirstEntry(wal.Entry{Index: 1, Term: firstTerm, Type: wal.EntryMembership, Data: data})
	for _, v := range c.members().voters() {
		if v.Incarnation != c.cfg.Self.Incarnation {
			c.sendFirstEntry(v)
		}
	}
}

func (c *core) appendFirstEntry(e wal.Entry) {
	c.log.append(e)
	if c.state.Term < e.Term {
		c.setState(wal.HardState{Term: e.Term})
	}
	if err := c.recordMembership(e); err != nil {
		c.setViolation("%v", err)
	}
	c.event("agreement.form", "group", c.groupID())
	c.updateLearnerRole()
	c.resetElectionTimer()
}

// sendFirstEntry sends the group's first log entry to a node once the entry is
// durable on this node.
func (c *core) sendFirstEntry(to Member) {
	m := c.newMessage(MsgForm, to)
	m.Term = firstTerm
	m.Entries = c.log.entriesFrom(1, c.cfg.MaxAppendBytes)[:1]
	c.sendAfterPersist(m)
}

// onForm accepts the first entry of a new group only if this node has no log and
// the entry lists the incarnation of this node as a voter.
func (c *core) onForm(m Message) error {
	if c.inGroup() || c.log.lastIndex() > 0 || c.cfg.Self.Diskless {
		return nil
	}
	if seen, ok := c.discovery.newestIncarnation[m.From.Name]; ok && seen != m.From.Incarnation {
		// The message comes late from a coordinator that has since lost its
		// disk. The new incarnation of the coordinator may have formed another
		// group.
		return resultcode.Newf(resultcode.IdentityMismatch, "incarnation %q of %q was replaced", m.From.Incarnation, m.From.Name)
	}
	if len(m.Entries) != 1 || m.Entries[0].Index != 1 || m.Entries[0].Term != firstTerm || m.Entries[0].Type != wal.EntryMembership {
		return malformedError("not a first entry")
	}
	first, err := decodeMembership(1, m.Entries[0].Data)
	if err != nil {
		return err
	}
	if !first.isVoter(c.cfg.Self.Incarnation) {
		return resultcode.Newf(resultcode.IdentityMismatch, "the first entry does not list incarnation %q", c.cfg.Self.Incarnation)
	}
	c.appendFirstEntry(m.Entries[0])
	return nil
}

// onHello answers a node that looks for a group and, if this node belongs to
// one, asks the leader to admit the sender.
func (c *core) onHello(m Message) {
	answer := c.newMessage(MsgHelloAnswer, m.From)
	answer.Reject = c.inGroup()
	c.sendImmediately(answer)
	if !c.inGroup() {
		if c.discovery.newestIncarnation == nil {
			c.discovery.newestIncarnation = map[string]string{}
		}
		c.discovery.newestIncarnation[m.From.Name] = m.From.Incarnation
		return
	}
	if first, ok := c.firstMembership(); ok && m.Group == "" && first.isVoter(m.From.Incarnation) {
		// The sender has no log, but its vote may be needed to elect a leader.
		c.sendFirstEntry(m.From)
	}
	if m.Group == "" || m.Group == c.groupID() {
		c.admitOrForward(m.From, m.Forced)
	}
}

// firstMembership returns the membership in log entry 1, if that entry is still
// in memory.
func (c *core) firstMembership() (membership, bool) {
	if c.log.baseIndex != 0 || c.log.lastIndex() == 0 || c.log.entries[0].Type != wal.EntryMembership {
		return membership{}, false
	}
	m, err := decodeMembership(1, c.log.entries[0].Data)
	return m, err == nil
}

func (c *core) onHelloAnswer(m Message) {
	if c.inGroup() {
		return
	}
	if m.Reject {
		c.discovery.groupExists = true
		return
	}
	if c.discovery.withoutLog == nil {
		c.discovery.withoutLog = map[string]Member{}
	}
	c.discovery.withoutLog[m.From.Name] = m.From
}

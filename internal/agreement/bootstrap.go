package agreement

import (
	"slices"
	"strings"
	"time"

	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
)

// firstTerm is the term of the entry that forms a group; no leader is ever
// elected in it.
const firstTerm = 1

// helloState is what a node without a log knows while it looks for a group.
type discoveryState struct {
	nextHello time.Time
	// unformed are the other first voters that answered and have no log, by
	// name.
	withoutLog map[string]Member
	// seen are the newest incarnations that asked for entry, by name.
	newestIncarnation map[string]string
	// group is the first group that addressed this incarnation.
	group string
	// exists is set once any node answered that a group exists. This node then
	// never forms one.
	groupExists bool
}

// tickUnformed asks the seeds for entry, and forms the group if this node is
// the coordinator and every first voter answered that it has no log.
//
// A first voter that lost its disk has a new incarnation and no log. It cannot
// form a second group, since the remaining first voters have a log and say so,
// and it does not vote, since no log lists its new incarnation.
func (c *core) tickWithoutGroup() {
	if c.isCoordinator() && c.rules.mayFormGroup(c) {
		c.formGroup()
		return
	}
	if c.now.Before(c.discovery.nextHello) {
		return
	}
	c.discovery.nextHello = c.now.Add(c.cfg.ElectionTimeout)
	c.discovery.withoutLog = nil // only answers to the newest question count
	c.sendHello()
}

// tickLearner asks for entry again when no leader shows life: the group may
// have dropped this incarnation.
func (c *core) tickLearner() {
	if c.now.Before(c.discovery.nextHello) || c.now.Sub(c.leaderContact) < 4*c.cfg.ElectionTimeout {
		return
	}
	c.discovery.nextHello = c.now.Add(c.cfg.ElectionTimeout)
	c.sendHello()
}

func (c *core) sendHello() {
	for _, address := range c.joinAddresses() {
		c.sendImmediately(Message{Type: MsgHello, Group: c.group(), From: c.cfg.Self, ToAddress: address})
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

// isCoordinator reports whether this node is the one that forms the group: the
// first voter with the least name.
func (c *core) isCoordinator() bool {
	if len(c.cfg.Bootstrap) == 0 || c.cfg.Self.Diskless {
		return false
	}
	lowest := slices.MinFunc(c.cfg.Bootstrap, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return lowest.Name == c.cfg.Self.Name
}

// form writes the first log entry, which names the first voters.
func (c *core) formGroup() {
	m := membership{}
	for _, b := range c.cfg.Bootstrap {
		x, ok := c.discovery.withoutLog[b.Name]
		if b.Name == c.cfg.Self.Name {
			x, ok = c.cfg.Self, true
		}
		if ok {
			m = m.with(Member{Name: b.Name, Incarnation: x.Incarnation, Address: b.Address, Voter: true})
		}
	}
	m.Group = groupID(m.Members)
	data, err := m.encode()
	if err != nil {
		c.setViolation("membership does not encode: %v", err)
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
	c.addEvent("agreement.form", "group", c.group())
	c.updateLearnerRole()
	c.resetElectionTimer()
}

// sendForm sends the first entry. It leaves only after it is durable here.
func (c *core) sendFirstEntry(to Member) {
	m := c.newMessage(MsgForm, to)
	m.Term = firstTerm
	m.Entries = c.log.entriesFrom(1, c.cfg.MaxAppendBytes)[:1]
	c.sendAfterPersist(m)
}

// onForm takes the first entry. A node takes it only while it has no log, and
// only if the entry names its own incarnation.
func (c *core) onForm(m Message) error {
	if c.inGroup() || c.log.last() > 0 || c.cfg.Self.Diskless {
		return nil
	}
	if seen, ok := c.discovery.newestIncarnation[m.From.Name]; ok && seen != m.From.Incarnation {
		// A late message of a coordinator whose disk was lost since; the new
		// one may have formed another group.
		return resultcode.Newf(resultcode.IdentityMismatch, "incarnation %q of %q was replaced", m.From.Incarnation, m.From.Name)
	}
	if len(m.Entries) != 1 || m.Entries[0].Index != 1 || m.Entries[0].Term != firstTerm || m.Entries[0].Type != wal.EntryMembership {
		return malformed("first entry")
	}
	first, err := decodeMembership(1, m.Entries[0].Data)
	if err != nil {
		return err
	}
	if !first.isVoter(c.cfg.Self.Incarnation) {
		return resultcode.Newf(resultcode.IdentityMismatch, "the first entry does not name incarnation %q", c.cfg.Self.Incarnation)
	}
	c.appendFirstEntry(m.Entries[0])
	return nil
}

// onHello answers a node that looks for a group.
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
		// It has no log but its vote may be needed to elect a leader.
		c.sendFirstEntry(m.From)
	}
	if m.Group == "" || m.Group == c.group() {
		c.admitOrForward(m.From, m.Forced)
	}
}

// firstMembership returns the first entry's membership while it is in memory.
func (c *core) firstMembership() (membership, bool) {
	if c.log.baseIndex != 0 || c.log.last() == 0 || c.log.entries[0].Type != wal.EntryMembership {
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

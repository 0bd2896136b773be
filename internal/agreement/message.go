package agreement

import (
	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
)

// MessageType is the kind of a protocol message.
type MessageType uint8

// Message types. The numbers equal those of api.AgreementMessageType.
const (
	MsgHello          MessageType = 1
	MsgHelloAnswer    MessageType = 2
	MsgForm           MessageType = 3
	MsgPreVote        MessageType = 4
	MsgPreVoteAnswer  MessageType = 5
	MsgVote           MessageType = 6
	MsgVoteAnswer     MessageType = 7
	MsgAppend         MessageType = 8
	MsgAppendAnswer   MessageType = 9
	MsgSnapshot       MessageType = 10
	MsgSnapshotAnswer MessageType = 11
	MsgTakeOver       MessageType = 12
)

// Message is a protocol message between two nodes. Messages may be lost,
// delayed, duplicated and reordered.
//
// Two fields have another meaning in join requests: in MsgHello, Forced marks a
// request that was forwarded to the leader; in MsgHelloAnswer, Reject means that
// the sender belongs to a group.
type Message struct {
	Type  MessageType
	Group string
	From  Member
	// To is the recipient's incarnation. It may be empty only in MsgHello.
	To string
	// ToAddress is the recipient's network address. It is not transmitted.
	ToAddress string

	Term uint64
	// Index and LogTerm identify a log entry: the one before Entries, the last
	// entry of a candidate's log, or the last entry covered by a snapshot. In
	// answers, Index is the highest entry known to match or, with Reject, the
	// highest index at which the leader should retry.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	// Round is the leader's newest heartbeat round. Answers echo it.
	Round  uint64
	Reject bool
	// Forced marks the vote request of a node that the leader asked to take
	// over; voters accept it even while they have an active leader.
	Forced  bool
	Entries []wal.Entry
	Chunk   *Chunk
}

// Chunk is part of a snapshot. In answers only Offset is set: the number of
// bytes received.
type Chunk struct {
	Offset     uint64
	Total      uint64
	Data       []byte
	Membership []byte
}

// bulk reports whether m is so large that heartbeats sent after it would be
// delayed.
func (m *Message) bulk() bool { return len(m.Entries) > 0 || m.Type == MsgSnapshot }

func toProto(m *Message) *api.AgreementMessage {
	p := &api.AgreementMessage{
		Type:    api.AgreementMessageType(m.Type),
		Group:   m.Group,
		From:    memberToProto(m.From),
		To:      m.To,
		Term:    m.Term,
		Index:   m.Index,
		LogTerm: m.LogTerm,
		Commit:  m.Commit,
		Round:   m.Round,
		Reject:  m.Reject,
		Forced:  m.Forced,
	}
	for _, e := range m.Entries {
		p.Entries = append(p.Entries, &api.AgreementEntry{Index: e.Index, Term: e.Term, Type: uint32(e.Type), Data: e.Data})
	}
	if c := m.Chunk; c != nil {
		p.Chunk = &api.AgreementChunk{Offset: c.Offset, Total: c.Total, Data: c.Data, Membership: c.Membership}
	}
	return p
}

// fromProto decodes a message and validates the properties that the protocol
// assumes for every message.
func fromProto(p *api.AgreementMessage) (Message, error) {
	m := Message{
		Type:    MessageType(p.GetType()),
		Group:   p.GetGroup(),
		From:    memberFromProto(p.GetFrom()),
		To:      p.GetTo(),
		Term:    p.GetTerm(),
		Index:   p.GetIndex(),
		LogTerm: p.GetLogTerm(),
		Commit:  p.GetCommit(),
		Round:   p.GetRound(),
		Reject:  p.GetReject(),
		Forced:  p.GetForced(),
	}
	if p.GetType() < api.AgreementMessageType(MsgHello) || p.GetType() > api.AgreementMessageType(MsgTakeOver) {
		return m, malformedError("type %d", p.GetType())
	}
	if m.From.Incarnation == "" || m.From.Name == "" {
		return m, malformedError("no sender")
	}
	for i, e := range p.GetEntries() {
		if e.GetIndex() != m.Index+uint64(i)+1 || e.GetTerm() > m.Term || e.GetTerm() == 0 {
			return m, malformedError("entry %d of term %d after %d", e.GetIndex(), e.GetTerm(), m.Index)
		}
		if e.GetType() < uint32(wal.EntryCommand) || e.GetType() > uint32(wal.EntryNoop) {
			return m, malformedError("entry type %d", e.GetType())
		}
		m.Entries = append(m.Entries, wal.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Type: wal.EntryType(e.GetType()), Data: e.GetData()})
	}
	if c := p.GetChunk(); c != nil {
		m.Chunk = &Chunk{Offset: c.GetOffset(), Total: c.GetTotal(), Data: c.GetData(), Membership: c.GetMembership()}
	}
	if m.Chunk == nil && (m.Type == MsgSnapshot || m.Type == MsgSnapshotAnswer) {
		return m, malformedError("no chunk")
	}
	if m.Type == MsgSnapshot && (m.Index == 0 || m.LogTerm == 0) {
		return m, malformedError("snapshot without an index or term")
	}
	return m, nil
}

func malformedError(format string, args ...any) error {
	return resultcode.Newf(resultcode.MessageMalformed, "agreement message: "+format, args...)
}

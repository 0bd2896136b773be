package agreement

import (
	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
)

// MessageType says what a message asks or answers.
type MessageType uint8

// Message types. Their numbers are those of api.AgreementMessageType.
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

// Message travels between two nodes. It may be lost, delayed, repeated and
// overtaken by others.
type Message struct {
	Type  MessageType
	Group string
	From  Member
	// To is the addressee's incarnation; empty only in MsgHello.
	To string
	// ToAddress is where to send the message; it is not transmitted.
	ToAddress string

	Term uint64
	// Index and LogTerm name a log entry: the one before Entries, the last of
	// a candidate's log, or the last one covered by a snapshot. In answers
	// Index is the highest entry known to match, or with Reject the highest
	// one at which the leader should try again.
	Index   uint64
	LogTerm uint64
	Commit  uint64
	// Round is the leader's newest heartbeat round, echoed in answers.
	Round  uint64
	Reject bool
	// Forced marks a vote request of a node that the leader asked to take over;
	// it counts although the voters hear the leader.
	Forced  bool
	Entries []wal.Entry
	Chunk   *Chunk
}

// Chunk is a part of a snapshot; an answer carries only Offset, the number of
// bytes received.
type Chunk struct {
	Offset     uint64
	Total      uint64
	Data       []byte
	Membership []byte
}

// bulk reports whether m is large enough to delay heartbeats behind it.
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

// fromProto checks what the protocol relies on in every message.
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
		return m, malformed("type %d", p.GetType())
	}
	if m.From.Incarnation == "" || m.From.Name == "" {
		return m, malformed("no sender")
	}
	for i, e := range p.GetEntries() {
		if e.GetIndex() != m.Index+uint64(i)+1 || e.GetTerm() > m.Term || e.GetTerm() == 0 {
			return m, malformed("entry %d of term %d behind %d", e.GetIndex(), e.GetTerm(), m.Index)
		}
		if e.GetType() < uint32(wal.EntryCommand) || e.GetType() > uint32(wal.EntryNoop) {
			return m, malformed("entry type %d", e.GetType())
		}
		m.Entries = append(m.Entries, wal.Entry{Index: e.GetIndex(), Term: e.GetTerm(), Type: wal.EntryType(e.GetType()), Data: e.GetData()})
	}
	if c := p.GetChunk(); c != nil {
		m.Chunk = &Chunk{Offset: c.GetOffset(), Total: c.GetTotal(), Data: c.GetData(), Membership: c.GetMembership()}
	}
	if m.Chunk == nil && (m.Type == MsgSnapshot || m.Type == MsgSnapshotAnswer) {
		return m, malformed("no chunk")
	}
	if m.Type == MsgSnapshot && (m.Index == 0 || m.LogTerm == 0) {
		return m, malformed("snapshot of nothing")
	}
	return m, nil
}

func malformed(format string, args ...any) error {
	return resultcode.Newf(resultcode.MessageMalformed, "agreement message: "+format, args...)
}

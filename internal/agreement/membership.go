package agreement

import (
	"crypto/sha256"
	"encoding/hex"
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
)

// Limits on the number of members.
const (
	maxVoters   = 7
	maxLearners = 32
)

// membership is the set of members that is in effect from a log entry on.
type membership struct {
	// Index is the index of the membership's log entry; 0 if it is from a snapshot.
	Index uint64
	// Group is the ID of the group, derived from the voters that formed it.
	// Nodes refuse messages from other groups.
	Group   string
	Members []Member
}

// groupID derives the ID of a group from its initial voters. Two groups never
// have the same ID, because forming a group always involves at least one new
// incarnation.
func groupID(members []Member) string {
	h := sha256.New()
	for _, m := range members {
		h.Write([]byte(m.Name + "\x00" + m.Incarnation + "\x00"))
	}
	return hex.EncodeToString(h.Sum(nil)[:16])
}

func (m membership) find(incarnation string) (Member, bool) {
	i := slices.IndexFunc(m.Members, func(x Member) bool { return x.Incarnation == incarnation })
	if i < 0 {
		return Member{}, false
	}
	return m.Members[i], true
}

func (m membership) voters() []Member {
	var out []Member
	for _, x := range m.Members {
		if x.Voter {
			out = append(out, x)
		}
	}
	return out
}

func (m membership) isVoter(incarnation string) bool {
	x, ok := m.find(incarnation)
	return ok && x.Voter
}

// with returns a copy of m in which x is added or replaces the member of the
// same incarnation.
func (m membership) with(x Member) membership {
	out := m.without(x.Incarnation)
	out.Members = append(out.Members, x)
	slices.SortFunc(out.Members, func(a, b Member) int {
		return strings.Compare(a.Name+"\x00"+a.Incarnation, b.Name+"\x00"+b.Incarnation)
	})
	return out
}

func (m membership) without(incarnation string) membership {
	out := membership{Group: m.Group, Members: slices.Clone(m.Members)}
	out.Members = slices.DeleteFunc(out.Members, func(x Member) bool { return x.Incarnation == incarnation })
	return out
}

func memberToProto(m Member) *api.AgreementMember {
	return &api.AgreementMember{
		Name: m.Name, Incarnation: m.Incarnation, Address: m.Address,
		Voter: m.Voter, Diskless: m.Diskless, Promote: m.Promote,
	}
}

func memberFromProto(p *api.AgreementMember) Member {
	return Member{
		Name: p.GetName(), Incarnation: p.GetIncarnation(), Address: p.GetAddress(),
		Voter: p.GetVoter(), Diskless: p.GetDiskless(), Promote: p.GetPromote(),
	}
}

func (m membership) encode() ([]byte, error) {
	p := &api.AgreementMembership{Group: m.Group}
	for _, x := range m.Members {
		p.Members = append(p.Members, memberToProto(x))
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(p)
}

func decodeMembership(index uint64, data []byte) (membership, error) {
	var p api.AgreementMembership
	if err := proto.Unmarshal(data, &p); err != nil {
		return membership{}, malformedError("membership: %v", err)
	}
	m := membership{Index: index, Group: p.GetGroup()}
	for _, x := range p.GetMembers() {
		m.Members = append(m.Members, memberFromProto(x))
	}
	return m, nil
}

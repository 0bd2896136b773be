package model

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/session"
	"github.com/endivetrack/endivetrack/internal/settings"
)

// Snapshot encodes the state deterministically: equal states give equal bytes.
func (s *State) Snapshot() ([]byte, error) {
	out := &api.StateSnapshot{
		Index:              s.Index,
		NowMs:              s.NowMS,
		InstancesVersion:   s.InstancesVersion,
		AssignmentsVersion: s.AssignmentsVersion,
	}
	for _, name := range slices.Sorted(maps.Keys(s.Teams)) {
		out.Teams = append(out.Teams, s.Teams[name].snapshot())
	}
	for _, id := range slices.Sorted(maps.Keys(s.Sessions)) {
		sess := s.Sessions[id]
		out.Sessions = append(out.Sessions, &api.SnapshotSession{Id: sess.ID, Instance: sess.Instance, Replaced: sess.Replaced})
	}
	for _, k := range s.SortedShards() {
		a := s.Assignments[k]
		out.Assignments = append(out.Assignments, &api.SnapshotAssignment{
			Assignment:     a.Proto(k),
			FormerSession:  a.FormerOwner,
			RevokedVersion: a.RevokedVersion,
		})
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(out)
}

// SortedShards returns the shard keys of all assignments, sorted by
// CompareShards.
func (s *State) SortedShards() []session.ShardKey {
	return slices.SortedFunc(maps.Keys(s.Assignments), CompareShards)
}

// CompareShards orders shards by team, service, region and number. Like
// cmp.Compare, it returns -1, 0 or +1.
func CompareShards(a, b session.ShardKey) int {
	return cmp.Or(
		cmp.Compare(a.Team, b.Team),
		cmp.Compare(a.Service, b.Service),
		cmp.Compare(a.Region, b.Region),
		cmp.Compare(a.Number, b.Number),
	)
}

// Proto returns the assignment in the form sent to entry instances, which
// excludes the former owner.
func (a *Assignment) Proto(k session.ShardKey) *api.Assignment {
	return &api.Assignment{Shard: k.Proto(), OwnerSession: a.Owner, OwnerAddress: a.OwnerAddress, Epoch: a.Epoch}
}

func (t *Team) snapshot() *api.SnapshotTeam {
	out := &api.SnapshotTeam{Name: t.Name, Revision: t.Revision, Version: t.Version, Toml: t.TOML}
	for _, id := range t.ChangeOrder {
		c := t.Changes[id]
		out.Changes = append(out.Changes, &api.SnapshotChange{
			ChangeId: id, ContentSha256: c.ContentSHA256[:], Revision: c.Revision, Version: c.Version,
		})
	}
	for _, k := range t.WriteOrder {
		out.Writes = append(out.Writes, t.Writes[k].snapshot(k))
	}
	for _, target := range slices.Sorted(maps.Keys(t.ModelLoads)) {
		l := t.ModelLoads[target]
		out.Loads = append(out.Loads, &api.SnapshotLoad{Target: target, SessionId: l.SessionID, Epoch: l.Epoch, UntilMs: l.UntilMS})
	}
	return out
}

func (w *Write) snapshot(k WriteKey) *api.SnapshotWrite {
	out := &api.SnapshotWrite{
		Account: k.Account, IdempotencyKey: k.Key, BodyHash: w.BodyHash, Attempt: w.Attempt,
		State: w.State, Answer: w.Answer, BegunMs: w.BegunMS,
	}
	for _, a := range w.Attempts {
		out.Attempts = append(out.Attempts, &api.SnapshotAttempt{Attempt: a.ID, Outcome: a.Outcome})
	}
	return out
}

// Restore decodes a state encoded by Snapshot. It fails if the data is malformed
// or a team's settings are invalid.
func Restore(data []byte) (*State, error) {
	var in api.StateSnapshot
	if err := proto.Unmarshal(data, &in); err != nil {
		return nil, fmt.Errorf("state snapshot: %w", err)
	}
	s := New()
	s.Index, s.NowMS = in.GetIndex(), in.GetNowMs()
	s.InstancesVersion, s.AssignmentsVersion = in.GetInstancesVersion(), in.GetAssignmentsVersion()
	for _, st := range in.GetTeams() {
		t, err := restoreTeam(st)
		if err != nil {
			return nil, err
		}
		s.Teams[t.Name] = t
	}
	for _, encoded := range in.GetSessions() {
		if encoded.GetInstance() == nil {
			return nil, fmt.Errorf("state snapshot: session %d has no instance", encoded.GetId())
		}
		s.Sessions[encoded.GetId()] = &Session{ID: encoded.GetId(), Instance: encoded.GetInstance(), Replaced: encoded.GetReplaced()}
	}
	for _, encoded := range in.GetAssignments() {
		a := encoded.GetAssignment()
		s.Assignments[session.KeyOf(a.GetShard())] = &Assignment{
			Owner: a.GetOwnerSession(), OwnerAddress: a.GetOwnerAddress(), Epoch: a.GetEpoch(),
			FormerOwner: encoded.GetFormerSession(), RevokedVersion: encoded.GetRevokedVersion(),
		}
	}
	return s, nil
}

func restoreTeam(in *api.SnapshotTeam) (*Team, error) {
	t := NewTeam(in.GetName())
	t.Revision, t.Version, t.TOML = in.GetRevision(), in.GetVersion(), in.GetToml()
	parsed, err := settings.Parse("snapshot", t.TOML)
	if err != nil {
		return nil, fmt.Errorf("state snapshot: team %q: %w", t.Name, err)
	}
	t.Settings = parsed
	for _, c := range in.GetChanges() {
		change := Change{Revision: c.GetRevision(), Version: c.GetVersion()}
		if copy(change.ContentSHA256[:], c.GetContentSha256()) != len(change.ContentSHA256) {
			return nil, fmt.Errorf("state snapshot: team %q: change %q has a short digest", t.Name, c.GetChangeId())
		}
		t.Changes[c.GetChangeId()] = change
		t.ChangeOrder = append(t.ChangeOrder, c.GetChangeId())
	}
	for _, w := range in.GetWrites() {
		k := WriteKey{Account: w.GetAccount(), Key: w.GetIdempotencyKey()}
		write := &Write{
			BodyHash: w.GetBodyHash(), Attempt: w.GetAttempt(), State: w.GetState(), Answer: w.GetAnswer(), BegunMS: w.GetBegunMs(),
		}
		for _, a := range w.GetAttempts() {
			write.Attempts = append(write.Attempts, Attempt{ID: a.GetAttempt(), Outcome: a.GetOutcome()})
		}
		t.Writes[k] = write
		t.WriteOrder = append(t.WriteOrder, k)
		t.WriteBytes += write.Size(k)
	}
	for _, l := range in.GetLoads() {
		t.ModelLoads[l.GetTarget()] = &ModelLoadSlot{SessionID: l.GetSessionId(), Epoch: l.GetEpoch(), UntilMS: l.GetUntilMs()}
	}
	return t, nil
}

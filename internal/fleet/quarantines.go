package fleet

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
)

// Bounds of the quarantines in the replicated state. Each change of the state sends all of
// them to all watchers.
const (
	maxQuarantines         = 256
	maxQuarantineTotalSize = 48 << 10 // bytes
	// maxQuarantineBytes bounds one record in the log.
	maxQuarantineBytes = 4 << 10
)

// QuarantineRecord is a quarantine in the replicated state, where it survives a restart of
// all instances. What its parts are, the instances know that decide it.
type QuarantineRecord struct {
	Parts []string // sorted; they identify the record
	// Since and Until are by the clock of the control instance that committed the record.
	Since, Until time.Time
	// Times is how often the parts were quarantined.
	Times  int
	Lifted bool
}

// Supersedes reports whether q is a newer state than old of the same record. It does not
// depend on clocks: a quarantine that begins again counts one more time.
func (q *QuarantineRecord) Supersedes(old *QuarantineRecord) bool {
	return q.Times > old.Times || q.Times == old.Times && q.Lifted && !old.Lifted
}

// ForgottenAt returns when the record is of no use any more: it is kept after its end for
// as long as it held.
func (q *QuarantineRecord) ForgottenAt() time.Time { return q.Until.Add(q.Until.Sub(q.Since)) }

// size returns about how many bytes the record takes in a message.
func (q *QuarantineRecord) size() int {
	const timesAndFlags = 32
	n := timesAndFlags
	for _, p := range q.Parts {
		n += len(p)
	}
	return n
}

func totalSize(records []QuarantineRecord) int {
	n := 0
	for i := range records {
		n += records[i].size()
	}
	return n
}

func (q *QuarantineRecord) hasParts(parts []string) bool { return slices.Equal(q.Parts, parts) }

// contains reports whether the record has all of the parts and further ones.
func (q *QuarantineRecord) contains(parts []string) bool {
	missing := slices.ContainsFunc(parts, func(p string) bool { return !slices.Contains(q.Parts, p) })
	return len(q.Parts) > len(parts) && !missing
}

func quarantineToProto(q *QuarantineRecord) *api.FleetQuarantineRecord {
	return &api.FleetQuarantineRecord{Parts: q.Parts, Since: q.Since.UnixMilli(), Until: q.Until.UnixMilli(), Times: uint32(q.Times), Lifted: q.Lifted}
}

func quarantineFromProto(p *api.FleetQuarantineRecord) QuarantineRecord {
	return QuarantineRecord{Parts: p.GetParts(), Since: time.UnixMilli(p.GetSince()), Until: time.UnixMilli(p.GetUntil()), Times: int(p.GetTimes()), Lifted: p.GetLifted()}
}

// quarantine returns the record with exactly these parts, or nil.
func (s *State) quarantine(parts []string) *QuarantineRecord {
	for i := range s.Quarantines {
		if s.Quarantines[i].hasParts(parts) {
			return &s.Quarantines[i]
		}
	}
	return nil
}

// putQuarantine adds a record, or replaces an older state of it. A quarantine of fewer
// parts replaces those that contain it. While there are too many, the other one that ends
// first is removed. It reports whether the state changes.
func (s *State) putQuarantine(q QuarantineRecord) bool {
	if old := s.quarantine(q.Parts); old != nil && !q.Supersedes(old) {
		return false
	}
	rest := slices.DeleteFunc(slices.Clone(s.Quarantines), func(x QuarantineRecord) bool {
		return x.hasParts(q.Parts) || !q.Lifted && x.contains(q.Parts)
	})
	for len(rest) > 0 && (len(rest) >= maxQuarantines || totalSize(rest)+q.size() > maxQuarantineTotalSize) {
		first := slices.MinFunc(rest, func(a, b QuarantineRecord) int { return a.Until.Compare(b.Until) })
		rest = slices.DeleteFunc(rest, func(x QuarantineRecord) bool { return x.hasParts(first.Parts) })
	}
	s.Quarantines = append(rest, q)
	return true
}

// removeQuarantine removes a record unless it has changed since. It reports whether the
// state changes.
func (s *State) removeQuarantine(q QuarantineRecord) bool {
	old := s.quarantine(q.Parts)
	if old == nil || q.Supersedes(old) || old.Supersedes(&q) {
		return false
	}
	s.Quarantines = slices.DeleteFunc(slices.Clone(s.Quarantines), func(x QuarantineRecord) bool { return x.hasParts(q.Parts) })
	return true
}

// Quarantine commits the quarantines that an entry instance has decided. An instance that
// does not lead passes them on to the leader.
func (s *Server) Quarantine(ctx context.Context, req *api.FleetQuarantineRequest) (*api.FleetQuarantineResponse, error) {
	if leader, other := s.Leader(); other && !req.GetForwarded() {
		ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
		defer cancel()
		return api.NewFleetCommandProtobufClient("http://"+leader, s.peerClient).
			Quarantine(ctx, &api.FleetQuarantineRequest{Quarantines: req.GetQuarantines(), Forwarded: true})
	}
	now := s.now()
	var malformed error
	for _, m := range req.GetQuarantines() {
		q := quarantineOf(m, now)
		if err := q.Validate(); err != nil {
			s.metrics.Counter("fleet.quarantines_refused").Inc(1)
			malformed = err
			continue
		}
		if err := s.commitQuarantine(ctx, &q); err != nil {
			return nil, resultcode.ToTwirp(resultcode.From(err))
		}
	}
	if malformed != nil {
		return nil, resultcode.ToTwirp(resultcode.From(malformed))
	}
	return &api.FleetQuarantineResponse{}, nil
}

// quarantineOf returns the record of a report that arrives at now.
func quarantineOf(m *api.FleetQuarantine, now time.Time) QuarantineRecord {
	return QuarantineRecord{
		Parts: m.GetParts(), Since: now.Add(-time.Duration(m.GetSinceMs()) * time.Millisecond),
		Until: now.Add(time.Duration(m.GetLeftMs()) * time.Millisecond), Times: int(m.GetTimes()), Lifted: m.GetLifted(),
	}
}

// Validate returns an error unless the record can be put in the replicated state.
func (q *QuarantineRecord) Validate() error {
	size := proto.Size(putQuarantine(q))
	if len(q.Parts) == 0 || q.Times == 0 || size > maxQuarantineBytes {
		return resultcode.Newf(resultcode.MessageMalformed, "quarantine of %d parts, %d times, in %d bytes", len(q.Parts), q.Times, size)
	}
	return nil
}

func putQuarantine(q *QuarantineRecord) *api.FleetChange {
	return &api.FleetChange{Change: &api.FleetChange_PutQuarantine{PutQuarantine: quarantineToProto(q)}}
}

// commitQuarantine commits one quarantine unless the state has it.
func (s *Server) commitQuarantine(ctx context.Context, q *QuarantineRecord) error {
	state, _ := s.machine.State()
	if old := state.quarantine(q.Parts); old != nil && !q.Supersedes(old) {
		return nil
	}
	command, err := proto.Marshal(putQuarantine(q))
	if err != nil {
		return err
	}
	if err := s.Commit(ctx, command); err != nil {
		return err
	}
	s.logger.Info().Strs("parts", q.Parts).Int("times", q.Times).Bool("lifted", q.Lifted).Time("until", q.Until).Msg("quarantine replicated")
	return nil
}

// forgetQuarantines removes the records of no use any more, at the leader.
func (s *Server) forgetQuarantines(ctx context.Context) {
	if !s.leads() {
		return
	}
	state, _ := s.machine.State()
	var changes []*api.FleetChange
	for i := range state.Quarantines {
		if q := &state.Quarantines[i]; s.now().After(q.ForgottenAt()) {
			changes = append(changes, &api.FleetChange{Change: &api.FleetChange_RemoveQuarantine{RemoveQuarantine: quarantineToProto(q)}})
		}
	}
	s.commits.start(ctx, changes)
}

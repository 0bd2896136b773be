package agreement

import (
	"errors"

	"google.golang.org/protobuf/proto"

	"github.com/endivetrack/endivetrack/api"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
)

// storage persists the log. Calls return once the data is durable.
type storage interface {
	Append(wal.HardState, []wal.Entry) error
	Reset(s wal.HardState, prevIndex, prevTerm uint64, entries []wal.Entry) error
	Compact(index uint64) error
	SaveSnapshot(wal.Snapshot) error
	Close() error
}

// noStorage is the storage of a diskless learner. It persists nothing.
type noStorage struct{}

func (noStorage) Append(wal.HardState, []wal.Entry) error                { return nil }
func (noStorage) Reset(wal.HardState, uint64, uint64, []wal.Entry) error { return nil }
func (noStorage) Compact(uint64) error                                   { return nil }
func (noStorage) SaveSnapshot(wal.Snapshot) error                        { return nil }
func (noStorage) Close() error                                           { return nil }

// openStorage opens a data directory and loads the node's identity from it. A
// directory without an identity gets a new incarnation, which is synced before
// it is used.
func openStorage(dir string, o wal.Options, self Member, newIncarnation func() string) (storage, wal.State, Member, error) {
	if dir == "" {
		self.Incarnation, self.Diskless = newIncarnation(), true
		return noStorage{}, wal.State{}, self, nil
	}
	log, state, err := wal.Open(dir, o)
	if err != nil {
		return nil, wal.State{}, self, err
	}
	self, err = loadIdentity(log, self, newIncarnation)
	if err != nil {
		return nil, wal.State{}, self, errors.Join(err, log.Close())
	}
	return log, state, self, nil
}

func loadIdentity(log *wal.Log, self Member, newIncarnation func() string) (Member, error) {
	data, err := log.LoadIdentity()
	if errors.Is(err, wal.ErrNoIdentity) {
		self.Incarnation = newIncarnation()
		data, err = proto.Marshal(&api.AgreementMember{Name: self.Name, Incarnation: self.Incarnation})
		if err != nil {
			return self, err
		}
		return self, log.SaveIdentity(data)
	}
	if err != nil {
		return self, err
	}
	var stored api.AgreementMember
	if err := proto.Unmarshal(data, &stored); err != nil || stored.GetIncarnation() == "" {
		return self, resultcode.Newf(resultcode.LogCorrupt, "cannot decode the stored identity")
	}
	if stored.GetName() != self.Name {
		return self, resultcode.Newf(resultcode.IdentityMismatch, "the data directory belongs to %q, not to %q", stored.GetName(), self.Name)
	}
	self.Incarnation = stored.GetIncarnation()
	return self, nil
}

// replica connects the protocol core with its storage.
type replica struct {
	core  *core
	store storage
}

// flushResult is the output of flush that the caller must process.
type flushResult struct {
	receivedSnapshot *wal.Snapshot
	events           []event
	reads            []readResult
}

// flush processes the core's output until there is no more. Nothing that depends
// on durable state is sent or returned before that state is durable.
func (r *replica) flush(send func(Message)) (flushResult, error) {
	var result flushResult
	for {
		out := r.core.takeOutput()
		if r.core.violation != nil {
			return result, r.core.violation
		}
		for _, m := range out.immediate {
			send(m)
		}
		persisted, err := r.persist(out)
		if err != nil {
			return result, err
		}
		if persisted {
			r.core.onPersisted()
		}
		for _, m := range out.afterPersist {
			send(m)
		}
		result.events, result.reads = append(result.events, out.events...), append(result.reads, out.reads...)
		if out.receivedSnapshot != nil {
			result.receivedSnapshot = out.receivedSnapshot
		}
		if !persisted && len(out.immediate)+len(out.afterPersist) == 0 {
			return result, r.core.violation
		}
	}
}

// persist makes the hard state, new entries and a received snapshot durable. It
// reports whether there was anything to persist.
func (r *replica) persist(out output) (bool, error) {
	if s := out.receivedSnapshot; s != nil {
		if err := r.store.SaveSnapshot(*s); err != nil {
			return false, err
		}
		return true, r.store.Reset(r.core.state, s.Index, s.Term, out.entries)
	}
	if !out.stateChanged && len(out.entries) == 0 {
		return false, nil
	}
	return true, r.store.Append(r.core.state, out.entries)
}

package agreement

import (
	"errors"

	"github.com/endivetrack/endivetrack/internal/wal"
)

// task is one piece of work for the goroutine that drives the state machine.
type task struct {
	restore  *wal.Snapshot
	entries  []wal.Entry
	snapshot *wal.Snapshot // index, term and membership to take a snapshot at
}

// taskResult is what became of a task.
type taskResult struct {
	applied  uint64
	results  []applyResult
	snapshot *wal.Snapshot // durable
	// snapshotErr means that no snapshot could be taken; the log stays longer.
	snapshotErr error
	err         error
}

type applyResult struct {
	index, term uint64
	result      any
}

// applier hands committed entries to the state machine, one task at a time.
type applier struct {
	machine StateMachine
	store   storage
	applied uint64
}

func (a *applier) run(t task) taskResult {
	r := taskResult{}
	switch {
	case t.restore != nil:
		r.err = a.machine.Restore(t.restore.Data)
		a.applied = t.restore.Index
	case t.snapshot != nil:
		r.snapshot, r.snapshotErr, r.err = a.snapshot(*t.snapshot)
	}
	for _, e := range t.entries {
		ar := applyResult{index: e.Index, term: e.Term}
		if e.Type == wal.EntryCommand {
			ar.result = a.machine.Apply(e.Index, e.Data)
		}
		r.results = append(r.results, ar)
		a.applied = e.Index
	}
	r.applied = a.applied
	return r
}

func (a *applier) snapshot(s wal.Snapshot) (saved *wal.Snapshot, refused, failed error) {
	var err error
	if s.Data, err = a.machine.Snapshot(); err != nil {
		return nil, err, nil
	}
	err = a.store.SaveSnapshot(s)
	switch {
	case errors.Is(err, wal.ErrSnapshotTooLarge):
		return nil, err, nil
	case err != nil:
		return nil, nil, err
	}
	return &s, nil, nil
}

// schedule decides what the state machine does next.
type schedule struct {
	handed     uint64 // entries up to here were handed over
	busy       bool
	restore    *wal.Snapshot
	sinceCount uint64 // entries and bytes applied since the last snapshot
	sinceBytes int
	maxCount   uint64
	maxBytes   int
}

// installed notes a snapshot received from the leader.
func (s *schedule) installed(snapshot *wal.Snapshot) { s.restore = snapshot }

// next returns the next task, if there is one and none runs.
func (s *schedule) next(c *core) (task, bool) {
	switch {
	case s.busy:
		return task{}, false
	case s.restore != nil:
		t := task{restore: s.restore}
		s.handed, s.restore = s.restore.Index, nil
		s.sinceCount, s.sinceBytes = 0, 0
		s.busy = true
		return t, true
	case s.handed > c.snapshot.Index && (s.sinceCount >= s.maxCount || s.sinceBytes >= s.maxBytes):
		return s.takeSnapshot(c)
	case s.handed < c.commit:
		return s.apply(c)
	}
	return task{}, false
}

func (s *schedule) takeSnapshot(c *core) (task, bool) {
	members, err := c.membershipAt(s.handed).encode()
	if err != nil {
		c.violated("membership does not encode: %v", err)
		return task{}, false
	}
	s.sinceCount, s.sinceBytes = 0, 0
	s.busy = true
	return task{snapshot: &wal.Snapshot{Index: s.handed, Term: c.log.term(s.handed), Membership: members}}, true
}

func (s *schedule) apply(c *core) (task, bool) {
	entries := c.log.from(s.handed+1, applyBatchBytes)
	if over := s.handed + uint64(len(entries)); over > c.commit {
		entries = entries[:uint64(len(entries))-(over-c.commit)]
	}
	if len(entries) == 0 {
		c.violated("committed entry %d is not in the log", s.handed+1)
		return task{}, false
	}
	s.handed += uint64(len(entries))
	s.sinceCount += uint64(len(entries))
	for _, e := range entries {
		s.sinceBytes += len(e.Data)
	}
	s.busy = true
	return task{entries: entries}, true
}

package agreement

import (
	"errors"

	"github.com/endivetrack/endivetrack/internal/wal"
)

// task is one unit of work for the applier: restoring a snapshot, applying
// entries or taking a snapshot.
type task struct {
	restore  *wal.Snapshot
	entries  []wal.Entry
	snapshot *wal.Snapshot // snapshot to take: its index, term and membership, but no data
}

// taskResult is the outcome of a task. A snapshotErr lets the node continue, an
// err stops it.
type taskResult struct {
	applied  uint64
	results  []applyResult
	snapshot *wal.Snapshot // snapshot that the task took, already durable; nil if it took none
	// snapshotErr is why no snapshot could be taken; the log is then not shortened.
	snapshotErr error
	err         error
}

type applyResult struct {
	index, term uint64
	result      any
}

// applier runs the state machine's tasks, one at a time. It applies only committed
// entries.
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
		r.snapshot, r.snapshotErr, r.err = a.takeSnapshot(*t.snapshot)
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

func (a *applier) takeSnapshot(s wal.Snapshot) (saved *wal.Snapshot, snapshotErr, fatalErr error) {
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

// schedule decides which task the applier runs next.
type schedule struct {
	scheduledIndex       uint64 // highest log index passed to the applier
	busy                 bool
	restore              *wal.Snapshot
	entriesSinceSnapshot uint64 // number and total bytes of the entries passed to the applier since the last snapshot
	bytesSinceSnapshot   int
	snapshotEntries      uint64
	snapshotBytes        int
}

// scheduleRestore makes the next task restore a snapshot received from the
// leader.
func (s *schedule) scheduleRestore(snapshot *wal.Snapshot) { s.restore = snapshot }

// next returns the next task. It returns false if a task is still running or
// there is nothing to do.
func (s *schedule) next(c *core) (task, bool) {
	switch {
	case s.busy:
		return task{}, false
	case s.restore != nil:
		t := task{restore: s.restore}
		s.scheduledIndex, s.restore = s.restore.Index, nil
		s.entriesSinceSnapshot, s.bytesSinceSnapshot = 0, 0
		s.busy = true
		return t, true
	case s.scheduledIndex > c.snapshot.Index && (s.entriesSinceSnapshot >= s.snapshotEntries || s.bytesSinceSnapshot >= s.snapshotBytes):
		return s.snapshotTask(c)
	case s.scheduledIndex < c.commit:
		return s.applyTask(c)
	}
	return task{}, false
}

func (s *schedule) snapshotTask(c *core) (task, bool) {
	members, err := c.membershipAt(s.scheduledIndex).encode()
	if err != nil {
		c.setViolation("cannot encode membership: %v", err)
		return task{}, false
	}
	s.entriesSinceSnapshot, s.bytesSinceSnapshot = 0, 0
	s.busy = true
	return task{snapshot: &wal.Snapshot{Index: s.scheduledIndex, Term: c.log.term(s.scheduledIndex), Membership: members}}, true
}

func (s *schedule) applyTask(c *core) (task, bool) {
	entries := c.log.entriesFrom(s.scheduledIndex+1, applyBatchBytes)
	if end := s.scheduledIndex + uint64(len(entries)); end > c.commit {
		entries = entries[:uint64(len(entries))-(end-c.commit)]
	}
	if len(entries) == 0 {
		c.setViolation("committed entry %d is not in the log", s.scheduledIndex+1)
		return task{}, false
	}
	s.scheduledIndex += uint64(len(entries))
	s.entriesSinceSnapshot += uint64(len(entries))
	for _, e := range entries {
		s.bytesSinceSnapshot += len(e.Data)
	}
	s.busy = true
	return task{entries: entries}, true
}

package wal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/endivetrack/endivetrack/internal/faultpoint"
	"github.com/endivetrack/endivetrack/internal/resultcode"
	"github.com/endivetrack/endivetrack/internal/wal"
	"github.com/endivetrack/endivetrack/internal/wal/waltest"
)

// expectedState is what a log may contain after a crash: the acknowledged state,
// or the state after the last operation, which was attempted but may not have
// been acknowledged.
type expectedState struct {
	acknowledged, attempted       []wal.Entry
	hardState, attemptedHardState wal.HardState
	snapshotIndex                 uint64
}

// append sets the attempted state to the one that the log must contain after an
// Append of the hard state s and the entries e.
func (m *expectedState) append(s wal.HardState, e []wal.Entry) {
	m.attemptedHardState = s
	m.attempted = append([]wal.Entry(nil), m.acknowledged...)
	if len(e) > 0 {
		m.attempted = append(m.attempted[:e[0].Index-1], e...)
	}
}

// acknowledge records that the last Append succeeded.
func (m *expectedState) acknowledge() {
	m.acknowledged, m.hardState = m.attempted, m.attemptedHardState
}

var crashPoints = []faultpoint.Point{
	wal.PointBeforeWrite, wal.PointBeforeSync, wal.PointAfterSync, wal.PointBeforeSegmentRename, wal.PointAfterSegmentRename,
	wal.PointBeforeSegmentRemove, wal.PointAfterSegmentRemove, wal.PointBeforeSnapshotRename, wal.PointAfterSnapshotRename,
}

// Guards against losing acknowledged data in crashes after any number of steps, with
// torn writes, lost creations, renames and removals, failed syncs and a full disk;
// and against a directory that cannot be opened afterwards.
func TestCrashKeepsAcknowledgedData(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		fs, m := waltest.NewMemFS(), &expectedState{}
		for range rapid.IntRange(1, 6).Draw(rt, "lives") {
			stepsToFault := rng.IntN(60)
			runUntilFault(rt, rng, fs, m, func(faultpoint.Point) bool {
				stepsToFault--
				return stepsToFault == 0
			})
			crash(rng, fs)
		}
		checkOpens(rt, fs, m)
	})
}

// Guards against a fault point at which a crash loses acknowledged data and that the
// random crashes of TestCrashKeepsAcknowledgedData seldom or never meet.
func TestCrashAtEachFaultPointKeepsAcknowledgedData(t *testing.T) {
	const seeds = 50
	for _, point := range crashPoints {
		t.Run(string(point), func(t *testing.T) {
			crashes := 0
			for seed := range uint64(seeds) {
				rng := rand.New(rand.NewPCG(seed, 0))
				fs, m := waltest.NewMemFS(), &expectedState{}
				passesToFault := 1 + rng.IntN(3)
				runUntilFault(t, rng, fs, m, func(p faultpoint.Point) bool {
					if p != point {
						return false
					}
					passesToFault--
					if passesToFault == 0 {
						crashes++
					}
					return passesToFault == 0
				})
				crash(rng, fs)
				checkOpens(t, fs, m)
			}
			assert.Assert(t, crashes > 0, "no crash at %s in %d seeds", point, seeds)
		})
	}
}

// crash loses what was not synced, and ends the faults of the disk.
func crash(rng *rand.Rand, fs *waltest.MemFS) {
	fs.Crash(rng)
	fs.FreeBytes, fs.FailSyncs = -1, false
}

// checkOpens asserts that the log can be opened and holds the expected state.
func checkOpens(t assert.TestingT, fs *waltest.MemFS, m *expectedState) {
	l, s, err := wal.Open("d", wal.Options{FS: fs})
	assert.NilError(t, err)
	checkState(t, s, m)
	assert.NilError(t, l.Close())
}

// runUntilFault simulates one process that uses the file system until the first fault
// point for which isFault returns true, a disk error or its last operation.
func runUntilFault(t assert.TestingT, rng *rand.Rand, fs *waltest.MemFS, m *expectedState, isFault func(faultpoint.Point) bool) {
	faultpoint.SetHook(func(p faultpoint.Point) error {
		if isFault(p) {
			return errors.New("injected")
		}
		return nil
	})
	defer faultpoint.SetHook(nil)
	l, s, err := wal.Open("d", wal.Options{FS: fs, SegmentBytes: 300})
	if err != nil {
		requireDiskFailed(t, err)
		return
	}
	checkState(t, s, m)
	m.attempted, m.attemptedHardState = nil, s.HardState
	m.acknowledged, m.hardState = fullHistory(m, s), s.HardState
	switch rng.IntN(6) {
	case 0:
		fs.FreeBytes = int64(rng.IntN(1500))
	case 1:
		defer func() { fs.FailSyncs = false }()
	}
	for step := range 40 {
		if step == 20 && rng.IntN(6) == 0 {
			fs.FailSyncs = true
		}
		if err := randomOperation(rng, l, m); err != nil {
			requireDiskFailed(t, err)
			requireDiskFailed(t, l.Append(m.hardState, nil))
			return
		}
	}
}

// fullHistory returns all entries from index 1. The log itself may start later,
// since a snapshot covers its first entries.
func fullHistory(m *expectedState, s wal.State) []wal.Entry {
	out := append([]wal.Entry(nil), m.acknowledged[:min(int(s.PrevIndex), len(m.acknowledged))]...)
	return append(out, s.Entries...)
}

// randomOperation saves a snapshot and compacts the log, or appends up to 3
// entries, which may replace existing ones.
func randomOperation(rng *rand.Rand, l *wal.Log, m *expectedState) error {
	last := uint64(len(m.acknowledged))
	if last > m.snapshotIndex+5 && rng.IntN(8) == 0 {
		index := m.snapshotIndex + 1 + uint64(rng.IntN(int(last-m.snapshotIndex)))
		s := wal.Snapshot{Index: index, Term: m.acknowledged[index-1].Term, Data: fmt.Appendf(nil, "state at %d", index)}
		if err := l.SaveSnapshot(s); err != nil {
			return err
		}
		m.snapshotIndex = index
		return l.Compact(index)
	}
	first := last + 1
	if last > m.snapshotIndex && rng.IntN(5) == 0 {
		first = m.snapshotIndex + 1 + uint64(rng.IntN(int(last-m.snapshotIndex)))
	}
	state := wal.HardState{Term: m.hardState.Term + 1, Vote: "v"}
	var e []wal.Entry
	for i := range uint64(rng.IntN(4)) {
		e = append(e, wal.Entry{Index: first + i, Term: state.Term, Type: wal.EntryCommand, Data: fmt.Appendf(nil, "%d/%d", first+i, state.Term)})
	}
	m.append(state, e)
	if err := l.Append(state, e); err != nil {
		return err
	}
	m.acknowledge()
	return nil
}

// checkState asserts that a directory's content is the acknowledged or the
// attempted state.
func checkState(t assert.TestingT, s wal.State, m *expectedState) {
	matches := func(state wal.HardState, e []wal.Entry) bool {
		if s.HardState != state || s.PrevIndex > uint64(len(e)) || len(s.Entries) != len(e)-int(s.PrevIndex) {
			return false
		}
		for i, x := range s.Entries {
			if string(x.Data) != string(e[int(s.PrevIndex)+i].Data) {
				return false
			}
		}
		return true
	}
	assert.Assert(t, matches(m.hardState, m.acknowledged) || matches(m.attemptedHardState, m.attempted),
		"state %+v, acknowledged %+v %d entries, attempted %+v %d entries", s, m.hardState, len(m.acknowledged), m.attemptedHardState, len(m.attempted))
	assert.Assert(t, s.Snapshot.Index >= m.snapshotIndex, "snapshot %d was acknowledged, %d found", m.snapshotIndex, s.Snapshot.Index)
	m.snapshotIndex = s.Snapshot.Index
}

func requireDiskFailed(t assert.TestingT, err error) {
	var e *resultcode.Error
	assert.Assert(t, errors.As(err, &e) && e.Code == resultcode.DiskFailed, "%v", err)
}

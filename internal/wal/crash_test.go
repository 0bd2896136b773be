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

// model is what a log must hold: what was acknowledged, and what was written
// last without an acknowledgement.
type model struct {
	acknowledged, attempted []wal.Entry
	state, attemptedState   wal.HardState
	snapshot                uint64
}

func (m *model) append(s wal.HardState, e []wal.Entry) {
	m.attemptedState = s
	m.attempted = append([]wal.Entry(nil), m.acknowledged...)
	if len(e) > 0 {
		m.attempted = append(m.attempted[:e[0].Index-1], e...)
	}
}

func (m *model) confirm() { m.acknowledged, m.state = m.attempted, m.attemptedState }

// Guards against acknowledged data that a crash loses, at any fault point, with
// torn writes, lost name operations, failed syncs and a full disk; and against
// a folder that cannot be opened afterwards.
func TestCrashKeepsAcknowledgedData(t *testing.T) {
	defer faultpoint.Set(nil)
	reached := map[faultpoint.Point]bool{}
	rapid.Check(t, func(rt *rapid.T) {
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(rt, "seed"), 0))
		fs, m := waltest.NewMemFS(), &model{}
		for range rapid.IntRange(1, 6).Draw(rt, "lives") {
			live(rt, rng, fs, m, reached)
			fs.Crash(rng)
			fs.Free, fs.FailSyncs = -1, false
		}
		l, s, err := wal.Open("d", wal.Options{FS: fs})
		assert.NilError(rt, err)
		check(rt, s, m)
		assert.NilError(rt, l.Close())
	})
	for _, p := range []faultpoint.Point{
		wal.PointBeforeWrite, wal.PointBeforeSync, wal.PointAfterSync, wal.PointBeforeSegmentRename, wal.PointAfterSegmentRename,
		wal.PointBeforeSegmentRemove, wal.PointAfterSegmentRemove, wal.PointBeforeSnapshotRename, wal.PointAfterSnapshotRename,
	} {
		assert.Assert(t, reached[p], "no crash at %s", p)
	}
}

// live runs one process on the disk until a fault ends it.
func live(t *rapid.T, rng *rand.Rand, fs *waltest.MemFS, m *model, reached map[faultpoint.Point]bool) {
	left := rng.IntN(60)
	faultpoint.Set(func(p faultpoint.Point) error {
		if left--; left == 0 {
			reached[p] = true
			return errors.New("injected")
		}
		return nil
	})
	defer faultpoint.Set(nil)
	l, s, err := wal.Open("d", wal.Options{FS: fs, SegmentBytes: 300})
	if err != nil {
		requireDiskFailed(t, err)
		return
	}
	check(t, s, m)
	m.attempted, m.attemptedState = nil, s.HardState
	m.acknowledged, m.state = rebuild(m, s), s.HardState
	switch rng.IntN(6) {
	case 0:
		fs.Free = int64(rng.IntN(1500))
	case 1:
		defer func() { fs.FailSyncs = false }()
	}
	for step := range 40 {
		if step == 20 && rng.IntN(6) == 0 {
			fs.FailSyncs = true
		}
		if err := one(rng, l, m); err != nil {
			requireDiskFailed(t, err)
			requireDiskFailed(t, l.Append(m.state, nil))
			return
		}
	}
}

// rebuild returns the whole history, since the log itself starts behind a
// snapshot.
func rebuild(m *model, s wal.State) []wal.Entry {
	out := append([]wal.Entry(nil), m.acknowledged[:min(int(s.PrevIndex), len(m.acknowledged))]...)
	return append(out, s.Entries...)
}

// one carries out a random operation.
func one(rng *rand.Rand, l *wal.Log, m *model) error {
	last := uint64(len(m.acknowledged))
	if last > m.snapshot+5 && rng.IntN(8) == 0 {
		index := m.snapshot + 1 + uint64(rng.IntN(int(last-m.snapshot)))
		s := wal.Snapshot{Index: index, Term: m.acknowledged[index-1].Term, Data: fmt.Appendf(nil, "state at %d", index)}
		if err := l.SaveSnapshot(s); err != nil {
			return err
		}
		m.snapshot = index
		return l.Compact(index)
	}
	first := last + 1
	if last > m.snapshot && rng.IntN(5) == 0 {
		first = m.snapshot + 1 + uint64(rng.IntN(int(last-m.snapshot)))
	}
	state := wal.HardState{Term: m.state.Term + 1, Vote: "v"}
	var e []wal.Entry
	for i := range uint64(rng.IntN(4)) {
		e = append(e, wal.Entry{Index: first + i, Term: state.Term, Type: wal.EntryCommand, Data: fmt.Appendf(nil, "%d/%d", first+i, state.Term)})
	}
	m.append(state, e)
	if err := l.Append(state, e); err != nil {
		return err
	}
	m.confirm()
	return nil
}

// check compares what a folder holds with the two states it may hold.
func check(t *rapid.T, s wal.State, m *model) {
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
	assert.Assert(t, matches(m.state, m.acknowledged) || matches(m.attemptedState, m.attempted),
		"state %+v, acknowledged %+v %d entries, attempted %+v %d entries", s, m.state, len(m.acknowledged), m.attemptedState, len(m.attempted))
	assert.Assert(t, s.Snapshot.Index >= m.snapshot, "snapshot %d was acknowledged, %d found", m.snapshot, s.Snapshot.Index)
	m.snapshot = s.Snapshot.Index
}

func requireDiskFailed(t *rapid.T, err error) {
	var e *resultcode.Error
	assert.Assert(t, errors.As(err, &e) && e.Code == resultcode.DiskFailed, "%v", err)
}

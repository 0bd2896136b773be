// Package waltest has an in-memory file system for tests that loses what was
// not synced, tears writes and fails on request.
package waltest

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"

	"github.com/endivetrack/endivetrack/internal/wal"
)

// Errors that MemFS returns on request.
var (
	ErrFull       = errors.New("no space left on device")
	ErrSyncFailed = errors.New("input/output error")
)

// MemFS is a file system in memory.
type MemFS struct {
	mu sync.Mutex
	// names maps what the running process sees, durable what survives a crash
	// for certain. Operations on names since the last SyncDir are in pending.
	names, durable map[string]*inode
	pending        []func(map[string]*inode)
	locked         map[string]bool

	// Free is the number of bytes that can still be written; negative: no
	// limit.
	Free int64
	// FailSyncs makes every sync fail; the data stays visible but is lost in a
	// crash.
	FailSyncs bool
	// IgnoreSyncs makes every sync succeed without effect, as a disk that lies.
	IgnoreSyncs bool
}

// inode is a file's content.
type inode struct {
	data   []byte
	synced []byte // content that survives a crash for certain
}

// NewMemFS returns an empty file system without faults.
func NewMemFS() *MemFS {
	return &MemFS{names: map[string]*inode{}, durable: map[string]*inode{}, locked: map[string]bool{}, Free: -1}
}

// Crash ends the process that uses the file system: locks are released, and
// unsynced data and name operations are lost from a random point on. What
// remains of unsynced data may be damaged.
func (m *MemFS) Crash(rng *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, op := range m.pending[:rng.IntN(len(m.pending)+1)] {
		op(m.durable)
	}
	m.pending = nil
	m.names = maps.Clone(m.durable)
	// Sorted, so that a seed always gives the same result.
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		m.names[name].crash(rng)
	}
	clear(m.locked)
}

// crash keeps the synced content and a random, possibly damaged part of what
// was appended after it.
func (f *inode) crash(rng *rand.Rand) {
	if tail := len(f.data) - len(f.synced); tail > 0 {
		kept := append([]byte(nil), f.data[:len(f.synced)+rng.IntN(tail+1)]...)
		if unsynced := kept[len(f.synced):]; len(unsynced) > 0 && rng.IntN(2) == 0 {
			unsynced[rng.IntN(len(unsynced))] ^= byte(1 + rng.IntN(255))
		}
		f.data = kept
	} else {
		f.data = slices.Clone(f.synced)
	}
	f.synced = slices.Clone(f.data)
}

// Close releases the locks of a process that ended in an orderly way.
func (m *MemFS) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.locked)
}

// Corrupt flips a bit of a file.
func (m *MemFS) Corrupt(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.names[filepath.Clean(name)]
	f.data[offset] ^= 1
	f.synced = slices.Clone(f.data)
}

// Bytes returns the size of all files.
func (m *MemFS) Bytes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, f := range m.names {
		n += len(f.data)
	}
	return n
}

// MkdirAll does nothing: folders are implied by names.
func (m *MemFS) MkdirAll(string) error { return nil }

// Lock claims name until the result is closed or the process crashes.
func (m *MemFS) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked[name] {
		return nil, fmt.Errorf("%s is locked", name)
	}
	m.locked[name] = true
	return unlocker{m, name}, nil
}

type unlocker struct {
	m    *MemFS
	name string
}

// Close releases the lock.
func (u unlocker) Close() error {
	u.m.mu.Lock()
	defer u.m.mu.Unlock()
	delete(u.m.locked, u.name)
	return nil
}

// change carries out an operation on names that a crash may undo.
func (m *MemFS) change(op func(map[string]*inode)) {
	op(m.names)
	m.pending = append(m.pending, op)
}

// Create makes an empty file.
func (m *MemFS) Create(name string) (wal.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.Free == 0 {
		return nil, ErrFull
	}
	f := &inode{}
	m.change(func(names map[string]*inode) { names[filepath.Clean(name)] = f })
	return &file{m: m, node: f}, nil
}

// ReadFile returns a file's content.
func (m *MemFS) ReadFile(name string, limit int64) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.names[filepath.Clean(name)]
	if !ok {
		return nil, fs.ErrNotExist
	}
	if int64(len(f.data)) > limit {
		return nil, fmt.Errorf("%s exceeds the limit", name)
	}
	return slices.Clone(f.data), nil
}

// ReadDir lists the files of a folder.
func (m *MemFS) ReadDir(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name := range m.names {
		if filepath.Dir(name) == filepath.Clean(dir) {
			out = append(out, filepath.Base(name))
		}
	}
	slices.Sort(out)
	return out, nil
}

// Rename moves a file over another.
func (m *MemFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	from, to = filepath.Clean(from), filepath.Clean(to)
	if _, ok := m.names[from]; !ok {
		return fs.ErrNotExist
	}
	m.change(func(names map[string]*inode) {
		if f, ok := names[from]; ok {
			names[to] = f
			delete(names, from)
		}
	})
	return nil
}

// Remove deletes a file.
func (m *MemFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.names[filepath.Clean(name)]; !ok {
		return fs.ErrNotExist
	}
	m.change(func(names map[string]*inode) { delete(names, filepath.Clean(name)) })
	return nil
}

// SyncDir makes all operations on names durable.
func (m *MemFS) SyncDir(string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.FailSyncs {
		return ErrSyncFailed
	}
	if m.IgnoreSyncs {
		return nil
	}
	m.durable, m.pending = maps.Clone(m.names), nil
	return nil
}

// file is an open file.
type file struct {
	m    *MemFS
	node *inode
}

// Write appends as much as fits.
func (f *file) Write(p []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	n := len(p)
	if f.m.Free >= 0 {
		n = int(min(int64(n), f.m.Free))
		f.m.Free -= int64(n)
	}
	f.node.data = append(f.node.data, p[:n]...)
	if n < len(p) {
		return n, ErrFull
	}
	return n, nil
}

// Sync makes the content durable.
func (f *file) Sync() error {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	if f.m.FailSyncs {
		return ErrSyncFailed
	}
	if !f.m.IgnoreSyncs {
		f.node.synced = slices.Clone(f.node.data)
	}
	return nil
}

// Close does nothing: only Sync makes content durable.
func (f *file) Close() error { return nil }

// SetFree sets Free while the file system is in use.
func (m *MemFS) SetFree(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.Free = n
}

// SetFailSyncs sets FailSyncs while the file system is in use.
func (m *MemFS) SetFailSyncs(fail bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.FailSyncs = fail
}

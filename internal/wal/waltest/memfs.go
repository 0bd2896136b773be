// Package waltest provides an in-memory wal.FS for tests. It can simulate crashes
// with torn writes and lost unsynced data, failed syncs and a full disk.
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

// Errors returned by MemFS for simulated faults.
var (
	ErrFull       = errors.New("no space left on device")
	ErrSyncFailed = errors.New("input/output error")
)

// MemFS is an in-memory wal.FS. Set its exported fields directly only while no
// other goroutine uses it.
type MemFS struct {
	mu sync.Mutex
	// visible holds the files that the process sees, durable those certain to
	// survive a crash. pendingOps are the creations, renames and removals since the last SyncDir.
	visible, durable map[string]*inode
	pendingOps       []func(map[string]*inode)
	locked           map[string]bool

	// FreeBytes is the number of bytes that can still be written; a negative value
	// means no limit.
	FreeBytes int64
	// FailSyncs makes every sync fail: the data remains visible but may be lost
	// in a crash.
	FailSyncs bool
	// IgnoreSyncs makes every sync return success without making data durable, like a disk that reports false success.
	IgnoreSyncs bool
}

// inode is the content of a file: data as the process sees it, synced as on disk.
type inode struct {
	data   []byte
	synced []byte // content that is certain to survive a crash
}

// NewMemFS returns an empty file system without faults.
func NewMemFS() *MemFS {
	return &MemFS{visible: map[string]*inode{}, durable: map[string]*inode{}, locked: map[string]bool{}, FreeBytes: -1}
}

// Crash simulates a crash. It releases all locks. Of the creations, renames and
// removals since the last SyncDir, it undoes those after a random one. Of each
// file's unsynced data, it keeps a random prefix, in which a byte may be damaged.
func (m *MemFS) Crash(rng *rand.Rand) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, op := range m.pendingOps[:rng.IntN(len(m.pendingOps)+1)] {
		op(m.durable)
	}
	m.pendingOps = nil
	m.visible = maps.Clone(m.durable)
	// The names are sorted so that the result depends only on the seed.
	for _, name := range slices.Sorted(maps.Keys(m.visible)) {
		m.visible[name].crash(rng)
	}
	clear(m.locked)
}

// crash keeps the synced content and a random prefix of the unsynced data, in
// which a byte may be damaged.
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

// Close releases all locks, as an orderly end of the process does.
func (m *MemFS) Close() {
	m.mu.Lock()
	defer m.mu.Unlock()
	clear(m.locked)
}

// Corrupt durably flips one bit of the byte at offset in a file.
func (m *MemFS) Corrupt(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f := m.visible[filepath.Clean(name)]
	f.data[offset] ^= 1
	f.synced = slices.Clone(f.data)
}

// Bytes returns the total size of all visible files.
func (m *MemFS) Bytes() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 0
	for _, f := range m.visible {
		n += len(f.data)
	}
	return n
}

// MkdirAll does nothing: directories are implied by file names.
func (m *MemFS) MkdirAll(string) error { return nil }

// Lock locks name until the result is closed or Crash or Close is called.
func (m *MemFS) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked[name] {
		return nil, fmt.Errorf("%s is locked", name)
	}
	m.locked[name] = true
	return memLock{m, name}, nil
}

type memLock struct {
	m    *MemFS
	name string
}

// Close releases the lock.
func (l memLock) Close() error {
	l.m.mu.Lock()
	defer l.m.mu.Unlock()
	delete(l.m.locked, l.name)
	return nil
}

// applyNameOp applies a name operation: a creation, rename or removal. Until the next
// SyncDir, a crash may undo it. The caller must hold mu.
func (m *MemFS) applyNameOp(op func(map[string]*inode)) {
	op(m.visible)
	m.pendingOps = append(m.pendingOps, op)
}

// Create makes an empty file. It fails with ErrFull if no bytes are free.
func (m *MemFS) Create(name string) (wal.File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.FreeBytes == 0 {
		return nil, ErrFull
	}
	f := &inode{}
	m.applyNameOp(func(names map[string]*inode) { names[filepath.Clean(name)] = f })
	return &openFile{m: m, node: f}, nil
}

// ReadFile returns a file's content and fails if it exceeds limit bytes.
func (m *MemFS) ReadFile(name string, limit int64) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.visible[filepath.Clean(name)]
	if !ok {
		return nil, fs.ErrNotExist
	}
	if int64(len(f.data)) > limit {
		return nil, fmt.Errorf("%s exceeds the limit", name)
	}
	return slices.Clone(f.data), nil
}

// ReadDir returns the names of the files in a directory, in ascending order.
func (m *MemFS) ReadDir(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []string
	for name := range m.visible {
		if filepath.Dir(name) == filepath.Clean(dir) {
			out = append(out, filepath.Base(name))
		}
	}
	slices.Sort(out)
	return out, nil
}

// Rename renames a file and replaces an existing one.
func (m *MemFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	from, to = filepath.Clean(from), filepath.Clean(to)
	if _, ok := m.visible[from]; !ok {
		return fs.ErrNotExist
	}
	m.applyNameOp(func(names map[string]*inode) {
		if f, ok := names[from]; ok {
			names[to] = f
			delete(names, from)
		}
	})
	return nil
}

// Remove deletes a file, or returns fs.ErrNotExist.
func (m *MemFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.visible[filepath.Clean(name)]; !ok {
		return fs.ErrNotExist
	}
	m.applyNameOp(func(names map[string]*inode) { delete(names, filepath.Clean(name)) })
	return nil
}

// SyncDir makes all creations, renames and removals durable, in all directories.
func (m *MemFS) SyncDir(string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.FailSyncs {
		return ErrSyncFailed
	}
	if m.IgnoreSyncs {
		return nil
	}
	m.durable, m.pendingOps = maps.Clone(m.visible), nil
	return nil
}

// openFile implements wal.File.
type openFile struct {
	m    *MemFS
	node *inode
}

// Write appends as much of p as fits and returns ErrFull if that is not all.
func (f *openFile) Write(p []byte) (int, error) {
	f.m.mu.Lock()
	defer f.m.mu.Unlock()
	n := len(p)
	if f.m.FreeBytes >= 0 {
		n = int(min(int64(n), f.m.FreeBytes))
		f.m.FreeBytes -= int64(n)
	}
	f.node.data = append(f.node.data, p[:n]...)
	if n < len(p) {
		return n, ErrFull
	}
	return n, nil
}

// Sync makes the content certain to survive a crash, unless FailSyncs or
// IgnoreSyncs is set.
func (f *openFile) Sync() error {
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
func (f *openFile) Close() error { return nil }

// SetFreeBytes sets FreeBytes; it may be called concurrently with other methods.
func (m *MemFS) SetFreeBytes(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.FreeBytes = n
}

// SetFailSyncs sets FailSyncs; it may be called concurrently with other methods.
func (m *MemFS) SetFailSyncs(fail bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.FailSyncs = fail
}

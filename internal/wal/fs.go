package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the set of file system operations that Log uses. Tests replace it to
// inject torn writes, lost unsynced data, failed syncs and full disks.
type FS interface {
	MkdirAll(dir string) error
	// Lock exclusively locks the directory's lock file until the result is closed.
	Lock(name string) (io.Closer, error)
	// Create opens a new, empty file for writing and replaces an existing one.
	Create(name string) (File, error)
	// ReadFile returns a file's content and fails if it exceeds limit bytes.
	ReadFile(name string, limit int64) ([]byte, error)
	// ReadDir returns the names of the files in dir, in ascending order.
	ReadDir(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals in dir durable.
	SyncDir(dir string) error
}

// File is a file open for writing. Written data is durable only after Sync.
type File interface {
	io.WriteCloser
	Sync() error
}

// OS implements FS with the operating system's file system.
type OS struct{}

// MkdirAll creates dir and missing parents, accessible to the owner only.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Lock acquires an exclusive advisory lock and fails if another process holds it:
// two processes that write the same log would both vote under one identity.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, errors.Join(fmt.Errorf("lock %s: %w", name, err), f.Close())
	}
	return f, nil
}

// Create opens a new, empty file for writing and replaces an existing one.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// ReadFile returns a file's content and fails if it exceeds limit bytes.
func (OS) ReadFile(name string, limit int64) ([]byte, error) {
	info, err := os.Stat(name)
	if err != nil {
		return nil, err
	}
	if info.Size() > limit {
		return nil, fmt.Errorf("%s has %d bytes, more than the limit of %d", name, info.Size(), limit)
	}
	return os.ReadFile(name)
}

// ReadDir returns the names of the files in dir, in ascending order.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Rename atomically renames from to to and replaces an existing file.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file; the removal is durable after SyncDir.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes creations, renames and removals in dir durable.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

package wal

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// FS is the part of a file system that the log uses. Tests replace it to
// inject torn writes, lost unsynced data, failed syncs and full disks.
type FS interface {
	MkdirAll(dir string) error
	// Lock claims the folder for this process until the result is closed.
	Lock(name string) (io.Closer, error)
	// Create makes an empty file for writing, replacing an existing one.
	Create(name string) (File, error)
	// ReadFile returns a whole file of at most limit bytes.
	ReadFile(name string, limit int64) ([]byte, error)
	// ReadDir returns the names of the files in dir, in ascending order.
	ReadDir(dir string) ([]string, error)
	Rename(from, to string) error
	Remove(name string) error
	// SyncDir makes creations, renames and removals in dir durable.
	SyncDir(dir string) error
}

// File is a file open for writing. Written data is durable after Sync.
type File interface {
	io.WriteCloser
	Sync() error
}

// OS is the file system of the operating system.
type OS struct{}

// MkdirAll creates dir with its parents.
func (OS) MkdirAll(dir string) error { return os.MkdirAll(dir, 0o700) }

// Lock takes an exclusive advisory lock: two processes that write the same
// log would both vote under one identity.
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

// Create makes an empty file.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// ReadFile reads a whole file.
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

// ReadDir lists the files of dir.
func (OS) ReadDir(dir string) ([]string, error) {
	entries, err := os.ReadDir(dir)
	names := make([]string, 0, len(entries))
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Rename replaces to by from atomically.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir syncs the folder itself.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

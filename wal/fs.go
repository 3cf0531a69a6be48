package wal

import (
	"io"
	"os"
	"path/filepath"

	"golang.org/x/sys/unix"

	"github.com/lilackeel/lilackeel/fault"
)

// FS is the part of a file system that the log uses. Tests implement it to
// inject faults.
type FS interface {
	// MkdirAll creates a directory and its parents.
	MkdirAll(path string) error
	// Lock acquires the exclusive lock at path, which is held until the closer is
	// closed.
	Lock(path string) (io.Closer, error)
	// Create opens a file for appending, which it creates or truncates.
	Create(path string) (File, error)
	// Append truncates an existing file to size and opens it for appending.
	Append(path string, size int64) (File, error)
	// Open opens an existing file for reading from its beginning.
	Open(path string) (io.ReadCloser, error)
	// ReadFile returns the content of a file; fs.ErrNotExist if there is none.
	ReadFile(path string) ([]byte, error)
	// Size returns the size of a file in bytes; fs.ErrNotExist if there is none.
	Size(path string) (int64, error)
	// List returns the names in a directory, sorted.
	List(path string) ([]string, error)
	// Rename moves the file at from to to, replacing any file there.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncDir makes the creations, renames and removals in a directory durable.
	SyncDir(path string) error
}

// File is an open file of an FS.
type File interface {
	io.Writer
	io.Closer
	// Sync makes everything written so far durable.
	Sync() error
}

// OS is the FS of the operating system.
type OS struct{}

const (
	dirMode  = 0o750
	fileMode = 0o640
)

// MkdirAll implements FS.
func (OS) MkdirAll(path string) error { return os.MkdirAll(path, dirMode) }

// Lock implements FS with flock, which the kernel releases however the process
// ends.
func (OS) Lock(path string) (io.Closer, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(file.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		file.Close()
		return nil, fault.Newf(fault.Conflict,
			"stop the other process or give this one its own data directory",
			"the data directory %s is in use by another process", filepath.Dir(path)).WithCause(err)
	}
	return file, nil
}

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append implements FS.
func (OS) Append(path string, size int64) (File, error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	if err := file.Truncate(size); err != nil {
		file.Close()
		return nil, err
	}
	return file, nil
}

// Open implements FS.
func (OS) Open(path string) (io.ReadCloser, error) { return os.Open(path) }

// ReadFile implements FS.
func (OS) ReadFile(path string) ([]byte, error) { return os.ReadFile(path) }

// Size implements FS.
func (OS) Size(path string) (int64, error) {
	info, err := os.Stat(path)
	if err != nil {
		return 0, err
	}
	return info.Size(), nil
}

// List implements FS.
func (OS) List(path string) ([]string, error) {
	entries, err := os.ReadDir(path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	if err := dir.Sync(); err != nil {
		dir.Close()
		return err
	}
	return dir.Close()
}

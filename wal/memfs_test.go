package wal

import (
	"bytes"
	"errors"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
)

var errInjected = errors.New("injected: no space left on device")

// memFS is an in-memory file system that fails at a chosen operation and loses
// unsynced data when it crashes.
type memFS struct {
	rand            *rand.Rand
	names           map[string]*memFile // as seen by processes
	durable         map[string]*memFile // as of the last SyncDir
	calls           int
	failAt          int      // number of the first operation that fails, as do all after it; 0 for none
	failedOperation string   // kind of the first operation that failed
	readWhole       []string // paths of the files that were read at once
	capacity        int      // size of the disk in bytes; zero if it is unlimited
}

type memFile struct {
	fs     *memFS
	data   []byte
	synced int
}

func newMemFS(seed uint64) *memFS {
	return &memFS{rand: rand.New(rand.NewPCG(seed, 1)), names: map[string]*memFile{}, durable: map[string]*memFile{}}
}

// injectFault counts an operation and returns an error if it is to fail.
func (m *memFS) injectFault(kind string) error {
	m.calls++
	if m.failAt == 0 || m.calls < m.failAt {
		return nil
	}
	if m.failedOperation == "" {
		m.failedOperation = kind
	}
	return errInjected
}

// crash keeps the synced data and a random part of the unsynced data.
func (m *memFS) crash() {
	m.failAt = 0
	visible := m.names
	m.names = map[string]*memFile{}
	for _, name := range slices.Sorted(maps.Keys(union(visible, m.durable))) {
		file := visible[name]
		if m.rand.IntN(2) == 0 {
			file = m.durable[name]
		}
		if file != nil {
			m.names[name] = file
		}
	}
	m.durable = maps.Clone(m.names)
	for _, name := range slices.Sorted(maps.Keys(m.names)) {
		file := m.names[name]
		file.data = file.data[:file.synced+m.rand.IntN(len(file.data)-file.synced+1)]
		file.synced = len(file.data)
	}
}

func union(a, b map[string]*memFile) map[string]*memFile {
	all := maps.Clone(a)
	maps.Copy(all, b)
	return all
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (m *memFS) Create(path string) (File, error) {
	if err := m.injectFault("create"); err != nil {
		return nil, err
	}
	m.names[path] = &memFile{fs: m}
	return m.names[path], nil
}

func (m *memFS) Append(path string, size int64) (File, error) {
	if err := m.injectFault("append"); err != nil {
		return nil, err
	}
	file := m.names[path]
	file.data = file.data[:size]
	file.synced = min(file.synced, int(size))
	return file, nil
}

func (m *memFS) Open(path string) (io.ReadCloser, error) {
	if file := m.names[path]; file != nil {
		return io.NopCloser(bytes.NewReader(file.data)), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) ReadFile(path string) ([]byte, error) {
	if file := m.names[path]; file != nil {
		m.readWhole = append(m.readWhole, path)
		return slices.Clone(file.data), nil
	}
	return nil, fs.ErrNotExist
}

func (m *memFS) Size(path string) (int64, error) {
	if file := m.names[path]; file != nil {
		return int64(len(file.data)), nil
	}
	return 0, fs.ErrNotExist
}

func (m *memFS) List(path string) ([]string, error) {
	var names []string
	for name := range m.names {
		names = append(names, strings.TrimPrefix(name, path+"/"))
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	if err := m.injectFault("rename"); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(path string) error {
	if err := m.injectFault("remove"); err != nil {
		return err
	}
	delete(m.names, path)
	return nil
}

func (m *memFS) SyncDir(string) error {
	if err := m.injectFault("sync directory"); err != nil {
		return err
	}
	m.durable = maps.Clone(m.names)
	return nil
}

// Write stores a part of the data if it fails, as on a full disk.
func (f *memFile) Write(data []byte) (int, error) {
	if err := f.fs.injectFault("write"); err != nil {
		count := f.fs.rand.IntN(len(data))
		f.data = append(f.data, data[:count]...)
		return count, err
	}
	free := len(data)
	if f.fs.capacity > 0 {
		free = max(0, min(free, f.fs.capacity-f.fs.used()))
	}
	f.data = append(f.data, data[:free]...)
	if free < len(data) {
		return free, syscall.ENOSPC
	}
	return len(data), nil
}

// used returns the size of all files in bytes.
func (m *memFS) used() int {
	used := 0
	for _, file := range m.names {
		used += len(file.data)
	}
	return used
}

func (f *memFile) Sync() error {
	if err := f.fs.injectFault("sync"); err != nil {
		return err
	}
	f.synced = len(f.data)
	return nil
}

func (f *memFile) Close() error { return nil }

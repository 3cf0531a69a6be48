package server

import (
	"bytes"
	"errors"
	"log/slog"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/wal"
)

// document is a state machine whose state is the last command.
type document struct{ data []byte }

func (d *document) Apply(_, _ uint64, data []byte) any {
	d.data = data
	return nil
}
func (d *document) Snapshot() ([]byte, error) { return d.data, nil }
func (d *document) Restore(data []byte) error {
	d.data = data
	return nil
}

// openDocument opens the only replica of a cluster.
func openDocument(t *testing.T, dir string, files wal.FS) (*Server, *document) {
	t.Helper()
	machine := &document{}
	s, err := Open(Config{ID: 1, DataDir: dir, FS: files, Peers: map[uint64]string{1: "hub"}, ElectionTimeout: 100 * time.Millisecond,
		Transport: port{newHub(), 1}, Logger: slog.New(slog.DiscardHandler)}, machine)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s, machine
}

// waitTimeout bounds the waits of tests. No test measures it.
const waitTimeout = 30 * time.Second

// untilLed calls f until the replica knows a leader, and returns its last error.
func untilLed(f func() error) (err error) {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		err = f()
		if !fault.Is(err, fault.NotLeader) && !fault.Is(err, fault.NoQuorum) {
			return err
		}
	}
	return err
}

// readCommitted waits until everything committed has been applied.
func readCommitted(t *testing.T, s *Server) error {
	return untilLed(func() error {
		_, err := s.ReadIndex(t.Context())
		return err
	})
}

// directorySize returns the size of all files in a directory in bytes, and that of the room kept free for a
// snapshot, which is not part of it.
func directorySize(dir string) (size, reserve int64) {
	names, _ := filepath.Glob(dir + "/*")
	for _, name := range names {
		info, err := os.Stat(name)
		switch {
		case err != nil: // files may be removed meanwhile
		case filepath.Base(name) == "reserve":
			reserve = info.Size()
		default:
			size += info.Size()
		}
	}
	return size, reserve
}

// TestFullLogRefusesCommands guards against a log that grows without bound while a snapshot cannot be
// finished, and against refused commands that are run or accepted ones that are lost.
func TestFullLogRefusesCommands(t *testing.T) {
	is := is.New(t)
	dir, files := t.TempDir(), newGatedFS()
	s, machine := openDocument(t, dir, files)
	propose := func(change int) error {
		return untilLed(func() error {
			_, err := s.Propose(t.Context(), bytes.Repeat([]byte{byte(change)}, documentSize))
			return err
		})
	}
	files.armed.Store(true)
	t.Cleanup(func() { // lets the replica close if the test fails before
		files.armed.Store(false)
		select {
		case files.release <- struct{}{}:
		case <-s.Done():
		case <-time.After(time.Second):
		}
	})
	change, err := 0, error(nil)
	for ; err == nil && change*documentSize < 64<<20; change++ {
		err = propose(change)
	}
	is.True(fault.Is(err, fault.Overloaded))
	is.True(fault.From(err).RetryAfter > 0)
	is.True(change*documentSize < 64<<20)
	is.Equal(machine.data[0], byte(change-2)) // the refused command was not run
	<-files.reached
	files.armed.Store(false)
	files.release <- struct{}{}
	for end := time.Now().Add(waitTimeout); err != nil && time.Now().Before(end); {
		err = propose(change)
	}
	is.NoErr(err) // there is room again
	is.NoErr(s.Close())
	restarted, again := openDocument(t, dir, nil)
	is.NoErr(readCommitted(t, restarted))
	is.Equal(again.data[0], byte(change))
}

// smallDisk is the operating system's file system with a limit on the size of all files in a directory.
type smallDisk struct {
	wal.OS
	dir   string
	limit atomic.Int64
}

func (d *smallDisk) Create(path string) (wal.File, error) {
	file, err := d.OS.Create(path)
	return smallDiskFile{file, d}, err
}

func (d *smallDisk) Append(path string, size int64) (wal.File, error) {
	file, err := d.OS.Append(path, size)
	return smallDiskFile{file, d}, err
}

type smallDiskFile struct {
	wal.File
	disk *smallDisk
}

func (f smallDiskFile) Write(data []byte) (int, error) {
	if size, reserve := directorySize(f.disk.dir); size+reserve+int64(len(data)) > f.disk.limit.Load() {
		return 0, syscall.ENOSPC
	}
	return f.File.Write(data)
}

// TestFullDiskIsFreed guards against a replica that a full disk stops for good, although a snapshot would
// replace most of what fills it, and against commands that are accepted before there is room again.
func TestFullDiskIsFreed(t *testing.T) {
	is := is.New(t)
	disk := &smallDisk{dir: t.TempDir()}
	disk.limit.Store(1 << 30)
	s, _ := openDocument(t, disk.dir, disk)
	propose := func(s *Server, change int) error {
		return untilLed(func() error {
			_, err := s.Propose(t.Context(), bytes.Repeat([]byte{byte(change)}, documentSize))
			return err
		})
	}
	confirmed := 0
	for ; confirmed < 4; confirmed++ {
		is.NoErr(propose(s, confirmed+1))
	}
	size, reserve := directorySize(disk.dir)
	for end := time.Now().Add(waitTimeout); reserve < DefaultSnapshotReserve; size, reserve = directorySize(disk.dir) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until the reserve is occupied; it has %d bytes", reserve)
		}
		time.Sleep(time.Millisecond)
	}
	full := size + reserve + 100 // another process has filled the rest of the disk
	disk.limit.Store(full)
	is.True(propose(s, confirmed+1) != nil)
	<-s.Done()
	is.True(errors.Is(s.Err(), syscall.ENOSPC))

	disk.limit.Store(full - reserve/2) // there is room for a snapshot, but not for the next one
	s, machine := openDocument(t, disk.dir, disk)
	is.NoErr(readCommitted(t, s))
	is.True(machine.data[0] == byte(confirmed) || machine.data[0] == byte(confirmed+1))
	for range 5 {
		is.True(fault.Is(propose(s, 100), fault.Overloaded))
	}
	disk.limit.Store(full + 5<<20) // enough for the next snapshot and log once the last log is removed
	err := propose(s, 100)
	for end := time.Now().Add(30 * time.Second); fault.Is(err, fault.Overloaded) && time.Now().Before(end); err = propose(s, 100) {
		is.True(machine.data[0] != 100)
		time.Sleep(10 * time.Millisecond)
	}
	is.NoErr(err)
	is.Equal(machine.data[0], byte(100))
}

// documentSize is the size of a large configuration in bytes.
const documentSize = 700_000

// TestLogIsBoundedInBytes guards against a log that is bounded in entries alone: a few hundred changes of
// a large configuration then fill the disk and the memory, and the replica cannot start again.
func TestLogIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	s, _ := openDocument(t, dir, nil)
	const limit = 16 << 20 // an eighth of a small disk, with room for both snapshots
	largest, largestReserve, kept := int64(0), int64(0), uint64(0)
	var last []byte
	for change := range 200 {
		last = bytes.Repeat([]byte{byte(change)}, documentSize)
		is.NoErr(untilLed(func() error {
			_, err := s.Propose(t.Context(), last)
			return err
		}))
		size, reserve := directorySize(dir)
		largest, largestReserve = max(largest, size), max(largestReserve, reserve)
		status := s.Status()
		kept = max(kept, status.Last-status.First+1)
	}
	t.Logf("largest directory %d bytes, most entries in memory %d", largest, kept)
	is.True(largest <= limit)
	is.True(largestReserve >= documentSize)
	is.True(largestReserve <= (DefaultSnapshotReserve+2*documentSize)*5/4)
	is.True(kept*documentSize <= limit)
	is.NoErr(s.Close())
	again, machine := openDocument(t, dir, nil)
	is.NoErr(readCommitted(t, again))
	is.True(bytes.Equal(machine.data, last)) // nothing confirmed is lost
}

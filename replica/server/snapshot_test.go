package server

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/wal"
)

// gatedFS is the operating system's file system with two faults. When armed, it
// blocks the sync of a snapshot file until it is released. When failAt is set, that
// operation and all later ones fail.
type gatedFS struct {
	wal.OS
	armed            atomic.Bool
	reached, release chan struct{}
	calls, failAt    atomic.Int64
}

func newGatedFS() *gatedFS {
	return &gatedFS{reached: make(chan struct{}, 1), release: make(chan struct{})}
}

func (g *gatedFS) operation() error {
	if calls, failAt := g.calls.Add(1), g.failAt.Load(); failAt > 0 && calls >= failAt {
		return errors.New("injected: no space left on device")
	}
	return nil
}

func (g *gatedFS) Create(path string) (wal.File, error) {
	if err := g.operation(); err != nil {
		return nil, err
	}
	file, err := g.OS.Create(path)
	return gatedFile{file, g, strings.Contains(path, ".snap")}, err
}

func (g *gatedFS) Rename(from, to string) error {
	return errors.Join(g.operation(), g.OS.Rename(from, to))
}

func (g *gatedFS) Remove(path string) error { return errors.Join(g.operation(), g.OS.Remove(path)) }

func (g *gatedFS) SyncDir(path string) error { return errors.Join(g.operation(), g.OS.SyncDir(path)) }

type gatedFile struct {
	wal.File
	fs       *gatedFS
	snapshot bool
}

func (f gatedFile) Write(data []byte) (int, error) {
	if err := f.fs.operation(); err != nil {
		return 0, err
	}
	return f.File.Write(data)
}

func (f gatedFile) Sync() error {
	if f.snapshot && f.fs.armed.Load() {
		f.fs.reached <- struct{}{}
		<-f.fs.release
	}
	return errors.Join(f.fs.operation(), f.File.Sync())
}

// capturingList is a commandList that implements Capturer.
type capturingList struct{ *commandList }

func (c capturingList) Capture() func() ([]byte, error) {
	captured := &commandList{commands: c.all()}
	return captured.Snapshot
}

const hubSnapshotEvery = 5

// openReplica opens a replica of the hub in a directory and returns its state machine.
func (h *hub) openReplica(t *testing.T, id uint64, dir string, files wal.FS, peers int) *commandList {
	machine := &commandList{}
	cfg := Config{ID: id, DataDir: dir, Peers: map[uint64]string{}, FS: files, SnapshotEvery: hubSnapshotEvery, TrailingEntries: 1, SnapshotReserve: 1 << 10,
		Transport: port{h, id}, Logger: slog.New(slog.DiscardHandler)}
	for peer := range peers {
		cfg.Peers[uint64(peer+1)] = "hub"
	}
	server, err := Open(cfg, capturingList{machine})
	if err != nil {
		t.Fatal(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replicas[id] = server
	return machine
}

func newHub() *hub { return &hub{replicas: map[uint64]*Server{}, cut: map[uint64]bool{}} }

// While a snapshot file is not yet durable, commits continue, the log is not
// truncated, and a crash loses nothing. Close waits for the file.
func TestCommitsContinueWhileSnapshotIsWritten(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Kill}, Step: "snapshot written but not yet durable",
		Guard: "truncation waits for the snapshot file"}.Log(t)
	dir := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, files := newHub(), newGatedFS()
		machine := h.openReplica(t, 1, dir, files, 1)
		c := &cluster{t: t, replicas: h.replicas}
		replica := h.replicas[1]
		files.armed.Store(true)
		for i := range 3 * hubSnapshotEvery {
			c.propose(fmt.Sprint("command ", i))
		}
		<-files.reached
		is.Equal(replica.Status().First, uint64(1))

		crashed := newHub() // runs on a copy of the directory at this point
		crashedDir := t.TempDir()
		is.NoErr(os.CopyFS(crashedDir, os.DirFS(dir)))
		copied := crashed.openReplica(t, 1, crashedDir, wal.OS{}, 1)
		(&cluster{t: t, replicas: crashed.replicas}).read(crashed.replicas[1])
		is.Equal(copied.all(), machine.all())
		crashed.close()

		files.release <- struct{}{}
		synctest.Wait()
		is.True(replica.Status().First > 1)
		c.propose("triggers the next snapshot")
		<-files.reached
		files.release <- struct{}{}
		synctest.Wait()
		_, err := os.Stat(dir + "/0000000000000001.wal")
		is.True(errors.Is(err, os.ErrNotExist)) // the next snapshot covers all of it
		for i := range hubSnapshotEvery {
			c.propose(fmt.Sprint("last ", i))
		}
		<-files.reached
		closed := make(chan struct{})
		go func() {
			replica.Close()
			close(closed)
		}()
		synctest.Wait()
		select {
		case <-closed:
			t.Fatal("closed while a snapshot was being written")
		default:
		}
		close(files.release)
		<-closed
		again := h.openReplica(t, 1, dir, wal.OS{}, 1)
		c.read(h.replicas[1])
		is.Equal(again.all(), machine.all())
		h.close()
	})
}

// A snapshot received from the leader is kept when the replica finishes writing an
// older one of its own.
func TestNewerSnapshotFromLeaderIsKept(t *testing.T) {
	dirs := []string{"", t.TempDir(), t.TempDir(), t.TempDir()}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub()
		files, machines := make([]*gatedFS, 4), make([]*commandList, 4)
		for id := uint64(1); id <= 3; id++ {
			files[id] = newGatedFS()
			machines[id] = h.openReplica(t, id, dirs[id], files[id], 3)
		}
		defer h.close()
		c := &cluster{t: t, replicas: h.replicas}
		setCut := func(id uint64, cut bool) {
			h.mu.Lock()
			defer h.mu.Unlock()
			h.cut[id] = cut
		}
		leader := c.propose("first")
		behind := leader%3 + 1
		files[behind].armed.Store(true)
		for i := range hubSnapshotEvery {
			c.propose(fmt.Sprint("early ", i))
		}
		<-files[behind].reached
		files[behind].armed.Store(false) // do not block the next snapshot, from the leader
		setCut(behind, true)
		for i := range 4 * hubSnapshotEvery {
			c.propose(fmt.Sprint("meanwhile ", i))
			synctest.Wait() // so that snapshots are made in time
		}
		setCut(behind, false)
		c.read(h.replicas[behind])
		before := h.replicas[behind].Status()
		is.True(before.First > 2*hubSnapshotEvery) // it received the leader's snapshot
		close(files[behind].release)
		synctest.Wait()
		after := h.replicas[behind].Status()
		is.Equal(after.First, before.First)
		is.Equal(after.Snapshot, before.Snapshot)

		h.replicas[behind].Close()
		again := h.openReplica(t, behind, dirs[behind], wal.OS{}, 3)
		c.read(h.replicas[behind])
		is.Equal(slices.Compact(again.all()), slices.Compact(machines[leader].all()))
	})
}

// Whichever file operation fails, including those of the snapshot writer, the
// replica stops, and everything acknowledged is present after a restart.
func TestEveryFailedFileOperationStopsReplica(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.Restart, proof.FullDisk}, Step: "every file operation of a running replica, then a restart", Combined: true,
		Guard: "stopping at a failure of the log"}.Log(t)
	for failAt, failed := int64(1), true; failed; failAt++ {
		dir := t.TempDir()
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h, files := newHub(), newGatedFS()
			h.openReplica(t, 1, dir, files, 1)
			replica := h.replicas[1]
			files.calls.Store(0)
			files.failAt.Store(failAt)
			var acknowledged []string
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			for i := 0; i < 3*hubSnapshotEvery && ctx.Err() == nil; {
				command := fmt.Sprint("command ", i)
				if _, err := replica.Propose(ctx, []byte(command)); err == nil {
					acknowledged = append(acknowledged, command)
					i++
				} else if replica.Err() != nil {
					break
				}
				time.Sleep(10 * time.Millisecond)
			}
			synctest.Wait()
			failed = files.calls.Load() >= failAt
			is.Equal(replica.Err() != nil, failed)
			h.close()
			machine := h.openReplica(t, 1, dir, wal.OS{}, 1)
			(&cluster{t: t, replicas: h.replicas}).read(h.replicas[1])
			for _, command := range acknowledged {
				is.True(slices.Contains(machine.all(), command))
			}
			h.close()
		})
	}
}

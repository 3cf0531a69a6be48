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

// gatedFS is the operating system's file system. Once armed, it holds the sync of
// a snapshot's file until it is released, and once counting, it fails one
// operation and all after it.
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

// capturing is a list that is encoded beside later commands.
type capturing struct{ *list }

func (c capturing) Capture() func() ([]byte, error) {
	captured := &list{commands: c.all()}
	return captured.Snapshot
}

const gatedEvery = 5

// openGated opens a replica of a hub on a folder, and returns its state machine.
func (h *hub) openGated(t *testing.T, id uint64, folder string, files wal.FS, peers int) *list {
	machine := &list{}
	cfg := Config{ID: id, DataDir: folder, Peers: map[uint64]string{}, FS: files, SnapshotEvery: gatedEvery, TrailingEntries: 1,
		Transport: port{h, id}, Logger: slog.New(slog.DiscardHandler)}
	for peer := range peers {
		cfg.Peers[uint64(peer+1)] = "hub"
	}
	server, err := Open(cfg, capturing{machine})
	if err != nil {
		t.Fatal(err)
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.replicas[id] = server
	return machine
}

func newHub() *hub { return &hub{replicas: map[uint64]*Server{}, cut: map[uint64]bool{}} }

// While the file of a snapshot is not durable, commits go on, the log is whole,
// and a crash loses nothing; Close waits for the file.
func TestSnapshotIsWrittenBesideTheLog(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.Kill}, Step: "snapshot written and not yet durable",
		Guard: "truncation waits for the file of the snapshot"}.Log(t)
	folder := t.TempDir()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h, files := newHub(), newGatedFS()
		machine := h.openGated(t, 1, folder, files, 1)
		c := &cluster{t: t, replicas: h.replicas}
		replica := h.replicas[1]
		files.armed.Store(true)
		for i := range 3 * gatedEvery {
			c.propose(fmt.Sprint("command ", i))
		}
		<-files.reached
		is.Equal(replica.Status().First, uint64(1))

		crashed := newHub() // a copy of the folder in this moment
		crashedFolder := t.TempDir()
		is.NoErr(os.CopyFS(crashedFolder, os.DirFS(folder)))
		copied := crashed.openGated(t, 1, crashedFolder, wal.OS{}, 1)
		(&cluster{t: t, replicas: crashed.replicas}).read(crashed.replicas[1])
		is.Equal(copied.all(), machine.all())
		crashed.close()

		files.release <- struct{}{}
		synctest.Wait()
		is.True(replica.Status().First > 1)
		c.propose("makes the next one")
		<-files.reached
		files.release <- struct{}{}
		synctest.Wait()
		_, err := os.Stat(folder + "/0000000000000001.wal")
		is.True(errors.Is(err, os.ErrNotExist)) // the next one was after all of it
		for i := range gatedEvery {
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
		again := h.openGated(t, 1, folder, wal.OS{}, 1)
		c.read(h.replicas[1])
		is.Equal(again.all(), machine.all())
		h.close()
	})
}

// A snapshot that the leader sends while an older one is being written stays.
func TestSnapshotFromTheLeaderWins(t *testing.T) {
	folders := []string{"", t.TempDir(), t.TempDir(), t.TempDir()}
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHub()
		files, machines := make([]*gatedFS, 4), make([]*list, 4)
		for id := uint64(1); id <= 3; id++ {
			files[id] = newGatedFS()
			machines[id] = h.openGated(t, id, folders[id], files[id], 3)
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
		for i := range gatedEvery {
			c.propose(fmt.Sprint("early ", i))
		}
		<-files[behind].reached
		files[behind].armed.Store(false) // of the next one, from the leader
		setCut(behind, true)
		for i := range 4 * gatedEvery {
			c.propose(fmt.Sprint("meanwhile ", i))
			synctest.Wait() // so that snapshots are made in time
		}
		setCut(behind, false)
		c.read(h.replicas[behind])
		before := h.replicas[behind].Status()
		is.True(before.First > 2*gatedEvery) // it got the snapshot of another
		close(files[behind].release)
		synctest.Wait()
		after := h.replicas[behind].Status()
		is.Equal(after.First, before.First)
		is.Equal(after.Snapshot, before.Snapshot)

		h.replicas[behind].Close()
		again := h.openGated(t, behind, folders[behind], wal.OS{}, 3)
		c.read(h.replicas[behind])
		is.Equal(slices.Compact(again.all()), slices.Compact(machines[leader].all()))
	})
}

// Whichever file operation fails, also one of the snapshot writer, the replica
// stops, and what was acknowledged is there after a restart.
func TestEveryFailedOperationStopsTheReplica(t *testing.T) {
	proof.Cell{Promise: proof.Configuration, Faults: []proof.Fault{proof.Restart, proof.FullDisk}, Step: "every file operation of a running replica, then a restart", Together: true,
		Guard: "stopping at a failure of the log"}.Log(t)
	for failAt, failed := int64(1), true; failed; failAt++ {
		folder := t.TempDir()
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h, files := newHub(), newGatedFS()
			h.openGated(t, 1, folder, files, 1)
			replica := h.replicas[1]
			files.calls.Store(0)
			files.failAt.Store(failAt)
			var acknowledged []string
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			for i := 0; i < 3*gatedEvery && ctx.Err() == nil; {
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
			machine := h.openGated(t, 1, folder, wal.OS{}, 1)
			(&cluster{t: t, replicas: h.replicas}).read(h.replicas[1])
			for _, command := range acknowledged {
				is.True(slices.Contains(machine.all(), command))
			}
			h.close()
		})
	}
}

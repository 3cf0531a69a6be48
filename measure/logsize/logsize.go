// Package logsize measures what a control replica keeps for a number of changes of a large
// state: disk, memory, the time of a change and the time to start again.
package logsize

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/replica/server"
)

// changeBytes is the size of one change, that of a configuration of some 2,800 routes.
const changeBytes = 700_000

// cases are the sizes of the state, in changes, and the numbers of changes measured.
var cases = []struct{ parts, changes int }{
	{1, 100}, {1, 1_000}, {1, 10_000}, {14, 1_000}, {71, 1_000},
}

// parts is a state machine that consists of a number of parts. Each command replaces the next.
type parts struct {
	data [][]byte
	next int
}

// Apply implements server.StateMachine.
func (p *parts) Apply(_, _ uint64, command []byte) any {
	p.data[p.next%len(p.data)] = command
	p.next++
	return nil
}

// Snapshot implements server.StateMachine.
func (p *parts) Snapshot() ([]byte, error) { return p.Capture()() }

// Capture implements server.Capturer.
func (p *parts) Capture() func() ([]byte, error) {
	captured := slices.Clone(p.data)
	return func() ([]byte, error) { return slices.Concat(captured...), nil }
}

// Restore implements server.StateMachine.
func (p *parts) Restore(data []byte) error {
	p.next = 0
	for part := range slices.Chunk(data, changeBytes) {
		p.data[p.next%len(p.data)] = part
		p.next++
	}
	return nil
}

// noPeers is the transport of the only replica of a cluster.
type noPeers struct{}

func (noPeers) Send([]*pb.Message)         {}
func (noPeers) SetPeers(map[uint64]string) {}
func (noPeers) Close() error               { return nil }

// Run measures all cases and writes a table to w.
func Run(w io.Writer, _ uint64, _ string) error {
	fmt.Fprintln(w, "| state, MB | changes | disk, MB | memory, MB | change, median ms | worst ms | start, ms | memory at the start, MB |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, c := range cases {
		if err := measure(w, c.parts, c.changes); err != nil {
			return err
		}
	}
	return nil
}

func measure(w io.Writer, partCount, changes int) error {
	dir, err := os.MkdirTemp("", "logsize")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	replica, err := open(dir, partCount)
	if err != nil {
		return err
	}
	disk, memory := int64(0), uint64(0)
	var took []time.Duration
	for change := range changes {
		command := make([]byte, changeBytes)
		command[0] = byte(change)
		began := time.Now()
		if err := whenLed(func() error { return propose(replica, command) }); err != nil {
			return err
		}
		took = append(took, time.Since(began))
		disk = max(disk, directoryBytes(dir))
		memory = max(memory, heapBytes())
	}
	if err := replica.Close(); err != nil {
		return err
	}
	replica = nil
	runtime.GC()
	began := time.Now()
	replica, err = open(dir, partCount)
	if err != nil {
		return err
	}
	defer func() { _ = replica.Close() }()
	atStart := heapBytes()
	err = whenLed(func() error {
		_, err := replica.ReadIndex(context.Background())
		return err
	})
	if err != nil {
		return err
	}
	started := time.Since(began)
	atStart = max(atStart, heapBytes())
	slices.Sort(took[1:]) // the first one waited for the election
	_, err = fmt.Fprintf(w, "| %.1f | %d | %.1f | %.0f | %.1f | %.0f | %.0f | %.0f |\n", megabytes(partCount*changeBytes), changes, megabytes(disk), megabytes(memory),
		milliseconds(took[1:][len(took[1:])/2]), milliseconds(took[len(took)-1]), milliseconds(started), megabytes(atStart))
	return err
}

func open(dir string, partCount int) (*server.Server, error) {
	return server.Open(server.Config{
		ID: 1, DataDir: dir, Peers: map[uint64]string{1: "self"}, ElectionTimeout: 100 * time.Millisecond,
		Transport: noPeers{}, Logger: slog.New(slog.DiscardHandler),
	}, &parts{data: make([][]byte, partCount)})
}

func propose(replica *server.Server, command []byte) error {
	_, err := replica.Propose(context.Background(), command)
	return err
}

// whenLed calls f until the replica leads and has room for its command.
func whenLed(f func() error) error {
	for {
		err := f()
		if !fault.Is(err, fault.NotLeader) && !fault.Is(err, fault.NoQuorum) && !fault.Is(err, fault.Overloaded) {
			return err
		}
		time.Sleep(time.Millisecond)
	}
}

// directoryBytes returns the size of the files in a directory.
func directoryBytes(dir string) (size int64) {
	names, _ := filepath.Glob(filepath.Join(dir, "*"))
	for _, name := range names {
		if info, err := os.Stat(name); err == nil { // obsolete files are removed meanwhile
			size += info.Size()
		}
	}
	return size
}

// heapBytes returns the memory in use by live objects and those not collected yet.
func heapBytes() uint64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse
}

func megabytes[T int | int64 | uint64](bytes T) float64 { return float64(bytes) / 1e6 }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

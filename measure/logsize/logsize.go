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
	"runtime/debug"
	"slices"
	"strings"
	"time"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/replica/server"
)

// changeBytes is the size of one change, that of a configuration of some 2,800 routes.
const changeBytes = 700_000

// cases are the sizes of the state, in changes, and the numbers of changes measured.
var cases = []struct{ parts, changes int }{
	{1, 100}, {1, 1_000}, {1, 10_000}, {14, 100}, {14, 1_000}, {14, 10_000}, {71, 100}, {71, 1_000}, {71, 10_000},
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
	fmt.Fprintln(w, "| state, MB | changes | disk, MB | resident, MB | change, median ms | worst ms | beside a snapshot, median ms | worst ms | start, ms | resident at the start, MB |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|---|---|")
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
	resetResident()
	replica, err := open(dir, partCount)
	if err != nil {
		return err
	}
	disk := int64(0)
	var all, besideSnapshot []time.Duration
	for change := range changes {
		command := make([]byte, changeBytes)
		command[0] = byte(change)
		began := time.Now()
		if err := whenLed(func() error { return propose(replica, command) }); err != nil {
			return err
		}
		took := time.Since(began)
		disk = max(disk, directoryBytes(dir))
		if change == 0 {
			continue // it waited for the election
		}
		all = append(all, took)
		if writesSnapshot(dir) {
			besideSnapshot = append(besideSnapshot, took)
		}
	}
	memory := maxResident()
	if err := replica.Close(); err != nil {
		return err
	}
	replica = nil
	resetResident()
	began := time.Now()
	replica, err = open(dir, partCount)
	if err != nil {
		return err
	}
	defer func() { _ = replica.Close() }()
	err = whenLed(func() error {
		_, err := replica.ReadIndex(context.Background())
		return err
	})
	if err != nil {
		return err
	}
	started := time.Since(began)
	median, worst := summarize(all)
	medianBeside, worstBeside := summarize(besideSnapshot)
	_, err = fmt.Fprintf(w, "| %.1f | %d | %.1f | %.0f | %s | %s | %s | %s | %.0f | %.0f |\n", megabytes(partCount*changeBytes), changes,
		megabytes(disk), megabytes(memory), median, worst, medianBeside, worstBeside, milliseconds(started), megabytes(maxResident()))
	return err
}

// summarize returns the median and the longest of some times in milliseconds, "-" if there are none.
func summarize(took []time.Duration) (median, worst string) {
	if len(took) == 0 {
		return "-", "-"
	}
	slices.Sort(took)
	return fmt.Sprintf("%.1f", milliseconds(took[len(took)/2])), fmt.Sprintf("%.0f", milliseconds(took[len(took)-1]))
}

// writesSnapshot reports whether a snapshot is being written.
func writesSnapshot(dir string) bool {
	names, _ := filepath.Glob(filepath.Join(dir, "*.snap.tmp"))
	return len(names) > 0
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

// resetResident returns unused memory to the operating system and resets what maxResident reports.
func resetResident() {
	debug.FreeOSMemory()
	const resetPeak = "5"
	_ = os.WriteFile("/proc/self/clear_refs", []byte(resetPeak), 0)
}

// maxResident returns the largest resident set of the process since resetResident, in bytes.
func maxResident() (size int64) {
	status, _ := os.ReadFile("/proc/self/status")
	for line := range strings.Lines(string(status)) {
		if kilobytes, found := strings.CutPrefix(line, "VmHWM:"); found {
			_, _ = fmt.Sscan(kilobytes, &size)
		}
	}
	return size << 10
}

func megabytes[T int | int64 | uint64](bytes T) float64 { return float64(bytes) / 1e6 }

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

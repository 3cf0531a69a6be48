package server

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/lilackeel/lilackeel/api/replica/v1"
)

// largeState is a state machine whose state has many records that never change.
type largeState struct{ records []*pb.Entry }

func newLargeState(count int) *largeState {
	b := &largeState{records: make([]*pb.Entry, count)}
	for i := range b.records {
		b.records[i] = &pb.Entry{Index: uint64(i), Term: 1, Data: make([]byte, 150)}
	}
	return b
}

func (b *largeState) Apply(uint64, uint64, []byte) any { return nil }

func (b *largeState) Snapshot() ([]byte, error) { return b.Capture()() }

func (b *largeState) Capture() func() ([]byte, error) {
	return func() (data []byte, err error) {
		for i := 0; i < len(b.records) && err == nil; i++ {
			data, err = proto.MarshalOptions{}.MarshalAppend(data, b.records[i])
		}
		return data, err
	}
}

func (b *largeState) Restore([]byte) error { return nil }

// gapRecorder records the longest time between two events.
type gapRecorder struct {
	mu      sync.Mutex
	last    time.Time
	longest time.Duration
}

func (g *gapRecorder) event() {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if !g.last.IsZero() {
		g.longest = max(g.longest, now.Sub(g.last))
	}
	g.last = now
}

func (g *gapRecorder) milliseconds() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return float64(g.longest) / float64(time.Millisecond)
}

// heartbeatPort records when a replica sends heartbeats to replica 2.
type heartbeatPort struct {
	port
	gaps *gapRecorder
}

func (p heartbeatPort) Send(messages []*pb.Message) {
	for _, m := range messages {
		if m.Kind == pb.MessageKind_MESSAGE_KIND_HEARTBEAT && m.To == 2 {
			p.gaps.event()
		}
	}
	p.port.Send(messages)
}

// BenchmarkSnapshotPause measures the longest time between two heartbeats and
// between two commits of a leader while it makes a snapshot. The other replicas
// make none. Each iteration is one snapshot, so run it with a small -benchtime such
// as 3x.
func BenchmarkSnapshotPause(b *testing.B) {
	for _, records := range []int{1, 100_000, 1_000_000} {
		b.Run(fmt.Sprintf("records=%d", records), func(b *testing.B) {
			beats, commits := &gapRecorder{}, &gapRecorder{}
			h := &hub{replicas: map[uint64]*Server{}, cut: map[uint64]bool{}}
			defer h.close()
			for id := uint64(3); id >= 1; id-- {
				cfg := Config{
					ID: id, DataDir: b.TempDir(), Peers: map[uint64]string{1: "one", 2: "two", 3: "three"},
					Transport: port{h, id}, Logger: slog.New(slog.DiscardHandler), ElectionTimeout: time.Minute,
					HeartbeatInterval: 20 * time.Millisecond, SnapshotEvery: 1 << 40,
				}
				machine := newLargeState(1)
				if id == 1 {
					cfg.Transport, cfg.ElectionTimeout, cfg.SnapshotEvery = heartbeatPort{port{h, id}, beats}, 2*time.Second, 200
					cfg.TrailingEntries = 1
					machine = newLargeState(records)
				}
				replica, err := Open(cfg, machine)
				if err != nil {
					b.Fatal(err)
				}
				h.mu.Lock()
				h.replicas[id] = replica
				h.mu.Unlock()
			}
			leader := h.replicas[1]
			commit := func() {
				for {
					if _, err := leader.Propose(context.Background(), make([]byte, 200)); err == nil {
						commits.event()
						return
					}
					time.Sleep(10 * time.Millisecond)
				}
			}
			commit()
			*beats, *commits = gapRecorder{}, gapRecorder{}
			b.ResetTimer()
			for range b.N {
				for first := leader.Status().First; leader.Status().First == first; {
					commit()
				}
			}
			b.ReportMetric(beats.milliseconds(), "ms-heartbeat-gap")
			b.ReportMetric(commits.milliseconds(), "ms-commit-gap")
		})
	}
}

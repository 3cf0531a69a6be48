package server

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
)

// BenchmarkCommit measures synced commits on one disk, with all replicas in this
// process and gRPC over loopback between them.
func BenchmarkCommit(b *testing.B) {
	for _, size := range []int{1, 3} {
		for _, proposers := range []int{1, 16, 128} {
			b.Run(fmt.Sprintf("replicas=%d/proposers=%d", size, proposers), func(b *testing.B) {
				c := newCluster(b, size, Config{ElectionTimeout: 2 * time.Second})
				leader := c.replicas[c.propose("first")]
				command := make([]byte, 200)
				b.ReportAllocs()
				var next atomic.Int64
				done := make(chan error, proposers)
				b.ResetTimer()
				for range proposers {
					go func() {
						for next.Add(1) <= int64(b.N) {
							if _, err := leader.Propose(context.Background(), command); err != nil {
								done <- err
								return
							}
						}
						done <- nil
					}()
				}
				for range proposers {
					if err := <-done; err != nil {
						b.Fatal(err)
					}
				}
				b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "commits/s")
			})
		}
	}
}

// BenchmarkReadIndex measures linearizable reads by 16 concurrent readers per core
// at the leader.
func BenchmarkReadIndex(b *testing.B) {
	c := newCluster(b, 3, Config{ElectionTimeout: 2 * time.Second})
	leader := c.replicas[c.propose("first")]
	b.SetParallelism(16)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if _, err := leader.ReadIndex(context.Background()); err != nil {
				b.Error(err)
			}
		}
	})
}

// byteCounter counts the bytes that clients send, including their framing.
type byteCounter struct {
	stats.Handler
	bytes atomic.Int64
}

func (c *byteCounter) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (c *byteCounter) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (c *byteCounter) HandleConn(context.Context, stats.ConnStats) {}

func (c *byteCounter) HandleRPC(_ context.Context, s stats.RPCStats) {
	if payload, ok := s.(*stats.OutPayload); ok {
		c.bytes.Add(int64(payload.WireLength))
	}
}

// BenchmarkIdle measures the payload bytes per second that an idle replica sends
// with the default timeouts. Run it with -benchtime 1x.
func BenchmarkIdle(b *testing.B) {
	const idleTime = 3 * time.Second
	counter := &byteCounter{}
	c := newCluster(b, 3, Config{DialOptions: []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithStatsHandler(counter),
	}})
	c.propose("first")
	time.Sleep(time.Second)
	before := counter.bytes.Load()
	for range b.N {
		time.Sleep(idleTime)
	}
	sent := float64(counter.bytes.Load() - before)
	b.ReportMetric(sent/float64(len(c.replicas))/(float64(b.N)*idleTime.Seconds()), "B/s/replica")
}

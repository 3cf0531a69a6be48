package link

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
)

// lossyConn is a connection in virtual time that loses packets. A lost packet delays all later
// packets of its direction until it is retransmitted, after 200 ms and then twice as long each time.
type lossyConn struct {
	mu   sync.Mutex
	rng  *rand.Rand
	loss float64
	// clear is when all earlier packets of a direction have arrived.
	clear [2]time.Time
}

// transfer waits until the packets of one direction of a call have arrived.
func (c *lossyConn) transfer(ctx context.Context, direction, packets int) error {
	c.mu.Lock()
	arrival := time.Now().Add(time.Millisecond)
	for range packets {
		for timeout := 200 * time.Millisecond; c.rng.Float64() < c.loss; timeout *= 2 {
			arrival = arrival.Add(timeout)
		}
	}
	if c.clear[direction].After(arrival) {
		arrival = c.clear[direction]
	}
	c.clear[direction] = arrival
	c.mu.Unlock()
	select {
	case <-time.After(time.Until(arrival)):
		return nil
	case <-ctx.Done():
		return fault.New(fault.Unknown, "no response", "")
	}
}

// call makes a call of two packets in each direction, which the peer holds for a while.
func (c *lossyConn) call(ctx context.Context) (int, error) {
	if err := c.transfer(ctx, 0, 2); err != nil {
		return 0, err
	}
	time.Sleep(10 * time.Millisecond)
	return 1, c.transfer(ctx, 1, 2)
}

// fakeBackups counts the second connections, which are ready 20 ms after they were opened.
type fakeBackups struct {
	opened, dropped atomic.Int32
	// readyAt is a time in nanoseconds.
	readyAt atomic.Int64
}

func (b *fakeBackups) Open(string) {
	b.opened.Add(1)
	b.readyAt.Store(time.Now().Add(20 * time.Millisecond).UnixNano())
}
func (b *fakeBackups) Ready(string) bool {
	return b.opened.Load() > b.dropped.Load() && time.Now().UnixNano() >= b.readyAt.Load()
}
func (b *fakeBackups) Drop(string) { b.dropped.Add(1) }

// peerLink is one address with its two connections.
type peerLink struct {
	hedger  *Hedger
	backups *fakeBackups
	conns   [2]*lossyConn
	calls   [2]atomic.Int32
	late    atomic.Int32
	failed  bool
}

func newPeerLink(rng *rand.Rand, loss float64) *peerLink {
	l := &peerLink{backups: &fakeBackups{}}
	l.hedger = NewHedger(l.backups)
	for i := range l.conns {
		l.conns[i] = &lossyConn{rng: rand.New(rand.NewPCG(rng.Uint64(), 1)), loss: loss}
	}
	return l
}

// call makes a hedged call and returns how long it took.
func (l *peerLink) call() time.Duration {
	startedAt := time.Now()
	on := func(conn int) func(context.Context) (int, error) {
		return func(ctx context.Context) (int, error) {
			l.calls[conn].Add(1)
			return l.conns[conn].call(ctx)
		}
	}
	_, err := HedgedCall[int]{
		Addr: "a", Primary: on(primaryConn), Backup: on(backupConn), Delay: 50 * time.Millisecond, Wait: time.Second, SlowWait: 250 * time.Millisecond, Timeout: time.Second,
		Late: func(int) { l.late.Add(1) },
	}.Do(context.Background(), l.hedger)
	l.failed = l.failed || err != nil
	return time.Since(startedAt)
}

// callCounts returns the numbers of calls on the two connections.
func (l *peerLink) callCounts() [2]int32 { return [2]int32{l.calls[0].Load(), l.calls[1].Load()} }

// completeRounds returns the share of 400 rounds of 24 calls, one every 150 ms, that are complete
// within 150 ms.
func completeRounds(seed uint64, loss float64, hedged bool) (share float64, extraCalls int) {
	rng := rand.New(rand.NewPCG(seed, 2))
	links := make([]*peerLink, 24)
	for i := range links {
		links[i] = newPeerLink(rng, loss)
		if !hedged {
			links[i].backups.dropped.Store(1 << 30) // never ready
		}
	}
	const rounds = 400
	complete := 0
	for range rounds {
		var calls sync.WaitGroup
		var mu sync.Mutex
		var longest time.Duration
		for _, l := range links {
			calls.Go(func() {
				took := l.call()
				mu.Lock()
				defer mu.Unlock()
				longest = max(longest, took)
			})
		}
		calls.Wait()
		if longest < slowCall {
			complete++
		}
		time.Sleep(max(slowCall-longest, 0))
	}
	for _, l := range links {
		extraCalls += int(l.calls[0].Load()+l.calls[1].Load()) - rounds
	}
	return float64(complete) / rounds, extraCalls
}

// Guards against rounds of calls that are delayed by the retransmission of one lost packet. While
// 4% of the packets were lost, map switches were aborted for this four or five times in a row.
func TestHedgedRoundsCompleteUnderLoss(t *testing.T) {
	for seed := range uint64(3) {
		synctest.Test(t, func(t *testing.T) {
			plain, _ := completeRounds(seed, 0.04, false)
			hedged, extra := completeRounds(seed, 0.04, true)
			t.Logf("seed %d: complete rounds %.3f without and %.3f with second connections, %d extra calls of 9600", seed, plain, hedged, extra)
			is := is.New(t)
			is.True(plain < 0.1)
			is.True(hedged > 0.4)
			time.Sleep(time.Minute)
		})
	}
}

// Guards against connections and calls that nothing but loss justifies.
func TestWithoutLossNothingIsRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPeerLink(rand.New(rand.NewPCG(1, 1)), 0)
		for range 100 {
			l.call()
		}
		is.True(!l.failed)
		is.Equal(l.callCounts(), [2]int32{100, 0})
		is.Equal(l.backups.opened.Load(), int32(0))
	})
}

// Guards against a second connection that is opened more than once or never closed, and against a
// response that is lost because the repeated call was answered first.
func TestSecondConnectionIsClosedAndLateResponseKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := newPeerLink(rand.New(rand.NewPCG(1, 1)), 0)
		l.conns[primaryConn].clear[0] = time.Now().Add(400 * time.Millisecond)
		is.Equal(l.call(), 411*time.Millisecond) // there is no second connection yet
		is.Equal(l.backups.opened.Load(), int32(1))
		l.conns[primaryConn].clear[0] = time.Now().Add(400 * time.Millisecond)
		is.Equal(l.call(), 62*time.Millisecond)
		is.Equal(l.call(), 12*time.Millisecond) // the stalled connection is avoided
		is.Equal(l.late.Load(), int32(0))
		time.Sleep(400 * time.Millisecond)
		synctest.Wait()
		is.Equal(l.late.Load(), int32(1))
		is.Equal(l.callCounts(), [2]int32{2, 2})
		time.Sleep(backupRetention)
		synctest.Wait()
		is.Equal(l.backups.opened.Load(), int32(1))
		is.Equal(l.backups.dropped.Load(), int32(1))
		l.conns[primaryConn].clear[0] = time.Now().Add(400 * time.Millisecond)
		is.Equal(l.call(), 411*time.Millisecond)
		is.Equal(l.callCounts(), [2]int32{3, 2})
		for _, conn := range l.conns {
			conn.clear[0] = time.Now().Add(400 * time.Millisecond)
		}
		is.Equal(l.call(), 250*time.Millisecond) // SlowWait
		is.True(l.failed)
		time.Sleep(time.Minute)
	})
}

package expertmap

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
)

// testFleet simulates the hosts of a large group, one of which may be frozen.
type testFleet struct {
	mu     sync.Mutex
	state  *contract.State
	index  uint64
	frozen string
	// calls counts the calls made by the leader itself; reached is when each host was last
	// reached.
	calls   int
	reached map[string]time.Time
	// counted are the hosts asked for counts since the last reset.
	counted map[string]bool
}

func (f *testFleet) Propose(_ context.Context, data []byte) (any, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	return f.state.Apply(f.index, 1, data), nil
}

// Group simulates a host that forwards requests, with realistic delays.
func (f *testFleet) Group(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	f.mu.Lock()
	f.calls++
	frozen := f.frozen
	f.mu.Unlock()
	if addr == frozen {
		<-ctx.Done()
		return nil, fault.New(fault.Unavailable, "the host is frozen", "")
	}
	wait := 5 * time.Millisecond
	for _, forward := range request.GetForwards() {
		if forward.GetAddr() == frozen {
			wait = 60 * time.Millisecond
		}
	}
	time.Sleep(wait)
	f.mu.Lock()
	defer f.mu.Unlock()
	response := &agentv1.GroupResponse{}
	f.handle(addr, request, response)
	for _, forward := range request.GetForwards() {
		if forward.GetAddr() != frozen {
			f.handle(forward.GetAddr(), forward.GetRequest(), response)
			response.Answered = append(response.Answered, forward.GetAddr())
		}
	}
	return response, nil
}

// handle simulates a host that acknowledges decisions.
func (f *testFleet) handle(addr string, request *agentv1.GroupRequest, response *agentv1.GroupResponse) {
	f.reached[addr] = time.Now()
	for _, message := range request.GetMessages() {
		m, err := mapwire.FromProto(message)
		if err == nil && m.Kind == mapswitch.KindDecided {
			m.Kind = mapswitch.KindAcknowledged
			response.Messages = append(response.Messages, mapwire.ToProto(m))
		}
	}
	if !request.GetWithoutLoads() {
		f.counted[addr] = true
	}
}

// resetCounters returns the number of the leader's calls and of the hosts asked for counts
// since the last call.
func (f *testFleet) resetCounters() (calls, counted int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	calls, counted = f.calls, len(f.counted)
	f.calls = 0
	clear(f.counted)
	return calls, counted
}

// longestSilence returns the longest time for which a host other than the frozen one has not
// been reached.
func (f *testFleet) longestSilence() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	var longest time.Duration
	for addr, at := range f.reached {
		if addr != f.frozen {
			longest = max(longest, time.Since(at))
		}
	}
	return longest
}

var largeGroup = group.Shape{Layers: 2, Experts: 384, Ranks: 192, Slots: 3}

func newLargeFleet(t *testing.T) *testFleet {
	f := &testFleet{state: contract.NewState(), reached: map[string]time.Time{}, counted: map[string]bool{}}
	for rank := range largeGroup.Ranks {
		name := fmt.Sprintf("agent-%03d", rank)
		data, err := contract.EncodeAnnounce(0, &controlv1.AnnounceRequest{
			Agent: name, Host: name, Zone: fmt.Sprintf("zone-%d", rank/39), Addr: fmt.Sprintf("10.0.0.%d:1", rank), Incarnation: 1, Full: true,
			Endpoints: []*fleetv1.Endpoint{{
				Id: name, Pool: "pool", Kind: fleetv1.EndpointKind_ENDPOINT_KIND_ENGINE, Zone: fmt.Sprintf("zone-%d", rank/39),
				Slots: 6, Group: testGroup, Rank: int32(rank), GroupSize: int32(largeGroup.Ranks),
			}},
		})
		is.New(t).NoErr(err)
		f.index++
		is.New(t).True(f.state.Apply(f.index, 1, data).(*contract.Result).Err == nil)
	}
	return f
}

func (f *testFleet) lead(ctx context.Context, branch int) {
	driver := NewDriver(Config{
		State: f.state, Log: f, Transport: f, Shapes: func() map[string]group.Shape { return map[string]group.Shape{testGroup: largeGroup} },
		Token: 1, LogTime: func() int64 { return 0 }, Logger: slog.New(slog.DiscardHandler), BranchSize: branch,
		ObserveInterval: func(string) time.Duration { return 150 * time.Millisecond },
	})
	go driver.Run(ctx)
}

// The demand on 192 ranks is polled every 150 ms. Each poll asks a quarter of them for counts
// and reaches all of them, with about 25 calls of the leader. With one call per agent, each
// would be reached only every 0.77 s.
func TestLargeGroupIsPolledInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newLargeFleet(t)
		ctx, cancel := context.WithCancel(t.Context())
		f.lead(ctx, 8)
		time.Sleep(time.Second)
		f.resetCounters()
		time.Sleep(1600 * time.Millisecond)
		calls, counted := f.resetCounters()
		silence := f.longestSilence()
		time.Sleep(150 * time.Millisecond)
		_, countedPerPoll := f.resetCounters()
		cancel()
		time.Sleep(time.Second)
		is.True(calls <= 11*25)
		is.Equal(counted, 192)
		is.True(countedPerPoll <= 2*maxRanksPerPoll)
		is.True(silence < 200*time.Millisecond)
	})
}

// After a host freezes, first a relay and then an agent behind one, the other hosts are reached
// again before they count as unresponsive.
func TestFrozenRelayIsReplaced(t *testing.T) {
	for _, frozen := range []int{0, 3} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newLargeFleet(t)
			ctx, cancel := context.WithCancel(t.Context())
			f.lead(ctx, 8)
			time.Sleep(time.Second)
			f.mu.Lock()
			addrs := slices.Sorted(slices.Values([]string{"10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}))
			f.frozen = addrs[frozen]
			f.mu.Unlock()
			var longest time.Duration
			for range 60 {
				time.Sleep(50 * time.Millisecond)
				longest = max(longest, f.longestSilence())
			}
			cancel()
			time.Sleep(2 * time.Second)
			is.True(longest < rescueAfter)
		})
	}
}

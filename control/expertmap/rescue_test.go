package expertmap

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/rankhost"
)

// partitionedTransport is the cluster's transport, except that the host of one rank is unreachable.
type partitionedTransport struct {
	*testCluster
	addr string
}

func (p partitionedTransport) Group(ctx context.Context, addr string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	if addr == p.addr {
		return nil, fault.New(fault.Unavailable, "the host is frozen", "")
	}
	return p.testCluster.Group(ctx, addr, request)
}

// heldEngine holds a step until it is released.
type heldEngine struct {
	mu     sync.Mutex
	status rankhost.Status
	// read is set when the status is read, and cleared when the record is read.
	read     bool
	orders   []rankhost.Order
	released time.Time
}

func (e *heldEngine) Status(context.Context) (rankhost.Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.read = true
	return e.status, nil
}

func (e *heldEngine) Counts(context.Context) (rankhost.Counts, error) { return rankhost.Counts{}, nil }

func (e *heldEngine) SendOrder(_ context.Context, o rankhost.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, o)
	switch o.Kind {
	case rankhost.Arm:
		e.status.Armed = o.Version
	case rankhost.Release:
		e.status.HasHeld = false
		e.released = time.Now()
	}
	return nil
}

// The host of one rank freezes while its engine holds a step. The leader releases the step
// after reading the engine's status and then the record.
func TestLeaderReleasesStepOfUnresponsiveHost(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Freeze}, Step: "host frozen while its engine holds a step, driven over the replicated state",
		Guard: "Driver.rescue; the record is read after the status"}.Log(t)
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := &testCluster{rng: rand.New(rand.NewPCG(1, 1)), state: contract.NewState(), epochs: map[uint64]bool{}, began: time.Now()}
		for rank := range testShape.Ranks {
			c.ranks = append(c.ranks, mapswitch.NewRank(rank, testGroup, 1))
			data, err := contract.EncodeAnnounce(0, announcement(rank))
			is.NoErr(err)
			c.index++
			is.True(c.state.Apply(c.index, 1, data).(*contract.Result).Err == nil)
		}
		engine := &heldEngine{status: rankhost.Status{Group: "lilackeel-pool", Formation: 1, Rank: 2, Size: 4, Open: true, Step: 6, Held: 7, HasHeld: true}}
		statusReadFirst := true
		rescue := RescueConfig{
			Engine: func(id string) rankhost.Engine {
				if id == "engine-c" {
					return engine
				}
				return nil
			},
			ReadRecord: func(context.Context, string) (*fleetv1.MapRecord, uint64, error) {
				engine.mu.Lock()
				statusReadFirst = statusReadFirst && engine.read
				engine.read = false
				engine.mu.Unlock()
				stored, fence := c.state.FencedMapRecord(testGroup)
				return stored, fence, nil
			},
		}
		data, err := contract.EncodeIssueFence(0)
		is.NoErr(err)
		c.index++
		token := c.state.Apply(c.index, 1, data).(*contract.Result).Fence
		driver := NewDriver(Config{
			State: c.state, Log: c, Transport: partitionedTransport{c, "10.0.0.1:3"}, Rescue: rescue,
			Shapes: func() map[string]group.Shape { return map[string]group.Shape{testGroup: testShape} }, Token: token,
			LogTime: func() int64 { return 0 }, Logger: slog.New(slog.DiscardHandler),
		})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go driver.Run(ctx)
		began := time.Now()
		time.Sleep(5 * time.Second)
		cancel()
		time.Sleep(time.Second) // calls in progress end
		engine.mu.Lock()
		defer engine.mu.Unlock()
		is.Equal(len(engine.orders), 1)
		is.Equal(engine.orders[0], rankhost.Order{Kind: rankhost.Release, Formation: 1, Step: 7})
		is.True(statusReadFirst)
		is.True(engine.released.Sub(began) >= rescueAfter)  // the host had time to release it itself
		is.True(engine.released.Sub(began) < 3*time.Second) // idle calls are a second apart
	})
}

// The rate of the calls to idle groups stays within the budget, and a small group is polled as
// often as its proposer wants.
func TestPollIntervalGrowsWithRanks(t *testing.T) {
	for _, test := range []struct {
		ranks int
		want  time.Duration
	}{{16, 75 * time.Millisecond}, {250, time.Second}, {2500, 10 * time.Second}} {
		is := is.New(t)
		d := NewDriver(Config{ObserveInterval: func(string) time.Duration { return 150 * time.Millisecond }})
		d.ranks = rankAgents{}
		for rank := range test.ranks {
			d.ranks[rankID{"g", rank}] = "10.0.0.1:1"
		}
		is.Equal(d.pollInterval("g"), test.want)
	}
}

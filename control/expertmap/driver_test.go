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
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/fanout"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
	"github.com/lilackeel/lilackeel/proof"
)

const testGroup = "lilackeel-pool/1"

var testShape = group.Shape{Layers: 2, Experts: 4, Ranks: 4, Slots: 2}

// testCluster simulates a group of ranks and the replicated state, with lossy calls.
type testCluster struct {
	mu    sync.Mutex
	rng   *rand.Rand
	state *contract.State
	index uint64
	ranks []*mapswitch.Rank
	step  uint64
	// epochs are the epochs that have run so far; heldTicks counts the ticks at which the group
	// was held.
	epochs    map[uint64]bool
	heldTicks int
	mixed     bool
	began     time.Time
	// lossy is set while calls and commands may be lost.
	lossy bool
	// branch is the number of agents that one call reaches.
	branch int
}

func (c *testCluster) now() time.Duration { return time.Since(c.began) }

// Propose commits after a delay; the command or its response may be lost.
func (c *testCluster) Propose(_ context.Context, data []byte) (any, error) {
	c.mu.Lock()
	var delay time.Duration
	if c.lossy {
		delay = time.Duration(c.rng.IntN(150)) * time.Millisecond
	}
	c.mu.Unlock()
	time.Sleep(delay)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lossy && c.rng.IntN(8) == 0 {
		return nil, fault.New(fault.Unavailable, "not proposed", "")
	}
	c.index++
	result := c.state.Apply(c.index, 1, data)
	if c.lossy && c.rng.IntN(8) == 0 {
		return nil, fault.New(fault.Unknown, "the answer was lost", "")
	}
	return result, nil
}

// Group delivers messages to the ranks; the request or the response may be lost.
func (c *testCluster) Group(_ context.Context, _ string, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	time.Sleep(time.Millisecond)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.lossy && c.rng.IntN(6) == 0 {
		return nil, fault.New(fault.Unavailable, "not sent", "")
	}
	response := &agentv1.GroupResponse{}
	if err := c.deliver(request, response); err != nil {
		return nil, err
	}
	for _, forward := range request.GetForwards() {
		if c.lossy && c.rng.IntN(6) == 0 {
			continue // the request did not reach the other host
		}
		forwarded := &agentv1.GroupResponse{Answered: []string{forward.GetAddr()}}
		if err := c.deliver(forward.GetRequest(), forwarded); err != nil {
			return nil, err
		}
		if !c.lossy || c.rng.IntN(6) > 0 {
			fanout.Merge(response, forwarded)
		}
	}
	if c.lossy && c.rng.IntN(6) == 0 {
		return nil, fault.New(fault.Unknown, "the answer was lost", "")
	}
	return response, nil
}

// deliver passes messages to the ranks.
func (c *testCluster) deliver(request *agentv1.GroupRequest, response *agentv1.GroupResponse) error {
	for _, message := range request.GetMessages() {
		m, err := mapwire.FromProto(message)
		if err != nil {
			return err
		}
		c.emit(c.ranks[m.Rank].Step(c.now(), m), response)
	}
	return nil
}

// emit handles the messages that a rank sends: its engine loads immediately, and reads of the
// record return the committed one.
func (c *testCluster) emit(out []mapswitch.Message, response *agentv1.GroupResponse) {
	for _, m := range out {
		switch m.Kind.Destination() {
		case mapswitch.ToEngine:
			m.Kind = mapswitch.KindLoaded
			c.emit(c.ranks[m.Rank].Step(c.now(), m), response)
		case mapswitch.ToControl:
			record, err := mapwire.RecordOf(c.state.FencedMapRecord(testGroup))
			if err == nil {
				c.emit(c.ranks[m.Rank].Step(c.now(), mapswitch.AnswerRead(m, record, true)), response)
			}
		case mapswitch.ToCoordinator:
			if response != nil {
				response.Messages = append(response.Messages, mapwire.ToProto(m))
			}
		}
	}
}

// advance runs the group's next step if all ranks permit it.
func (c *testCluster) advance() {
	c.mu.Lock()
	defer c.mu.Unlock()
	permits := map[uint64]bool{}
	all := true
	for _, rank := range c.ranks {
		c.emit(rank.Tick(c.now()), nil)
		epoch, ok := rank.MayRun(c.step)
		permits[epoch] = true
		all = all && ok
	}
	if !all {
		c.heldTicks++
		return
	}
	c.mixed = c.mixed || len(permits) != 1
	for epoch := range permits {
		c.epochs[epoch] = true
	}
	c.step++
}

// restart replaces the process of a rank by a new one without state.
func (c *testCluster) restart(rank int, incarnation uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ranks[rank] = mapswitch.NewRank(rank, testGroup, incarnation)
}

// shuffleProposer always proposes a different map.
type shuffleProposer struct{ rng *rand.Rand }

func (p shuffleProposer) Observe(time.Duration, *agentv1.ExpertLoad) {}

func (p shuffleProposer) RecordSwitch(time.Duration, string, time.Duration) {}

func (p shuffleProposer) Propose(_ time.Duration, _ string, current group.Map) (group.Map, bool) {
	next := current.Clone()
	for layer := range next.Layers {
		slots := next.Layer(layer)
		p.rng.Shuffle(len(slots), func(i, j int) { slots[i], slots[j] = slots[j], slots[i] })
	}
	return next, next.Validate(testShape) == nil && next.Digest() != current.Digest()
}

func (c *testCluster) lead(ctx context.Context, t *testing.T) {
	data, err := contract.EncodeIssueFence(0)
	is.New(t).NoErr(err)
	c.mu.Lock()
	c.index++
	token := c.state.Apply(c.index, 1, data).(*contract.Result).Fence
	c.mu.Unlock()
	driver := NewDriver(Config{
		State: c.state, Log: c, Transport: c, Proposer: shuffleProposer{rand.New(rand.NewPCG(token, 1))},
		Shapes: func() map[string]group.Shape { return map[string]group.Shape{testGroup: testShape} }, Token: token,
		LogTime: func() int64 { return 0 }, Logger: slog.New(slog.DiscardHandler), BranchSize: c.branch,
	})
	go driver.Run(ctx)
}

// Maps are switched repeatedly while calls and responses are lost, leaders are replaced without
// noticing and the processes of ranks restart. Every step runs with the same map on all ranks,
// and the group continues once the faults end.
func TestEveryStepRunsWithOneMap(t *testing.T) {
	proof.Cell{Promise: proof.OneMapPerStep, Faults: []proof.Fault{proof.Restart, proof.DelayedMessages, proof.LostMessages}, Step: "every step of a switch, driven over the replicated state", Combined: true,
		Guard: "each alone: the promise, the fencing token of the record, adoption, the step of the base map"}.Log(t)
	for _, branch := range []int{0, 3} {
		for seed := uint64(1); seed <= 8; seed++ {
			synctest.Test(t, func(t *testing.T) { runCluster(t, seed, branch) })
			if t.Failed() {
				t.Fatalf("seed %d, branches of %d", seed, branch)
			}
		}
	}
}

func runCluster(t *testing.T, seed uint64, branch int) {
	is := is.NewRelaxed(t)
	c := &testCluster{
		rng: rand.New(rand.NewPCG(seed, 1)), state: contract.NewState(), step: 1,
		epochs: map[uint64]bool{}, began: time.Now(), lossy: true, branch: branch,
	}
	for rank := range testShape.Ranks {
		c.ranks = append(c.ranks, mapswitch.NewRank(rank, testGroup, 1))
		data, err := contract.EncodeAnnounce(0, announcement(rank))
		is.NoErr(err)
		c.index++
		is.True(c.state.Apply(c.index, 1, data).(*contract.Result).Err == nil)
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	c.lead(ctx, t)
	rng := rand.New(rand.NewPCG(seed, 2))
	for tick := range 4000 {
		time.Sleep(5 * time.Millisecond)
		c.advance()
		if tick < 3000 && rng.IntN(300) == 0 {
			c.lead(ctx, t) // the previous leader continues as well
		}
		if tick < 3000 && rng.IntN(300) == 0 {
			c.restart(rng.IntN(len(c.ranks)), uint64(tick+2))
		}
		if tick == 3000 {
			c.mu.Lock()
			c.lossy, c.heldTicks = false, 0
			c.mu.Unlock()
		}
	}
	cancel()
	time.Sleep(time.Second) // calls in progress end
	is.True(!c.mixed)
	is.True(len(c.epochs) > 5) // maps were switched
	is.True(c.heldTicks < 500) // the group continued
	t.Logf("seed %d: %d steps, %d epochs, %d holds at the end", seed, c.step, len(c.epochs), c.heldTicks)
}

func announcement(rank int) *controlv1.AnnounceRequest {
	name := "agent-" + string(rune('a'+rank))
	return &controlv1.AnnounceRequest{
		Agent: name, Host: name, Zone: "sahel-a", Addr: "10.0.0.1:" + string(rune('1'+rank)), Incarnation: 1, Full: true,
		Endpoints: []*fleetv1.Endpoint{{
			Id: "engine-" + string(rune('a'+rank)), Pool: "lilackeel-pool", Kind: fleetv1.EndpointKind_ENDPOINT_KIND_ENGINE,
			Slots: 8, Group: testGroup, Rank: int32(rank),
		}},
	}
}

package e2e

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/standin/caller"
)

// bothWays is a cut in which nothing passes.
var bothWays = cut{up: true, down: true}

// dial connects to one daemon until the test ends.
func dial(t *testing.T, addr string) *grpc.ClientConn {
	t.Helper()
	options, err := link.DialOptions(link.Config{})
	if err != nil {
		t.Fatal(err)
	}
	connection, err := grpc.NewClient(addr, options...)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// addWorkspace is an intent that makes a workspace of the intent's own name.
func addWorkspace(name string) *controlv1.Intent {
	return &controlv1.Intent{Id: name, Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: name, Importance: 1}}}
}

// The leader is cut off from its peers in silence, while operators, entries and
// agents still reach it. It decides nothing: no intent that it was asked to
// accept is ever in force, no claim is granted, and an agent that has heard of
// the next leader refuses orders with the token of the old one.
func TestCutOffLeaderDecidesNothing(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.FullPartition, proof.DelayedMessages}, Step: "intent, claim and order of a cut-off leader", Combined: true, SeparateProcesses: true,
		Guard: "the agent's refusal of lower fencing tokens"}.Log(t)
	is := is.New(t)
	s := allocate(t, replicas)
	var links []*forwarder
	links, s.peers = forwardTo(t, s.control)
	s.startAll(t)
	leader := s.leader(t)
	client := controlv1.NewControlClient(dial(t, s.control[leader]))
	planned, err := client.Plan(t.Context(), &controlv1.PlanRequest{Intent: addWorkspace("cut-off")})
	is.NoErr(err)
	fence, err := client.ReadFence(t.Context(), &controlv1.ReadFenceRequest{})
	is.NoErr(err)
	for i, l := range links {
		if i == leader {
			l.cut(anyone, bothWays)
		} else {
			l.cut(s.controls[leader].cmd.Process.Pid, bothWays)
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { // before the old leader can have noticed
		_, err := client.Confirm(t.Context(), &controlv1.ConfirmRequest{IntentId: "cut-off", Digest: planned.GetPlan().GetDigest(), Operator: "e2e"})
		if err == nil {
			t.Error("a leader that is cut off has accepted an intent")
		}
	})
	wg.Go(func() {
		claimed, err := client.Claim(t.Context(), &controlv1.ClaimRequest{Workspace: "crew", Key: "key", Digest: make([]byte, 32),
			ClaimId: "claim", Endpoint: "desk-0", Agent: "agent-0", Incarnation: 1, AgentAddr: s.agentAddrs[0]})
		if err == nil {
			t.Errorf("a leader that is cut off has decided a claim: %v", claimed)
		}
	})
	s.accept(t, addWorkspace("majority"))
	wg.Wait()
	agent := agentv1.NewAgentClient(dial(t, s.agentAddrs[0]))
	endpoint := s.endpoint(t, "engine-0")
	order := &agentv1.OrderRequest{Endpoint: "engine-0", Incarnation: endpoint.GetIncarnation(),
		Fence: fence.GetFence(), Kind: agentv1.OrderKind_ORDER_KIND_READ_BACK, OrderId: "look"}
	eventually(t, "the agent hears of the next leader", func() error {
		response, err := agent.Order(t.Context(), order)
		if err == nil && response.GetHighestFence() <= fence.GetFence() {
			err = fmt.Errorf("token %d", response.GetHighestFence())
		}
		return err
	})
	order.Kind, order.Role, order.OrderId = agentv1.OrderKind_ORDER_KIND_CHANGE_ROLE, "prefill", "late"
	_, err = agent.Order(t.Context(), order)
	is.True(fault.Is(err, fault.Fenced))
	for _, l := range links {
		l.heal()
	}
	eventually(t, "the old leader follows", func() error { return ready(s.controlAdmin[leader]) })
	s.awaitServing(t)
	names := ""
	for _, w := range s.configuration(t).GetWorkspaces() {
		names += w.GetName() + " "
	}
	is.Equal(names, "crew majority ")
}

// endpoint returns the record of an endpoint.
func (s *site) endpoint(t *testing.T, id string) *fleetv1.Endpoint {
	t.Helper()
	for _, e := range s.configuration(t).GetEndpoints() {
		if e.GetId() == id {
			return e
		}
	}
	t.Fatalf("no endpoint %s", id)
	return nil
}

// Entries and the agent of a leaving endpoint are cut off from the control
// replicas in silence, first the entries alone and then all together. The
// endpoint gets no new work; once nobody's knowledge is fresh, calls are not run.
func TestCutFromControlClosesGate(t *testing.T) {
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.FullPartition}, Step: "entries, then agents and entries, cut off from control over a leave", Combined: true, SeparateProcesses: true,
		Guard: "the gate's refusals for endpoints that do not serve, and on knowledge that is too old, each alone"}.Log(t)
	proof.Cell{Promise: proof.NotRun, Faults: []proof.Fault{proof.FullPartition}, Step: "agents and entries cut off from control", Combined: true, SeparateProcesses: true,
		Guard: "the gate's refusal on knowledge that is too old"}.Log(t)
	is := is.New(t)
	s := allocate(t, replicas)
	links := map[string][]*forwarder{}
	for i := range hosts {
		for _, name := range []string{fmt.Sprintf("entry-%d", i), fmt.Sprintf("agent-%d", i)} {
			links[name], s.controlOf[name] = forwardTo(t, s.control)
		}
	}
	s.startAll(t)
	c := s.caller()
	cutOff := func(names ...string) {
		for _, name := range names {
			for _, l := range links[name] {
				l.cut(anyone, bothWays)
			}
		}
	}
	cutOff("entry-0", "entry-1")
	revision := s.accept(t, leave("leave-0", "desk-0"))
	eventually(t, "the agent acts on the leave", func() error { return s.daemonActsOn(t, "agent-0", revision) })
	before := s.list(t, 0, notesPath)
	is.Equal(s.notes(c, "entries"), 0) // not one without an outcome
	is.Equal(s.list(t, 0, notesPath), before)

	cutOff("agent-0", "agent-1")
	s.accept(t, leave("leave-1", "desk-1"))
	eventually(t, "calls are refused", func() error {
		result, err := c.Call(t.Context(), 0, http.MethodPut, notesPath, []byte("probe"), "")
		if err != nil || result.Outcome != outcomeNotRun {
			return fmt.Errorf("%v, outcome %q", err, result.Outcome)
		}
		return nil
	})
	var ran [hosts][]byte
	for i := range ran {
		ran[i] = s.list(t, i, notesPath)
	}
	is.Equal(s.notes(c, "all"), 0)
	for i := range ran {
		is.Equal(s.list(t, i, notesPath), ran[i]) // refused, not run
	}
	w := &swap{body: "closed.", key: caller.NewKey()}
	w.send(c, 0)
	w.check(t, s.runs(t, w.body))
	is.True(len(w.answers) == 1 && w.answers[0].Outcome == outcomeNotRun)
	for _, list := range links {
		for _, l := range list {
			l.heal()
		}
	}
	s.accept(t, &controlv1.Intent{Id: "back", Operator: "e2e", Endpoints: []*controlv1.EndpointChange{
		{Id: "desk-1", State: fleetv1.EndpointState_ENDPOINT_STATE_SERVING},
	}})
	s.awaitServing(t)
	is.True(!bytes.Contains(s.list(t, 0, notesPath), []byte("all-"))) // what came late ran nowhere either
}

// notes sends idempotent calls through both entries and returns how many ended
// without a stated outcome.
func (s *site) notes(c *caller.Caller, name string) (unstated int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range 20 {
		wg.Go(func() {
			result, err := c.Call(context.Background(), i, http.MethodPut, notesPath, []byte(fmt.Sprintf("%s-%d", name, i)), "")
			mu.Lock()
			defer mu.Unlock()
			if err != nil || result.Outcome == "" {
				unstated++
			}
		})
	}
	wg.Wait()
	return unstated
}

// An entry is cut off from the agents in the middle of calls that are not
// idempotent: in silence both ways, one way each, or by broken connections. The
// callers repeat them through the other entry, and what was held back arrives
// when the cut heals.
func TestCutDuringClaimedCalls(t *testing.T) {
	const calls, rounds = 6, 8
	const step = 5 * time.Millisecond
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.FullPartition, proof.OneWayPartition, proof.DelayedMessages, proof.ReorderedMessages},
		Step: "0 to 35 ms after the calls are sent", Combined: true, SeparateProcesses: true,
		Guard: "a key is granted to one claim (package contract)"}.Log(t)
	s := allocate(t, replicas)
	var links []*forwarder
	links, s.advertised = forwardTo(t, s.agentAddrs)
	s.serviceTime = 20 * time.Millisecond
	s.startAll(t)
	c := s.caller()
	kinds := []cut{bothWays, {up: true}, {down: true}, {}}
	for round := range rounds {
		early, late := make([]*swap, calls), make([]*swap, calls)
		var wg sync.WaitGroup
		for j := range calls {
			early[j] = &swap{body: fmt.Sprintf("cut-%d-%d.", round, j), key: caller.NewKey()}
			late[j] = &swap{body: early[j].body, key: early[j].key}
			wg.Go(func() { early[j].send(c, 0) })
		}
		time.Sleep(time.Duration(round) * step)
		kind := kinds[round%len(kinds)]
		for _, l := range links {
			if kind == (cut{}) {
				l.reset()
			} else {
				l.cut(s.fronts[0].cmd.Process.Pid, kind)
			}
		}
		var repeats sync.WaitGroup
		for _, w := range late {
			repeats.Go(func() { w.send(c, 1) })
		}
		repeats.Wait()
		for _, l := range links {
			l.heal()
		}
		wg.Wait()
		for j, w := range late {
			w.answers = append(w.answers, early[j].answers...)
			w.send(c, 0)
			w.check(t, s.runs(t, w.body))
		}
	}
}

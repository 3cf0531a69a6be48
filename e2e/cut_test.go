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
	"github.com/lilackeel/lilackeel/gate"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/standin/caller"
)

// fullPartition blocks both directions.
var fullPartition = partition{up: true, down: true}

// dial returns a connection to one daemon that is closed when the test ends.
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

// workspaceIntent returns an intent that creates a workspace with the same name as the intent.
func workspaceIntent(name string) *controlv1.Intent {
	return &controlv1.Intent{Id: name, Operator: "e2e", Workspaces: []*fleetv1.Workspace{{Name: name, Importance: 1}}}
}

// The leader is partitioned from its peers without a connection error, but operators, entries
// and agents still reach it. It must decide nothing: an intent that it is asked to accept never
// takes effect, it grants no claim, and an agent that knows the next leader refuses orders with
// the old leader's fencing token.
func TestPartitionedLeaderDecidesNothing(t *testing.T) {
	proof.Cell{Promise: proof.DurableConfiguration, Faults: []proof.Fault{proof.FullPartition, proof.DelayedMessages}, Step: "intent, claim and order of a partitioned leader", Combined: true, SeparateProcesses: true,
		Guard: "the agent's refusal of lower fencing tokens"}.Log(t)
	is := is.New(t)
	s := newStoppedSite(t, replicas)
	var forwarders []*forwarder
	forwarders, s.peerAddrs = startForwarders(t, s.controlAddrs)
	s.startAll(t)
	leader := s.leader(t)
	client := controlv1.NewControlClient(dial(t, s.controlAddrs[leader]))
	plan, err := client.Plan(t.Context(), &controlv1.PlanRequest{Intent: workspaceIntent("cut-off")})
	is.NoErr(err)
	fence, err := client.ReadFence(t.Context(), &controlv1.ReadFenceRequest{})
	is.NoErr(err)
	for i, f := range forwarders {
		if i == leader {
			f.partition(anyProcess, fullPartition)
		} else {
			f.partition(s.controlProcs[leader].cmd.Process.Pid, fullPartition)
		}
	}
	var wg sync.WaitGroup
	wg.Go(func() { // before the old leader can have noticed the partition
		_, err := client.Confirm(t.Context(), &controlv1.ConfirmRequest{IntentId: "cut-off", Digest: plan.GetPlan().GetDigest(), Operator: "e2e"})
		if err == nil {
			t.Error("the partitioned leader accepted an intent")
		}
	})
	wg.Go(func() {
		claimed, err := client.Claim(t.Context(), &controlv1.ClaimRequest{Workspace: "crew", Key: "key", Digest: make([]byte, 32),
			ClaimId: "claim", Endpoint: "desk-0", Agent: "agent-0", Incarnation: 1, AgentAddr: s.agentAddrs[0]})
		if err == nil {
			t.Errorf("the partitioned leader decided a claim: %v", claimed)
		}
	})
	s.acceptIntent(t, workspaceIntent("majority"))
	wg.Wait()
	agent := agentv1.NewAgentClient(dial(t, s.agentAddrs[0]))
	endpoint := s.endpoint(t, "engine-0")
	order := &agentv1.OrderRequest{Endpoint: "engine-0", Incarnation: endpoint.GetIncarnation(),
		Fence: fence.GetFence(), Kind: agentv1.OrderKind_ORDER_KIND_READ_BACK, OrderId: "look"}
	eventually(t, "the agent knows the next leader", func() error {
		response, err := agent.Order(t.Context(), order)
		if err == nil && response.GetHighestFence() <= fence.GetFence() {
			err = fmt.Errorf("token %d", response.GetHighestFence())
		}
		return err
	})
	order.Kind, order.Role, order.OrderId = agentv1.OrderKind_ORDER_KIND_CHANGE_ROLE, "prefill", "late"
	_, err = agent.Order(t.Context(), order)
	is.True(fault.Is(err, fault.Fenced))
	for _, f := range forwarders {
		f.heal()
	}
	eventually(t, "the old leader becomes a follower", func() error { return checkReady(s.controlAdminAddrs[leader]) })
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

// Entries and the agents of leaving endpoints are partitioned from the control replicas without a
// connection error, first the entries alone and then all of them. An endpoint must get no new work
// once its agent knows of its leave, and no call may run once the last confirmation that any daemon
// can have is older than the gate's freshness limit.
//
// The forwarders are at the addresses that the replicas know each other by. Daemons learn these
// addresses from the configuration feed and use them when a source of their own list goes stale, so
// that a partition of the listed addresses alone would be bypassed after a second.
func TestCutFromControlClosesGate(t *testing.T) {
	proof.Cell{Promise: proof.Leaving, Faults: []proof.Fault{proof.FullPartition}, Step: "entries, then agents and entries, partitioned from control during a leave", Combined: true, SeparateProcesses: true,
		Guard: "the gate's refusals for endpoints that are not serving, and on a stale configuration, each alone"}.Log(t)
	proof.Cell{Promise: proof.NotRun, Faults: []proof.Fault{proof.FullPartition}, Step: "agents and entries partitioned from control", Combined: true, SeparateProcesses: true,
		Guard: "the gate's refusal on a stale configuration"}.Log(t)
	is := is.New(t)
	s := newStoppedSite(t, replicas)
	var forwarders []*forwarder
	forwarders, s.peerAddrs = startForwarders(t, s.controlAddrs)
	for i := range hosts {
		s.controlAddrsFor[fmt.Sprintf("entry-%d", i)] = s.peerAddrs
		s.controlAddrsFor[fmt.Sprintf("agent-%d", i)] = s.peerAddrs
	}
	s.startAll(t)
	c := s.caller()
	cutOff := func(daemons []*process) {
		for _, daemon := range daemons {
			for _, f := range forwarders {
				f.partition(daemon.cmd.Process.Pid, fullPartition)
			}
		}
	}
	cutOff(s.entryProcs)
	revision := s.acceptIntent(t, leaveIntent("leave-0", "desk-0"))
	eventually(t, "the agent applies the leave", func() error { return s.daemonAtRevision(t, "agent-0", revision) })
	before := s.listEffects(t, 0, notesPath)
	is.Equal(s.sendNotes(c, "entries"), 0) // every call got an outcome
	is.Equal(s.listEffects(t, 0, notesPath), before)

	cutOff(s.agentProcs)
	cutAt := time.Now()
	withheld := s.acceptIntent(t, leaveIntent("leave-1", "desk-1"))
	for i := 0; time.Since(cutAt) <= gate.DefaultLimits().Freshness; i++ { // calls may still run
		_, err := c.Call(t.Context(), i, http.MethodPut, notesPath, []byte("probe"), "")
		is.NoErr(err)
		time.Sleep(20 * time.Millisecond)
	}
	var ran [hosts][]byte
	for i := range ran {
		ran[i] = s.listEffects(t, i, notesPath)
	}
	is.Equal(ran[0], before)
	is.Equal(s.sendNotes(c, "all"), 0)
	for i := range ran {
		is.Equal(s.listEffects(t, i, notesPath), ran[i]) // refused, not run
	}
	for i := range hosts { // the partition held, and it was an agent that refused
		is.True(s.readMetric(t, s.agentAdminAddrs[i], "lilackeel_agent_configuration_revision") != fmt.Sprint(withheld))
		is.True(s.readMetric(t, s.entryAdminAddrs[i], `lilackeel_entry_agent_refusals_total{kind="stale"}`) != "")
	}
	call := &nonIdempotentCall{body: "closed.", key: caller.NewKey()}
	call.send(c, 0)
	call.check(t, s.runCount(t, call.body))
	is.True(len(call.results) == 1 && call.results[0].Outcome == outcomeNotRun)
	for _, f := range forwarders {
		f.heal()
	}
	s.acceptIntent(t, &controlv1.Intent{Id: "back", Operator: "e2e", Endpoints: []*controlv1.EndpointChange{
		{Id: "desk-1", State: fleetv1.EndpointState_ENDPOINT_STATE_SERVING},
	}})
	s.awaitServing(t)
	is.True(!bytes.Contains(s.listEffects(t, 0, notesPath), []byte("all-"))) // delayed calls did not run later either
}

// sendNotes sends idempotent calls through both entries and returns how many of them ended
// without an outcome.
func (s *site) sendNotes(c *caller.Caller, name string) (withoutOutcome int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range 20 {
		wg.Go(func() {
			result, err := c.Call(context.Background(), i, http.MethodPut, notesPath, []byte(fmt.Sprintf("%s-%d", name, i)), "")
			mu.Lock()
			defer mu.Unlock()
			if err != nil || result.Outcome == "" {
				withoutOutcome++
			}
		})
	}
	wg.Wait()
	return withoutOutcome
}

// An entry is partitioned from the agents during calls that are not idempotent: in both
// directions, in one direction, or by connection resets. The callers repeat the calls through
// the other entry, and the blocked traffic arrives when the partition heals.
func TestPartitionDuringClaimedCalls(t *testing.T) {
	const calls, rounds = 6, 8
	const step = 5 * time.Millisecond
	proof.Cell{Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.FullPartition, proof.OneWayPartition, proof.DelayedMessages, proof.ReorderedMessages},
		Step: "0 to 35 ms after the calls are sent", Combined: true, SeparateProcesses: true,
		Guard: "a key is granted to one claim (package contract)"}.Log(t)
	s := newStoppedSite(t, replicas)
	var forwarders []*forwarder
	forwarders, s.advertisedAddrs = startForwarders(t, s.agentAddrs)
	s.serviceTime = 20 * time.Millisecond
	s.startAll(t)
	c := s.caller()
	partitions := []partition{fullPartition, {up: true}, {down: true}, {}}
	for round := range rounds {
		first, repeated := make([]*nonIdempotentCall, calls), make([]*nonIdempotentCall, calls)
		var wg sync.WaitGroup
		for j := range calls {
			first[j] = &nonIdempotentCall{body: fmt.Sprintf("cut-%d-%d.", round, j), key: caller.NewKey()}
			repeated[j] = &nonIdempotentCall{body: first[j].body, key: first[j].key}
			wg.Go(func() { first[j].send(c, 0) })
		}
		time.Sleep(time.Duration(round) * step)
		p := partitions[round%len(partitions)]
		for _, f := range forwarders {
			if p == (partition{}) {
				f.reset()
			} else {
				f.partition(s.entryProcs[0].cmd.Process.Pid, p)
			}
		}
		var repeats sync.WaitGroup
		for _, call := range repeated {
			repeats.Go(func() { call.send(c, 1) })
		}
		repeats.Wait()
		for _, f := range forwarders {
			f.heal()
		}
		wg.Wait()
		for j, call := range repeated {
			call.results = append(call.results, first[j].results...)
			call.send(c, 0)
			call.check(t, s.runCount(t, call.body))
		}
	}
}

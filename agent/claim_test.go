package agent

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/gate"
	"github.com/lilackeel/lilackeel/proof"
	"github.com/lilackeel/lilackeel/standin"
)

// claimedCall returns a claimed call to the service.
func (s *fixture) claimedCall(claim string) *agentv1.DispatchRequest {
	return &agentv1.DispatchRequest{
		RequestId: claim, Attempt: 1, Endpoint: "service", Method: http.MethodPost, Path: "/swaps",
		ClaimId: claim, ClaimTicketNs: s.daemon.lockedGate.ticket(),
		Headers: []*controlv1.Header{{Name: standin.HeaderIdempotencyKey, Value: claim}},
	}
}

// Guards against a claimed call that is canceled or run again when its caller disconnects: a repeated
// dispatch and a revocation must get the recorded answer.
func TestClaimedCallRunsOnceAndIsRecorded(t *testing.T) {
	proof.Cell{
		Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.LostMessages, proof.DuplicatedMessages}, Step: "the entry leaves while its claimed call runs, and another asks again",
		Guard: "dispatcher.callContext, and the end being recorded before it is sent, each alone", Combined: true,
	}.Log(t)
	is := is.New(t)
	service := standin.NewService(0)
	s := newFixture(t, map[string]http.Handler{"service": service})
	service.SetFaults(standin.Faults{Stall: true})
	claim := s.claimedCall(gate.ClaimID("k", s.daemon.lockedGate.ticket()))
	claim.ClaimTicketNs = 0
	is.Equal(s.dispatch(claim).refused.GetKind(), string(fault.Invalid)) // the claim id belongs to another ticket: not run
	claim = s.claimedCall("claim")
	ctx, disconnect := context.WithCancel(t.Context())
	first := make(chan reply, 1)
	go func() { first <- s.dispatchContext(ctx, claim, nil) }()
	s.waitUntil("the call runs", func() bool { return len(service.Effects()) == 1 })
	disconnect()
	is.True((<-first).err != nil)
	repeated := make(chan reply, 1)
	go func() { repeated <- s.dispatch(s.claimedCall("claim")) }()
	revoke := func() *agentv1.RevokeResponse {
		return must(s.client.Revoke(t.Context(), &agentv1.RevokeRequest{ClaimId: "claim", Incarnation: s.daemon.lockedGate.incarnation()}))
	}
	is.Equal(revoke().GetState(), agentv1.RevokeState_REVOKE_STATE_RUNNING)
	service.SetFaults(standin.Faults{})
	got := <-repeated
	is.Equal(string(got.body), `{"done":"","number":1}`)
	is.Equal(revoke().GetState(), agentv1.RevokeState_REVOKE_STATE_ANSWERED)
	is.Equal(revoke().GetAnswer().GetBody(), got.body)
	is.Equal(len(service.Effects()), 1)

	claim = s.claimedCall("early")
	claim.Incarnation = s.daemon.lockedGate.incarnation()
	is.NoErr(s.daemon.service.Dispatch(claim, &recordingStream{ctx: t.Context(), send: func(r *agentv1.DispatchResponse) {
		if r.GetEnd() != nil { // the answer can be read as soon as the end arrives
			state := s.daemon.lockedGate.revoke(&agentv1.RevokeRequest{ClaimId: "early", Incarnation: claim.GetIncarnation()}).GetState()
			is.Equal(state, agentv1.RevokeState_REVOKE_STATE_ANSWERED)
		}
	}}))
}

// recordingStream calls send with each response at the moment it is sent.
type recordingStream struct {
	grpc.ServerStream
	ctx  context.Context
	send func(*agentv1.DispatchResponse)
}

func (c *recordingStream) Context() context.Context { return c.ctx }
func (c *recordingStream) Send(r *agentv1.DispatchResponse) error {
	c.send(r)
	return nil
}

// Guards against an agent that serves an endpoint which the configuration assigns to another agent.
func TestEndpointOfAnotherAgentIsRefused(t *testing.T) {
	is := is.New(t)
	s := newFixture(t, map[string]http.Handler{"service": standin.NewService(0)})
	is.True(s.dispatch(s.claimedCall("mine")).end != nil)
	revision := s.replica.Revision()
	s.replica.mu.Lock()
	s.replica.publish([]*fleetv1.Endpoint{{Id: "service", Agent: "other", State: fleetv1.EndpointState_ENDPOINT_STATE_SERVING}})
	s.replica.mu.Unlock()
	s.waitUntil("the configuration is in force", func() bool { return s.daemon.lockedGate.revision() > revision })
	got := s.dispatch(s.claimedCall("theirs"))
	is.Equal(got.refusedKind(), fault.Unavailable)
}

// Guards against a claimed call that runs twice, or that runs although a caller was told that it has not
// run, when copies and revocations of it arrive concurrently at its agent and at the agent's successor.
func TestConcurrentDuplicatesAndRevocations(t *testing.T) {
	proof.Cell{
		Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.DuplicatedMessages, proof.ReorderedMessages, proof.Restart}, Step: "copies and a revocation race at an agent and at its successor",
		Guard: "the incarnation checks, claims.repeat and the closing on revocation, each alone", Combined: true,
	}.Log(t)
	proof.Cell{
		Promise: proof.NotRun, Faults: []proof.Fault{proof.DuplicatedMessages, proof.ReorderedMessages, proof.Restart}, Step: "copies and a revocation race at an agent and at its successor",
		Guard: "the incarnation checks, claims.repeat and the closing on revocation, each alone", Combined: true,
	}.Log(t)
	is := is.New(t)
	const claims, copies = 40, 3
	service := standin.NewService(time.Millisecond)
	s := newFixture(t, map[string]http.Handler{"service": service})
	successor := newFixture(t, map[string]http.Handler{"service": service})
	own := s.daemon.lockedGate.incarnation()
	var mu sync.Mutex
	denied, ended := map[string]bool{}, map[string]int{}
	var group sync.WaitGroup
	for i := range claims {
		id := fmt.Sprint("claim-", i)
		template := s.claimedCall(id)
		template.Incarnation = own
		for range copies {
			group.Go(func() {
				got := s.dispatch(proto.CloneOf(template))
				late := successor.dispatch(proto.CloneOf(template))
				mu.Lock()
				defer mu.Unlock()
				is.Equal(late.refusedKind(), fault.Fenced)
				denied[id] = denied[id] || got.refused != nil
				if got.end != nil {
					ended[id]++
				}
			})
		}
		group.Go(func() {
			r := &agentv1.RevokeRequest{ClaimId: id, Incarnation: own}
			state := must(s.client.Revoke(t.Context(), r)).GetState()
			unknown := must(successor.client.Revoke(t.Context(), r)).GetState()
			mu.Lock()
			defer mu.Unlock()
			is.Equal(unknown, agentv1.RevokeState_REVOKE_STATE_UNKNOWN)
			denied[id] = denied[id] || state == agentv1.RevokeState_REVOKE_STATE_NOT_RUN
		})
	}
	group.Wait()
	runs := map[string]int{}
	for _, effect := range service.Effects() {
		runs[effect.Key]++
	}
	for i := range claims {
		id := fmt.Sprint("claim-", i)
		want := 1
		if denied[id] {
			want = 0
		}
		is.Equal(runs[id], want)
		is.Equal(ended[id], want*copies) // all copies get the answer, or none does
	}
	t.Log("denied", len(denied), "run", len(runs))
}

// Guards against a claimed call that the HTTP transport retries when the endpoint closes the connection
// after running it, even if the call carries an idempotency key.
func TestTransportDoesNotRepeatClaims(t *testing.T) {
	proof.Cell{
		Promise: proof.AtMostOnce, Faults: []proof.Fault{proof.LostMessages}, Step: "the endpoint closes the connection after running a claimed call",
		Guard: "endpointClient.singleUse and nonReplayableBody, both together",
	}.Log(t)
	is := is.New(t)
	var runs atomic.Int32
	drop := rawResponse("")
	s := newFixture(t, map[string]http.Handler{"service": http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			return
		}
		runs.Add(1)
		if r.Method == http.MethodPost && !r.Close {
			t.Error("a claimed call arrived on a keep-alive connection")
		}
		drop(w, r)
	})})
	warm := &agentv1.DispatchRequest{Endpoint: "service", Method: http.MethodGet, Path: "/"}
	is.True(s.dispatch(warm).end != nil) // leaves an idle connection
	got := s.dispatch(s.claimedCall("a"))
	is.True(got.broken.GetMayHaveRun())
	is.Equal(runs.Load(), int32(1))
	again := &agentv1.DispatchRequest{Endpoint: "service", Method: http.MethodPut, Path: "/", Headers: []*controlv1.Header{}}
	is.True(s.dispatch(warm).end != nil)
	is.True(s.dispatch(again).broken != nil) // retried on a new connection, where it fails again
	is.Equal(runs.Load(), int32(3))
	bad := s.claimedCall("bad")
	bad.Headers[0].Value = "a\nb"
	got = s.dispatch(bad)
	is.Equal(got.refusedKind(), fault.Invalid)
	bad = s.claimedCall("bad path")
	bad.Path = "@example.com/"
	got = s.dispatch(bad)
	is.Equal(got.refusedKind(), fault.Invalid)
	unreachable := newFixture(t, map[string]http.Handler{"service": drop})
	e := unreachable.daemon.service.dispatcher.endpoints["service"]
	e.URL = "http://127.0.0.1:1"
	unreachable.daemon.service.dispatcher.endpoints["service"] = e
	got = unreachable.dispatch(unreachable.claimedCall("b"))
	is.Equal(got.refusedKind(), fault.Unavailable)
	state := must(unreachable.client.Revoke(t.Context(), &agentv1.RevokeRequest{ClaimId: "b", Incarnation: unreachable.daemon.lockedGate.incarnation()})).GetState()
	is.Equal(state, agentv1.RevokeState_REVOKE_STATE_NOT_RUN)
}

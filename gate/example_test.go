package gate_test

import (
	"fmt"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/gate"
)

// A claimed call is admitted once. Its delayed duplicate gets the outcome, and a
// claim that was revoked before its dispatch arrived is refused.
func ExampleGate_Admit() {
	const incarnation = 7
	now := time.Hour
	g := gate.New(incarnation, gate.DefaultLimits(), []gate.Endpoint{{ID: "billing-1", Slots: 2}})
	g.Configure(1, map[string]fleetv1.EndpointState{"billing-1": fleetv1.EndpointState_ENDPOINT_STATE_SERVING})
	g.Confirm(1, now)

	dispatch := func(unique string) *agentv1.DispatchRequest {
		ticket := int64(now)
		return &agentv1.DispatchRequest{
			Endpoint: "billing-1", Incarnation: incarnation,
			ClaimId: gate.ClaimID(unique, ticket), ClaimTicketNs: ticket,
		}
	}

	first := dispatch("first")
	fmt.Println("admitted:", g.Admit(now, first).Decision == gate.Admit)
	g.Finish(now, first, gate.Incomplete, nil)
	fmt.Println("may have run:", g.Admit(now, first).Decision == gate.Unknown)

	second := dispatch("second")
	answer := g.Revoke(now, &agentv1.RevokeRequest{ClaimId: second.GetClaimId(), Incarnation: incarnation})
	fmt.Println("revoked:", answer.GetState())
	fmt.Println("refused:", g.Admit(now, second).Fault.Message)
	// Output:
	// admitted: true
	// may have run: true
	// revoked: REVOKE_STATE_NOT_RUN
	// refused: the claim was closed before it could start
}

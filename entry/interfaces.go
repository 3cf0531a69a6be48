package entry

import (
	"context"
	"math/rand/v2"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/pick"
)

// AdmissionRequest describes a request that is to be admitted.
type AdmissionRequest struct {
	Workspace string
	// Pool is the set of endpoints that the request is addressed to.
	Pool string
	// Priority is the priority inside the workspace; higher goes first.
	Priority int
	// Tokens is the size of the request in tokens: prompt and expected answer.
	Tokens int
	// Deadline is the time left for the request.
	Deadline time.Duration
}

// Admitter admits requests by the importance of their workspaces. It refuses early those that it
// does not expect to admit in time. Errors are faults; release must be called once after success.
type Admitter interface {
	// Admit blocks until the request is admitted or refused, or ctx ends.
	Admit(ctx context.Context, a AdmissionRequest) (release func(), err error)
}

// Picker chooses the endpoint of a call. pick.Picker implements it.
type Picker interface {
	// Pick returns the chosen endpoint and the explanation of the choice. The error is a fault, of
	// kind NotFound if no endpoint matches the request.
	Pick(now time.Duration, rng *rand.Rand, r *pick.Request) (endpoint.Endpoint, pick.Explain, error)
}

// Stream is the stream of responses to one dispatch.
type Stream interface {
	// Recv waits for the next response. It returns io.EOF after the last one.
	Recv() (*agentv1.DispatchResponse, error)
}

// Agents calls agents by their address. Errors are faults: kind Unknown means that the agent may
// have received the request, any other kind that it has not.
type Agents interface {
	// Dispatch sends one attempt; ctx bounds the whole stream.
	Dispatch(ctx context.Context, addr string, r *agentv1.DispatchRequest) (Stream, error)
	// Revoke queries the state of a claim, and closes the claim if its call has not started.
	Revoke(ctx context.Context, addr string, r *agentv1.RevokeRequest) (*agentv1.RevokeResponse, error)
}

// Claims calls the control replicas, which store claims. Errors are faults.
type Claims interface {
	// Claim claims an idempotency key and returns its current holder.
	Claim(ctx context.Context, r *controlv1.ClaimRequest) (*controlv1.ClaimResponse, error)
	// Settle records the final state of a claim.
	Settle(ctx context.Context, r *controlv1.SettleRequest) (*controlv1.SettleResponse, error)
}

// TargetResolver resolves endpoints to dispatch targets, and relates the freshness of the entry's
// configuration to the agents' clocks.
type TargetResolver interface {
	// Resolve completes the address of an endpoint with the agent's current incarnation and latest
	// ticket; ticketed is false if there is no ticket that can be used.
	Resolve(e *endpoint.Endpoint) (t call.Target, ticketed bool)
	// Renew returns a target with the current incarnation and ticket of its endpoint; ok is false if
	// the endpoint has been removed.
	Renew(t call.Target) (renewed call.Target, ok bool)
	// Freshness returns the freshness of the entry's configuration in the clock of the agent at
	// addr; nil if it is not known.
	Freshness(addr string) *agentv1.Freshness
}

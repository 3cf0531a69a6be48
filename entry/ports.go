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

// Admission is what the admission of a request needs to know.
type AdmissionRequest struct {
	// Workspace is the caller's workspace.
	Workspace string
	// Pool is the set of endpoints that the request is addressed to.
	Pool string
	// Priority is the priority inside the workspace; higher goes first.
	Priority int
	// Tokens is the size of the request: prompt and expected answer.
	Tokens int
	// Deadline is the time left for the request.
	Deadline time.Duration
}

// Admitter lets requests in by the importance of their workspaces. Admit waits
// for its turn at most until ctx ends, and refuses early what would not get one.
// The error is a fault; release must be called once after success.
type Admitter interface {
	// Admit blocks until the request is admitted, refused, or ctx ends.
	Admit(ctx context.Context, a AdmissionRequest) (release func(), err error)
}

// Picker chooses the endpoint of a call; pick.Picker is one.
type Picker interface {
	// Pick returns the endpoint and how it was chosen. The error is a fault, of
	// kind NotFound if no endpoint matches the request.
	Pick(now time.Duration, rng *rand.Rand, r *pick.Request) (endpoint.Endpoint, pick.Explain, error)
}

// Stream is the answer of one dispatch.
type Stream interface {
	// Recv waits for the next response. It returns io.EOF after the last one.
	Recv() (*agentv1.DispatchResponse, error)
}

// Agents reaches agents by their address. Errors are faults; the kind is
// Unknown if the agent may have received the request, any other kind proves
// that it has not.
type Agents interface {
	// Dispatch sends one attempt; ctx bounds the whole stream.
	Dispatch(ctx context.Context, addr string, r *agentv1.DispatchRequest) (Stream, error)
	// Revoke asks what became of a claim, and closes it if it has not started.
	Revoke(ctx context.Context, addr string, r *agentv1.RevokeRequest) (*agentv1.RevokeResponse, error)
}

// Claims reaches the control replicas that keep claims. Errors are faults.
type Claims interface {
	// Claim asks for an idempotency key, and returns who holds it.
	Claim(ctx context.Context, r *controlv1.ClaimRequest) (*controlv1.ClaimResponse, error)
	// Settle records how a claim ended.
	Settle(ctx context.Context, r *controlv1.SettleRequest) (*controlv1.SettleResponse, error)
}

// Knowledge is what the entry knows of an agent's clock and of its own feed.
type TargetResolver interface {
	// Target completes the address of an endpoint with the agent's present
	// incarnation and its latest ticket; ticketed is false without one.
	Resolve(e *endpoint.Endpoint) (t call.Target, ticketed bool)
	// Renew returns the present incarnation and ticket of a target's endpoint;
	// ok is false when the endpoint is gone.
	Renew(t call.Target) (renewed call.Target, ok bool)
	// Freshness returns how fresh the entry's knowledge is in the clock of the
	// agent at addr; nil when it cannot say.
	Freshness(addr string) *agentv1.Freshness
}

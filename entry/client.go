package entry

import (
	"context"
	"time"

	"google.golang.org/grpc"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/link/replicas"
)

const (
	// streamWindow bounds the buffered part of an answer whose caller reads slowly, in bytes.
	streamWindow = 64 << 10
	// connectionWindow is the flow-control window shared by all answers of one agent, in bytes.
	connectionWindow = 4 << 20
	// revokeTimeout is the timeout of a Revoke call to an agent.
	revokeTimeout = time.Second
)

// NewPool returns the connection pool of an entry to agents and control replicas.
func NewPool(options []grpc.DialOption) *link.Pool {
	bounded := append(options[:len(options):len(options)],
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connectionWindow),
	)
	return link.NewPool(bounded...)
}

// remoteAgents implements Agents by gRPC.
type remoteAgents struct{ pool *link.Pool }

// NewAgents returns an Agents that uses the connections of pool.
func NewAgents(pool *link.Pool) Agents { return &remoteAgents{pool} }

func (a *remoteAgents) client(addr string) (agentv1.AgentClient, error) {
	connection, err := a.pool.Get(addr)
	if err != nil {
		return nil, err
	}
	return agentv1.NewAgentClient(connection), nil
}

// Dispatch implements Agents.
func (a *remoteAgents) Dispatch(ctx context.Context, addr string, r *agentv1.DispatchRequest) (Stream, error) {
	client, err := a.client(addr)
	if err != nil {
		return nil, err
	}
	return client.Dispatch(ctx, r)
}

// Revoke implements Agents.
func (a *remoteAgents) Revoke(ctx context.Context, addr string, r *agentv1.RevokeRequest) (*agentv1.RevokeResponse, error) {
	client, err := a.client(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, revokeTimeout)
	defer cancel()
	return client.Revoke(ctx, r)
}

// remoteClaims implements Claims by calls to the control replicas, of which the leader decides.
type remoteClaims struct{ finder *replicas.Finder }

// NewClaims returns a Claims that calls the control replicas of cfg.
func NewClaims(cfg Config, pool *link.Pool) Claims {
	return &remoteClaims{finder: replicas.New(pool, cfg.Control)}
}

// Claim implements Claims.
func (c *remoteClaims) Claim(ctx context.Context, r *controlv1.ClaimRequest) (response *controlv1.ClaimResponse, err error) {
	err = c.callReplicas(ctx, func(ctx context.Context, client controlv1.ControlClient) (err error) {
		response, err = client.Claim(ctx, r)
		return err
	})
	return response, err
}

// Settle implements Claims.
func (c *remoteClaims) Settle(ctx context.Context, r *controlv1.SettleRequest) (response *controlv1.SettleResponse, err error) {
	err = c.callReplicas(ctx, func(ctx context.Context, client controlv1.ControlClient) (err error) {
		response, err = client.Settle(ctx, r)
		return err
	})
	return response, err
}

// callReplicas calls the replicas in turn until one decides, in one round at most. Unavailable is
// the response of a replica that is stopping, or that finds an endpoint's lease expired.
func (c *remoteClaims) callReplicas(ctx context.Context, call func(context.Context, controlv1.ControlClient) error) error {
	var unavailable error
	err := c.finder.CallUntil(ctx, call, func(err error) bool {
		if f := fault.As(err); f != nil && f.Kind == fault.Unavailable && f.Cause == nil {
			unavailable = err
		}
		return isDecision(err)
	})
	if err == nil || isDecision(err) {
		return err
	}
	if unavailable != nil {
		return unavailable
	}
	return fault.New(fault.NoQuorum, "no control replica gave a decision", "retry later").WithCause(err)
}

// isDecision reports whether a fault is the decision of a replica. Faults of the connection are
// recognized by their Cause, which only faults created in this process have.
func isDecision(err error) bool {
	f := fault.As(err)
	if f == nil || f.Cause != nil {
		return false
	}
	switch f.Kind {
	case fault.NotLeader, fault.NoQuorum, fault.Unavailable, fault.Unknown, fault.Internal:
		return false
	}
	return true
}

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
	// streamWindow bounds what is buffered of an answer whose caller reads
	// slowly, in bytes.
	streamWindow = 64 << 10
	// connectionWindow is shared by all answers of one agent, in bytes.
	connectionWindow = 4 << 20
	// controlTimeout bounds one question to one control replica.
	controlTimeout = time.Second
)

// NewPool returns the connections of an entry to agents and control replicas.
func NewPool(options []grpc.DialOption) *link.Pool {
	bounded := append(options[:len(options):len(options)],
		grpc.WithInitialWindowSize(streamWindow),
		grpc.WithInitialConnWindowSize(connectionWindow),
	)
	return link.NewPool(bounded...)
}

// remoteAgents reaches agents by gRPC. It is an Agents.
type remoteAgents struct{ pool *link.Pool }

// NewAgents returns the agents that are reached through the pool.
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
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	return client.Revoke(ctx, r)
}

// remoteClaims asks the control replica that decides. It is a Claims.
type remoteClaims struct{ finder *replicas.Finder }

// NewClaims returns the claims that the control replicas of cfg keep.
func NewClaims(cfg Config, pool *link.Pool) Claims {
	return &remoteClaims{finder: replicas.New(pool, cfg.Control)}
}

// Claim implements Claims.
func (c *remoteClaims) Claim(ctx context.Context, r *controlv1.ClaimRequest) (answer *controlv1.ClaimResponse, err error) {
	err = c.ask(ctx, func(ctx context.Context, client controlv1.ControlClient) (err error) {
		answer, err = client.Claim(ctx, r)
		return err
	})
	return answer, err
}

// Settle implements Claims.
func (c *remoteClaims) Settle(ctx context.Context, r *controlv1.SettleRequest) (answer *controlv1.SettleResponse, err error) {
	err = c.ask(ctx, func(ctx context.Context, client controlv1.ControlClient) (err error) {
		answer, err = client.Settle(ctx, r)
		return err
	})
	return answer, err
}

// ask asks the replicas in turn, one round at most. Unavailable is the answer of a replica
// that is stopping, or of one that finds an endpoint's lease expired.
func (c *remoteClaims) ask(ctx context.Context, question func(context.Context, controlv1.ControlClient) error) error {
	var unavailable error
	err := c.finder.AskUntil(ctx, question, func(err error) bool {
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
	return fault.New(fault.NoQuorum, "no control replica decided", "ask again later").WithCause(err)
}

// isDecision reports whether a fault is the answer of a replica that decides.
// A fault that stems from the connection has a cause in this process.
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

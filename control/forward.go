package control

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/fault"
)

const (
	// forwardedKey marks a call that another replica has forwarded, so that two replicas that
	// take each other for the leader do not forward it back and forth.
	forwardedKey = "lilackeel-forwarded"
	// localKey asks a replica to answer with its own knowledge only.
	localKey    = "lilackeel-local"
	metadataSet = "1"
	// failoverTimeout is how long a call waits for a leader; it is longer than an election
	// takes. failoverPollInterval is the delay between two attempts.
	failoverTimeout      = 3 * time.Second
	failoverPollInterval = 50 * time.Millisecond
)

// clientMethod is a method of the Control client.
type clientMethod[Request, Response any] func(controlv1.ControlClient, context.Context, *Request, ...grpc.CallOption) (*Response, error)

// leaderCall is a call that only the leader can decide.
type leaderCall[Request, Response any] struct {
	service *service
	request *Request
	remote  clientMethod[Request, Response]
	local   func(context.Context, *leadership) (*Response, error)
	// redirect is set for a call that is sent periodically: its caller is told the leader's
	// address instead, so that it need not be forwarded each time.
	redirect bool
	// atMostOnce is set for a call that must not be retried if it may already have been
	// decided. All other calls carry an ID by which the state detects duplicates.
	atMostOnce bool
}

// decide handles the call if this replica leads, or forwards it to the leader. During a change
// of leaders it waits and retries.
func decide[Request, Response any](
	ctx context.Context,
	s *service,
	request *Request,
	remote clientMethod[Request, Response],
	local func(context.Context, *leadership) (*Response, error),
) (*Response, error) {
	c := leaderCall[Request, Response]{service: s, request: request, remote: remote, local: local}
	return c.run(ctx)
}

func (c leaderCall[Request, Response]) run(ctx context.Context) (*Response, error) {
	if _, hasDeadline := ctx.Deadline(); !hasDeadline {
		withTimeout, cancel := context.WithTimeout(ctx, decideTimeout)
		defer cancel()
		ctx = withTimeout
	}
	var uncertain error
	for started := time.Now(); ; {
		changed := c.service.log.LeaderChanged()
		response, err := c.try(ctx, changed)
		if err == nil {
			return response, nil
		}
		if fault.Is(err, fault.Unknown) {
			uncertain = err
		}
		// A replica that has been without a leader for longer than a failover takes may be cut off
		// or left out of the cluster: the caller is better served by another one at once.
		waited := max(time.Since(started), c.service.log.LeaderlessFor())
		if !c.retryable(err) || ctx.Err() != nil || hasMetadata(ctx, forwardedKey) || waited > failoverTimeout {
			return nil, finalError(err, uncertain)
		}
		waitForLeaderChange(ctx, changed)
	}
}

// try makes one attempt, here or at the leader. It stops waiting for a leader that has been
// replaced.
func (c leaderCall[Request, Response]) try(ctx context.Context, changed <-chan struct{}) (*Response, error) {
	log := c.service.log
	if current := c.service.leadership.current(); current != nil {
		return c.local(ctx, current)
	}
	id, addr, _, self := log.Leader()
	if id == 0 || self || c.redirect || hasMetadata(ctx, forwardedKey) {
		return nil, notLeading(log)
	}
	conn, err := c.service.pool.Get(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(metadata.AppendToOutgoingContext(ctx, forwardedKey, metadataSet))
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	return c.remote(controlv1.NewControlClient(conn), ctx, c.request)
}

// retryable reports whether another attempt may succeed and can do no harm.
func (c leaderCall[Request, Response]) retryable(err error) bool {
	switch fault.KindOf(err) {
	case fault.NotLeader:
		return !c.redirect
	case fault.NoQuorum, fault.Unavailable:
		return true
	case fault.Unknown:
		return !c.atMostOnce
	}
	return false
}

// finalError returns the last error. If an earlier attempt may have been decided and the last
// error does not come from the state, it returns the earlier error instead.
func finalError(last, uncertain error) error {
	switch fault.KindOf(last) {
	case fault.NotLeader, fault.NoQuorum, fault.Unavailable, fault.Overloaded:
		if uncertain != nil {
			return uncertain
		}
	}
	return last
}

// waitForLeaderChange waits until the leader changes, but at most for failoverPollInterval: a
// new leader becomes ready only some time after its election.
func waitForLeaderChange(ctx context.Context, changed <-chan struct{}) {
	timer := time.NewTimer(failoverPollInterval)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// hasMetadata reports whether the incoming call carries the metadata key.
func hasMetadata(ctx context.Context, key string) bool {
	incoming, _ := metadata.FromIncomingContext(ctx)
	return len(incoming.Get(key)) > 0
}

package agent

import (
	"context"
	"sync"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/gate"
	"github.com/lilackeel/lilackeel/ratelimit"
)

// freshnessSource is the part of the feed client that a lockedGate needs. Freshness returns the last
// revision that a quorum has confirmed, and when.
type freshnessSource interface {
	Freshness() (revision uint64, at time.Time, ok bool)
}

// lockedGate makes the gate safe for concurrent use and passes it the readings of the agent's clock. The
// mutex is held for one decision at a time.
type lockedGate struct {
	clock     *clock
	agent     string
	freshness freshnessSource

	mu   sync.Mutex
	gate *gate.Gate
	// claimDone holds, by claim id, a channel for each running claim that other dispatches wait for. It
	// is closed when the claim ends.
	claimDone map[string]chan struct{}
}

func newLockedGate(s *Settings, i incarnation, c *clock, freshness freshnessSource) *lockedGate {
	return &lockedGate{
		clock:     c,
		agent:     s.Name,
		freshness: freshness,
		gate:      gate.New(uint64(i), s.Limits, gateEndpoints(s.Endpoints)),
		claimDone: make(map[string]chan struct{}),
	}
}

// incarnation returns the incarnation of the agent. It never changes, so the mutex is not needed.
func (g *lockedGate) incarnation() uint64 { return g.gate.Incarnation() }

func (g *lockedGate) ticket() int64 { return int64(g.clock.now()) }

// configure puts a configuration into force. Endpoints that the configuration assigns to another agent
// are not served.
func (g *lockedGate) configure(view *feed.View) {
	states := make(map[string]fleetv1.EndpointState)
	for id, e := range view.Endpoints.All() {
		if e.GetAgent() == g.agent {
			states[id] = e.GetState()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Configure(view.Revision, states)
}

func (g *lockedGate) admit(d *agentv1.DispatchRequest) gate.Verdict {
	revision, at, ok := g.freshness.Freshness()
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		g.gate.Confirm(revision, g.clock.at(at))
	}
	return g.gate.Admit(g.clock.now(), d)
}

// rateLimits returns the rate limits that endpoints advertise. The arbiter has a mutex of its own.
func (g *lockedGate) rateLimits() *ratelimit.Arbiter { return g.gate.RateLimits() }

// learnRateLimit records the rate limit in the response to a request that was sent at the given time,
// if there is a valid one.
func (g *lockedGate) learnRateLimit(endpoint string, sent time.Duration, text string) {
	rate, ok := ratelimit.Parse(text)
	if !ok {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.now()
	g.gate.LearnRateLimit(now, endpoint, ratelimit.Limit{Rate: rate, SentAt: sent, ReceivedAt: now})
}

// recordPushback records that an endpoint has requested a pause.
func (g *lockedGate) recordPushback(endpoint string, pause time.Duration) {
	countPushback(endpoint)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.RecordPushback(g.clock.now(), endpoint, pause)
}

// recordAccepted records that an endpoint has accepted a request that was sent at the given time.
func (g *lockedGate) recordAccepted(endpoint string, sent time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.RecordAccepted(endpoint, sent)
}

// recordLeaving records whether the response to a request that was sent at the given time announces
// that the endpoint is about to stop.
func (g *lockedGate) recordLeaving(endpoint string, sent time.Duration, leaving bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.RecordLeaving(g.clock.now(), endpoint, sent, leaving)
}

// announcedLeaving reports whether an endpoint's responses announce that it is about to stop.
func (g *lockedGate) announcedLeaving(endpoint string) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.AnnouncedLeaving(endpoint)
}

// checkSend admits one request to an endpoint unless the endpoint is in a pause.
func (g *lockedGate) checkSend(endpoint string) *fault.Error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.CheckSend(g.clock.now(), endpoint)
}

// processEnded records that an endpoint's process has ended.
func (g *lockedGate) processEnded(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.ProcessEnded(g.clock.now(), endpoint)
}

// admitPoll reports whether an endpoint may be polled now, and whether it advertises a rate limit.
func (g *lockedGate) admitPoll(endpoint string) (ok, limited bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.AdmitPoll(g.clock.now(), endpoint)
}

func (g *lockedGate) finish(d *agentv1.DispatchRequest, outcome gate.Outcome, answer *controlv1.Answer) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Finish(g.clock.now(), d, outcome, answer)
	if done, waited := g.claimDone[d.GetClaimId()]; waited {
		close(done)
		delete(g.claimDone, d.GetClaimId())
	}
}

// awaitClaim waits until the claim of a dispatch is no longer running, or until ctx ends.
func (g *lockedGate) awaitClaim(ctx context.Context, d *agentv1.DispatchRequest) error {
	done := g.doneChannel(d)
	if done == nil {
		return nil
	}
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// doneChannel returns a channel that is closed when the claim of a dispatch ends; nil if it is not
// running.
func (g *lockedGate) doneChannel(d *agentv1.DispatchRequest) <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.gate.Running(d.GetClaimId()) {
		return nil
	}
	done := g.claimDone[d.GetClaimId()]
	if done == nil {
		done = make(chan struct{})
		g.claimDone[d.GetClaimId()] = done
	}
	return done
}

func (g *lockedGate) revoke(r *agentv1.RevokeRequest) *agentv1.RevokeResponse {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Revoke(g.clock.now(), r)
}

func (g *lockedGate) admitOrder(o *agentv1.OrderRequest) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.AdmitOrder(o)
}

func (g *lockedGate) learnFence(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.LearnFence(token)
}

func (g *lockedGate) raiseFence(token uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.RaiseFence(token)
}

func (g *lockedGate) fence() (highest uint64, known bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Fence()
}

func (g *lockedGate) stop() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gate.Stop()
}

func (g *lockedGate) drain() gate.Drain {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Drain()
}

func (g *lockedGate) inFlight() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.InFlight()
}

func (g *lockedGate) inFlightAt(endpoint string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.InFlightAt(endpoint)
}

func (g *lockedGate) revision() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gate.Revision()
}

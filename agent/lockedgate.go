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

// freshnessSource is what a lockedGate asks of the feed.
type freshnessSource interface {
	Freshness() (revision uint64, at time.Time, ok bool)
}

// lockedGate guards the gate: one decision at a time, at the time of the clock.
type lockedGate struct {
	clock     *clock
	agent     string
	freshness freshnessSource

	mu   sync.Mutex
	gate *gate.Gate
	// ends holds a channel for each running claim that others wait for.
	ends map[string]chan struct{}
}

func newLockedGate(s *Settings, i incarnation, c *clock, freshness freshnessSource) *lockedGate {
	return &lockedGate{
		clock:     c,
		agent:     s.Name,
		freshness: freshness,
		gate:      gate.New(uint64(i), s.Limits, gated(s.Endpoints)),
		ends:      make(map[string]chan struct{}),
	}
}

// incarnation never changes, so it needs no lock.
func (k *lockedGate) incarnation() uint64 { return k.gate.Incarnation() }

func (k *lockedGate) ticket() int64 { return int64(k.clock.now()) }

// configure puts a configuration in force. Endpoints that the configuration
// gives to another agent are not served.
func (k *lockedGate) configure(view *feed.View) {
	states := make(map[string]fleetv1.EndpointState)
	for id, e := range view.Endpoints.All() {
		if e.GetAgent() == k.agent {
			states[id] = e.GetState()
		}
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Configure(view.Revision, states)
}

func (k *lockedGate) admit(d *agentv1.DispatchRequest) gate.Verdict {
	revision, at, ok := k.freshness.Freshness()
	k.mu.Lock()
	defer k.mu.Unlock()
	if ok {
		k.gate.Confirm(revision, k.clock.at(at))
	}
	return k.gate.Admit(k.clock.now(), d)
}

// limits are the rate limits that endpoints name. They have a lock of their own.
func (k *lockedGate) limits() *ratelimit.Arbiter { return k.gate.RateLimits() }

// named takes in what an endpoint has named in its answer to a request that was sent at a time.
func (k *lockedGate) named(endpoint string, sent time.Duration, text string) {
	rate, ok := ratelimit.Parse(text)
	if !ok {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.now()
	k.gate.LearnRateLimit(now, endpoint, ratelimit.Limit{Rate: rate, SentAt: sent, ReceivedAt: now})
}

// pushedBack notes that an endpoint wants nothing for a pause.
func (k *lockedGate) pushedBack(endpoint string, pause time.Duration) {
	countPushback(endpoint)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.RecordPushback(k.clock.now(), endpoint, pause)
}

// taken notes that an endpoint has not rejected a request that was sent at a time.
func (k *lockedGate) taken(endpoint string, sent time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.RecordAccepted(endpoint, sent)
}

// saidLeaving takes in whether an answer says that its endpoint is about to stop.
func (k *lockedGate) saidLeaving(endpoint string, sent time.Duration, leaving bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.RecordLeaving(k.clock.now(), endpoint, sent, leaving)
}

// goes reports whether an endpoint's answers say that it is about to stop.
func (k *lockedGate) goes(endpoint string) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.AnnouncedLeaving(endpoint)
}

// checkSend lets one request be sent to an endpoint, unless that is in a pause.
func (k *lockedGate) checkSend(endpoint string) *fault.Error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.CheckSend(k.clock.now(), endpoint)
}

// ended notes that an endpoint's process has ended.
func (k *lockedGate) ended(endpoint string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.ProcessEnded(k.clock.now(), endpoint)
}

// admitPoll reports whether an endpoint may be polled now, and whether it names a rate limit.
func (k *lockedGate) admitPoll(endpoint string) (ok, limited bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.AdmitPoll(k.clock.now(), endpoint)
}

func (k *lockedGate) finish(d *agentv1.DispatchRequest, outcome gate.Outcome, answer *controlv1.Answer) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Finish(k.clock.now(), d, outcome, answer)
	if end, waited := k.ends[d.GetClaimId()]; waited {
		close(end)
		delete(k.ends, d.GetClaimId())
	}
}

// awaitEnd waits until a running claim has ended, or for ctx.
func (k *lockedGate) awaitEnd(ctx context.Context, d *agentv1.DispatchRequest) error {
	end := k.endOf(d)
	if end == nil {
		return nil
	}
	select {
	case <-end:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// endOf returns a channel that closes when the claim ends; nil if it has.
func (k *lockedGate) endOf(d *agentv1.DispatchRequest) <-chan struct{} {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.gate.Running(d.GetClaimId()) {
		return nil
	}
	end := k.ends[d.GetClaimId()]
	if end == nil {
		end = make(chan struct{})
		k.ends[d.GetClaimId()] = end
	}
	return end
}

func (k *lockedGate) revoke(r *agentv1.RevokeRequest) *agentv1.RevokeResponse {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.Revoke(k.clock.now(), r)
}

func (k *lockedGate) admitOrder(o *agentv1.OrderRequest) error {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.AdmitOrder(o)
}

func (k *lockedGate) learnFence(token uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.LearnFence(token)
}

func (k *lockedGate) raiseFence(token uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.RaiseFence(token)
}

func (k *lockedGate) fence() (highest uint64, known bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.Fence()
}

func (k *lockedGate) stop() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.gate.Stop()
}

func (k *lockedGate) drain() gate.Drain {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.Drain()
}

func (k *lockedGate) inFlight() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.InFlight()
}

func (k *lockedGate) inFlightAt(endpoint string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.InFlightAt(endpoint)
}

func (k *lockedGate) revision() uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.gate.Revision()
}

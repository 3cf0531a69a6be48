package gate

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/ratelimit"
)

// pollShare is the share of an endpoint's rate limit that the agent's own polls may use.
const pollShare = 1.0 / 8

// RateLimits returns the arbiter of the rate limits that endpoints advertise.
func (g *Gate) RateLimits() *ratelimit.Arbiter { return g.rates }

// LearnRateLimit updates the rate limit that an endpoint advertises.
func (g *Gate) LearnRateLimit(now time.Duration, endpoint string, limit ratelimit.Limit) {
	g.rates.Learn(now, ratelimit.EndpointLimit{Endpoint: endpoint, Limit: limit})
}

// RecordPushback records that an endpoint has asked for a pause.
func (g *Gate) RecordPushback(now time.Duration, endpoint string, pause time.Duration) {
	if e := g.endpoints[endpoint]; e != nil {
		e.pause.Extend(now, pause)
	}
}

// RecordAccepted records that an endpoint did not reject a request sent at the given time.
func (g *Gate) RecordAccepted(endpoint string, sent time.Duration) {
	if e := g.endpoints[endpoint]; e != nil {
		e.pause.RecordAccepted(sent)
	}
}

// RecordLeaving records whether the response to a request sent at the given time announces that the
// endpoint is about to stop. A response without the announcement is from the next process if its
// request was sent after the last announcement.
func (g *Gate) RecordLeaving(now time.Duration, endpoint string, sent time.Duration, leaving bool) {
	e := g.endpoints[endpoint]
	switch {
	case e == nil:
	case leaving:
		e.announcedLeaving, e.announcedAt = true, now
	case sent > e.announcedAt:
		e.announcedLeaving = false
	}
}

// AnnouncedLeaving reports whether an endpoint's responses announce that it is about to stop.
func (g *Gate) AnnouncedLeaving(endpoint string) bool {
	e := g.endpoints[endpoint]
	return e != nil && e.announcedLeaving
}

// CheckSend admits one request of any kind to an endpoint unless the endpoint is in a pause. It
// must be called for each request right before it is sent.
func (g *Gate) CheckSend(now time.Duration, endpoint string) *fault.Error {
	if e := g.endpoints[endpoint]; e != nil && !e.pause.Take(now) {
		return errPaused(endpoint, e.pause.BlockedUntil(now)-now)
	}
	return nil
}

// ProcessEnded records that an endpoint's process has ended. The next process has advertised no
// limit, asked for no pause and is not leaving.
func (g *Gate) ProcessEnded(now time.Duration, endpoint string) {
	g.LearnRateLimit(now, endpoint, ratelimit.Limit{Rate: ratelimit.Unlimited, SentAt: now, ReceivedAt: now})
	if e := g.endpoints[endpoint]; e != nil {
		e.pause, e.announcedLeaving = ratelimit.Pause{}, false
	}
}

// checkRate admits a dispatch if the endpoint's rate limit allows it. An agent that has restarted
// learns the limit from the sender.
func (g *Gate) checkRate(now time.Duration, d *agentv1.DispatchRequest) *fault.Error {
	limit, ok := ratelimit.FromProto(now, d.GetRateLimit())
	if !ok || limit.Endpoint != d.GetEndpoint() {
		limit = withoutLimit(d.GetEndpoint())
	}
	if permit := g.rates.Acquire(now, limit, 0); !permit.Granted {
		return errRateLimited(d.GetEndpoint(), permit)
	}
	return nil
}

// withoutLimit returns the limit of a sender that knows of none. It supersedes no other limit.
func withoutLimit(endpoint string) ratelimit.EndpointLimit {
	return ratelimit.EndpointLimit{Endpoint: endpoint, Limit: ratelimit.Limit{Rate: ratelimit.Unlimited}}
}

// AdmitPoll reports whether the agent may poll an endpoint now, and whether the endpoint advertises
// a limit.
func (g *Gate) AdmitPoll(now time.Duration, endpoint string) (ok, limited bool) {
	e := g.endpoints[endpoint]
	limit, limited := g.rates.Limit(endpoint)
	if e != nil && e.pause.BlockedUntil(now) > 0 {
		return false, limited
	}
	if e == nil || !limited {
		return true, false
	}
	if now-e.lastPoll < time.Duration(float64(time.Second)/max(limit.Rate*pollShare, minPollRate)) {
		return false, true
	}
	if !g.rates.Acquire(now, withoutLimit(endpoint), 0).Granted {
		return false, true
	}
	e.lastPoll = now
	return true, true
}

// minPollRate is the minimum rate of polls, in polls per second, at an endpoint with a very low
// limit.
const minPollRate = 1.0 / 60

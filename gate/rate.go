package gate

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/ratelimit"
)

// pollPart is the part of an endpoint's rate limit that the agent's own polls may take.
const pollPart = 1.0 / 8

// Rates returns the rate limits that endpoints name, by their ids.
func (g *Gate) RateLimits() *ratelimit.Arbiter { return g.rates }

// Named takes in the rate limit that an endpoint has named.
func (g *Gate) LearnRateLimit(now time.Duration, endpoint string, limit ratelimit.Limit) {
	g.rates.Learn(now, ratelimit.EndpointLimit{Endpoint: endpoint, Limit: limit})
}

// PushedBack notes that an endpoint wants nothing for a pause.
func (g *Gate) RecordPushback(now time.Duration, endpoint string, pause time.Duration) {
	if e := g.endpoints[endpoint]; e != nil {
		e.pause.Extend(now, pause)
	}
}

// Taken notes that an endpoint has not rejected a request that was sent at a time.
func (g *Gate) RecordAccepted(endpoint string, sent time.Duration) {
	if e := g.endpoints[endpoint]; e != nil {
		e.pause.RecordAccepted(sent)
	}
}

// SaidLeaving takes in whether an answer to a request that was sent at a time says that the
// endpoint is about to stop. One that does not is of the next process, if it was asked later.
func (g *Gate) RecordLeaving(now time.Duration, endpoint string, sent time.Duration, leaving bool) {
	e := g.endpoints[endpoint]
	switch {
	case e == nil:
	case leaving:
		e.goes, e.saidAt = true, now
	case sent > e.saidAt:
		e.goes = false
	}
}

// Goes reports whether an endpoint's answers say that it is about to stop.
func (g *Gate) AnnouncedLeaving(endpoint string) bool {
	e := g.endpoints[endpoint]
	return e != nil && e.goes
}

// CheckSend lets one request of any kind be sent to an endpoint, unless that is in a pause. It is
// asked for each of them right before it is sent.
func (g *Gate) CheckSend(now time.Duration, endpoint string) *fault.Error {
	if e := g.endpoints[endpoint]; e != nil && !e.pause.Take(now) {
		return errPaused(endpoint, e.pause.BlockedUntil(now)-now)
	}
	return nil
}

// Ended notes that an endpoint's process has ended: the next one has named no limit,
// asked for no pause and does not leave.
func (g *Gate) ProcessEnded(now time.Duration, endpoint string) {
	g.LearnRateLimit(now, endpoint, ratelimit.Limit{Rate: ratelimit.Unlimited, SentAt: now, ReceivedAt: now})
	if e := g.endpoints[endpoint]; e != nil {
		e.pause, e.goes = ratelimit.Pause{}, false
	}
}

// checkRate lets a dispatch pass if the endpoint's rate limit allows one more. An agent that
// has started anew learns the limit from the sender.
func (g *Gate) checkRate(now time.Duration, d *agentv1.DispatchRequest) *fault.Error {
	named, ok := ratelimit.FromProto(now, d.GetRateLimit())
	if !ok || named.Endpoint != d.GetEndpoint() {
		named = unnamed(d.GetEndpoint())
	}
	if permit := g.rates.Acquire(now, named, 0); !permit.Granted {
		return errRateLimited(d.GetEndpoint(), permit)
	}
	return nil
}

// unnamed is what a sender says that knows of no limit. It supersedes nothing.
func unnamed(endpoint string) ratelimit.EndpointLimit {
	return ratelimit.EndpointLimit{Endpoint: endpoint, Limit: ratelimit.Limit{Rate: ratelimit.Unlimited}}
}

// AdmitPoll reports whether the agent may poll an endpoint now, and whether that names a limit.
func (g *Gate) AdmitPoll(now time.Duration, endpoint string) (ok, limited bool) {
	e := g.endpoints[endpoint]
	limit, limited := g.rates.Limit(endpoint)
	if e != nil && e.pause.BlockedUntil(now) > 0 {
		return false, limited
	}
	if e == nil || !limited {
		return true, false
	}
	if now-e.polled < time.Duration(float64(time.Second)/max(limit.Rate*pollPart, leastPolls)) {
		return false, true
	}
	if !g.rates.Acquire(now, unnamed(endpoint), 0).Granted {
		return false, true
	}
	e.polled = now
	return true, true
}

// leastPolls is the rate of polls, in polls a second, at an endpoint that takes hardly anything.
const leastPolls = 1.0 / 60

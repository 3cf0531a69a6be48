package gate

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/ratelimit"
)

func errWrongIncarnation(own uint64) *fault.Error {
	return fault.Newf(fault.Fenced, "read the configuration again and use the agent's new incarnation",
		"the agent has restarted as incarnation %d", own)
}

func errStopping() *fault.Error {
	return fault.New(fault.Leaving, "the agent is stopping", "retry: other hosts accept the call")
}

func errNoEndpoint(id string) *fault.Error {
	return fault.Newf(fault.NotFound, "read the configuration again",
		"endpoint %q does not belong to this agent", id)
}

func errLeaving(id string) *fault.Error {
	return fault.Newf(fault.Leaving, "choose another endpoint", "endpoint %q is leaving", id)
}

func errNotConfigured(id string) *fault.Error {
	return fault.Newf(fault.Unavailable, "wait until the configuration lists the endpoint, or choose another",
		"endpoint %q is not in the agent's configuration", id).RetryIn(retryAfterNotConfigured)
}

func errStale(bound time.Duration) *fault.Error {
	return fault.Newf(fault.Stale, "retry after the given time; if the error persists, check that a majority of control replicas is running",
		"neither the agent nor the sender has heard from a quorum within %v", bound).RetryIn(retryAfterStale)
}

func errEndpointFull(id string) *fault.Error {
	return fault.Newf(fault.Overloaded, "choose another endpoint or retry later",
		"endpoint %q has no free slot and its queue is full", id).RetryIn(retryAfterOverloaded)
}

func errRateLimited(id string, p ratelimit.Permit) *fault.Error {
	return fault.Newf(fault.RateLimited, "choose another endpoint or retry after the given time",
		"endpoint %q accepts at most %v requests per second", id, p.Limit).RetryIn(p.Wait)
}

func errPaused(id string, wait time.Duration) *fault.Error {
	return fault.Newf(fault.RateLimited, "choose another endpoint or retry after the given time",
		"endpoint %q has asked for a pause", id).RetryIn(wait)
}

func errClaimClosed() *fault.Error {
	return fault.New(fault.Fenced, "the claim was closed before it could start", "claim again with a new claim id")
}

func errTicketOutsideWindow(window time.Duration) *fault.Error {
	return fault.Newf(fault.Stale, "claim again with a newer ticket",
		"the claim's ticket was not issued by this agent within the last %v", window)
}

func errTicketMismatch() *fault.Error {
	return fault.New(fault.Invalid, "the claim id contains another ticket than the dispatch",
		"send each claim with the ticket that its id was made from")
}

func errClaimsFull() *fault.Error {
	return fault.New(fault.Overloaded, "the agent has reached its limit of remembered claims",
		"claim again later, or raise the agent's limit of claims").RetryIn(retryAfterOverloaded)
}

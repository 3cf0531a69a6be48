package gate

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/ratelimit"
)

func errIncarnation(own uint64) *fault.Error {
	return fault.Newf(fault.Fenced, "read the configuration again and use the agent's new incarnation",
		"the agent has restarted as incarnation %d", own)
}

func errStopping() *fault.Error {
	return fault.New(fault.Leaving, "the agent is stopping", "ask again: other hosts take the call")
}

func errNoEndpoint(id string) *fault.Error {
	return fault.Newf(fault.NotFound, "read the configuration again",
		"endpoint %q is not behind this agent", id)
}

func errLeaving(id string) *fault.Error {
	return fault.Newf(fault.Leaving, "choose another endpoint", "endpoint %q is leaving", id)
}

func errNotAccepted(id string) *fault.Error {
	return fault.Newf(fault.Unavailable, "wait until the configuration lists the endpoint, or choose another",
		"endpoint %q is not in the agent's configuration", id).RetryIn(retryUnknownID)
}

func errStale(bound time.Duration) *fault.Error {
	return fault.Newf(fault.Stale, "ask again after the time given; if it lasts, see that a majority of control replicas runs",
		"neither the agent nor the sender has heard from a quorum within %v", bound).RetryIn(retryStale)
}

func errFull(id string) *fault.Error {
	return fault.Newf(fault.Overloaded, "choose another endpoint or try again later",
		"endpoint %q has all its slots and its queue taken", id).RetryIn(retryOverloaded)
}

func errRateLimited(id string, p ratelimit.Permit) *fault.Error {
	return fault.Newf(fault.RateLimited, "choose another endpoint or ask again after the time given",
		"endpoint %q takes no more than %v requests a second", id, p.Limit).RetryIn(p.Wait)
}

func errPaused(id string, wait time.Duration) *fault.Error {
	return fault.Newf(fault.RateLimited, "choose another endpoint or ask again after the time given",
		"endpoint %q has asked for a pause", id).RetryIn(wait)
}

func errClosed() *fault.Error {
	return fault.New(fault.Fenced, "the claim was closed before it could start", "claim again with a new claim id")
}

func errTicket(window time.Duration) *fault.Error {
	return fault.Newf(fault.Stale, "claim again with a newer ticket",
		"the claim's ticket is not from the last %v of this agent", window)
}

func errTicketMismatch() *fault.Error {
	return fault.New(fault.Invalid, "the claim id names another ticket than the dispatch",
		"send each claim with the ticket that its id was made from")
}

func errClaimsFull() *fault.Error {
	return fault.New(fault.Overloaded, "the agent remembers as many claims as it may",
		"claim again later, or raise the agent's limit of claims").RetryIn(retryOverloaded)
}

package pick

import (
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/fault"
)

const (
	// retryUnavailable is the RetryAfter if endpoints have left: about the time
	// that a change of the table takes to reach every entry.
	retryUnavailable = 2 * time.Second
	// minRetryAfter and maxRetryAfter bound the RetryAfter given to a caller.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// errNoEndpoint returns the error for a key without a serving endpoint.
func errNoEndpoint(view *endpoint.View, key endpoint.Key) error {
	switch {
	case !view.HasPool(key.Pool):
		return fault.Newf(fault.NotFound, "check the name of the pool, or wait for its first endpoint to join",
			"pool %q has no endpoint", key.Pool)
	case !view.HasModel(key):
		return fault.Newf(fault.NotFound, "check the model, version and adapter, or submit an intent that serves them",
			"no endpoint of pool %q serves model %q version %q adapter %q", key.Pool, key.Model, key.Version, key.Adapter)
	}
	return fault.Newf(fault.Unavailable, "retry later, or add an endpoint",
		"all endpoints of pool %q for model %q are leaving or stopped", key.Pool, key.Model).RetryIn(retryUnavailable)
}

// errAllTried returns the error for a call that has been tried at all endpoints.
func errAllTried(n int) error {
	return fault.Newf(fault.Unavailable, "retry later",
		"the call has been tried at all %d endpoints", n).RetryIn(retryUnavailable)
}

// errAllFull returns the error if no endpoint has a free slot or queue place.
func errAllFull(n int, soonest time.Duration) error {
	return fault.Newf(fault.Overloaded, "retry after the given time, or add endpoints",
		"all %d endpoints are full", n).RetryIn(clampRetryAfter(soonest))
}

// checkDeadline returns an error if the best candidate would miss the deadline.
func checkDeadline(q *Query, c *Candidate) error {
	if q.Deadline <= 0 || c.FirstToken <= q.Deadline {
		return nil
	}
	if c.FirstToken-c.Load.Wait > q.Deadline {
		return fault.Newf(fault.DeadlineTooShort, "extend the deadline, or send a shorter prompt",
			"the first token would take %v on an idle endpoint, but the deadline is %v", c.FirstToken-c.Load.Wait, q.Deadline)
	}
	return fault.Newf(fault.Overloaded, "retry after the given time, or extend the deadline",
		"the first token would take %v, but the deadline is %v", c.FirstToken, q.Deadline).RetryIn(clampRetryAfter(c.FirstToken - q.Deadline))
}

// clampRetryAfter limits d to the range from minRetryAfter to maxRetryAfter.
func clampRetryAfter(d time.Duration) time.Duration {
	return min(max(d, minRetryAfter), maxRetryAfter)
}

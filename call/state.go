package call

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// callState is the state common to Repeatable and AtMostOnce: the answer so far, the
// endpoints tried and the retries made.
type callState struct {
	options Options
	answer  assembly
	buffer  buffer
	target  Target
	// tried lists the endpoints that a retry should avoid.
	tried   []string
	retries int
	// headSent is true once the head has been written to the caller.
	headSent bool
	// lastFault is why the latest attempt failed.
	lastFault *fault.Error
	// rateLimited is the fault of the latest endpoint that was skipped because of its
	// rate limit; nil if none was.
	rateLimited *fault.Error
}

func newCallState(o Options) callState {
	return callState{options: o, answer: assembly{requestID: o.RequestID}}
}

// Counts returns the attempts, resumes and dropped responses so far.
func (s *callState) Counts() Counts { return s.answer.counts }

// isLastAttempt reports whether the policy allows no further attempt.
func (s *callState) isLastAttempt() bool {
	return s.retries+1 >= s.options.Policy.MaxAttempts
}

// mayRetry reports whether one more attempt is allowed, and withdraws it from
// the retry budget.
func (s *callState) mayRetry(now time.Duration) bool {
	if s.isLastAttempt() || now >= s.options.Deadline {
		return false
	}
	return s.options.Budget.Withdraw(now)
}

// pickAnother skips an endpoint that has reached its rate limit and picks another one at
// once. As the endpoint did not receive the call, this counts neither as a retry nor
// against the budget; each endpoint is skipped at most once.
func (s *callState) pickAnother(f *fault.Error) Action {
	s.rateLimited = f
	return Action{Kind: Pick, Exclude: s.tried}
}

// rateLimitWaitDivisor limits the wait for the rate limit of an endpoint to the remaining
// time divided by this value; the rest must suffice for the answer.
const rateLimitWaitDivisor = 2

// waitForRateLimit picks again once an endpoint accepts requests again, if the fault of a
// failed pick says when that is. ok is false if it does not, or if the wait would be too
// long for the call.
func (s *callState) waitForRateLimit(now time.Duration, f *fault.Error) (action Action, ok bool) {
	left := s.options.Deadline - now
	if f.Kind != fault.RateLimited || f.RetryAfter <= 0 || f.RetryAfter > left/rateLimitWaitDivisor {
		return Action{}, false
	}
	s.tried = nil
	return Action{Kind: Pick, Delay: f.RetryAfter}, true
}

// nextBackoff counts a retry and returns the delay before it.
func (s *callState) nextBackoff() time.Duration {
	delay := s.options.Policy.Backoff.Delay(s.options.Rand, s.retries)
	s.retries++
	return delay
}

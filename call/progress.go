package call

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// progress is what both machines know of their call: the answer so far, the
// endpoints tried and the retries made.
type progress struct {
	options  Options
	answer   assembly
	buffered buffer
	target   Target
	// tried lists the endpoints that a retry should avoid.
	tried   []string
	retries int
	// started is true once the head has been written to the caller.
	started bool
	// last is why the latest attempt failed.
	last *fault.Error
	// limited is set once an endpoint was passed over that takes no more requests now.
	limited *fault.Error
}

func newProgress(o Options) progress {
	return progress{options: o, answer: assembly{requestID: o.RequestID}}
}

// Counts returns the attempts, resumes and dropped responses so far.
func (p *progress) Counts() Counts { return p.answer.counts }

// lastAttempt reports whether the policy allows no attempt after this one.
func (p *progress) lastAttempt() bool {
	return p.retries+1 >= p.options.Policy.MaxAttempts
}

// mayRetry reports whether one more attempt is allowed, and withdraws it from
// the retry budget.
func (p *progress) mayRetry(now time.Duration) bool {
	if p.lastAttempt() || now >= p.options.Deadline {
		return false
	}
	return p.options.Budget.Withdraw(now)
}

// passOver goes on to another endpoint at once. One that takes no more requests now was not
// asked, which costs neither an attempt nor the budget; each is passed over once.
func (p *progress) passOver(f *fault.Error) Action {
	p.limited = f
	return Action{Kind: Pick, Exclude: p.tried}
}

// openingPatience is the part of the time left, as a divisor, that a call may wait for an endpoint
// to take requests again: the rest has to do for its answer.
const openingPatience = 2

// awaitOpening picks anew once an endpoint takes requests again, as the fault of a failed pick says.
// ok is false if it does not say so, or if that is too late for the call.
func (p *progress) awaitOpening(now time.Duration, f *fault.Error) (action Action, ok bool) {
	left := p.options.Deadline - now
	if f.Kind != fault.RateLimited || f.RetryAfter <= 0 || f.RetryAfter > left/openingPatience {
		return Action{}, false
	}
	p.tried = nil
	return Action{Kind: Pick, Delay: f.RetryAfter}, true
}

// nextBackoff counts a retry and returns the wait before it.
func (p *progress) nextBackoff() time.Duration {
	delay := p.options.Policy.Backoff.Delay(p.options.Rand, p.retries)
	p.retries++
	return delay
}

package call

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// Direct drives a call to endpoints that have no agent in front of them. Such a call has no
// claim: only this state machine, in the memory of the entry, prevents it from running
// twice. A retry by the caller therefore counts as a new request.
//
// Invariants: a call that must run at most once is sent again only after proof that no
// attempt has run; a verdict is NotRun only under the same proof; the call is sent to at
// most MaxAttempts endpoints.
type Direct struct {
	options DirectOptions
	// sent counts the attempts that an endpoint may have received.
	sent int
	// unsent counts the attempts that reached no endpoint.
	unsent int
	// mayHaveRun is true once an endpoint may have run an attempt.
	mayHaveRun bool
}

// DirectOptions describes one direct call.
type DirectOptions struct {
	// Deadline is when the caller must have the final answer.
	Deadline time.Duration
	// Repeatable is true for a call that may run more than once.
	Repeatable bool
	// MaxAttempts is the number of endpoints that the call may be sent to.
	MaxAttempts int
	// Backoff is the delay before a retry. RetryAfter is the Retry-After of refusals
	// whose fault does not set one.
	Backoff    Backoff
	RetryAfter time.Duration
	// Budget bounds the retries of all calls together.
	Budget *Budget
	// Rand provides the jitter of delays.
	Rand *rand.Rand
}

// maxUnreachable is how many unreachable endpoints are tried before the call is refused.
// They add no load to the endpoints but delay the caller.
const maxUnreachable = 3

// AttemptOutcome is the outcome of an attempt that ended without a complete answer.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	// Unsent: no endpoint has received any of the request.
	Unsent AttemptOutcome = iota + 1
	// Rejected: an endpoint has answered that it did not run the request.
	Rejected
	// MayHaveRun: an endpoint may have run the request.
	MayHaveRun
)

// RetryDecision is what follows an attempt: a retry or a verdict.
type RetryDecision struct {
	// Retry is true if another endpoint is to be tried after Delay.
	Retry bool
	Delay time.Duration
	// Verdict is the result of the call if there is no retry.
	Verdict *Verdict
}

// NewDirect returns the state machine of one direct call and deposits the call in the
// budget.
func NewDirect(o DirectOptions) *Direct {
	o.Budget.Deposit()
	o.MaxAttempts = max(o.MaxAttempts, 1)
	return &Direct{options: o}
}

// Attempts returns the number of attempts that an endpoint may have received.
func (d *Direct) Attempts() int { return d.sent }

// MayHaveRun reports whether an endpoint may have run an attempt.
func (d *Direct) MayHaveRun() bool { return d.mayHaveRun }

// AttemptFailed reports that an attempt ended without a complete answer.
func (d *Direct) AttemptFailed(now time.Duration, outcome AttemptOutcome, f *fault.Error) RetryDecision {
	switch outcome {
	case Unsent:
		d.unsent++
	case Rejected:
		d.sent++
	default:
		d.sent++
		d.mayHaveRun = true
	}
	if !d.mayRetry(now, outcome) {
		return RetryDecision{Verdict: d.FailureVerdict(now, f)}
	}
	delay := d.options.Backoff.Delay(d.options.Rand, d.sent+d.unsent-1)
	if now+delay >= d.options.Deadline {
		return RetryDecision{Verdict: d.FailureVerdict(now, f)}
	}
	return RetryDecision{Retry: true, Delay: delay}
}

// AttemptFailedFinally reports that an attempt that may have run ended without a complete answer, and
// that the call must not be sent to another endpoint.
func (d *Direct) AttemptFailedFinally(now time.Duration, f *fault.Error) *Verdict {
	d.sent++
	d.mayHaveRun = true
	return d.FailureVerdict(now, f)
}

// AttemptRerouted reports that an attempt was aborted to continue at another endpoint.
// Its retry has already been withdrawn from the budget.
func (d *Direct) AttemptRerouted(now time.Duration, f *fault.Error) RetryDecision {
	d.sent++
	d.mayHaveRun = true
	if now >= d.options.Deadline || !d.options.Repeatable || d.sent >= d.options.MaxAttempts {
		return RetryDecision{Verdict: d.FailureVerdict(now, f)}
	}
	return RetryDecision{Retry: true}
}

// RetryOnStatus reports whether a complete answer with this status is to be dropped in
// favour of another attempt. If so, the attempt has been counted and its retry withdrawn
// from the budget; otherwise the answer is to be delivered.
func (d *Direct) RetryOnStatus(now time.Duration, status int) (RetryDecision, bool) {
	if status < http.StatusInternalServerError || !d.options.Repeatable || d.sent+1 >= d.options.MaxAttempts {
		return RetryDecision{}, false
	}
	delay := d.options.Backoff.Delay(d.options.Rand, d.sent+d.unsent)
	if now+delay >= d.options.Deadline || !d.options.Budget.Withdraw(now) {
		return RetryDecision{}, false
	}
	d.sent++
	d.mayHaveRun = true
	return RetryDecision{Retry: true, Delay: delay}, true
}

// mayRetry reports whether another endpoint may be tried. An attempt that reached no
// endpoint counts neither as an attempt nor against the budget.
func (d *Direct) mayRetry(now time.Duration, outcome AttemptOutcome) bool {
	switch {
	case now >= d.options.Deadline, d.mayHaveRun && !d.options.Repeatable:
		return false
	case outcome == Unsent:
		return d.unsent < maxUnreachable
	case d.sent >= d.options.MaxAttempts:
		return false
	}
	return d.options.Budget.Withdraw(now)
}

// FailureVerdict returns the verdict on a call that gets no answer.
func (d *Direct) FailureVerdict(now time.Duration, f *fault.Error) *Verdict {
	late := now >= d.options.Deadline
	switch {
	case d.mayHaveRun && late:
		return &Verdict{Outcome: Unknown, Fault: f, Status: http.StatusGatewayTimeout}
	case d.mayHaveRun:
		return &Verdict{Outcome: Unknown, Fault: f}
	}
	if f.RetryAfter <= 0 && isTransient(f.Kind) {
		f = f.RetryIn(d.options.RetryAfter)
	}
	if isTransient(f.Kind) {
		return RefuseWithStatus(http.StatusServiceUnavailable, f)
	}
	return Refuse(f)
}

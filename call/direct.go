package call

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// Direct drives a call to endpoints that no agent gates. Nothing but the entry's
// own memory keeps such a call from running twice: so it must be one whose
// repeats, if the caller sends any, are requests of their own.
//
// Invariants: a call that must run at most once is sent again only after proof
// that no attempt has run; a refusal says not run only under the same proof; no
// more endpoints are sent to than MaxAttempts.
type Direct struct {
	options DirectOptions
	// sent counts the attempts that an endpoint may have received.
	sent int
	// unsent counts the attempts that reached no endpoint.
	unsent int
	// mayHaveRun is true once an endpoint may have run an attempt.
	mayHaveRun bool
}

// DirectOptions describe one direct call.
type DirectOptions struct {
	// Deadline is when the caller must have the final answer.
	Deadline time.Duration
	// Repeatable is true for a call that may run more than once.
	Repeatable bool
	// MaxAttempts is the number of endpoints that the call may be sent to.
	MaxAttempts int
	// Backoff is the wait before a retry, RetryAfter what callers are told when
	// nothing better is known.
	Backoff    Backoff
	RetryAfter time.Duration
	// Budget bounds the retries of all calls together.
	Budget *Budget
	// Rand spreads the waits.
	Rand *rand.Rand
}

// maxUnsent is how many endpoints may turn out to be out of reach before the
// call is refused. They cost the fleet nothing, but the caller time.
const maxUnsent = 3

// Progress says how far an attempt came.
type Progress int

// How far an attempt came.
const (
	// Unsent: no endpoint has got any of it.
	Unsent Progress = iota + 1
	// Rejected: an endpoint has answered that it did not run it.
	Rejected
	// Ran: it may have run.
	Ran
)

// Step is what follows from the end of an attempt.
type Step struct {
	// Again is true when another endpoint is to be tried after Delay.
	Again bool
	Delay time.Duration
	// Verdict is the final word otherwise.
	Verdict *Verdict
}

// NewDirect returns the machine of one direct call, which counts as live traffic
// in the budget.
func NewDirect(o DirectOptions) *Direct {
	o.Budget.Deposit()
	o.MaxAttempts = max(o.MaxAttempts, 1)
	return &Direct{options: o}
}

// Attempts returns the attempts that an endpoint may have received.
func (d *Direct) Attempts() int { return d.sent }

// MayHaveRun reports whether an endpoint may have run an attempt.
func (d *Direct) MayHaveRun() bool { return d.mayHaveRun }

// Ended reports the end of an attempt without a whole answer.
func (d *Direct) Ended(now time.Duration, p Progress, f *fault.Error) Step {
	switch p {
	case Unsent:
		d.unsent++
	case Rejected:
		d.sent++
	default:
		d.sent++
		d.mayHaveRun = true
	}
	if !d.mayRetry(now, p) {
		return Step{Verdict: d.GiveUp(now, f)}
	}
	delay := d.options.Backoff.Delay(d.options.Rand, d.sent+d.unsent-1)
	if now+delay >= d.options.Deadline {
		return Step{Verdict: d.GiveUp(now, f)}
	}
	return Step{Again: true, Delay: delay}
}

// Moved reports the end of an attempt that was ended to go on at another endpoint. Its
// retry has been taken out of the budget already.
func (d *Direct) Moved(now time.Duration, f *fault.Error) Step {
	d.sent++
	d.mayHaveRun = true
	if now >= d.options.Deadline || !d.options.Repeatable || d.sent >= d.options.MaxAttempts {
		return Step{Verdict: d.GiveUp(now, f)}
	}
	return Step{Again: true}
}

// ReplaceAnswer reports whether an endpoint's whole answer with this status is to
// be dropped in favour of another attempt, which it then counts and has withdrawn
// from the budget. Otherwise the answer is to be delivered.
func (d *Direct) ReplaceAnswer(now time.Duration, status int) (Step, bool) {
	if status < http.StatusInternalServerError || !d.options.Repeatable || d.sent+1 >= d.options.MaxAttempts {
		return Step{}, false
	}
	delay := d.options.Backoff.Delay(d.options.Rand, d.sent+d.unsent)
	if now+delay >= d.options.Deadline || !d.options.Budget.Withdraw(now) {
		return Step{}, false
	}
	d.sent++
	d.mayHaveRun = true
	return Step{Again: true, Delay: delay}, true
}

// mayRetry reports whether one more endpoint may be tried. An attempt that
// reached no endpoint costs neither an attempt nor the budget.
func (d *Direct) mayRetry(now time.Duration, p Progress) bool {
	switch {
	case now >= d.options.Deadline, d.mayHaveRun && !d.options.Repeatable:
		return false
	case p == Unsent:
		return d.unsent < maxUnsent
	case d.sent >= d.options.MaxAttempts:
		return false
	}
	return d.options.Budget.Withdraw(now)
}

// GiveUp returns the final word on a call that gets no answer.
func (d *Direct) GiveUp(now time.Duration, f *fault.Error) *Verdict {
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
		return RefuseWith(http.StatusServiceUnavailable, f)
	}
	return Refuse(f)
}

package fairness

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/workspace"
)

// refusal is a request that a policy turned away.
type refusal struct {
	id         string
	retryAfter time.Duration
}

// policy decides which requests run.
type policy interface {
	// arrive offers a request; it starts, waits or is refused.
	arrive(now time.Duration, r workspace.Request) (workspace.Decision, time.Duration)
	// done ends a request and returns those that start.
	done(now time.Duration, id string) []string
	// tick returns what became due by now.
	tick(now time.Duration) ([]string, []refusal)
	// wake returns when tick has something to do.
	wake(now time.Duration) (time.Duration, bool)
}

// admission is the policy under test.
type admission struct{ *workspace.Admission }

func newAdmission(config workspace.Config, slots int, limits map[string]workspace.Limits) policy {
	a := workspace.NewAdmission(config)
	a.Configure(0, limits)
	a.SetCapacity(0, slots)
	return admission{a}
}

func (a admission) arrive(now time.Duration, r workspace.Request) (workspace.Decision, time.Duration) {
	verdict, err := a.Arrive(now, r)
	if err != nil {
		return verdict, fault.As(err).RetryAfter
	}
	return verdict, 0
}

func (a admission) done(now time.Duration, id string) []string {
	return granted(a.Done(now, id))
}

func (a admission) tick(now time.Duration) ([]string, []refusal) {
	grants, refusals := a.Tick(now)
	refused := make([]refusal, len(refusals))
	for i, each := range refusals {
		refused[i] = refusal{each.ID, each.Fault.RetryAfter}
	}
	return granted(grants), refused
}

func (a admission) wake(now time.Duration) (time.Duration, bool) { return a.NextWake(now) }

func granted(grants []workspace.Grant) []string {
	ids := make([]string, len(grants))
	for i, grant := range grants {
		ids[i] = grant.ID
	}
	return ids
}

// waiting is a request in the queue of firstCome.
type waiting struct {
	id      string
	expires time.Duration
}

// firstCome is one bounded first-come-first-served queue for all workspaces. A
// request that has waited for maxWait or past its deadline leaves it.
type firstCome struct {
	free     int
	queue    []waiting
	maxQueue int
	maxWait  time.Duration
	// earliest is no later than the first expiry in the queue.
	earliest time.Duration
}

func newFirstCome(slots, maxQueue int, maxWait time.Duration) policy {
	return &firstCome{free: slots, maxQueue: maxQueue, maxWait: maxWait}
}

func (f *firstCome) arrive(now time.Duration, r workspace.Request) (workspace.Decision, time.Duration) {
	if f.free > 0 {
		f.free--
		return workspace.Admitted, 0
	}
	if len(f.queue) >= f.maxQueue {
		return workspace.Refused, time.Second
	}
	expires := now + f.maxWait
	if r.Deadline > 0 {
		expires = min(expires, r.Deadline)
	}
	if len(f.queue) == 0 || expires < f.earliest {
		f.earliest = expires
	}
	f.queue = append(f.queue, waiting{r.ID, expires})
	return workspace.Queued, 0
}

// done gives the slot to the first in the queue.
func (f *firstCome) done(time.Duration, string) []string {
	if len(f.queue) == 0 {
		f.free++
		return nil
	}
	first := f.queue[0]
	f.queue = f.queue[1:]
	return []string{first.id}
}

func (f *firstCome) tick(now time.Duration) (started []string, refused []refusal) {
	if len(f.queue) == 0 || f.earliest > now {
		return nil, nil
	}
	kept := f.queue[:0]
	f.earliest = math.MaxInt64
	for _, each := range f.queue {
		if each.expires <= now {
			refused = append(refused, refusal{each.id, time.Second})
			continue
		}
		f.earliest = min(f.earliest, each.expires)
		kept = append(kept, each)
	}
	f.queue = kept
	return nil, refused
}

func (f *firstCome) wake(time.Duration) (time.Duration, bool) {
	return f.earliest, len(f.queue) > 0
}

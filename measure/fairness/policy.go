package fairness

import (
	"math"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/workspace"
)

// refusal is a request refused by a policy.
type refusal struct {
	id         string
	retryAfter time.Duration
}

// policy is an admission policy: it decides when each request starts or is refused.
type policy interface {
	// arrive submits a request, which is admitted, queued or refused. For a
	// refusal it also returns the delay suggested before a retry.
	arrive(now time.Duration, r workspace.Request) (workspace.Decision, time.Duration)
	// complete releases the slot of a request and returns the IDs of the requests
	// that start as a result.
	complete(now time.Duration, id string) []string
	// tick returns the IDs of requests that start and the requests that are
	// refused because of timers that have expired by now.
	tick(now time.Duration) ([]string, []refusal)
	// nextWake returns when tick must be called next; false if no timer is set.
	nextWake(now time.Duration) (time.Duration, bool)
}

// admissionPolicy adapts workspace.Admission, the implementation under test.
type admissionPolicy struct{ *workspace.Admission }

func newAdmissionPolicy(config workspace.Config, slots int, limits map[string]workspace.Limits) policy {
	a := workspace.NewAdmission(config)
	a.Configure(0, limits)
	a.SetCapacity(0, slots)
	return admissionPolicy{a}
}

func (a admissionPolicy) arrive(now time.Duration, r workspace.Request) (workspace.Decision, time.Duration) {
	decision, err := a.Arrive(now, r)
	if err != nil {
		return decision, fault.As(err).RetryAfter
	}
	return decision, 0
}

func (a admissionPolicy) complete(now time.Duration, id string) []string {
	return grantedIDs(a.Done(now, id))
}

func (a admissionPolicy) tick(now time.Duration) ([]string, []refusal) {
	grants, refusals := a.Tick(now)
	refused := make([]refusal, len(refusals))
	for i, item := range refusals {
		refused[i] = refusal{item.ID, item.Fault.RetryAfter}
	}
	return grantedIDs(grants), refused
}

func (a admissionPolicy) nextWake(now time.Duration) (time.Duration, bool) { return a.NextWake(now) }

func grantedIDs(grants []workspace.Grant) []string {
	ids := make([]string, len(grants))
	for i, grant := range grants {
		ids[i] = grant.ID
	}
	return ids
}

// queuedRequest is a request in the queue of fifoPolicy.
type queuedRequest struct {
	id      string
	expires time.Duration
}

// fifoPolicy is the baseline: one bounded first-come-first-served queue for all
// workspaces. A request is refused once it has waited for maxWait or its deadline
// has passed.
type fifoPolicy struct {
	freeSlots int
	queue     []queuedRequest
	maxQueue  int
	maxWait   time.Duration
	// earliestExpiry is a lower bound of the expiry times in the queue.
	earliestExpiry time.Duration
}

func newFIFOPolicy(slots, maxQueue int, maxWait time.Duration) policy {
	return &fifoPolicy{freeSlots: slots, maxQueue: maxQueue, maxWait: maxWait}
}

func (f *fifoPolicy) arrive(now time.Duration, r workspace.Request) (workspace.Decision, time.Duration) {
	if f.freeSlots > 0 {
		f.freeSlots--
		return workspace.Admitted, 0
	}
	if len(f.queue) >= f.maxQueue {
		return workspace.Refused, time.Second
	}
	expires := now + f.maxWait
	if r.Deadline > 0 {
		expires = min(expires, r.Deadline)
	}
	if len(f.queue) == 0 || expires < f.earliestExpiry {
		f.earliestExpiry = expires
	}
	f.queue = append(f.queue, queuedRequest{r.ID, expires})
	return workspace.Queued, 0
}

// complete passes the slot to the request at the head of the queue.
func (f *fifoPolicy) complete(time.Duration, string) []string {
	if len(f.queue) == 0 {
		f.freeSlots++
		return nil
	}
	first := f.queue[0]
	f.queue = f.queue[1:]
	return []string{first.id}
}

func (f *fifoPolicy) tick(now time.Duration) (started []string, refused []refusal) {
	if len(f.queue) == 0 || f.earliestExpiry > now {
		return nil, nil
	}
	remaining := f.queue[:0]
	f.earliestExpiry = math.MaxInt64
	for _, queued := range f.queue {
		if queued.expires <= now {
			refused = append(refused, refusal{queued.id, time.Second})
			continue
		}
		f.earliestExpiry = min(f.earliestExpiry, queued.expires)
		remaining = append(remaining, queued)
	}
	f.queue = remaining
	return nil, refused
}

func (f *fifoPolicy) nextWake(time.Duration) (time.Duration, bool) {
	return f.earliestExpiry, len(f.queue) > 0
}

package workspace

import (
	"context"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/fault"
)

// Metrics of all gates of the process.
var (
	admittedTotal = metrics.NewCounter(`lilackeel_admission_requests_total{outcome="admitted"}`)
	queuedTotal   = metrics.NewCounter(`lilackeel_admission_requests_total{outcome="queued"}`)
	waitSeconds   = metrics.NewHistogram(`lilackeel_admission_wait_seconds`)
)

// The places where a request is refused, for metrics.
const (
	onArrival = "arrival"
	inQueue   = "queue"
)

// countRefusal counts a refused request by the kind of its fault.
func countRefusal(place string, err error) {
	name := fmt.Sprintf(`lilackeel_admission_refusals_total{place=%q,kind=%q}`, place, string(fault.KindOf(err)))
	metrics.GetOrCreateCounter(name).Inc()
}

// Result is what a request used.
type Result struct {
	// Tokens is the number of tokens really used; 0 means as expected.
	Tokens int
}

// Gate is an Admission that is safe for concurrent use and wakes itself up.
type Gate struct {
	clock func() time.Duration

	mu        sync.Mutex
	admission *Admission
	waiting   map[string]chan error
	sequence  uint64
	timer     *time.Timer
	// armedFor is when the timer fires; valid if armed.
	armedFor time.Duration
	armed    bool
}

// NewGate returns a gate around admission, which must not be used directly any
// more. The clock returns the time since an arbitrary start.
func NewGate(admission *Admission, clock func() time.Duration) *Gate {
	return &Gate{clock: clock, admission: admission, waiting: make(map[string]chan error)}
}

// Configure sets the limits of the named workspaces.
func (g *Gate) Configure(limits map[string]Limits) {
	g.do(func(now time.Duration) { g.admission.Configure(now, limits) })
}

// Remove forgets the limits of workspaces.
func (g *Gate) Remove(names ...string) {
	g.do(func(now time.Duration) { g.admission.Remove(now, names...) })
}

// SetCapacity sets the number of slots.
func (g *Gate) SetCapacity(slots int) {
	g.do(func(now time.Duration) { g.admission.SetCapacity(now, slots) })
}

// Load returns the present load.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Load()
}

// Hold returns how long requests hold their slots in the mean.
func (g *Gate) Hold() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Hold()
}

// Acquire waits for a slot. On success the caller must call release exactly when
// the request has ended; further calls do nothing. An error is a *fault.Error
// and means that the request has not run. An empty ID is filled in; a zero
// Deadline is taken from ctx.
func (g *Gate) Acquire(ctx context.Context, r Request) (release func(Result), err error) {
	verdict, granted, err := g.arrive(ctx, &r)
	switch {
	case err != nil:
		countRefusal(onArrival, err)
		return nil, err
	case verdict == Admitted:
		admittedTotal.Inc()
		return g.releaser(r.ID), nil
	}
	queuedTotal.Inc()
	started := g.clock()
	select {
	case err = <-granted:
	case <-ctx.Done():
		err = g.abandon(ctx, r.ID, granted)
	}
	if err != nil {
		countRefusal(inQueue, err)
		return nil, err
	}
	waitSeconds.Update((g.clock() - started).Seconds())
	return g.releaser(r.ID), nil
}

// arrive hands the request to the admission and, if it is queued, registers the
// channel on which its grant (nil) or refusal comes.
func (g *Gate) arrive(ctx context.Context, r *Request) (verdict Verdict, granted chan error, err error) {
	g.do(func(now time.Duration) {
		if r.ID == "" {
			g.sequence++
			r.ID = "gate-" + strconv.FormatUint(g.sequence, 10)
		}
		if deadline, ok := ctx.Deadline(); ok && r.Deadline == 0 {
			r.Deadline = max(now+time.Until(deadline), 1)
		}
		verdict, err = g.admission.Arrive(now, *r)
		if verdict == Queued {
			granted = make(chan error, 1)
			g.waiting[r.ID] = granted
		}
	})
	return verdict, granted, err
}

// abandon withdraws a queued request whose caller has left. A grant that came at
// the same moment is given back.
func (g *Gate) abandon(ctx context.Context, id string, granted chan error) error {
	g.do(func(now time.Duration) {
		delete(g.waiting, id)
		g.deliver(g.admission.Cancel(now, id), nil)
	})
	select {
	case err := <-granted:
		if err != nil {
			return err
		}
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlineTooShort, "not run: the deadline passed in the queue", "allow more time").WithCause(ctx.Err())
	}
	return fault.New(fault.Unavailable, "not run: the caller left the queue", "call again if it is still wanted").WithCause(ctx.Err())
}

// releaser returns the function that frees the slot of a request once.
func (g *Gate) releaser(id string) func(Result) {
	var once sync.Once
	return func(result Result) {
		once.Do(func() {
			g.do(func(now time.Duration) {
				if result.Tokens > 0 {
					g.admission.Settle(now, id, result.Tokens)
				}
				g.deliver(g.admission.Done(now, id), nil)
			})
		})
	}
}

// do runs one change under the lock, delivers what follows from it and arms the
// timer for what is due next.
func (g *Gate) do(change func(now time.Duration)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	change(now)
	g.deliver(g.admission.Tick(now))
	g.arm(now)
}

// deliver tells the waiting callers. The channels have room for one answer each,
// and each request gets one.
func (g *Gate) deliver(grants []Grant, refusals []Refusal) {
	for _, grant := range grants {
		g.answer(grant.ID, nil)
	}
	for _, refusal := range refusals {
		g.answer(refusal.ID, refusal.Fault)
	}
}

func (g *Gate) answer(id string, err error) {
	if granted, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		granted <- err
	}
}

// arm sets the timer to the next wake, if that is sooner than the one set.
func (g *Gate) arm(now time.Duration) {
	wake, ok := g.admission.NextWake(now)
	if !ok || (g.armed && g.armedFor <= wake) {
		return
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.armed = true
	g.armedFor = wake
	g.timer = time.AfterFunc(max(wake-now, 0)+time.Nanosecond, g.wake)
}

// wake runs when the timer fires.
func (g *Gate) wake() {
	g.do(func(time.Duration) { g.armed = false })
}

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

// Metrics over all gates of the process.
var (
	admittedTotal = metrics.NewCounter(`lilackeel_admission_requests_total{outcome="admitted"}`)
	queuedTotal   = metrics.NewCounter(`lilackeel_admission_requests_total{outcome="queued"}`)
	waitSeconds   = metrics.NewHistogram(`lilackeel_admission_wait_seconds`)
)

// Values of the metric label place: where a request was refused.
const (
	refusedOnArrival = "arrival"
	refusedInQueue   = "queue"
)

// countRefusal counts a refused request by the kind of its fault.
func countRefusal(place string, err error) {
	name := fmt.Sprintf(`lilackeel_admission_refusals_total{place=%q,kind=%q}`, place, string(fault.KindOf(err)))
	metrics.GetOrCreateCounter(name).Inc()
}

// Usage reports what a request consumed.
type Usage struct {
	// Tokens is the number of tokens used; 0 means as expected.
	Tokens int
}

// Gate wraps an Admission with a lock and a timer, so that it is safe for concurrent use
// and requests can block until they are admitted.
type Gate struct {
	clock func() time.Duration

	mu        sync.Mutex
	admission *Admission
	waiting   map[string]chan error
	sequence  uint64
	timer     *time.Timer
	// timerAt is when the timer fires; valid if timerSet.
	timerAt  time.Duration
	timerSet bool
}

// NewGate returns a gate around admission, which must not be used directly afterwards.
// The clock returns the time since an arbitrary start.
func NewGate(admission *Admission, clock func() time.Duration) *Gate {
	return &Gate{clock: clock, admission: admission, waiting: make(map[string]chan error)}
}

// Configure sets the limits of the named workspaces.
func (g *Gate) Configure(limits map[string]Limits) {
	g.update(func(now time.Duration) { g.admission.Configure(now, limits) })
}

// Remove removes the limits of workspaces.
func (g *Gate) Remove(names ...string) {
	g.update(func(now time.Duration) { g.admission.Remove(now, names...) })
}

// SetCapacity sets the number of slots.
func (g *Gate) SetCapacity(slots int) {
	g.update(func(now time.Duration) { g.admission.SetCapacity(now, slots) })
}

// SetLevels turns the order by level on or off, see Config.Levels.
func (g *Gate) SetLevels(on bool) {
	g.update(func(now time.Duration) { g.admission.SetLevels(now, on) })
}

// QueuedUpTo returns how many requests of a level and of higher-priority ones are queued; where
// levels are off, all that are queued.
func (g *Gate) QueuedUpTo(level int) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.queuedUpTo(level)
}

func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.Load()
}

// MeanHoldTime returns the mean time that requests hold their slots.
func (g *Gate) MeanHoldTime() time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.admission.MeanHoldTime()
}

// MeasuredHoldTime returns the mean time that requests hold their slots; ok is false, and the mean
// zero, if none has been measured.
func (g *Gate) MeasuredHoldTime() (mean time.Duration, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.admission.holdTime.samples == 0 {
		return 0, false
	}
	return g.admission.MeanHoldTime(), true
}

// Acquire waits for a slot. On success the caller must call release when the request has
// ended; only the first call has an effect. An error is a *fault.Error and means that the
// request has not run. An empty ID is generated; a zero Deadline is taken from ctx.
func (g *Gate) Acquire(ctx context.Context, r Request) (release func(Usage), err error) {
	decision, result, err := g.arrive(ctx, &r)
	switch {
	case err != nil:
		countRefusal(refusedOnArrival, err)
		return nil, err
	case decision == Admitted:
		admittedTotal.Inc()
		return g.releaser(r.ID), nil
	}
	queuedTotal.Inc()
	started := g.clock()
	select {
	case err = <-result:
	case <-ctx.Done():
		err = g.abandon(ctx, r.ID, result)
	}
	if err != nil {
		countRefusal(refusedInQueue, err)
		return nil, err
	}
	waitSeconds.Update((g.clock() - started).Seconds())
	return g.releaser(r.ID), nil
}

// arrive passes the request to the admission and, if it is queued, registers the channel
// that receives nil when the request is granted, or its refusal.
func (g *Gate) arrive(ctx context.Context, r *Request) (decision Decision, result chan error, err error) {
	g.update(func(now time.Duration) {
		if r.ID == "" {
			g.sequence++
			r.ID = "gate-" + strconv.FormatUint(g.sequence, 10)
		}
		if deadline, ok := ctx.Deadline(); ok && r.Deadline == 0 {
			r.Deadline = max(now+time.Until(deadline), 1)
		}
		decision, err = g.admission.Arrive(now, *r)
		if decision == Queued {
			result = make(chan error, 1)
			g.waiting[r.ID] = result
		}
	})
	return decision, result, err
}

// abandon withdraws a queued request whose context has ended. If the request was granted
// concurrently, its slot is released.
func (g *Gate) abandon(ctx context.Context, id string, result chan error) error {
	g.update(func(now time.Duration) {
		delete(g.waiting, id)
		g.deliver(g.admission.Cancel(now, id), nil)
	})
	select {
	case err := <-result:
		if err != nil {
			return err
		}
	default:
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return fault.New(fault.DeadlineTooShort, "not run: the deadline passed while the request was queued", "use a longer deadline").WithCause(ctx.Err())
	}
	return fault.New(fault.Unavailable, "not run: the caller cancelled the request while it was queued", "retry if the request is still needed").WithCause(ctx.Err())
}

// releaser returns the function that releases the slot of a request once.
func (g *Gate) releaser(id string) func(Usage) {
	var once sync.Once
	return func(usage Usage) {
		once.Do(func() {
			g.update(func(now time.Duration) {
				if usage.Tokens > 0 {
					g.admission.AdjustTokens(now, id, usage.Tokens)
				}
				g.deliver(g.admission.Done(now, id), nil)
			})
		})
	}
}

// update runs a change under the lock, delivers the resulting grants and refusals and
// sets the timer for the next due time.
func (g *Gate) update(change func(now time.Duration)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock()
	change(now)
	g.deliver(g.admission.Tick(now))
	g.armTimer(now)
}

// deliver notifies the waiting callers. Each request gets exactly one result, for which
// its channel has room, so sending never blocks.
func (g *Gate) deliver(grants []Grant, refusals []Refusal) {
	for _, grant := range grants {
		g.notify(grant.ID, nil)
	}
	for _, refusal := range refusals {
		g.notify(refusal.ID, refusal.Fault)
	}
}

func (g *Gate) notify(id string, err error) {
	if result, ok := g.waiting[id]; ok {
		delete(g.waiting, id)
		result <- err
	}
}

// armTimer sets the timer to the next due time, if that is sooner than the current one.
func (g *Gate) armTimer(now time.Duration) {
	wake, ok := g.admission.NextWake(now)
	if !ok || (g.timerSet && g.timerAt <= wake) {
		return
	}
	if g.timer != nil {
		g.timer.Stop()
	}
	g.timerSet = true
	g.timerAt = wake
	g.timer = time.AfterFunc(max(wake-now, 0)+time.Nanosecond, g.onTimer)
}

// onTimer runs when the timer fires.
func (g *Gate) onTimer() {
	g.update(func(time.Duration) { g.timerSet = false })
}

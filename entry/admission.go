package entry

import (
	"context"
	"maps"
	"sync"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/wait"
	"github.com/lilackeel/lilackeel/workspace"
)

const (
	// admissionOvercommit is the number of requests that are admitted in excess of a pool's slots, as
	// a share of these, so that endpoints need not wait for the next request.
	admissionOvercommit = 0.25
	// defaultSlots is assumed for an endpoint that states no slots.
	defaultSlots = 64
)

// AdmissionController admits requests through one gate per pool. It implements Admitter and
// routed.Admitter. No other lock is taken while its lock is held.
type AdmissionController struct {
	peers int
	// routed is true if SetPoolCapacity sets the capacity of the gates, from the step rate of the
	// pools. Otherwise Resize sets it, from their slots.
	routed bool
	policy workspace.Config

	lateQueues lateQueues
	shedding   *shedding

	mu     sync.Mutex
	gates  map[string]*workspace.Gate
	limits map[string]workspace.Limits
	// leveled holds the pools whose requests are ordered by level.
	leveled map[string]bool
}

// NewAdmissionController returns the admission controller of one entry of the fleet.
func NewAdmissionController(cfg Config) *AdmissionController {
	a := &AdmissionController{
		peers: max(cfg.Peers, 1), routed: cfg.Routed, shedding: newShedding(cfg.LeastShare),
		gates: map[string]*workspace.Gate{}, limits: map[string]workspace.Limits{},
	}
	if cfg.Routed {
		a.policy = workspace.Config{MaxWait: cfg.MaxWait, MaxRetryAfter: cfg.MaxRetryAfter, LeastShare: cfg.LeastShare}
	}
	return a
}

// Admit implements Admitter.
func (a *AdmissionController) Admit(ctx context.Context, r AdmissionRequest) (func(), error) {
	return a.AdmitOnTime(ctx, r.Pool, workspace.Request{Workspace: r.Workspace, Priority: r.Priority, ExpectedTokens: r.Tokens})
}

// latePollInterval is the interval at which a late request checks for a free slot.
const latePollInterval = 40 * time.Millisecond

// AdmitLate implements routed.Admitter. It admits a late request, that is one that can no longer
// be answered within its objective. Late requests do not queue at the gate, where they would
// compete with the other requests of the workspaces. If so many are waiting that this one would
// not get a slot within maxWait, it is refused immediately.
func (a *AdmissionController) AdmitLate(ctx context.Context, pool string, r workspace.Request, maxWait time.Duration) (func(), error) {
	gate := a.gate(pool)
	level := a.levelOf(pool, &r)
	if !r.Refused {
		a.shedding.count(pool, level)
	}
	if !a.lateQueues.enqueue(pool, level, time.Since(processStart), maxWait, a.occupancyFor(pool, gate, level)) {
		return nil, a.lateRefusal(pool, &r)
	}
	ctx, cancel := context.WithTimeout(ctx, maxWait)
	defer cancel()
	for {
		if release, ok := a.acquireLateSlot(pool, level); ok {
			a.lateQueues.dequeue(pool, level, time.Since(processStart), true)
			a.shedding.countAdmitted(pool, level)
			return release, nil
		}
		if load := a.occupancyFor(pool, gate, level); a.lateQueues.acquireShared(pool, level, time.Since(processStart), load) {
			release, err := a.acquireSharedSlot(ctx, pool, r)
			if err == nil || load.lowerQueued == 0 || !fault.Is(err, fault.Overloaded) {
				a.lateQueues.dequeue(pool, level, time.Since(processStart), err == nil)
				if err == nil {
					a.shedding.countAdmitted(pool, level)
				}
				return release, err
			}
		}
		wait.For(ctx, latePollInterval)
		if ctx.Err() != nil {
			a.lateQueues.dequeue(pool, level, time.Since(processStart), false)
			return nil, a.lateRefusal(pool, &r)
		}
	}
}

// occupancyFor returns the current occupancy of a pool as seen by a late request of a level. A late
// request goes before on-time requests of lower-priority levels only while the pool is overloaded and
// its own level is admitted whole: as many requests as possible are to be answered on time.
func (a *AdmissionController) occupancyFor(pool string, gate *workspace.Gate, level int) occupancy {
	if a.shedding.goesFirst(pool, level) {
		return occupancyOf(gate, level)
	}
	return occupancy{Load: gate.Load(), holdTime: gate.MeanHoldTime(), allLevels: true}
}

// lateRefusal returns the fault of a late request that got no slot.
func (a *AdmissionController) lateRefusal(pool string, r *workspace.Request) *fault.Error {
	retryAfter := a.policy.MaxRetryAfter
	if delay, shed := a.shedding.retryAfter(pool, r.Level, retryAfter); shed {
		retryAfter = delay
	}
	return fault.New(fault.Overloaded, "not run: no capacity was left for a request that is already late",
		"retry after the given time").RetryIn(retryAfter)
}

// SetPoolCapacity implements routed.CapacitySetter.
func (a *AdmissionController) SetPoolCapacity(pool string, r routed.PoolCapacity) {
	lateHeld := a.lateQueues.setCapacity(pool, time.Since(processStart), r)
	slots := r.OnTime + r.Deferred + r.LateSlots + r.OtherInFlight
	if r.AfterReopen > 0 {
		slots = 0 // a pool that has stopped is not overloaded by its demand
	}
	gate := a.gate(pool)
	holdTime, _ := gate.MeasuredHoldTime()
	onTime := a.shedding.limitSlots(pool, slots, r.OnTime, holdTime)
	gate.SetCapacity(onTime + max(r.OtherInFlight-lateHeld, 0))
}

// SetLevels sets the pools whose requests are ordered by level over all workspaces. In the others,
// levels have no effect.
func (a *AdmissionController) SetLevels(leveled map[string]bool) {
	a.mu.Lock()
	a.leveled = leveled
	gates := maps.Clone(a.gates)
	a.mu.Unlock()
	a.shedding.setPools(leveled)
	for pool, gate := range gates {
		gate.SetLevels(leveled[pool])
	}
}

// levelOf returns the level by which a request is ordered in a pool.
func (a *AdmissionController) levelOf(pool string, r *workspace.Request) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leveled[pool] {
		return r.Level
	}
	return 0
}

// MeanHoldTime implements HoldTimes.
func (a *AdmissionController) MeanHoldTime(pool string) time.Duration {
	return a.gate(pool).MeanHoldTime()
}

// acquireLateSlot takes a slot of a lock-step group that is behind its step rate, if one is free.
// It returns the function that releases the slot.
func (a *AdmissionController) acquireLateSlot(pool string, level int) (func(), bool) {
	if !a.lateQueues.acquireLate(pool, level, time.Since(processStart)) {
		return nil, false
	}
	return sync.OnceFunc(func() { a.lateQueues.releaseLate(pool, time.Since(processStart)) }), true
}

// acquireSharedSlot acquires a slot of the gate for a late request that lateQueues.acquireShared
// has let through.
func (a *AdmissionController) acquireSharedSlot(ctx context.Context, pool string, r workspace.Request) (func(), error) {
	releaseShared := sync.OnceFunc(func() { a.lateQueues.releaseShared(pool, time.Since(processStart)) })
	release, err := a.acquire(ctx, pool, r)
	if err != nil {
		releaseShared()
		return nil, err
	}
	return func() {
		release()
		releaseShared()
	}, nil
}

// AdmitOnTime implements routed.Admitter.
func (a *AdmissionController) AdmitOnTime(ctx context.Context, pool string, r workspace.Request) (func(), error) {
	level := a.levelOf(pool, &r)
	a.shedding.count(pool, level)
	a.lateQueues.countOnTime(pool, level, time.Since(processStart))
	release, err := a.acquire(ctx, pool, r)
	switch {
	case err == nil:
		a.shedding.countAdmitted(pool, level)
	case fault.Is(err, fault.Overloaded):
		a.shedding.countRefused(pool, level)
	}
	return release, err
}

func (a *AdmissionController) acquire(ctx context.Context, pool string, r workspace.Request) (func(), error) {
	release, err := a.gate(pool).Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return func() { release(workspace.Usage{}) }, nil
}

// gate returns the gate of a pool, which is created on first use. A new gate is configured with
// the limits before it becomes visible, so that it cannot overwrite a concurrent change of limits.
func (a *AdmissionController) gate(pool string) *workspace.Gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	gate, ok := a.gates[pool]
	if !ok {
		policy := a.policy
		policy.Levels = a.leveled[pool]
		gate = workspace.NewGate(workspace.NewAdmission(policy), func() time.Duration { return time.Since(processStart) })
		gate.Configure(maps.Clone(a.limits))
		a.gates[pool] = gate
	}
	return gate
}

// ApplyLimits applies changed limits of workspaces and removes those of deleted workspaces. Each
// entry enforces its share of a fleet-wide limit.
func (a *AdmissionController) ApplyLimits(changed []*fleetv1.Workspace, removed []string) {
	limits := make(map[string]workspace.Limits, len(changed))
	for _, w := range changed {
		limits[w.GetName()] = a.limitsOf(w)
	}
	for _, gate := range a.storeLimits(limits, removed) {
		gate.Configure(limits)
		gate.Remove(removed...)
	}
}

// storeLimits stores the limits for gates that are created later and returns the existing gates.
func (a *AdmissionController) storeLimits(limits map[string]workspace.Limits, removed []string) []*workspace.Gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, limit := range limits {
		a.limits[name] = limit
	}
	for _, name := range removed {
		delete(a.limits, name)
	}
	gates := make([]*workspace.Gate, 0, len(a.gates))
	for _, gate := range a.gates {
		gates = append(gates, gate)
	}
	return gates
}

func (a *AdmissionController) limitsOf(w *fleetv1.Workspace) workspace.Limits {
	peers := float64(a.peers)
	return workspace.Limits{
		Importance:        int(w.GetImportance()),
		GuaranteedShare:   w.GetGuaranteedShare(),
		MaxConcurrent:     (int(w.GetMaxConcurrent()) + a.peers - 1) / a.peers,
		RequestsPerSecond: w.GetRequestsPerSecond() / peers,
		TokensPerSecond:   w.GetTokensPerSecond() / peers,
		MaxQueue:          (int(w.GetMaxQueue()) + a.peers - 1) / a.peers,
	}
}

// Resize sets the capacity of the gates to the slots of the endpoints that take new requests. It
// does nothing if the entry answers by routes, where SetPoolCapacity sets the capacity.
func (a *AdmissionController) Resize(endpoints []*endpoint.Endpoint) {
	if a.routed {
		return
	}
	slots := map[string]int{}
	for _, e := range endpoints {
		if e.State != endpoint.Serving {
			slots[e.Pool] += 0
			continue
		}
		if e.Slots > 0 {
			slots[e.Pool] += e.Slots
			continue
		}
		slots[e.Pool] += defaultSlots
	}
	for pool, sum := range slots {
		share := float64(sum) * (1 + admissionOvercommit) / float64(a.peers)
		a.gate(pool).SetCapacity(max(int(share+0.5), 1))
	}
}

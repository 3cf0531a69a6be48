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
	// admissionOvercommit is the share of a pool's slots that is admitted beyond
	// them, so that endpoints need not wait for the next request.
	admissionOvercommit = 0.25
	// assumedSlots stands for an endpoint that states no slots.
	assumedSlots = 64
)

// Admissions admits requests, pool by pool. It is an Admitter. Its lock is held
// while no other lock is taken.
type Admissions struct {
	peers int
	// routed is true where the pace of the pools sets the places, not their slots.
	routed bool
	policy workspace.Config

	late lateQueues

	mu     sync.Mutex
	gates  map[string]*workspace.Gate
	limits map[string]workspace.Limits
}

// NewAdmissions returns the admission of one of the fleet's entries.
func NewAdmissions(cfg Config) *Admissions {
	a := &Admissions{peers: max(cfg.Peers, 1), routed: cfg.Routed, gates: map[string]*workspace.Gate{}, limits: map[string]workspace.Limits{}}
	if cfg.Routed {
		a.policy = workspace.Config{MaxWait: cfg.MaxWait, MaxRetryAfter: cfg.MaxRetryAfter}
	}
	return a
}

// Admit implements Admitter.
func (a *Admissions) Admit(ctx context.Context, r Admission) (func(), error) {
	return a.AdmitTo(ctx, r.Pool, workspace.Request{Workspace: r.Workspace, Priority: r.Priority, Cost: r.Tokens})
}

// latePoll is the time between two looks of a late request for a place.
const latePoll = 40 * time.Millisecond

// AdmitLate implements routed.Admitter. A late request does not queue with the
// others, whose workspaces would have to share places with it. Where so many wait
// already that none would be left for it in time, it is refused at once.
func (a *Admissions) AdmitLate(ctx context.Context, pool string, r workspace.Request, patience time.Duration) (func(), error) {
	refused := fault.New(fault.Overloaded, "not run: no place was left for a request that is late already",
		"ask again after the given time").RetryIn(a.policy.MaxRetryAfter)
	gate := a.gate(pool)
	if !a.late.begin(pool, time.Since(processStart), patience, occupancyOf(gate)) {
		return nil, refused
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	for {
		if release, ok := a.admitSpare(pool); ok {
			a.late.end(pool, time.Since(processStart), true)
			return release, nil
		}
		if a.late.enter(pool, time.Since(processStart), occupancyOf(gate)) {
			release, err := a.enter(ctx, pool, r)
			a.late.end(pool, time.Since(processStart), err == nil)
			return release, err
		}
		wait.For(ctx, latePoll)
		if ctx.Err() != nil {
			a.late.end(pool, time.Since(processStart), false)
			return nil, refused
		}
	}
}

// SetPoolCapacity implements routed.CapacitySetter.
func (a *Admissions) SetPoolCapacity(pool string, r routed.PoolCapacity) {
	taken := a.late.set(pool, time.Since(processStart), r)
	a.gate(pool).SetCapacity(r.OnTime + max(r.OtherInFlight-taken, 0))
}

// Hold implements Holds.
func (a *Admissions) Hold(pool string) time.Duration { return a.gate(pool).Hold() }

// admitSpare takes a place where answers come late, if there is one.
func (a *Admissions) admitSpare(pool string) (func(), bool) {
	if !a.late.take(pool, time.Since(processStart)) {
		return nil, false
	}
	return sync.OnceFunc(func() { a.late.giveBack(pool, time.Since(processStart)) }), true
}

// enter begins a late request that may have a place among the others.
func (a *Admissions) enter(ctx context.Context, pool string, r workspace.Request) (func(), error) {
	leave := sync.OnceFunc(func() { a.late.leave(pool, time.Since(processStart)) })
	release, err := a.acquire(ctx, pool, r)
	if err != nil {
		leave()
		return nil, err
	}
	return func() {
		release()
		leave()
	}, nil
}

// AdmitTo implements routed.Admitter.
func (a *Admissions) AdmitTo(ctx context.Context, pool string, r workspace.Request) (func(), error) {
	a.late.arrived(pool, time.Since(processStart))
	return a.acquire(ctx, pool, r)
}

func (a *Admissions) acquire(ctx context.Context, pool string, r workspace.Request) (func(), error) {
	release, err := a.gate(pool).Acquire(ctx, r)
	if err != nil {
		return nil, err
	}
	return func() { release(workspace.Result{}) }, nil
}

// gate returns the gate of a pool, made on first use. A new gate gets the limits
// before others can see it, so that none of their changes is undone.
func (a *Admissions) gate(pool string) *workspace.Gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	gate, ok := a.gates[pool]
	if !ok {
		gate = workspace.NewGate(workspace.NewAdmission(a.policy), func() time.Duration { return time.Since(processStart) })
		gate.Configure(maps.Clone(a.limits))
		a.gates[pool] = gate
	}
	return gate
}

// Limit puts the limits of the workspaces in force. Each entry keeps its part
// of a limit that holds for the fleet.
func (a *Admissions) Limit(changed []*fleetv1.Workspace, removed []string) {
	limits := make(map[string]workspace.Limits, len(changed))
	for _, w := range changed {
		limits[w.GetName()] = a.limitsOf(w)
	}
	for _, gate := range a.remember(limits, removed) {
		gate.Configure(limits)
		gate.Remove(removed...)
	}
}

// remember keeps the limits for gates to come and returns the present ones.
func (a *Admissions) remember(limits map[string]workspace.Limits, removed []string) []*workspace.Gate {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, each := range limits {
		a.limits[name] = each
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

func (a *Admissions) limitsOf(w *fleetv1.Workspace) workspace.Limits {
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

// Resize fits the gates to the endpoints that take new work. For routes their
// pace decides instead.
func (a *Admissions) Resize(endpoints []*endpoint.Endpoint) {
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
		slots[e.Pool] += assumedSlots
	}
	for pool, sum := range slots {
		share := float64(sum) * (1 + admissionOvercommit) / float64(a.peers)
		a.gate(pool).SetCapacity(max(int(share+0.5), 1))
	}
}

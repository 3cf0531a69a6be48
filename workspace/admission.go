package workspace

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// Admission shares slots among workspaces. See the package comment.
type Admission struct {
	config Config
	slots  int

	// limits holds the limits of every configured workspace.
	limits map[string]Limits
	// guaranteed holds the limits of the workspaces with a guaranteed share.
	guaranteed guarantees
	// guaranteedSum is the sum of GuaranteedShare over guaranteed.
	guaranteedSum float64
	// reservedSlots is the sum of the reserved slots over guaranteed.
	reservedSlots int

	// active holds the workspaces that have requests or had some recently.
	active map[string]*workspaceState
	// entries holds the requests that are queued or in flight.
	entries map[string]*entry
	queued  int
	// queuedByLevel counts the queued requests by level if Config.Levels is set.
	queuedByLevel map[int]int
	// leastShares holds the levels with recent requests if Config.LeastShare is set.
	leastShares map[int]*leastShare
	inFlight    int
	sequence    uint64

	// activeWeight and activeShareSlots are sums over the workspaces that are not idle.
	activeWeight     float64
	activeShareSlots float64
	// reservedInUse and totalExpectedReturns are sums over active.
	reservedInUse        int
	totalExpectedReturns slotEstimate
	// minVirtualTime is the virtual time at which a newly active workspace starts.
	minVirtualTime float64

	// byDeficit and byVirtualTime hold the workspaces whose next request may start as
	// soon as a slot is free.
	byDeficit     indexedHeap[*workspaceState]
	byVirtualTime indexedHeap[*workspaceState]
	// byQueueLength holds the workspaces with queued requests.
	byQueueLength indexedHeap[*workspaceState]
	// timers holds the workspaces that wait for a rate limit or for the end of their
	// retention.
	timers indexedHeap[*workspaceState]
	// deadlines holds the queued requests by their latest start.
	deadlines indexedHeap[*entry]

	holdTime holdTimeEstimate
	// startTimeSum is the sum of the start times of the requests in flight, for their
	// mean age.
	startTimeSum time.Duration

	// grants and refusals have been decided but not yet returned.
	grants   []Grant
	refusals []Refusal
}

// NewAdmission returns an Admission with no slots.
func NewAdmission(config Config) *Admission {
	return &Admission{
		config:        config.withDefaults(),
		limits:        make(map[string]Limits),
		active:        make(map[string]*workspaceState),
		entries:       make(map[string]*entry),
		queuedByLevel: make(map[int]int),
		leastShares:   make(map[int]*leastShare),
		byDeficit:     indexedHeap[*workspaceState]{less: lessDeficit, index: func(s *workspaceState) *int { return &s.deficitIndex }},
		byVirtualTime: indexedHeap[*workspaceState]{less: lessVirtualTime, index: func(s *workspaceState) *int { return &s.virtualTimeIndex }},
		byQueueLength: indexedHeap[*workspaceState]{less: longerQueue, index: func(s *workspaceState) *int { return &s.queueLengthIndex }},
		timers:        indexedHeap[*workspaceState]{less: lessWakeTime, index: func(s *workspaceState) *int { return &s.timerIndex }},
		deadlines:     indexedHeap[*entry]{less: lessLatestStart, index: func(e *entry) *int { return &e.deadlineIndex }},
	}
}

func lessLatestStart(a, b *entry) bool { return a.latestStart < b.latestStart }

// Configure sets the limits of the named workspaces and leaves the others unchanged.
// Requests that are queued or in flight are kept. Tick returns the resulting grants.
func (a *Admission) Configure(now time.Duration, limits map[string]Limits) {
	for name, workspaceLimits := range limits {
		a.limits[name] = workspaceLimits
		a.guaranteed = a.guaranteed.put(name, workspaceLimits)
		if s, ok := a.active[name]; ok {
			a.setLimits(now, s, workspaceLimits)
		}
	}
	a.guaranteedSum = a.guaranteed.sum()
	a.recompute(now)
}

// Remove removes the limits of workspaces; Config.Default applies to their remaining
// requests.
func (a *Admission) Remove(now time.Duration, names ...string) {
	for _, name := range names {
		delete(a.limits, name)
		a.guaranteed = a.guaranteed.remove(name)
		if s, ok := a.active[name]; ok {
			a.setLimits(now, s, a.config.Default)
		}
	}
	a.guaranteedSum = a.guaranteed.sum()
	a.recompute(now)
}

// SetCapacity sets the number of slots. Requests in flight beyond it run to completion.
// Tick returns the resulting grants.
func (a *Admission) SetCapacity(now time.Duration, slots int) {
	if slots = max(slots, 0); slots == a.slots {
		return
	}
	a.slots = slots
	a.recompute(now)
}

// Arrive decides on a new request. An Admitted request holds a slot; for a Queued one, a
// Grant or a Refusal follows from Done, Cancel or Tick. An error is a *fault.Error and
// means that the request has not run.
func (a *Admission) Arrive(now time.Duration, r Request) (Decision, error) {
	a.handleDue(now)
	if _, exists := a.entries[r.ID]; exists {
		return Refused, fault.Newf(fault.Conflict, "use a unique id for every request",
			"request %q is already waiting or in flight", r.ID)
	}
	s := a.activeState(now, r.Workspace)
	e := &entry{
		request:       r,
		workspace:     s,
		level:         a.levelOf(&r),
		arrived:       now,
		queueIndex:    notInHeap,
		deadlineIndex: notInHeap,
	}
	a.countAsking(now, e.level)
	e.latestStart = a.latestStart(e, a.startsAtOnce(now, e))
	if refusal := a.checkArrival(now, e); refusal != nil {
		a.updateHeaps(now, s)
		return Refused, refusal
	}
	a.enqueue(now, e)
	a.schedule(now)
	if !e.running {
		return Queued, nil
	}
	a.withdrawGrant(r.ID)
	return Admitted, nil
}

// Done releases the slot of a request that has ended and returns the requests that start
// next. An unknown id is ignored.
func (a *Admission) Done(now time.Duration, id string) []Grant {
	a.handleDue(now)
	if e, ok := a.entries[id]; ok && e.running {
		a.recordHoldTime(now, e)
		a.releaseSlot(now, e)
	}
	return a.takeGrants(now)
}

// Cancel withdraws a request that is queued or in flight and returns the requests that
// start next. Its hold time is not added to the estimates. An unknown id is ignored.
func (a *Admission) Cancel(now time.Duration, id string) []Grant {
	a.handleDue(now)
	if e, ok := a.entries[id]; ok {
		if e.running {
			a.releaseSlot(now, e)
		} else {
			a.dequeue(now, e)
		}
	}
	return a.takeGrants(now)
}

// AdjustTokens replaces the expected tokens that a request in flight was charged by the
// number that it used.
func (a *Admission) AdjustTokens(now time.Duration, id string, tokens int) {
	if e, ok := a.entries[id]; ok && e.running {
		e.workspace.tokenRate.take(now, float64(tokens-e.request.ExpectedTokens))
		e.request.ExpectedTokens = tokens
	}
}

// Tick returns the grants and refusals that are due by now, including requests that were
// refused after they had been queued.
func (a *Admission) Tick(now time.Duration) ([]Grant, []Refusal) {
	a.handleDue(now)
	grants := a.takeGrants(now)
	refusals := a.refusals
	a.refusals = nil
	return grants, refusals
}

// NextWake returns when Tick must be called next if nothing else happens before.
func (a *Admission) NextWake(now time.Duration) (time.Duration, bool) {
	if len(a.grants) > 0 || len(a.refusals) > 0 {
		return now, true
	}
	wake, ok := time.Duration(0), false
	if e := a.deadlines.top(); e != nil {
		wake, ok = e.latestStart, true
	}
	if s := a.timers.top(); s != nil && (!ok || s.wakeAt < wake) {
		wake, ok = s.wakeAt, true
	}
	return max(wake, now), ok
}

// Load is a summary of an Admission for metrics.
type Load struct {
	// Slots is the capacity; InFlight and Queued count requests; ActiveWorkspaces counts
	// the workspaces with state.
	Slots, InFlight, Queued, ActiveWorkspaces int
}

func (a *Admission) Load() Load {
	return Load{Slots: a.slots, InFlight: a.inFlight, Queued: a.queued, ActiveWorkspaces: len(a.active)}
}

// MeanHoldTime returns the mean time that requests hold their slots, or
// Config.InitialHoldTime before any has been measured.
func (a *Admission) MeanHoldTime() time.Duration {
	if a.holdTime.samples == 0 {
		return a.config.InitialHoldTime
	}
	return seconds(a.holdTime.mean)
}

// takeGrants starts the requests that can start and returns all grants not yet returned.
func (a *Admission) takeGrants(now time.Duration) []Grant {
	a.schedule(now)
	grants := a.grants
	a.grants = nil
	return grants
}

// withdrawGrant drops the grant of a request that Arrive reports as Admitted.
func (a *Admission) withdrawGrant(id string) {
	for i := len(a.grants) - 1; i >= 0; i-- {
		if a.grants[i].ID == id {
			a.grants = append(a.grants[:i], a.grants[i+1:]...)
			return
		}
	}
}

package workspace

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// Admission shares slots among workspaces. See the package comment.
type Admission struct {
	config Config
	slots  int

	// known holds the limits of every configured workspace.
	known map[string]Limits
	// guaranteed holds those of known with a guaranteed share.
	guaranteed guarantees
	// guaranteedSum is the sum of GuaranteedShare over known.
	guaranteedSum float64
	// guaranteedSlots is the sum of their whole guaranteed slots.
	guaranteedSlots int

	// active holds the workspaces with requests, or with any in recent time.
	active map[string]*state
	// entries holds the requests that wait or are in flight.
	entries  map[string]*entry
	queued   int
	inFlight int
	sequence uint64

	// activeWeight and activeBase are sums over the workspaces that are not idle.
	activeWeight float64
	activeBase   float64
	// heldSum and returnsSum are sums over active.
	heldSum    int
	returnsSum returns
	// virtualNow is the virtual time at which a workspace starts.
	virtualNow float64

	// deficits and virtuals hold the workspaces whose next request may start as
	// soon as there is a slot.
	deficits indexedHeap[*state]
	virtuals indexedHeap[*state]
	// crowds holds the workspaces with a queue.
	crowds indexedHeap[*state]
	// timers holds the workspaces that wait for a rate limit or to be forgotten.
	timers indexedHeap[*state]
	// deadlines holds the waiting requests by their latest start.
	deadlines indexedHeap[*entry]

	measured hold
	// startSum is the sum of the start times in flight, for their mean age.
	startSum time.Duration

	// grants and refusals have been decided but not yet been returned.
	grants   []Grant
	refusals []Refusal
}

// NewAdmission returns an Admission with no slots.
func NewAdmission(config Config) *Admission {
	return &Admission{
		config:    config.withDefaults(),
		known:     make(map[string]Limits),
		active:    make(map[string]*state),
		entries:   make(map[string]*entry),
		deficits:  indexedHeap[*state]{less: lessDeficit, index: func(s *state) *int { return &s.deficitIndex }},
		virtuals:  indexedHeap[*state]{less: lessVirtual, index: func(s *state) *int { return &s.virtualIndex }},
		crowds:    indexedHeap[*state]{less: moreCrowded, index: func(s *state) *int { return &s.crowdIndex }},
		timers:    indexedHeap[*state]{less: lessTimer, index: func(s *state) *int { return &s.timerIndex }},
		deadlines: indexedHeap[*entry]{less: lessLatestStart, index: func(e *entry) *int { return &e.deadlineIndex }},
	}
}

func lessLatestStart(a, b *entry) bool { return a.latestStart < b.latestStart }

// Configure sets the limits of the named workspaces and leaves the others.
// Requests that wait or run are kept. Grants that follow are returned by Tick.
func (a *Admission) Configure(now time.Duration, limits map[string]Limits) {
	for name, each := range limits {
		a.known[name] = each
		a.guaranteed = a.guaranteed.set(name, each)
		if s, ok := a.active[name]; ok {
			a.setLimits(now, s, each)
		}
	}
	a.guaranteedSum = a.guaranteed.sum()
	a.reshape(now)
}

// Remove forgets the limits of workspaces; Config.Default applies to what they
// still have waiting or in flight.
func (a *Admission) Remove(now time.Duration, names ...string) {
	for _, name := range names {
		delete(a.known, name)
		a.guaranteed = a.guaranteed.remove(name)
		if s, ok := a.active[name]; ok {
			a.setLimits(now, s, a.config.Default)
		}
	}
	a.guaranteedSum = a.guaranteed.sum()
	a.reshape(now)
}

// SetCapacity sets the number of slots. Requests in flight beyond it finish.
// Grants that follow are returned by Tick.
func (a *Admission) SetCapacity(now time.Duration, slots int) {
	if slots = max(slots, 0); slots == a.slots {
		return
	}
	a.slots = slots
	a.reshape(now)
}

// Arrive decides on a new request. With Admitted it holds a slot; with Queued a
// Grant or a Refusal follows from Done, Cancel or Tick; an error is a
// *fault.Error and means that the request has not run.
func (a *Admission) Arrive(now time.Duration, r Request) (Decision, error) {
	a.advance(now)
	if _, exists := a.entries[r.ID]; exists {
		return Refused, fault.Newf(fault.Conflict, "give every request an id of its own",
			"request %q is already waiting or in flight", r.ID)
	}
	s := a.activate(now, r.Workspace)
	e := &entry{
		request:       r,
		owner:         s,
		arrived:       now,
		queueIndex:    notInHeap,
		deadlineIndex: notInHeap,
	}
	e.latestStart = a.latestStart(e, a.startsAtOnce(now, e))
	if refusal := a.refuse(now, e); refusal != nil {
		a.update(now, s)
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

// Done frees the slot of a request that has ended and returns what starts next.
// An unknown id is ignored.
func (a *Admission) Done(now time.Duration, id string) []Grant {
	a.advance(now)
	if e, ok := a.entries[id]; ok && e.running {
		a.learn(now, e)
		a.release(now, e)
	}
	return a.takeGrants(now)
}

// Cancel withdraws a request, waiting or in flight, and returns what starts
// next. Its run time is not learnt from. An unknown id is ignored.
func (a *Admission) Cancel(now time.Duration, id string) []Grant {
	a.advance(now)
	if e, ok := a.entries[id]; ok {
		if e.running {
			a.release(now, e)
		} else {
			a.dequeue(now, e)
		}
	}
	return a.takeGrants(now)
}

// Settle corrects the tokens that a request in flight was charged by its Cost
// to the number that it really used.
func (a *Admission) AdjustTokens(now time.Duration, id string, tokens int) {
	if e, ok := a.entries[id]; ok && e.running {
		e.owner.tokens.take(now, float64(tokens-e.request.ExpectedTokens))
		e.request.ExpectedTokens = tokens
	}
}

// Tick returns what became due by now: requests that start and requests that
// were refused after they had been queued.
func (a *Admission) Tick(now time.Duration) ([]Grant, []Refusal) {
	a.advance(now)
	grants := a.takeGrants(now)
	refusals := a.refusals
	a.refusals = nil
	return grants, refusals
}

// NextWake returns when Tick has something to do, if nothing else happens.
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
	// Slots is the capacity; InFlight and Queued count requests; Active counts
	// workspaces with state.
	Slots, InFlight, Queued, ActiveWorkspaces int
}

// Load returns the present load.
func (a *Admission) Load() Load {
	return Load{Slots: a.slots, InFlight: a.inFlight, Queued: a.queued, ActiveWorkspaces: len(a.active)}
}

// Hold returns how long requests hold their slots in the mean: Config.InitialHold before
// any has been measured.
func (a *Admission) MeanHoldTime() time.Duration {
	if a.measured.samples == 0 {
		return a.config.InitialHoldTime
	}
	return seconds(a.measured.mean)
}

// takeGrants starts what can start and returns all grants not yet returned.
func (a *Admission) takeGrants(now time.Duration) []Grant {
	a.schedule(now)
	grants := a.grants
	a.grants = nil
	return grants
}

// withdrawGrant takes back the grant of a request that Arrive reports itself.
func (a *Admission) withdrawGrant(id string) {
	for i := len(a.grants) - 1; i >= 0; i-- {
		if a.grants[i].ID == id {
			a.grants = append(a.grants[:i], a.grants[i+1:]...)
			return
		}
	}
}

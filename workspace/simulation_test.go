package workspace

import (
	"fmt"
	"time"
)

// simulation drives an Admission in virtual time. Each request that starts holds its slot
// for the time that holdTimeFor returns.
type simulation struct {
	*Admission
	now         time.Duration
	holdTimeFor func(workspace string) time.Duration
	endTimes    map[string]time.Duration
	slotTime    map[string]time.Duration
	startTimes  map[string]time.Duration
	refusals    []Refusal
	workspaceOf map[string]string
	lastID      int
}

func newSimulation(config Config, slots int, limits map[string]Limits) *simulation {
	sim := &simulation{
		Admission:   NewAdmission(config),
		holdTimeFor: func(string) time.Duration { return time.Second },
		endTimes:    make(map[string]time.Duration),
		slotTime:    make(map[string]time.Duration),
		startTimes:  make(map[string]time.Duration),
		workspaceOf: make(map[string]string),
	}
	sim.Configure(0, limits)
	sim.SetCapacity(0, slots)
	return sim
}

// arrive sends a request and returns its id.
func (sim *simulation) arrive(r Request) (string, Decision, error) {
	sim.lastID++
	r.ID = fmt.Sprint(sim.lastID)
	sim.workspaceOf[r.ID] = r.Workspace
	decision, err := sim.Arrive(sim.now, r)
	if decision == Admitted {
		sim.recordStart(r.ID)
	}
	return r.ID, decision, err
}

func (sim *simulation) recordStart(id string) {
	sim.startTimes[id] = sim.now
	sim.endTimes[id] = sim.now + sim.holdTimeFor(sim.workspaceOf[id])
}

func (sim *simulation) recordGrants(grants []Grant) {
	for _, grant := range grants {
		sim.recordStart(grant.ID)
	}
}

// run processes all events up to the given time.
func (sim *simulation) run(until time.Duration) {
	for {
		next, ending := until, ""
		for id, end := range sim.endTimes {
			if end < next || (end == next && (ending == "" || id < ending)) {
				next, ending = end, id
			}
		}
		if wake, ok := sim.NextWake(sim.now); ok && wake < next {
			next, ending = wake, ""
		}
		sim.now = next
		if ending != "" {
			delete(sim.endTimes, ending)
			sim.slotTime[sim.workspaceOf[ending]] += sim.now - sim.startTimes[ending]
			sim.recordGrants(sim.Done(sim.now, ending))
		}
		grants, refusals := sim.Tick(sim.now)
		sim.recordGrants(grants)
		sim.refusals = append(sim.refusals, refusals...)
		if wake, ok := sim.NextWake(sim.now); sim.now >= until && (!ok || wake > sim.now) && !sim.hasDueEnd() {
			return
		}
	}
}

func (sim *simulation) hasDueEnd() bool {
	for _, end := range sim.endTimes {
		if end <= sim.now {
			return true
		}
	}
	return false
}

// inFlightIn returns the number of requests of a workspace that hold a slot.
func (sim *simulation) inFlightIn(workspace string) int {
	count := 0
	for id := range sim.endTimes {
		if sim.workspaceOf[id] == workspace {
			count++
		}
	}
	return count
}

// queueLength returns the number of queued requests of a workspace.
func (sim *simulation) queueLength(name string) int {
	if s, ok := sim.active[name]; ok {
		return s.queue.len()
	}
	return 0
}

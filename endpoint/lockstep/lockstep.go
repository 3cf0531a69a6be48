// Package lockstep tracks which endpoints run their steps in lock-step, and the health of
// each such group as seen by one entry: whether it makes progress, whether it has stalled,
// and whether its streams meet the promised inter-chunk gap.
//
// All ranks of a group take the same time for a step. A rank that is slow, frozen or gone
// therefore delays every call of its group, but none of other groups. Calls are placed by
// group first and by rank second.
//
// Times are monotonic durations since an arbitrary start. The Tracker is safe for
// concurrent use; no other lock is acquired while its lock is held.
package lockstep

import (
	"sync"
	"time"
)

// State is the health of a group.
type State int

// The states, ordered from best to worst.
const (
	// Paced groups meet the promised gap, as far as is known.
	Paced State = iota
	// Behind groups run steps, but all their streams are late.
	Behind
	// Stalled groups have calls in flight but make no progress.
	Stalled
	// Closed groups report that they run no steps.
	Closed
)

// String implements fmt.Stringer.
func (s State) String() string {
	names := [...]string{"paced", "behind", "stalled", "closed"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

const (
	// stallGaps is the time without progress after which a group with calls in flight
	// counts as stalled, as a multiple of the longest promised gap. One delayed step is
	// not a stall; a second such delay of the same call is.
	stallGaps = 2.5
	// minStallTime is the minimum of that time; it allows for the prefill of a prompt.
	minStallTime = 300 * time.Millisecond
	// gapTimeConstant is the time constant of the mean gap: about ten steps, so that one
	// long step does not determine it.
	gapTimeConstant = 500 * time.Millisecond
	// gapTTL is how long the mean gap is valid after its last update. After that, a group
	// that was behind and has no calls is tried again.
	gapTTL = 2 * time.Second
	// recoveryRatio is the fraction of the longest promised gap below which a group that
	// was behind counts as paced again.
	recoveryRatio = 0.8
)

// Tracker tracks the groups of all endpoints.
type Tracker struct {
	mu sync.Mutex
	// members maps each address to its group.
	members map[string]string
	groups  map[string]*group
}

// group is the state of one lock-step group.
type group struct {
	// size is the number of addresses that belong to the group.
	size int
	// closedReports contains, for each member with a current report, whether it reports
	// that the group runs no steps.
	closedReports map[string]bool
	// inFlight is the number of this entry's calls in flight.
	inFlight int
	// lastProgress is when a chunk of one of these calls last arrived, or when the first of
	// them was sent.
	lastProgress time.Duration
	// meanGap is the mean gap between chunks, and meanGapAt the time of its last update.
	meanGap   time.Duration
	meanGapAt time.Duration
	behind    bool
	// lastStep and previousStep are the gaps of the two latest steps; lastStepAt is when
	// the first chunk of the latest one arrived.
	lastStep, previousStep, lastStepAt time.Duration
}

// New returns an empty tracker.
func New() *Tracker { return &Tracker{members: map[string]string{}, groups: map[string]*group{}} }

// Report records the group that the engine at an address reports to belong to, and whether
// it reports that the group is closed. An empty name means that it belongs to no group.
// Engines are identified by address because their id changes with each restart.
func (t *Tracker) Report(addr, name string, closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members[addr] != name {
		t.removeMember(addr)
	}
	if name == "" {
		return
	}
	g := t.group(name)
	if t.members[addr] != name {
		t.members[addr] = name
		g.size++
	}
	g.closedReports[addr] = closed
}

// ClearReport records that reports about the engine at an address have ceased. Its last
// report of whether the group is closed is discarded, so that calls can probe the group; its
// membership is kept.
func (t *Tracker) ClearReport(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[t.members[addr]]; g != nil {
		delete(g.closedReports, addr)
	}
}

// Forget discards the state of an address.
func (t *Tracker) Forget(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeMember(addr)
}

// removeMember removes an address from its group. The caller must hold the lock.
func (t *Tracker) removeMember(addr string) {
	name, known := t.members[addr]
	if !known {
		return
	}
	delete(t.members, addr)
	g := t.groups[name]
	g.size--
	delete(g.closedReports, addr)
	t.dropIfUnused(name, g)
}

// dropIfUnused discards a group that has no members and no calls. The caller must hold the lock.
func (t *Tracker) dropIfUnused(name string, g *group) {
	if g.size == 0 && g.inFlight == 0 {
		delete(t.groups, name)
	}
}

// group returns the state of a group, creating it if necessary. The caller must hold the lock.
func (t *Tracker) group(name string) *group {
	g := t.groups[name]
	if g == nil {
		g = &group{closedReports: map[string]bool{}}
		t.groups[name] = g
	}
	return g
}

// GroupOf returns the group of the engine at an address, or an empty string if none is known.
func (t *Tracker) GroupOf(addr string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[addr]
}

// Sent records that a call was sent to a group.
func (t *Tracker) Sent(now time.Duration, name string) {
	if name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(name)
	if g.inFlight == 0 {
		g.lastProgress = now
	}
	g.inFlight++
}

// Done records the end of a call for which Sent was called.
func (t *Tracker) Done(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[name]; g != nil {
		g.inFlight = max(g.inFlight-1, 0)
		t.dropIfUnused(name, g)
	}
}

// reportedClosed reports whether a majority of the ranks with a current report say that the
// group runs no steps. All ranks of a group normally agree on this. A rank that disagrees has
// been disconnected, or its host has, and must not close the group for all callers.
func (g *group) reportedClosed() bool {
	count := 0
	for _, closed := range g.closedReports {
		if closed {
			count++
		}
	}
	return 2*count > len(g.closedReports)
}

// InFlight returns the number of this entry's calls in flight in a group.
func (t *Tracker) InFlight(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[name]; g != nil {
		return g.inFlight
	}
	return 0
}

// Chunk records the arrival of a chunk of a stream, gap after the previous one. The gap of a
// first chunk is zero. maxGap is the longest promised gap.
func (t *Tracker) Chunk(now time.Duration, name string, gap, maxGap time.Duration) {
	if name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(name)
	g.lastProgress = max(g.lastProgress, now)
	if gap <= 0 || maxGap <= 0 {
		return
	}
	g.addStep(now, gap)
	g.addGap(now, gap)
	switch {
	case g.meanGap > maxGap:
		g.behind = true
	case g.meanGap < time.Duration(recoveryRatio*float64(maxGap)):
		g.behind = false
	}
}

// addStep records the gap of a step. The streams of a group receive their chunks at the same
// time; of the gaps observed within one step the shortest is used, which no link has delayed.
func (g *group) addStep(now, gap time.Duration) {
	if now-g.lastStepAt > gap/2 {
		g.previousStep, g.lastStep, g.lastStepAt = g.lastStep, gap, now
		return
	}
	g.lastStep = min(g.lastStep, gap)
}

// addGap adds a gap to the mean. All streams of a group have the same gaps, so each is weighted
// by the time since the last update; otherwise the weight would depend on the number of streams.
func (g *group) addGap(now, gap time.Duration) {
	since := now - g.meanGapAt
	g.meanGapAt = now
	if g.meanGap == 0 || since > gapTTL {
		g.meanGap = gap
		return
	}
	weight := min(float64(since)/float64(gapTimeConstant), 1)
	g.meanGap += time.Duration(weight * float64(gap-g.meanGap))
}

// State returns the state of a group, where maxGap is the longest promised gap.
func (t *Tracker) State(now time.Duration, name string, maxGap time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if name == "" || g == nil {
		return Paced
	}
	stallTime := max(time.Duration(stallGaps*float64(maxGap)), minStallTime)
	switch {
	case g.reportedClosed():
		return Closed
	case g.inFlight > 0 && now-g.lastProgress > stallTime:
		return Stalled
	case g.behind && now-g.meanGapAt <= gapTTL:
		return Behind
	}
	return Paced
}

// TimeSinceProgress returns the time since a group with calls in flight last made progress; zero if
// it has no calls in flight.
func (t *Tracker) TimeSinceProgress(now time.Duration, name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if name == "" || g == nil || g.inFlight == 0 {
		return 0
	}
	return now - g.lastProgress
}

// RecentStepTime returns the shorter of the two latest step times of a group, as observed by this
// entry's calls; zero if there are none. A single long step, as when the expert map is switched,
// does not affect it.
func (t *Tracker) RecentStepTime(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		return 0
	}
	return min(g.lastStep, g.previousStep)
}

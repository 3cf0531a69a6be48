// Package lockstep knows which endpoints run their steps together, and how each such
// group does as one entry sees it: whether it runs, whether it has come to a stop, and
// whether its streams keep the pace that callers were promised.
//
// All ranks of a group take the same time for a step, so that one rank that is slow,
// frozen or gone holds up every call of its group and none of another. Calls are
// therefore placed by group first and by rank second.
//
// Times are durations since an arbitrary start, monotonic. The Tracker is safe for
// concurrent use; its lock is a leaf.
package lockstep

import (
	"sync"
	"time"
)

// State is how a group does.
type State int

// The states, from the best to the worst.
const (
	// Paced groups keep the pace, as far as is known.
	Paced State = iota
	// Behind groups run, and all their streams are late.
	Behind
	// Stalled groups have stopped in the middle of their work.
	Stalled
	// Closed groups say themselves that they run no steps.
	Closed
)

// String returns the name of the state.
func (s State) String() string {
	names := [...]string{"paced", "behind", "stalled", "closed"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

const (
	// stallPauses is how many of the longest pauses that callers were promised a group
	// with calls in flight is silent before it counts as stalled: a step that is held
	// for a moment is no stall, and a second silence of the same call is.
	stallPauses = 2.5
	// leastStall is the shortest such silence; it leaves a prompt the time to be read.
	leastStall = 300 * time.Millisecond
	// paceMemory is the time constant of the mean pause: some ten steps, so that one
	// long step is not taken for the pace of the group.
	paceMemory = 500 * time.Millisecond
	// paceTTL is how long a mean pause counts that nothing has been added to. A group
	// without calls is tried again after it.
	paceTTL = 2 * time.Second
	// recovered is the part of the longest pause below which a group that was behind
	// keeps the pace again.
	recovered = 0.8
)

// Tracker keeps the groups of all endpoints.
type Tracker struct {
	mu sync.Mutex
	// members holds the group of each address.
	members map[string]string
	groups  map[string]*group
}

// group is one group.
type group struct {
	// size is the number of addresses that belong to the group.
	size int
	// ranks are the members that say anything, and whether they say that the group runs
	// no steps.
	ranks map[string]bool
	// calls is the number of this entry's calls in flight.
	calls int
	// heard is when one of them last showed that the group runs, or when the first of
	// them was sent.
	heard time.Duration
	// pause is the mean pause, and paused when it was last added to.
	pause  time.Duration
	paused time.Duration
	behind bool
	// latest and before are the pauses of the two latest passes, seen at passed.
	latest, before, passed time.Duration
}

// New returns a tracker that knows of no group.
func New() *Tracker { return &Tracker{members: map[string]string{}, groups: map[string]*group{}} }

// Report notes of which group the engine at an address says it is a rank, and whether
// it says that the group is closed. An empty group is none. The address is that of the
// engine's place; its id is another one after each start.
func (t *Tracker) Report(addr, name string, closed bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.members[addr] != name {
		t.leave(addr)
	}
	if name == "" {
		return
	}
	g := t.group(name)
	if t.members[addr] != name {
		t.members[addr] = name
		g.size++
	}
	g.ranks[addr] = closed
}

// Silent notes that nobody speaks for the engine at an address any more. What it has said
// of its group's being closed is dropped, so that calls may find out; where it belongs
// is kept.
func (t *Tracker) ClearReport(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[t.members[addr]]; g != nil {
		delete(g.ranks, addr)
	}
}

// Forget drops what is known of an address.
func (t *Tracker) Forget(addr string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.leave(addr)
}

// leave takes an address out of its group; the lock is held.
func (t *Tracker) leave(addr string) {
	name, known := t.members[addr]
	if !known {
		return
	}
	delete(t.members, addr)
	g := t.groups[name]
	g.size--
	delete(g.ranks, addr)
	t.drop(name, g)
}

// drop forgets a group that nobody belongs to and that has no calls; the lock is held.
func (t *Tracker) drop(name string, g *group) {
	if g.size == 0 && g.calls == 0 {
		delete(t.groups, name)
	}
}

// group returns the record of a group, made at its first use; the lock is held.
func (t *Tracker) group(name string) *group {
	g := t.groups[name]
	if g == nil {
		g = &group{ranks: map[string]bool{}}
		t.groups[name] = g
	}
	return g
}

// Of returns the group of the engine at an address, empty if it is not known to have
// one.
func (t *Tracker) GroupOf(addr string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.members[addr]
}

// Sent notes a call to a group.
func (t *Tracker) Sent(now time.Duration, name string) {
	if name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(name)
	if g.calls == 0 {
		g.heard = now
	}
	g.calls++
}

// Done notes the end of a call that was sent.
func (t *Tracker) Done(name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[name]; g != nil {
		g.calls = max(g.calls-1, 0)
		t.drop(name, g)
	}
}

// closed reports whether most of the ranks that say anything say that the group runs no
// steps. All ranks of a group say the same of it: one that does not has been cut off, or
// its host has, and must not close the group for everybody.
func (g *group) closed() bool {
	count := 0
	for _, closed := range g.ranks {
		if closed {
			count++
		}
	}
	return 2*count > len(g.ranks)
}

// Calls returns the number of this entry's calls in flight in a group.
func (t *Tracker) InFlight(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if g := t.groups[name]; g != nil {
		return g.calls
	}
	return 0
}

// Part notes a part of an answer. A pause of zero is that of a first part.
func (t *Tracker) Chunk(now time.Duration, name string, pause, longest time.Duration) {
	if name == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.group(name)
	g.heard = max(g.heard, now)
	if pause <= 0 || longest <= 0 {
		return
	}
	g.pass(now, pause)
	g.take(now, pause)
	switch {
	case g.pause > longest:
		g.behind = true
	case g.pause < time.Duration(recovered*float64(longest)):
		g.behind = false
	}
}

// pass notes the pause of a pass. The streams of a group get their parts together: of those
// that come within one pass the shortest counts, which no link has held up.
func (g *group) pass(now, pause time.Duration) {
	if now-g.passed > pause/2 {
		g.before, g.latest, g.passed = g.latest, pause, now
		return
	}
	g.latest = min(g.latest, pause)
}

// take adds a pause to the mean. All streams of a group pause alike, so the time since
// the last pause, and not their number, is what the newest one counts for.
func (g *group) take(now, pause time.Duration) {
	since := now - g.paused
	g.paused = now
	if g.pause == 0 || since > paceTTL {
		g.pause = pause
		return
	}
	weight := min(float64(since)/float64(paceMemory), 1)
	g.pause += time.Duration(weight * float64(pause-g.pause))
}

// State returns how a group does, longest being the pause that callers were promised.
func (t *Tracker) State(now time.Duration, name string, longest time.Duration) State {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if name == "" || g == nil {
		return Paced
	}
	silence := max(time.Duration(stallPauses*float64(longest)), leastStall)
	switch {
	case g.closed():
		return Closed
	case g.calls > 0 && now-g.heard > silence:
		return Stalled
	case g.behind && now-g.paused <= paceTTL:
		return Behind
	}
	return Paced
}

// Silence returns how long a group with calls in flight has been silent.
func (t *Tracker) TimeSinceProgress(now time.Duration, name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if name == "" || g == nil || g.calls == 0 {
		return 0
	}
	return now - g.heard
}

// LatestPasses is how long each of the two latest passes of a group took at least, as this entry's
// calls show it; zero if there are none. A single long pass, as at a switch of maps, does
// not show in it.
func (t *Tracker) RecentStepTime(name string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.groups[name]
	if g == nil {
		return 0
	}
	return min(g.latest, g.before)
}

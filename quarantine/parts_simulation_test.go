package quarantine

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"
)

// partSimulation simulates entries and lock-step groups of engines in virtual time. A prompt with
// the part "crash" crashes its engine when it begins to write, which closes the group. Requests wait
// at their entry while no group is open, up to maxQueueWait.
type partSimulation struct {
	rng      *rand.Rand
	now      time.Duration
	entries  []*simulatedEntry
	groups   []*simulatedGroup
	reports  []delivery
	queue    []*promptRequest
	sequence int
	// crashTimes are those of engines that requests with the crashing part have crashed.
	crashTimes []time.Duration
	// reached counts the requests with the crashing part that reach engines later than gracePeriod
	// after the fifth crash.
	reached int
	// began and refused count sound requests, per second of virtual time: those that were sent to an
	// open group, and those that the quarantine refused.
	began, refused map[int]int
	// heldRare counts the refused sound requests that share a rare part with the crashing ones.
	heldRare int
}

type simulatedEntry struct {
	tracker  *Tracker
	position uint64
}

// simulatedGroup is a lock-step group; each engine's run is counted by generation.
type simulatedGroup struct {
	index, engines int
	openAt         time.Duration
	generation     []int
	running        []*promptRequest
}

type promptRequest struct {
	entry   int
	parts   Parts
	crashes bool
	rare    bool
	arrived time.Duration
	sent    time.Duration
	run     string
	engine  int
	end     func()
}

const (
	partStep       = 20 * time.Millisecond
	maxQueueWait   = 1500 * time.Millisecond
	timeToOutput   = 120 * time.Millisecond
	stallTime      = 1500 * time.Millisecond
	groupRecovery  = 4 * time.Second
	sharedParts    = 3
	crashingPartID = "crash"
)

func newPartSimulation(seed uint64, entries, groups, engines int) *partSimulation {
	s := &partSimulation{rng: rand.New(rand.NewPCG(seed, 7)), began: map[int]int{}, refused: map[int]int{}}
	for range entries {
		s.entries = append(s.entries, s.newEntry(entries))
	}
	for i := range groups {
		s.groups = append(s.groups, &simulatedGroup{index: i, engines: engines, generation: make([]int, engines)})
	}
	return s
}

func (s *partSimulation) newEntry(entries int) *simulatedEntry {
	tracker := NewTracker()
	tracker.parts.seed = s.rng.Uint64()
	tracker.Parts().SetEntries(entries)
	return &simulatedEntry{tracker: tracker}
}

// restartAll makes all entries and hosts lose their memory at once.
func (s *partSimulation) restartAll() {
	for i := range s.entries {
		s.entries[i] = s.newEntry(len(s.entries))
	}
	s.reports = nil
}

// restart makes an entry lose its memory; it gets the snapshots of the others from the hosts.
func (s *partSimulation) restart(i int) {
	s.entries[i] = s.newEntry(len(s.entries))
	for j, other := range s.entries {
		if j != i {
			s.entries[i].tracker.Merge(s.now, other.tracker.Snapshot(64))
		}
	}
}

// arrive brings a request to a random entry. A tenth of all share the rare part "rare".
func (s *partSimulation) arrive(crashes, rare bool, first string) {
	s.sequence++
	ids := []string{first, "session " + strconv.Itoa(s.sequence)}
	if rare {
		ids = append(ids[:1], "rare", ids[1])
	}
	if crashes {
		ids = append(ids[:len(ids)-1], crashingPartID, ids[len(ids)-1])
	}
	q := &promptRequest{entry: s.rng.IntN(len(s.entries)), parts: NewParts("pool", "crew", ids), crashes: crashes, rare: rare, arrived: s.now, end: func() {}}
	if s.entries[q.entry].tracker.Parts().Refusal(s.now, q.parts) != nil {
		s.countRefused(q)
		return
	}
	s.queue = append(s.queue, q)
}

func (s *partSimulation) countRefused(q *promptRequest) {
	if q.crashes {
		return
	}
	s.refused[int(s.now/time.Second)]++
	if q.rare {
		s.heldRare++
	}
}

// dispatch sends the queued requests to open groups.
func (s *partSimulation) dispatch() {
	var waiting []*promptRequest
	for _, q := range s.queue {
		g := s.groups[s.rng.IntN(len(s.groups))]
		switch {
		case g.openAt <= s.now:
			s.send(q, g)
		case s.now-q.arrived < maxQueueWait:
			waiting = append(waiting, q)
		}
	}
	s.queue = waiting
}

func (s *partSimulation) send(q *promptRequest, g *simulatedGroup) {
	end, refusal := s.entries[q.entry].tracker.Parts().BeginAttempt(s.now, q.parts)
	if refusal != nil {
		s.countRefused(q)
		return
	}
	q.end, q.sent, q.engine = end, s.now, s.rng.IntN(g.engines)
	q.run = fmt.Sprintf("%d/%d/%d", g.index, q.engine, g.generation[q.engine])
	g.running = append(g.running, q)
	switch {
	case !q.crashes:
		s.began[int(s.now/time.Second)]++
	case len(s.crashTimes) >= 5 && s.now > s.crashTimes[4]+gracePeriod:
		s.reached++
	}
}

// step advances a group: engines crash, requests complete.
func (s *partSimulation) step(g *simulatedGroup, crashed map[int]bool) {
	var running []*promptRequest
	for _, q := range g.running {
		if q.crashes && s.now >= q.sent+timeToOutput && g.openAt <= s.now {
			if !crashed[q.engine] {
				s.crashTimes = append(s.crashTimes, s.now)
			}
			crashed[q.engine] = true
		}
	}
	for _, q := range g.running {
		tracker := s.entries[q.entry].tracker
		switch {
		case crashed[q.engine]:
			tracker.Parts().RecordCrash(s.now, q.parts, q.run)
		case len(crashed) > 0 && q.sent+timeToOutput <= s.now, s.now >= q.sent+runTime:
			tracker.Parts().RecordSurvival(s.now, q.sent, q.parts, q.run)
		case len(crashed) > 0:
		default:
			running = append(running, q)
			continue
		}
		q.end()
	}
	g.running = running
	for engine := range crashed {
		g.generation[engine]++
		g.openAt = s.now + groupRecovery
	}
}

func (s *partSimulation) publish() {
	for _, e := range s.entries {
		reports, next := e.tracker.LocalReports().Since(e.position)
		if e.position = next; len(reports) > 0 {
			s.reports = append(s.reports, delivery{s.now + publishDelay, reports})
		}
	}
	for len(s.reports) > 0 && s.reports[0].at <= s.now {
		for _, e := range s.entries {
			e.tracker.Merge(s.now, s.reports[0].reports)
		}
		s.reports = s.reports[1:]
	}
}

// advance runs the simulation until a time. Sound requests come perSecond, and requests with the
// crashing part badPerSecond.
func (s *partSimulation) advance(until time.Duration, perSecond, badPerSecond float64) {
	for ; s.now < until; s.now += partStep {
		for s.rng.Float64() < perSecond*partStep.Seconds()/(1+perSecond*partStep.Seconds()) {
			s.arrive(false, s.rng.IntN(10) == 0, "shared "+strconv.Itoa(s.rng.IntN(sharedParts)))
		}
		if s.rng.Float64() < badPerSecond*partStep.Seconds() {
			s.arrive(true, true, "shared 0")
		}
		s.publish()
		s.dispatch()
		for _, g := range s.groups {
			s.step(g, map[int]bool{})
		}
	}
}

// crashTogether crashes the first engines of a group at once, whatever they run.
func (s *partSimulation) crashTogether(engines int) {
	crashed := map[int]bool{}
	for i := range engines {
		crashed[i] = true
	}
	s.step(s.groups[0], crashed)
}

// count sums up a count per second over [from, to).
func count(perSecond map[int]int, from, to int) int {
	sum := 0
	for second := from; second < to; second++ {
		sum += perSecond[second]
	}
	return sum
}

// Guards against requests with a crashing part that keep reaching engines after the fifth crash, at
// several sizes, rates and kinds of pools; and against holding sound requests, which share the other
// parts of the prompts, one of them rarely.
func TestCrashingPartIsHeldAndSoundRequestsAreServed(t *testing.T) {
	for _, c := range []struct {
		entries, groups, engines int
		perSecond, badPerSecond  float64
		seeds                    uint64
	}{
		{5, 1, 16, 75, 0.5, 40}, {5, 1, 16, 75, 2, 40}, {5, 1, 16, 75, 10, 40}, {3, 1, 2, 20, 2, 40}, {5, 16, 1, 75, 2, 40},
		{13, 4, 16, 250, 5, 10}, {41, 12, 16, 500, 10, 4},
	} {
		t.Run(fmt.Sprintf("%d entries, %d groups of %d, %g and %g a second", c.entries, c.groups, c.engines, c.perSecond, c.badPerSecond), func(t *testing.T) {
			crashes, reached, held, maxCrashes := 0, 0, 0, 0
			for seed := range c.seeds {
				s := newPartSimulation(seed, c.entries, c.groups, c.engines)
				s.advance(10*time.Second, c.perSecond, 0)
				s.advance(50*time.Second, c.perSecond, c.badPerSecond)
				s.check(t, seed, 10, 50)
				crashes, reached, held = crashes+len(s.crashTimes), max(reached, s.reached), held+count(s.refused, 0, 50)
				maxCrashes = max(maxCrashes, len(s.crashTimes))
			}
			t.Logf("%.1f crashes on average, %d at most; %d requests reached engines late at most; %d sound requests held", float64(crashes)/float64(c.seeds), maxCrashes, reached, held)
		})
	}
}

// check checks all bounds for crashing requests that came from a second to another.
func (s *partSimulation) check(t *testing.T, seed uint64, from, to int) {
	t.Helper()
	s.checkReached(t, seed)
	s.checkServed(t, seed, from, to)
}

// checkReached checks how many crashing requests reached engines late, and that hardly any sound one
// was held.
func (s *partSimulation) checkReached(t *testing.T, seed uint64) {
	t.Helper()
	if s.reached > 3 {
		t.Errorf("seed %d: %d requests reached engines late, of %d crashes at %v", seed, s.reached, len(s.crashTimes), s.crashTimes)
	}
	seconds := int(s.now / time.Second)
	if held := count(s.refused, 0, seconds); float64(held) > maxFalseHoldChance*10*float64(count(s.began, 0, seconds)) {
		t.Errorf("seed %d: %d sound requests were held, %d of them with the rare part", seed, held, s.heldRare)
	}
}

// checkServed checks that the crashes end and that sound requests are served after them.
func (s *partSimulation) checkServed(t *testing.T, seed uint64, from, to int) {
	t.Helper()
	if len(s.crashTimes) == 0 {
		return
	}
	last := s.crashTimes[min(len(s.crashTimes), 5)-1]
	since := int(last/time.Second) + 7
	if since >= to-5 {
		t.Errorf("seed %d: crashes until %v, at %v", seed, last, s.crashTimes)
		return
	}
	before, after := float64(count(s.began, 2, from))/float64(from-2), float64(count(s.began, since, to))/float64(to-since)
	if after < before/2 {
		t.Errorf("seed %d: %.1f sound requests a second began before, %.1f from %d s on", seed, before, after, since)
	}
}

// Guards against a crashing part that first comes while engines of its group end together for
// another reason, so that its requests queue and crash several engines in one step.
func TestPartThatFirstComesWithAJointCrash(t *testing.T) {
	for seed := range uint64(60) {
		s := newPartSimulation(seed, 5, 1, 16)
		s.advance(10*time.Second, 75, 0)
		s.crashTogether(3)
		s.advance(50*time.Second, 75, 6)
		s.check(t, seed, 10, 50)
	}
}

// Guards against holding a harmless part that first comes while engines of a group end together, for
// longer than until a request with it has run.
func TestHarmlessPartThatFirstComesWithAJointCrash(t *testing.T) {
	for _, engines := range []int{3, 8, 15} {
		for seed := range uint64(40) {
			s := newPartSimulation(seed, 5, 1, 16)
			s.advance(10*time.Second, 40, 0)
			for range 40 {
				s.arrive(false, false, "new")
			}
			s.dispatch()
			s.now += timeToOutput / 2
			s.crashTogether(engines)
			for s.now < 30*time.Second {
				s.arrive(false, false, "new")
				s.advance(s.now+100*time.Millisecond, 40, 0)
			}
			if held := count(s.refused, 20, 30); held > 0 {
				t.Errorf("seed %d: with %d engines, %d sound requests were held from 20 s on", seed, engines, held)
			}
		}
	}
}

// Guards against many requests that test at once, at several entries, whether the part still crashes
// engines after its hold.
func TestTrialsAfterTheHold(t *testing.T) {
	for _, entries := range []int{5, 41} {
		for seed := range uint64(20) {
			s := newPartSimulation(seed, entries, 1, 16)
			s.advance(10*time.Second, 75, 0)
			s.advance(150*time.Second, 75, 4)
			s.checkReached(t, seed)
		}
	}
}

// Guards against forgetting the part when entries restart while its requests still come.
func TestCrashingPartIsHeldAcrossRestarts(t *testing.T) {
	for seed := range uint64(40) {
		s := newPartSimulation(seed, 5, 1, 16)
		s.advance(10*time.Second, 75, 0)
		for i := 0; s.now < 50*time.Second; i++ {
			s.advance(s.now+2*time.Second, 75, 2)
			s.restart(i % 5)
		}
		s.check(t, seed, 10, 50)
	}
}

// Guards against a part that reaches engines as before when all entries and hosts lose their memory at
// once, after its fifth crash.
func TestCrashingPartIsHeldAfterAllRestart(t *testing.T) {
	late := map[int]int{}
	for seed := range uint64(40) {
		s := newPartSimulation(seed, 5, 1, 16)
		s.advance(10*time.Second, 75, 0)
		s.advance(30*time.Second, 75, 2)
		s.restartAll()
		s.advance(60*time.Second, 75, 2)
		late[s.reached]++
		s.checkReached(t, seed)
	}
	t.Logf("requests that reached engines late, and on how many seeds: %v", late)
}

package workspace

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/fault"
)

// fillQueue sends requests of a workspace and level until n of them are queued.
func fillQueue(t *testing.T, sim *simulation, r Request, n int) {
	t.Helper()
	for queued := 0; queued < n; {
		_, decision, err := sim.arrive(r)
		is.New(t).NoErr(err)
		if decision == Queued {
			queued++
		}
	}
}

// Guards against a burst of less urgent requests of other workspaces, guaranteed or not, that delays
// urgent ones, and against an order by level where levels are off.
func TestUrgentLevelStartsFirst(t *testing.T) {
	for _, levels := range []bool{true, false} {
		is := is.New(t)
		limits := map[string]Limits{"low": {Importance: 10, GuaranteedShare: 0.5}, "idle": {GuaranteedShare: 0.4}, "high": {}}
		sim := newSimulation(Config{MaxWait: time.Minute, Levels: levels}, 4, limits)
		fillQueue(t, sim, Request{Workspace: "low", Level: 20}, 30)
		fillQueue(t, sim, Request{Workspace: "high", Level: 1}, 6)
		fillQueue(t, sim, Request{Workspace: "low", Level: 0}, 1) // one workspace may have requests of several levels
		sim.run(1500 * time.Millisecond)
		started := map[string]int{}
		for id, at := range sim.startTimes {
			if at > 0 {
				started[sim.workspaceOf[id]]++
			}
		}
		is.Equal(started["high"] >= 3, levels)
		sim.run(20 * time.Second)
		is.Equal(sim.queued, 0) // the others follow
		is.Equal(len(sim.queuedByLevel), 0)
	}
}

// Guards against an urgent request that is refused although less urgent ones fill the queue, against
// a less urgent one that displaces it, and against a displaced request that is told late.
func TestUrgentLevelDisplacesLeastUrgent(t *testing.T) {
	for _, config := range []Config{{Levels: true, MaxQueued: 6, MaxWait: time.Hour}, {Levels: true, DefaultQueue: 3, MaxWait: time.Hour}} {
		is := is.New(t)
		sim := newSimulation(config, 1, map[string]Limits{"a": {}, "b": {}})
		fillQueue(t, sim, Request{Workspace: "a", Level: 5}, 2)
		fillQueue(t, sim, Request{Workspace: "b", Level: 5}, 2)
		fillQueue(t, sim, Request{Workspace: "a", Level: 2}, 1)
		fillQueue(t, sim, Request{Workspace: "b", Level: 2}, 1)
		last, _, err := sim.arrive(Request{Workspace: "a", Level: 9})
		is.True(fault.Is(err, fault.Overloaded))
		for range 4 {
			_, decision, err := sim.arrive(Request{Workspace: []string{"a", "b"}[len(sim.Admission.refusals)%2], Level: 0})
			is.NoErr(err)
			is.Equal(decision, Queued)
		}
		_, refusals := sim.Tick(sim.now)
		is.Equal(len(refusals), 4) // in the same moment
		for _, refusal := range refusals {
			is.True(refusal.ID != last && fault.Is(refusal.Fault, fault.Overloaded) && refusal.Fault.RetryAfter > 0)
		}
		is.Equal(sim.queuedByLevel[0]+sim.queuedByLevel[2], 6) // all of level 5 have left
		_, _, err = sim.arrive(Request{Workspace: "a", Level: 2})
		is.True(err != nil)
	}
}

// Guards against an order by level that voids the guaranteed shares among requests of one level.
func TestGuaranteedSharesHoldWithinLevel(t *testing.T) {
	is := is.New(t)
	limits := map[string]Limits{"owner": {GuaranteedShare: 0.5}, "major": {Importance: 50}, "low": {Importance: 50}}
	sim := newSimulation(Config{MaxWait: time.Minute, Levels: true}, 10, limits)
	sim.holdTimeFor = func(string) time.Duration { return 100 * time.Millisecond }
	for sim.now < 20*time.Second {
		for _, r := range []Request{{Workspace: "owner", Level: 3}, {Workspace: "major", Level: 3}, {Workspace: "low", Level: 4}} {
			for sim.queueLength(r.Workspace) < 15 {
				_, _, err := sim.arrive(r)
				is.NoErr(err)
			}
		}
		sim.run(sim.now + 50*time.Millisecond)
	}
	is.True(sim.slotTime["owner"] >= 45*sim.now/10 && sim.slotTime["major"] >= 5*sim.now/2)
	is.True(sim.slotTime["low"] < sim.now/10)
}

// Guards against queues that keep a stale order or lose a request when a new site turns levels on or
// off under load.
func TestLevelsChangeUnderLoad(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{MaxWait: time.Minute}, 2, nil)
	fillQueue(t, sim, Request{Workspace: "a", Level: 7}, 10)
	fillQueue(t, sim, Request{Workspace: "a", Level: -3}, 1)
	urgent, _, err := sim.arrive(Request{Workspace: "b", Level: -1 << 40})
	is.NoErr(err)
	for i := range 7 {
		sim.SetLevels(sim.now, i%2 == 0)
	}
	sim.run(sim.now + time.Second)
	starts := []string{}
	for id, at := range sim.startTimes {
		if at > 0 {
			starts = append(starts, id)
		}
	}
	is.True(slices.Contains(starts, urgent))
	is.Equal(len(starts), 2)
	sim.SetLevels(sim.now, false)
	sim.run(sim.now + time.Minute)
	is.Equal(len(sim.entries)+sim.queued+len(sim.queuedByLevel), 0)
	is.Equal(len(sim.refusals), 0)
}

// Guards against a level that starves while requests of higher-priority levels keep the queue full,
// also in a workspace that has both, and against a least share that is exceeded.
func TestEachLevelGetsItsLeastShare(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{MaxWait: 300 * time.Millisecond, Levels: true, LeastShare: 0.02}, 10, nil)
	sim.holdTimeFor = func(string) time.Duration { return 50 * time.Millisecond }
	levels := map[string]int{}
	for sim.now < 30*time.Second {
		for _, r := range []Request{{Workspace: "a", Level: 0}, {Workspace: "a", Level: 4}, {Workspace: "b", Level: 0}, {Workspace: "c", Level: 9}} {
			for range 4 {
				if id, _, err := sim.arrive(r); err == nil {
					levels[id] = r.Level
				}
			}
		}
		sim.run(sim.now + 20*time.Millisecond)
	}
	started := map[int]int{}
	for id := range sim.startTimes {
		started[levels[id]]++
	}
	total := len(sim.startTimes)
	for _, level := range []int{4, 9} {
		is.True(started[level] >= total*15/1000 && started[level] <= total*25/1000)
	}
}

// Guards against a request that displaces one of its own level although its workspace already has as
// many queued as any other, and against one of a workspace with few that does not.
func TestDisplacementWithinLevelEvensQueues(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(Config{Levels: true, MaxQueued: 4, MaxWait: time.Hour}, 1, map[string]Limits{"a": {}, "b": {}, "c": {}})
	fillQueue(t, sim, Request{Workspace: "a", Level: 5}, 2)
	fillQueue(t, sim, Request{Workspace: "b", Level: 5}, 2)
	_, _, err := sim.arrive(Request{Workspace: "a", Level: 5})
	is.True(fault.Is(err, fault.Overloaded))
	_, refusals := sim.Tick(sim.now)
	is.Equal(len(refusals), 0)
	_, decision, err := sim.arrive(Request{Workspace: "c", Level: 5})
	is.NoErr(err)
	is.Equal(decision, Queued)
	_, refusals = sim.Tick(sim.now)
	is.Equal(len(refusals), 1)
}

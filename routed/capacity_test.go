package routed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint/lockstep"
)

// loadBurst simulates a burst of calls, sent within one second through 13 entries, to a group
// of 32 engines with ten slots each that has just opened. An engine prefills 61 tokens per
// millisecond, so a prompt of 830 tokens adds 13.5 ms to the chunk interval in which it is
// prefilled. Otherwise a chunk interval consists of six steps of 5.85 ms, and each call adds
// 2.6 ms per unit of skew at the busiest engine. The first expert map has a skew of 3.2.
type loadBurst struct {
	waiting       int
	inFlight      [13]int
	growthLimited bool
}

const (
	burstEngines = 32
	burstSlots   = 320
	burstMaxGap  = 120 * time.Millisecond
)

func (c *loadBurst) total() (sum int) {
	for _, own := range c.inFlight {
		sum += own
	}
	return sum
}

// admit lets each entry start the calls it may start until the next update, and returns how
// many were started.
func (c *loadBurst) admit() (started int) {
	running := c.total()
	for i := range c.inFlight {
		load := groupLoad{engines: burstEngines, slots: burstSlots, ownCalls: c.inFlight[i], running: float64(running)}
		r := groupCapacity{state: lockstep.Paced, limit: load.callLimit(burstSlots, len(c.inFlight)), ownCalls: load.ownCalls}
		if c.growthLimited {
			r.deferred = max(r.limit-load.ownCalls-load.maxGrowth(burstMaxGap, len(c.inFlight)), 0)
		}
		more := min(poolCapacity([]groupCapacity{r}).OnTime-load.ownCalls, c.waiting)
		c.inFlight[i] += more
		c.waiting -= more
		started += more
	}
	return started
}

// chunkInterval returns the time between two chunks while prompts are prefilled: started/engines
// prompts per engine on average, and half as many again at the engine with the most.
func (c *loadBurst) chunkInterval(started int) time.Duration {
	steps := 35 + 2.6*3.2*float64(c.total())/burstEngines
	prompts := 13.5 * 1.5 * float64(started) / burstEngines
	return time.Duration((steps + prompts) * float64(time.Millisecond))
}

func TestLoadBurstIsAdmittedAtPrefillRate(t *testing.T) {
	is := is.New(t)
	at := func(limited bool) (first time.Duration, elapsed time.Duration) {
		c := &loadBurst{waiting: 250, growthLimited: limited}
		first = c.chunkInterval(c.admit())
		for elapsed = CapacityUpdateInterval; c.waiting > 0 && elapsed < 5*time.Second; elapsed += CapacityUpdateInterval {
			c.admit()
		}
		return first, elapsed
	}
	unlimited, _ := at(false)
	first, elapsed := at(true)
	is.True(unlimited > burstMaxGap)  // starting all at once makes every stream late
	is.True(first < burstMaxGap*3/4)  // one prompt per engine and interval does not
	is.True(elapsed <= 1*time.Second) // and the burst does not wait long for that
	is.True(elapsed >= CapacityUpdateInterval*2)
}

// TestSteadyLoadIsNotDeferred uses the steady load of small and large sites: the calls that
// reach an entry between two updates fit into its growth limit.
func TestSteadyLoadIsNotDeferred(t *testing.T) {
	is := is.New(t)
	for _, site := range []struct {
		engines, entries int
		perSecond        float64
	}{{16, 5, 75}, {32, 13, 125}, {192, 36, 466}} {
		load := groupLoad{engines: site.engines, ownCalls: 0, running: 0}
		arriving := site.perSecond / float64(site.entries) * CapacityUpdateInterval.Seconds()
		is.True(float64(load.maxGrowth(200*time.Millisecond, site.entries)) >= arriving)
	}
	is.True(groupLoad{engines: 1}.maxGrowth(0, 5) > 1000) // without a promised gap there is no growth limit
}

// Guards against an entry that refuses what it could serve when most new connections go to it: its
// share of the capacity must follow the traffic within the 3 s that are allowed. The calls last a
// second each, and the others' calls end as they are not replaced.
func TestEntryTakesOverTheTrafficOfOthers(t *testing.T) {
	for _, site := range []struct {
		entries, engines int
		limit, perSecond float64
		// taken is the share of all traffic that goes to the one entry.
		taken float64
	}{{5, 16, 190, 75, 1}, {5, 16, 100, 75, 0.8}, {13, 32, 320, 200, 1}, {41, 192, 1900, 1000, 1}} {
		is := is.New(t)
		perUpdate := site.perSecond * CapacityUpdateInterval.Seconds()
		updates := int(time.Second / CapacityUpdateInterval)
		// begun holds the calls that the entry and the others have begun in each of the last updates.
		own, others := make([]float64, updates), make([]float64, updates)
		for i := range updates {
			own[i], others[i] = perUpdate/float64(site.entries), perUpdate*float64(site.entries-1)/float64(site.entries)
		}
		sum := func(calls []float64) (total float64) {
			for _, c := range calls {
				total += c
			}
			return total
		}
		waiting, served, arrived := 0.0, 0.0, 0.0
		for i := range 10 * updates {
			own, others = append(own[1:], 0), append(others[1:], perUpdate*(1-site.taken))
			load := groupLoad{engines: site.engines, slots: 12 * site.engines, ownCalls: int(sum(own)), running: sum(own) + sum(others)}
			limit := min(load.callLimit(site.limit, site.entries), load.ownCalls+load.maxGrowth(burstMaxGap, site.entries))
			waiting += perUpdate * site.taken
			begun := min(waiting, max(float64(limit)-sum(own), 0))
			own[updates-1] = begun
			// Callers wait half a second at most.
			waiting = min(waiting-begun, perUpdate*site.taken*5)
			if i >= 3*updates {
				served, arrived = served+begun, arrived+perUpdate*site.taken
			}
		}
		t.Logf("%d entries: %.2f of the requests are served from 3 s on", site.entries, served/arrived)
		is.True(served >= 0.75*arrived)
	}
}

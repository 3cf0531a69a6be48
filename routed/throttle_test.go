package routed

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint/lockstep"
)

// crowd is a group of 32 engines of ten slots that opens before a crowd: everybody who has
// called in the second before, through 13 entries. An engine reads 61 prompt tokens in a
// millisecond, so that a prompt of 830 adds 13.5 ms to the pass in which it is read; six steps
// of 5.85 ms are a pass, and a call adds 2.6 ms at the busiest engine for each unit of skew.
// The first map of experts leaves a skew of 3.2.
type crowd struct {
	waiting int
	own     [13]int
	bounded bool
}

const (
	crowdEngines = 32
	crowdSlots   = 320
	crowdPause   = 120 * time.Millisecond
)

func (c *crowd) running() (sum int) {
	for _, own := range c.own {
		sum += own
	}
	return sum
}

// begin lets each entry begin what it may until the next look, and returns how many did.
func (c *crowd) begin() (begun int) {
	running := c.running()
	for i := range c.own {
		load := poolLoad{engines: crowdEngines, slots: crowdSlots, own: c.own[i], running: float64(running)}
		r := room{state: lockstep.Paced, places: load.places(crowdSlots, len(c.own)), own: load.own}
		if c.bounded {
			r.held = max(r.places-load.own-load.growth(crowdPause, len(c.own)), 0)
		}
		more := min(total([]room{r}).OnTime-load.own, c.waiting)
		c.own[i] += more
		c.waiting -= more
		begun += more
	}
	return begun
}

// pass is the time of a pass in which prompts are read: so many in the mean over the engines,
// the engine that reads most of them half as many again.
func (c *crowd) pass(begun int) time.Duration {
	steps := 35 + 2.6*3.2*float64(c.running())/crowdEngines
	prompts := 13.5 * 1.5 * float64(begun) / crowdEngines
	return time.Duration((steps + prompts) * float64(time.Millisecond))
}

func TestACrowdBeginsAsFastAsPromptsAreRead(t *testing.T) {
	is := is.New(t)
	at := func(bounded bool) (first time.Duration, took time.Duration) {
		c := &crowd{waiting: 250, bounded: bounded}
		first = c.pass(c.begin())
		for took = CapacityUpdateInterval; c.waiting > 0 && took < 5*time.Second; took += CapacityUpdateInterval {
			c.begin()
		}
		return first, took
	}
	before, _ := at(false)
	first, took := at(true)
	is.True(before > crowdPause)    // all at once break the promise to everybody
	is.True(first < crowdPause*3/4) // a prompt an engine and pass does not
	is.True(took <= 1*time.Second)  // and the crowd is not kept waiting for it
	is.True(took >= CapacityUpdateInterval*2)
}

// TestTheUsualRateIsNotHeldBack plays the steady load of a small and a large site: what an
// entry gets between two looks fits into its growth.
func TestTheUsualRateIsNotHeldBack(t *testing.T) {
	is := is.New(t)
	for _, site := range []struct {
		engines, entries int
		perSecond        float64
	}{{16, 5, 75}, {32, 13, 125}, {192, 36, 466}} {
		load := poolLoad{engines: site.engines, own: 0, running: 0}
		arriving := site.perSecond / float64(site.entries) * CapacityUpdateInterval.Seconds()
		is.True(float64(load.growth(200*time.Millisecond, site.entries)) >= arriving)
	}
	is.True(poolLoad{engines: 1}.growth(0, 5) > 1000) // without a promised pause nothing is held
}

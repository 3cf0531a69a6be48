package overload

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/site"
)

// demandOf returns a demand with the given arrivals at levels 0, 10, 20 and so on.
func demandOf(capacity float64, arrivals ...float64) *Demand {
	d := &Demand{Capacity: capacity, Entries: 1}
	for i, rate := range arrivals {
		d.Levels = append(d.Levels, LevelDemand{Level: 10 * i, Arrivals: rate})
	}
	return d
}

// Guards against shedding while everything fits, against an order other than by level, and against
// levels without their minimum share.
func TestLevelsAreAdmittedInOrder(t *testing.T) {
	for _, c := range []struct {
		demand    *Demand
		threshold int
		want      []float64
	}{
		{demandOf(100, 30, 30, 35), site.MaxLevel, []float64{1, 1, 1}},
		{demandOf(0, 30, 30, 35), site.MaxLevel, []float64{1, 1, 1}}, // the capacity is not known
		{demandOf(100, 30, 30, 200), 20, []float64{1, 1, 0.175}},
		{demandOf(100, 60, 60, 60), 10, []float64{1, 33.0 / 60, 2.0 / 60}},
		{demandOf(100, 300, 1, 60), 0, []float64{92.0 / 300, 1, 2.0 / 60}},
		{demandOf(10), site.MaxLevel, nil},
	} {
		is := is.New(t)
		d := Decide(c.demand, 0.02)
		is.Equal(d.Threshold, c.threshold)
		for i, want := range c.want {
			is.True(math.Abs(d.Fraction(10*i)-want) < 1e-9)
		}
		is.Equal(d.Fraction(7), 1.0) // nothing is known of its demand
	}
	all := Decide(demandOf(100, slices.Repeat([]float64{50}, 10)...), 0.5)
	is.New(t).True(math.Abs(all.Fraction(90)-0.1) < 1e-9) // the minimum shares take at most half
}

// Guards against a level that is readmitted in each short gap of a burst, and against a decision that
// lags behind a jump.
func TestDecisionFollowsJumpAndReadmitsLater(t *testing.T) {
	is := is.New(t)
	var counter Counter
	c := NewController(DefaultLeastShare)
	step := func(from, to time.Duration, low int) (shedAt, wholeAt time.Duration) {
		for now := from; now < to; now += 10 * time.Millisecond {
			counter.Arrive(now, 0)
			for range low {
				counter.Arrive(now, 5)
			}
			if now%(200*time.Millisecond) != 0 {
				continue
			}
			c.Update(now, counter.Demand(now, 400))
			switch fraction := c.Decision().Fraction(5); {
			case shedAt == 0 && fraction < 0.5:
				shedAt = now
			case wholeAt == 0 && fraction == 1:
				wholeAt = now
			}
			is.Equal(c.Decision().Fraction(0), 1.0)
		}
		return shedAt, wholeAt
	}
	shedAt, _ := step(0, 3*time.Second, 2)
	is.Equal(shedAt, time.Duration(0))
	shedAt, _ = step(3*time.Second, 6*time.Second, 9) // 1000 requests per second
	is.True(shedAt > 0 && shedAt <= 3500*time.Millisecond)
	is.True(math.Abs(c.Decision().Fraction(5)-280.0/900) < 0.02)
	is.Equal(c.Decision().Threshold, 5)
	_, wholeAt := step(6*time.Second, 9*time.Second, 1)
	is.True(wholeAt >= 6500*time.Millisecond && wholeAt <= 7500*time.Millisecond)
	is.Equal(c.Decision().Threshold, site.MaxLevel)
}

// Guards against retries that return before the burst has drained, or all at once, and against
// delays beyond the bound.
func TestRetryAfterFollowsBacklog(t *testing.T) {
	is := is.New(t)
	c := NewController(DefaultLeastShare)
	for now := time.Duration(0); now <= 2*time.Second; now += 200 * time.Millisecond {
		c.Update(now, demandOf(100, 40, 30, 60)) // 37 per second of level 20 are shed
	}
	first, second := c.RetryAfter(20, 0, time.Minute), c.RetryAfter(20, 0.7, time.Minute)
	is.True(first >= 70*time.Second/25 && first <= 2*70*time.Second/25)
	is.True(first != second)
	is.True(c.RetryAfter(0, 0.5, time.Minute) < 500*time.Millisecond)
	is.Equal(c.RetryAfter(20, 0.5, time.Second), time.Second)
	for now := 2 * time.Second; now <= 5*time.Second; now += 200 * time.Millisecond {
		c.Update(now, demandOf(100, 40))
	}
	is.True(c.RetryAfter(20, 0.5, time.Minute) < 500*time.Millisecond)
	is.Equal(NewController(0).RetryAfter(1<<40, 1, time.Second), time.Second) // nothing is known
}

// Guards against an entry with only lower-priority requests that keeps its slots, and against one
// that is limited below its share, or while nothing is shed.
func TestSlotsFollowAdmittedDemand(t *testing.T) {
	is := is.New(t)
	c := NewController(0)
	own := demandOf(0, 10, 0, 0)
	_, limited := c.Slots(own, time.Second)
	is.True(!limited)
	c.Update(0, demandOf(100, 50, 0, 90)) // half of the lowest level is admitted
	for _, x := range []struct {
		own  *Demand
		want int
	}{{own, 15 + minSlots}, {demandOf(0, 0, 0, 10), 7 + minSlots}, {demandOf(0), minSlots}, {demandOf(0, 1e9), 150 + minSlots}} {
		slots, limited := c.Slots(x.own, time.Second)
		is.True(limited)
		is.Equal(slots, x.want)
	}
}

// Guards against a host that counts a frozen entry on, counts one twice, drops one of many entries
// between two of its messages, or gets too many calls.
func TestSumsCountEachLiveEntryOnce(t *testing.T) {
	for _, entries := range []int{1, 17, 41, 212} {
		is := is.New(t)
		interval := Interval(entries)
		is.True(float64(entries)/interval.Seconds() <= 160 && interval >= MinInterval)
		var s Sums
		var sum *Demand
		publish := func(round, entry int) {
			now := time.Duration(round)*interval + time.Duration(entry)*time.Millisecond
			sum = s.Publish(now, fmt.Sprint(entry), map[string]*Demand{"p": demandOf(10, 3, 4)})["p"]
			s.Publish(now, fmt.Sprint(entry), map[string]*Demand{fmt.Sprint("own", round, entry): demandOf(1)}) // another pool
		}
		for round := range 5 {
			for entry := range entries {
				publish(round, entry)
			}
			is.Equal(sum.Entries, entries)
			is.Equal(sum.Levels[1].Arrivals, 4*float64(entries))
		}
		is.True(len(s.pools) <= maxPools)
		publish(5+int(retention(entries)/interval), 0) // the others are frozen
		is.Equal(sum.Entries, 1)
	}
}

// Guards against invalid messages that spread to all entries.
func TestInvalidDemandCountsAsNone(t *testing.T) {
	is := is.New(t)
	levels := []*agentv1.LevelDemand{
		{Level: 1 << 30, Arrivals: math.NaN()}, {Level: -1 << 31, Arrivals: -5, Admitted: math.Inf(1)}, {Level: 7, Arrivals: 1e300}, {Level: 7, Arrivals: 2}, nil,
	}
	var s Sums
	d := s.Publish(0, "", FromProto([]*agentv1.PoolDemand{nil, {Pool: "p", Capacity: math.Inf(-1), Entries: -4, Levels: levels}}))["p"]
	is.Equal(d, &Demand{Levels: []LevelDemand{{Level: 0, Admitted: maxRate}, {Level: 7, Arrivals: maxRate + 2}, {Level: site.MaxLevel}}})
	c := NewController(math.NaN())
	c.Update(0, d)
	is.Equal(c.Decision().Fraction(7), 1.0)
	d.Capacity = 1
	c.Update(time.Second, d)
	is.True(c.Decision().Fraction(7) > 0 && c.Decision().Fraction(0) == 1)
	is.Equal(FromProto(ToProto(map[string]*Demand{"p": d}))["p"].Capacity, 1.0)
}

// BenchmarkUpdate measures one decision, by the number of levels.
func BenchmarkUpdate(b *testing.B) {
	for _, levels := range []int{9, site.MaxLevel + 1} {
		b.Run(fmt.Sprint(levels), func(b *testing.B) {
			d := &Demand{Capacity: float64(levels)}
			for level := range levels {
				d.Levels = append(d.Levels, LevelDemand{Level: level, Arrivals: 2})
			}
			c := NewController(DefaultLeastShare)
			now := time.Duration(0)
			for b.Loop() {
				now += 200 * time.Millisecond
				c.Update(now, d)
			}
		})
	}
}

// BenchmarkPublish measures one call at a host with 212 entries of 9 levels.
func BenchmarkPublish(b *testing.B) {
	var s Sums
	pools := map[string]*Demand{"p": demandOf(10, 1, 2, 3, 4, 5, 6, 7, 8, 9)}
	for entry := range 212 {
		s.Publish(0, fmt.Sprint(entry), pools)
	}
	for b.Loop() {
		s.Publish(0, "0", pools)
	}
}

// Guards against a level that is admitted whole as soon as its demand fits for a moment: the requests
// that were shed return at once.
func TestLevelIsReadmittedAfterItHasFitted(t *testing.T) {
	is := is.New(t)
	c := NewController(0)
	shedding := func(now time.Duration, rate float64) bool {
		c.Update(now, demandOf(100, rate))
		return c.Decision().Shedding
	}
	is.True(shedding(0, 200))
	is.True(shedding(time.Second, 50))
	is.True(shedding(time.Second+readmitAfter-1, 50))
	is.True(shedding(time.Second+readmitAfter, 200)) // it has not fitted all the while
	is.True(shedding(2*time.Second, 50))
	is.True(shedding(2*time.Second+readmitAfter-1, 50))
	is.True(!shedding(2*time.Second+readmitAfter, 50))
}

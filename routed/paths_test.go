package routed

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
)

// pathWorld is one entry in zone a before engines in three zones, in virtual time.
type pathWorld struct {
	rng    *rand.Rand
	paths  pathDelays
	loads  *load.Tracker
	picker *pick.Picker
	// learns is false for an entry that does not look at the ways.
	learns bool
	// late counts the answers with a late part, sent and byZone all of them.
	late, sent int
	byZone     map[string]int
	running    []runningStream
}

type runningStream struct {
	begun time.Duration
	call  load.Call
}

func newPathWorld(learns bool) *pathWorld {
	table := endpoint.NewTable()
	for i := range 48 {
		table.Apply([]endpoint.Endpoint{{ID: fmt.Sprint("e", i), Pool: "pool", Zone: string(rune('a' + i%3)), Addr: fmt.Sprint("10.0.0.", i, ":80"), Slots: 12, Revision: 1}}, nil)
	}
	loads := load.New(load.Config{}, table)
	return &pathWorld{
		rng: rand.New(rand.NewPCG(1, 1)), learns: learns, loads: loads, byZone: map[string]int{},
		picker: pick.New(pick.DirectConfig(), table, loads, prefix.New(prefix.Config{}), outlier.New(outlier.Config{})),
	}
}

// play sends 160 streams of 24 parts a second, which last for 1.2 s and whose parts from a zone are
// late by chance.
func (w *pathWorld) play(from, until time.Duration, lateChance func(zone string) float64) {
	const parts = 24
	w.late, w.sent, w.byZone = 0, 0, map[string]int{}
	for now := from; now < until; now += time.Second / 160 {
		for len(w.running) > 0 && now-w.running[0].begun >= 1200*time.Millisecond {
			w.loads.Done(now, &w.running[0].call, load.Result{Tokens: parts})
			w.running = w.running[1:]
		}
		wanted := pick.Request{Pool: "pool", Zone: "a"}
		if w.learns {
			wanted.PathDelays = w.paths.delays(now, parts)
		}
		chosen, _, err := w.picker.Pick(now, w.rng, &wanted)
		if err != nil {
			panic(err)
		}
		w.sent++
		w.byZone[chosen.Zone]++
		w.running = append(w.running, runningStream{now, w.loads.Sent(now, chosen.ID, load.Work{PromptTokens: 800, MaxTokens: 96})})
		late := false
		for range parts {
			delay := time.Duration(0)
			if w.rng.Float64() < lateChance(chosen.Zone) {
				delay, late = 150*time.Millisecond, true
			}
			w.paths.observe(chosen.Zone, now, delay)
		}
		if late {
			w.late++
		}
	}
}

// Guards against calls that go by ways which lose packets while others do not.
func TestCallsAvoidWaysThatLosePackets(t *testing.T) {
	is := is.New(t)
	calm := func(string) float64 { return 0.001 }
	lossy := func(zone string) float64 {
		if zone == "c" {
			return 0.04
		}
		return 0.001
	}
	all := func(string) float64 { return 0.04 }
	for _, learns := range []bool{false, true} {
		w := newPathWorld(learns)
		w.play(0, 10*time.Second, calm)
		t.Logf("learns %v, calm: %v", learns, w.byZone)
		w.play(10*time.Second, 20*time.Second, lossy)
		t.Logf("learns %v, zone c lossy: %d of %d late, %v", learns, w.late, w.sent, w.byZone)
		is.True(!learns || w.late <= w.sent/20) // what it takes to find out, and what is late anyway
		w.play(60*time.Second, 70*time.Second, calm)
		t.Logf("learns %v, calm again: %v", learns, w.byZone)
		is.True(w.byZone["c"] >= w.sent/6) // it is used again
		w.play(70*time.Second, 80*time.Second, all)
		t.Logf("learns %v, all lossy: %v", learns, w.byZone)
		for _, zone := range []string{"a", "b", "c"} {
			is.True(w.byZone[zone] >= w.sent/6) // no zone is emptied for what all have
		}
	}
}

// BenchmarkPathDelays is what the ways cost the choice of an endpoint, with 16 zones.
func BenchmarkPathDelays(b *testing.B) {
	var p pathDelays
	for i := range 16 {
		p.observe(fmt.Sprint("zone-", i), time.Second, 10*time.Millisecond)
	}
	for b.Loop() {
		p.delays(2*time.Second, 24)
	}
}

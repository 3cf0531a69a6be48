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

// pathSimulation simulates one entry in zone a and engines in three zones, in virtual time.
type pathSimulation struct {
	rng    *rand.Rand
	paths  pathDelays
	loads  *load.Tracker
	picker *pick.Picker
	// measuresDelays is false for an entry that ignores path delays.
	measuresDelays bool
	// late is the number of responses with a late chunk, sent the number of all responses, and
	// byZone the latter by zone.
	late, sent int
	byZone     map[string]int
	running    []runningStream
}

type runningStream struct {
	startedAt time.Duration
	call      load.Call
}

func newPathSimulation(measures bool) *pathSimulation {
	table := endpoint.NewTable()
	for i := range 48 {
		table.Apply([]endpoint.Endpoint{{ID: fmt.Sprint("e", i), Pool: "pool", Zone: string(rune('a' + i%3)), Addr: fmt.Sprint("10.0.0.", i, ":80"), Slots: 12, Revision: 1}}, nil)
	}
	loads := load.New(load.Config{}, table)
	return &pathSimulation{
		rng: rand.New(rand.NewPCG(1, 1)), measuresDelays: measures, loads: loads, byZone: map[string]int{},
		picker: pick.New(pick.DirectConfig(), table, loads, prefix.New(prefix.Config{}), outlier.New(outlier.Config{})),
	}
}

// run sends 160 streams per second. Each has 24 chunks and lasts 1.2 s; its chunks are late
// with the probability given for the zone.
func (w *pathSimulation) run(from, until time.Duration, lateChance func(zone string) float64) {
	const chunks = 24
	w.late, w.sent, w.byZone = 0, 0, map[string]int{}
	for now := from; now < until; now += time.Second / 160 {
		for len(w.running) > 0 && now-w.running[0].startedAt >= 1200*time.Millisecond {
			w.loads.Done(now, &w.running[0].call, load.Result{Tokens: chunks})
			w.running = w.running[1:]
		}
		want := pick.Request{Pool: "pool", Zone: "a"}
		if w.measuresDelays {
			want.PathDelays = w.paths.delays(now, chunks)
		}
		chosen, _, err := w.picker.Pick(now, w.rng, &want)
		if err != nil {
			panic(err)
		}
		w.sent++
		w.byZone[chosen.Zone]++
		w.running = append(w.running, runningStream{now, w.loads.Sent(now, chosen.ID, load.Work{PromptTokens: 800, MaxTokens: 96})})
		late := false
		for range chunks {
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

// Guards against calls that use lossy network paths although paths without loss exist.
func TestCallsAvoidLossyPaths(t *testing.T) {
	is := is.New(t)
	calm := func(string) float64 { return 0.001 }
	lossy := func(zone string) float64 {
		if zone == "c" {
			return 0.04
		}
		return 0.001
	}
	all := func(string) float64 { return 0.04 }
	for _, measures := range []bool{false, true} {
		w := newPathSimulation(measures)
		w.run(0, 10*time.Second, calm)
		t.Logf("measures %v, calm: %v", measures, w.byZone)
		w.run(10*time.Second, 20*time.Second, lossy)
		t.Logf("measures %v, zone c lossy: %d of %d late, %v", measures, w.late, w.sent, w.byZone)
		is.True(!measures || w.late <= w.sent/20) // calls before detection, and chunks that are late anyway
		w.run(60*time.Second, 70*time.Second, calm)
		t.Logf("measures %v, calm again: %v", measures, w.byZone)
		is.True(w.byZone["c"] >= w.sent/6) // the zone is used again
		w.run(70*time.Second, 80*time.Second, all)
		t.Logf("measures %v, all lossy: %v", measures, w.byZone)
		for _, zone := range []string{"a", "b", "c"} {
			is.True(w.byZone[zone] >= w.sent/6) // no zone is avoided if all are equally lossy
		}
	}
}

// BenchmarkPathDelays measures the cost of path delays per endpoint selection, with 16 zones.
func BenchmarkPathDelays(b *testing.B) {
	var p pathDelays
	for i := range 16 {
		p.observe(fmt.Sprint("zone-", i), time.Second, 10*time.Millisecond)
	}
	for b.Loop() {
		p.delays(2*time.Second, 24)
	}
}

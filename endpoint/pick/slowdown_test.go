package pick

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/endpoint/speed"
)

const groupSlots = 8

// slowGroup is a picker for a lock-step group of direct endpoints, of which the first ones are slow.
type slowGroup struct {
	picker *Picker
	loads  *load.Tracker
	speeds *speed.Tracker
	ids    []string
}

func newSlowGroup(ranks, slots, slow int, slowdown float64, speeds *speed.Tracker) *slowGroup {
	g := &slowGroup{speeds: speeds}
	table := endpoint.NewTable()
	var all []endpoint.Endpoint
	for i := range ranks {
		g.ids = append(g.ids, fmt.Sprintf("rank-%02d", i))
		all = append(all, endpoint.Endpoint{ID: g.ids[i], Addr: g.ids[i], Pool: "pool", State: endpoint.Serving, Slots: slots, Zone: fmt.Sprint(i % 3), Revision: 1})
		if i < slow {
			speeds.Report(0, g.ids[i], slowdown)
		}
	}
	table.Apply(all, nil)
	g.loads = load.New(load.Config{}, table)
	cfg := DirectConfig()
	cfg.Speeds = speeds
	g.picker = New(cfg, table, g.loads, prefix.New(prefix.Config{}), outlier.New(outlier.Config{}))
	return g
}

// send sends n calls that stay in flight and returns the endpoints that got them.
func (g *slowGroup) send(t *testing.T, now time.Duration, rng *rand.Rand, n int) (chosen []string) {
	t.Helper()
	for range n {
		e, _, err := g.picker.Pick(now, rng, &Request{Pool: "pool", Zone: "1", PromptTokens: 850, MaxTokens: 90})
		if err != nil {
			t.Fatal(err)
		}
		g.loads.Sent(now, e.ID, load.Work{PromptTokens: 850, MaxTokens: 90})
		chosen = append(chosen, e.ID)
	}
	return chosen
}

// TestSlowRanksGetCallsOnlyWhenOthersAreFull guards against calls at slow ranks while others have
// free slots, although a selection samples only 8 ranks, and against slow ranks that stay idle
// while calls queue at the others.
func TestSlowRanksGetCallsOnlyWhenOthersAreFull(t *testing.T) {
	for _, test := range []struct {
		slow     int
		slowdown float64
	}{{1, 1.6}, {1, 1.15}, {1, 64}, {25, 12}, {42, 2}} {
		t.Run(fmt.Sprint(test), func(t *testing.T) {
			is := is.New(t)
			g := newSlowGroup(63, groupSlots, test.slow, test.slowdown, speed.New())
			rng := rand.New(rand.NewPCG(1, 2))
			fastSlots := float64((63 - test.slow) * groupSlots)
			chosen := g.send(t, 0, rng, int(minFullUsage*fastSlots))
			for _, id := range g.ids[:test.slow] {
				is.True(!slices.Contains(chosen, id))
			}
			chosen = append(chosen, g.send(t, 0, rng, 63*groupSlots-len(chosen))...)
			counts := map[string]int{}
			for _, id := range chosen {
				counts[id]++
			}
			slowCalls := 0
			for _, id := range g.ids[:test.slow] {
				slowCalls += counts[id]
				is.True(counts[id] <= groupSlots)
			}
			is.True(float64(len(chosen)-slowCalls) <= maxFullUsage*fastSlots+1)
			g.send(t, 0, rng, 10) // calls may still queue
		})
	}
}

// TestManyEntriesUseSlowRanksOnceOthersAreFull simulates 22 entries that learn of each other's calls
// from reports every 200 ms, and 25 slow ranks of 63. It guards against entries that see free slots of
// the others as long as each report shows a few, so that calls queue there and slow ranks stay idle.
func TestManyEntriesUseSlowRanksOnceOthersAreFull(t *testing.T) {
	is := is.New(t)
	const slowRanks = 25
	cfg := DirectConfig()
	cfg.Speeds = speed.New()
	for i := range slowRanks {
		cfg.Speeds.Report(6*time.Second, fmt.Sprintf("engine-%03d", i), 12)
	}
	for rate, excess := range map[float64]int{210: 0, 330: 396 - (63-slowRanks)*groupSlots} {
		slow, samples := 0, 0
		simulation := poolSimulation{entries: 22, engines: 63, slots: groupSlots, rate: rate, callTime: 1200 * time.Millisecond, reportInterval: 200 * time.Millisecond}
		simulation.sample = func(running map[string]int) {
			samples++
			for i := range slowRanks {
				slow += running[fmt.Sprintf("engine-%03d", i)]
			}
		}
		over, _ := simulation.simulate(t, cfg, 1)
		mean := slow / samples
		t.Logf("%.0f calls per second: %d calls at slow ranks, %d do not fit at the others, share of ranks over capacity %.3f", rate, mean, excess, over)
		is.True(mean >= excess*3/4 && mean <= excess*3/2)
	}
}

// TestFewFastRanksAreNotFlooded guards against all entries sending their calls to the only rank that
// is not slow, before load reports show that it is full.
func TestFewFastRanksAreNotFlooded(t *testing.T) {
	is := is.New(t)
	fast := 0
	for seed := range uint64(200) { // the first call of each of 200 entries
		g := newSlowGroup(63, groupSlots, 62, 1.2, speed.New())
		if g.send(t, 0, rand.New(rand.NewPCG(seed, 1)), 1)[0] == g.ids[62] {
			fast++
		}
	}
	is.True(fast < 50)
}

// TestThirdOfEndpointsWithoutSlotsIsLeftOut guards against most calls going to few endpoints of a
// pool whose endpoints are never full.
func TestThirdOfEndpointsWithoutSlotsIsLeftOut(t *testing.T) {
	is := is.New(t)
	for slow, leftOut := range map[int]bool{4: true, 5: false} {
		g := newSlowGroup(12, 0, slow, 4, speed.New())
		chosen := g.send(t, 0, rand.New(rand.NewPCG(1, 1)), 200)
		is.Equal(!slices.Contains(chosen, g.ids[0]), leftOut)
	}
}

// TestNominalSlowdownsChangeNoSelection guards against any change of selections, random draws
// included, where no slowdown is known: with no tracker, an empty one, one whose reports are nominal,
// have expired, or are those of another pool.
func TestNominalSlowdownsChangeNoSelection(t *testing.T) {
	is := is.New(t)
	const now = 10 * time.Second
	run := func(prepare func(*slowGroup), speeds *speed.Tracker) ([]string, uint64) {
		g := newSlowGroup(63, groupSlots, 0, 0, speeds)
		prepare(g)
		rng := rand.New(rand.NewPCG(3, 4))
		chosen := g.send(t, now, rng, 63*groupSlots+100)
		return chosen, rng.Uint64()
	}
	want, wantDraw := run(func(*slowGroup) {}, nil)
	for _, prepare := range []func(*slowGroup){
		func(*slowGroup) {},
		func(g *slowGroup) { g.speeds.Report(now, g.ids[0], 1.05) },
		func(g *slowGroup) { g.speeds.Report(now, g.ids[0], -2) },
		func(g *slowGroup) { g.speeds.Report(now-3*time.Second, g.ids[0], 5) },
		func(g *slowGroup) { g.speeds.Report(now, "other", 5) },
		func(g *slowGroup) { g.speeds.Report(now, g.ids[0], 5); g.speeds.Report(now, g.ids[0], 1) },
	} {
		chosen, draw := run(prepare, speed.New())
		is.Equal(chosen, want)
		is.Equal(draw, wantDraw)
	}
}

func BenchmarkPickWithSlowRanks(b *testing.B) {
	for _, slow := range []int{0, 1, 25} {
		b.Run(fmt.Sprint(slow), func(b *testing.B) {
			g := newSlowGroup(63, groupSlots, slow, 12, speed.New())
			rng := rand.New(rand.NewPCG(1, 2))
			for b.Loop() {
				_, _, _ = g.picker.Pick(0, rng, &Request{Pool: "pool", PromptTokens: 850, MaxTokens: 90})
			}
		})
	}
}

package pick

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
)

// poolSimulation simulates a pool of engines and entries that do not know each other's calls: each
// knows only its own calls and the engines' reports.
type poolSimulation struct {
	entries, engines, slots int
	// rate is in calls per second, callTime is the duration of a call, and reportInterval the
	// time between two reports.
	rate                     float64
	callTime, reportInterval time.Duration
	// minGain is the required reduction of the calls at the busiest engine, compared with
	// workspace shards, as a multiple of the mean.
	minGain float64
	// largeShare is the share of the calls that each of the three large workspaces sends; small
	// workspaces send the rest.
	largeShare float64
	// sample, if set, is called with the calls at each engine every 100 ms of the second half.
	sample func(running map[string]int)
}

// inFlightCall is a call in flight, which ends at the time at.
type inFlightCall struct {
	at     time.Duration
	engine string
	entry  int
	call   load.Call
}

type callHeap []inFlightCall

func (h callHeap) Len() int           { return len(h) }
func (h callHeap) Less(i, j int) bool { return h[i].at < h[j].at }
func (h callHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *callHeap) Push(x any)        { *h = append(*h, x.(inFlightCall)) }
func (h *callHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// simulate runs the simulation and returns the mean share of engines with more calls than slots,
// and the calls at the busiest engine divided by the mean.
func (p poolSimulation) simulate(t *testing.T, cfg Config, seed uint64) (overCapacity, busiest float64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 9))
	table := endpoint.NewTable()
	var all []endpoint.Endpoint
	running := map[string]int{}
	for number := range p.engines {
		id := fmt.Sprintf("engine-%03d", number)
		all = append(all, endpoint.Endpoint{ID: id, Pool: "pool", Kind: endpoint.Engine, State: endpoint.Serving, Slots: p.slots, Addr: id, Zone: fmt.Sprint(number % 5), Revision: 1})
		running[id] = 0
	}
	table.Apply(all, nil)
	loads := make([]*load.Tracker, p.entries)
	pickers := make([]*Picker, p.entries)
	for n := range loads {
		loads[n] = load.New(load.Config{Peers: p.entries}, table)
		pickers[n] = New(cfg, table, loads[n], prefix.New(prefix.Config{}), outlier.New(outlier.Config{}))
	}
	inFlight := &callHeap{}
	samples := 0
	var calls float64
	const tick = 5 * time.Millisecond
	for now := time.Duration(0); now < 6*time.Second; now += tick {
		for inFlight.Len() > 0 && (*inFlight)[0].at <= now {
			done := heap.Pop(inFlight).(inFlightCall)
			running[done.engine]--
			loads[done.entry].Done(now, &done.call, load.Result{Tokens: 15})
		}
		if now%p.reportInterval == 0 {
			p.report(now, loads, running)
		}
		for calls += p.rate * tick.Seconds(); calls >= 1; calls-- {
			entry := rng.IntN(p.entries)
			r := &Request{Pool: "pool", Workspace: p.workspace(rng), Zone: fmt.Sprint(entry % 5), PromptTokens: 850, MaxTokens: 90}
			chosen, _, err := pickers[entry].Pick(now, rng, r)
			if err != nil {
				continue
			}
			call := loads[entry].Sent(now, chosen.ID, load.Work{PromptTokens: 850, MaxTokens: 90})
			running[chosen.ID]++
			heap.Push(inFlight, inFlightCall{at: now + p.callTime, engine: chosen.ID, entry: entry, call: call})
		}
		if now > 3*time.Second && now%(100*time.Millisecond) == 0 {
			samples++
			if p.sample != nil {
				p.sample(running)
			}
			most := 0
			for _, n := range running {
				most = max(most, n)
				if n > p.slots {
					overCapacity += 1 / float64(p.engines)
				}
			}
			busiest += float64(most*p.engines) / float64(max(inFlight.Len(), 1))
		}
	}
	return overCapacity / float64(samples), busiest / float64(samples)
}

// report sends the load of every engine to every entry.
func (p poolSimulation) report(now time.Duration, loads []*load.Tracker, running map[string]int) {
	for _, tracker := range loads {
		for id, n := range running {
			tracker.Report(now, id, load.Report{Running: min(n, p.slots), Waiting: max(n-p.slots, 0)})
		}
	}
}

func (p poolSimulation) workspace(rng *rand.Rand) string {
	if draw := rng.Float64(); draw < 3*p.largeShare {
		return fmt.Sprint("large-", int(draw/p.largeShare))
	}
	return fmt.Sprint("small-", rng.IntN(37))
}

// TestCallsAreSpreadOverEngines simulates typical deployments: 36 entries and 192 engines with 6 slots,
// half of them in use, and 5 entries and 16 engines with 12 slots, each with three large workspaces.
// Reports arrive every 225 ms and every 100 ms. Workspace shards, which serve the caches and adapters
// of engines behind agents, would send some engines more calls than they have slots, so that calls
// wait until another call has ended.
func TestCallsAreSpreadOverEngines(t *testing.T) {
	is := is.New(t)
	for _, pool := range []poolSimulation{
		{entries: 36, engines: 192, slots: 6, rate: 470, callTime: 1200 * time.Millisecond, reportInterval: 225 * time.Millisecond, largeShare: 0.12, minGain: 1.2},
		{entries: 5, engines: 16, slots: 12, rate: 80, callTime: 1200 * time.Millisecond, reportInterval: 100 * time.Millisecond, largeShare: 0.2, minGain: 0.1},
	} {
		for seed := range uint64(3) {
			sharded, shardedMax := pool.simulate(t, Config{}, seed)
			spread, spreadMax := pool.simulate(t, DirectConfig(), seed)
			t.Logf("%d entries, %d engines, seed %d: share of engines over capacity %.3f with shards, %.3f without; busiest engine over mean %.2f and %.2f",
				pool.entries, pool.engines, seed, sharded, spread, shardedMax, spreadMax)
			is.True(spread < 0.005)
			is.True(spreadMax < shardedMax-pool.minGain)
		}
	}
}

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

// blind is a pool of engines in front of which entries do not see each other's calls: each
// knows its own and what the engines report.
type blind struct {
	entries, engines, slots int
	// rate is in calls a second, stay the time of a call, every that between two reports.
	rate        float64
	stay, every time.Duration
	// wins is by how much of the mean the busiest engine has fewer calls than by shards.
	wins float64
	// large is the part of the calls of each of the largest workspaces, of which there are
	// three; the rest is of small ones.
	large float64
}

// ending is a call in flight.
type ending struct {
	at     time.Duration
	engine string
	entry  int
	call   load.Call
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at < e[j].at }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// over plays the pool and returns the mean part of the engines with more calls than slots, and
// the most calls at one engine over the mean.
func (b blind) over(t *testing.T, cfg Config, seed uint64) (over, busiest float64) {
	t.Helper()
	rng := rand.New(rand.NewPCG(seed, 9))
	table := endpoint.NewTable()
	var all []endpoint.Endpoint
	running := map[string]int{}
	for number := range b.engines {
		id := fmt.Sprintf("engine-%03d", number)
		all = append(all, endpoint.Endpoint{ID: id, Pool: "pool", Kind: endpoint.Engine, State: endpoint.Serving, Slots: b.slots, Addr: id, Zone: fmt.Sprint(number % 5), Revision: 1})
		running[id] = 0
	}
	table.Apply(all, nil)
	loads := make([]*load.Tracker, b.entries)
	pickers := make([]*Picker, b.entries)
	for n := range loads {
		loads[n] = load.New(load.Config{Peers: b.entries}, table)
		pickers[n] = New(cfg, table, loads[n], prefix.New(prefix.Config{}), outlier.New(outlier.Config{}))
	}
	flight := &endings{}
	samples := 0
	var calls float64
	const tick = 5 * time.Millisecond
	for now := time.Duration(0); now < 6*time.Second; now += tick {
		for flight.Len() > 0 && (*flight)[0].at <= now {
			done := heap.Pop(flight).(ending)
			running[done.engine]--
			loads[done.entry].Done(now, &done.call, load.Result{Tokens: 15})
		}
		if now%b.every == 0 {
			b.report(now, loads, running)
		}
		for calls += b.rate * tick.Seconds(); calls >= 1; calls-- {
			entry := rng.IntN(b.entries)
			r := &Request{Pool: "pool", Workspace: b.workspace(rng), Zone: fmt.Sprint(entry % 5), PromptTokens: 850, MaxTokens: 90}
			chosen, _, err := pickers[entry].Pick(now, rng, r)
			if err != nil {
				continue
			}
			call := loads[entry].Sent(now, chosen.ID, load.Work{PromptTokens: 850, MaxTokens: 90})
			running[chosen.ID]++
			heap.Push(flight, ending{at: now + b.stay, engine: chosen.ID, entry: entry, call: call})
		}
		if now > 3*time.Second && now%(100*time.Millisecond) == 0 {
			samples++
			most := 0
			for _, n := range running {
				most = max(most, n)
				if n > b.slots {
					over += 1 / float64(b.engines)
				}
			}
			busiest += float64(most*b.engines) / float64(max(flight.Len(), 1))
		}
	}
	return over / float64(samples), busiest / float64(samples)
}

// report tells every entry what runs at every engine.
func (b blind) report(now time.Duration, loads []*load.Tracker, running map[string]int) {
	for _, tracker := range loads {
		for id, n := range running {
			tracker.Report(now, id, load.Report{Running: min(n, b.slots), Waiting: max(n-b.slots, 0)})
		}
	}
}

func (b blind) workspace(rng *rand.Rand) string {
	if draw := rng.Float64(); draw < 3*b.large {
		return fmt.Sprint("large-", int(draw/b.large))
	}
	return fmt.Sprint("small-", rng.IntN(37))
}

// TestCallsAreSpreadOverEngines plays 36 entries before 192 engines of 6 slots, half of which are
// taken, with three large workspaces, and 5 entries before 16 engines of 12, as deployments
// have them; reports come each 225 and 100 ms. By the shards of workspaces, which are for the
// caches and adapters that engines behind agents keep, a part of the engines has more calls than
// slots, where some calls wait for a whole answer of another.
func TestCallsAreSpreadOverEngines(t *testing.T) {
	is := is.New(t)
	for _, pool := range []blind{
		{entries: 36, engines: 192, slots: 6, rate: 470, stay: 1200 * time.Millisecond, every: 225 * time.Millisecond, large: 0.12, wins: 1.2},
		{entries: 5, engines: 16, slots: 12, rate: 80, stay: 1200 * time.Millisecond, every: 100 * time.Millisecond, large: 0.2, wins: 0.1},
	} {
		for seed := range uint64(3) {
			before, peak := pool.over(t, Config{}, seed)
			after, level := pool.over(t, DirectConfig(), seed)
			t.Logf("%d entries, %d engines, seed %d: over their slots %.3f by shards, %.3f evenly; busiest over mean %.2f and %.2f",
				pool.entries, pool.engines, seed, before, after, peak, level)
			is.True(after < 0.005)
			is.True(level < peak-pool.wins)
		}
	}
}

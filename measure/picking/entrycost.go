package picking

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
)

// fleetSize is a fleet size for which the cost at one entry is measured.
type fleetSize struct {
	endpoints int
	// callsPerSecond is the number of calls per second in the whole fleet, entries
	// the number of entries that share them.
	callsPerSecond float64
	entries        int
}

func fleetSizes() []fleetSize {
	return []fleetSize{{16, 15, 2}, {250, 230, 6}, {2500, 2300, 40}}
}

const (
	// reportsPerSecond is the number of load reports of an endpoint per second.
	reportsPerSecond = 4
	// blocksPerCall is the number of blocks that a call adds to a cache, and the
	// number that are evicted for it.
	blocksPerCall = 20
	// indexEntriesPerEndpoint is the capacity of the prefix index per endpoint: the
	// number of blocks in a cache.
	indexEntriesPerEndpoint = 2000
	benchRounds             = 20_000
)

// entryCost is the cost of the decision code at one entry. The times depend on the
// machine.
type entryCost struct {
	size fleetSize
	// pick is the time of one pick, trackCall that of tracking a call from dispatch
	// to end, report that of processing one load report, event that of the cache
	// events of one call, update that of one change of the endpoint table.
	pick, trackCall, report, event, update time.Duration
	// indexBytes is the memory of the prefix index, tableBytes that of all other
	// tables.
	tableBytes, indexBytes int64
	// coreShare is the share of one core that an entry spends on picks, calls, reports
	// and cache events.
	coreShare float64
}

// entryBench is the state of one entry, driven without a simulated clock.
type entryBench struct {
	ids        []string
	records    []endpoint.Endpoint
	table      *endpoint.Table
	loads      *load.Tracker
	index      *prefix.Index
	outliers   *outlier.Detector
	picker     *pick.Picker
	rng        *rand.Rand
	prompts    [][]uint64
	workspaces []string
	eventSeqs  []uint64
}

func newEntryBench(size int, seed uint64) *entryBench {
	b := &entryBench{table: endpoint.NewTable(), rng: rand.New(rand.NewPCG(seed, 0xb)), eventSeqs: make([]uint64, size)}
	for i := range size {
		b.ids = append(b.ids, fmt.Sprintf("engine-%04d", i))
		b.records = append(b.records, endpoint.Endpoint{
			ID: b.ids[i], Pool: poolName, Model: modelName, Group: fmt.Sprintf("group-%d", i/64),
			Zone: zoneName(i / 64), Rank: i % 64, Slots: engineSlots, Revision: 1,
		})
	}
	for i := range 512 {
		chain := make([]uint64, 40)
		for k := range chain {
			chain[k] = mixBits(uint64(i)<<20 | uint64(k+1))
		}
		b.prompts = append(b.prompts, chain)
		b.workspaces = append(b.workspaces, fmt.Sprintf("workspace-%d", i))
	}
	return b
}

// measureEntryCost measures the cost for one fleet size.
func measureEntryCost(size fleetSize, seed uint64) entryCost {
	b := newEntryBench(size.endpoints, seed)
	cost := entryCost{size: size}
	before := heapInUse()
	b.index = prefix.New(prefix.Config{Entries: size.endpoints * indexEntriesPerEndpoint})
	b.table.Replace(b.records)
	b.loads = load.New(load.Config{}, b.table)
	b.outliers = outlier.New(outlier.Config{})
	b.picker = pick.New(pick.Config{}, b.table, b.loads, b.index, b.outliers)
	cost.report = meanTime(b.report)
	cost.event = meanTime(b.event)
	cost.pick = meanTime(func(i int) { b.pick(i) })
	cost.trackCall = meanTime(func(i int) { b.trackCall(i, b.pick(i)) }) - cost.pick
	cost.update = meanTimeOver(200, b.update)
	cost.indexBytes = b.index.Bytes()
	cost.tableBytes = max(heapInUse()-before-cost.indexBytes, 0)
	runtime.KeepAlive(b)
	calls := size.callsPerSecond
	coreShare := calls/float64(size.entries)*(cost.pick+cost.trackCall).Seconds() +
		float64(size.endpoints)*reportsPerSecond*cost.report.Seconds() + calls*cost.event.Seconds()
	cost.coreShare = coreShare
	return cost
}

// meanTime returns the mean time of a call of f over benchRounds calls.
func meanTime(f func(i int)) time.Duration { return meanTimeOver(benchRounds, f) }

// meanTimeOver is meanTime with the given number of rounds.
func meanTimeOver(rounds int, f func(i int)) time.Duration {
	start := time.Now()
	for i := range rounds {
		f(i)
	}
	return time.Since(start) / time.Duration(rounds)
}

func heapInUse() int64 {
	// It takes two collections to empty the pools that earlier runs have filled.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// now returns the virtual time of a round.
func (b *entryBench) now(i int) time.Duration { return time.Duration(i) * 100 * time.Microsecond }

// report processes a load report and its latency sample.
func (b *entryBench) report(i int) {
	endpointIndex := i % len(b.ids)
	b.loads.Report(b.now(i), b.ids[endpointIndex], load.Report{
		Age: time.Second, Running: b.rng.IntN(16), PrefillTokens: b.rng.IntN(3000),
		PrefillRate: 20000, StepTime: 5 * time.Millisecond, OwnStep: 5 * time.Millisecond,
	})
	b.outliers.Observe(b.now(i), b.records[endpointIndex].Group, b.ids[endpointIndex], outlier.Sample{Latency: 5 * time.Millisecond})
	if i%10000 == 0 {
		b.outliers.Tick(b.now(i))
	}
}

// event processes the cache event of one call.
func (b *entryBench) event(i int) {
	endpointIndex := i % len(b.ids)
	b.eventSeqs[endpointIndex]++
	stored := b.prompts[b.rng.IntN(len(b.prompts))][:blocksPerCall]
	removed := b.prompts[b.rng.IntN(len(b.prompts))][blocksPerCall:]
	b.index.Apply(b.now(i), prefix.Event{Endpoint: b.ids[endpointIndex], Incarnation: 1, Seq: b.eventSeqs[endpointIndex], Stored: stored, Removed: removed})
}

// pickedCall is a request and the endpoint picked for it.
type pickedCall struct {
	request      pick.Request
	id           string
	cachedBlocks int
}

// pick picks an endpoint for a random workspace.
func (b *entryBench) pick(i int) pickedCall {
	n := b.rng.IntN(len(b.prompts))
	request := pick.Request{
		Pool: poolName, Model: modelName, Workspace: b.workspaces[n], Zone: zoneName(i),
		Prompt: b.prompts[n], PromptTokens: len(b.prompts[n]) * blockTokens, MaxTokens: 300,
	}
	chosen, explain, err := b.picker.Pick(b.now(i), b.rng, &request)
	if err != nil {
		panic(err)
	}
	return pickedCall{request: request, id: chosen.ID, cachedBlocks: explain.Chosen.Matched}
}

// trackCall tracks a call from dispatch to end.
func (b *entryBench) trackCall(i int, c pickedCall) {
	now := b.now(i)
	work := load.Work{PromptTokens: c.request.PromptTokens - c.cachedBlocks*blockTokens, MaxTokens: c.request.MaxTokens}
	call := b.loads.Sent(now, c.id, work)
	b.index.Sent(now, c.id, c.request.Prompt)
	b.loads.FirstToken(now, &call)
	b.loads.Done(now, &call, load.Result{Tokens: 150})
}

// update applies a change of one endpoint to the table.
func (b *entryBench) update(i int) {
	e := b.records[i%len(b.records)]
	e.Revision = uint64(i + 2)
	b.table.Apply([]endpoint.Endpoint{e}, nil)
}

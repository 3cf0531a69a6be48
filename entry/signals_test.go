package entry_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/entry"
	"github.com/lilackeel/lilackeel/measure/overhead"
	"github.com/lilackeel/lilackeel/standin"
)

// startEngines starts a fleet of separate engines that is looked at often.
func startEngines(t *testing.T, count int, cfg standin.EngineConfig) *overhead.Fleet {
	return start(t, overhead.FleetConfig{
		Engine: cfg, Endpoints: count, Separate: true, PollInterval: 10 * time.Millisecond,
		Configure: func(c *entry.Config) { c.ReportInterval = 10 * time.Millisecond },
	})
}

func until(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain until %s", what)
		}
	}
}

func engineName(i int) string { return fmt.Sprint("engine-", i+1) }

// runs counts the calls that each engine has begun.
func runs(f *overhead.Fleet) []int {
	counts := make([]int, len(f.Engines))
	for i, engine := range f.Engines {
		counts[i], _ = engine.Counts()
	}
	return counts
}

// TestPromptFollowsItsPrefix fills the cache of one engine after another behind
// the entry's back, so that only cache events tell of it: the next prompt with
// the same prefix goes there each time.
func TestPromptFollowsItsPrefix(t *testing.T) {
	is := is.New(t)
	const length, blockTime = 3800, 2 * time.Millisecond
	const computing = length / standin.BlockBytes * blockTime
	f := startEngines(t, 4, standin.EngineConfig{Slots: 8, CacheBlocks: 1000, PrefillTime: blockTime})
	for round := range 8 {
		holder := round % len(f.Engines)
		prefix := strings.Repeat(fmt.Sprintf("duties of night %d; ", round), length/19)
		body := func(question string) string {
			return fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":1,"prompt":%q}`, prefix+question)
		}
		response, err := http.Post(f.EngineURLs[holder]+"/v1/completions", "application/json", strings.NewReader(body("first")))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		blocks := standin.PromptBlocks(prefix)
		until(t, "the entry has heard of the prefix", func() bool { return f.Entry.MatchedBlocks(engineName(holder), blocks) == len(blocks) })
		until(t, "the entry has heard that it is computed", func() bool { return f.Entry.Wait(engineName(holder)) < computing/10 })
		before := runs(f)
		is.Equal(send(t.Context(), f, "POST", "/v1/completions", body("second")).status, 200)
		before[holder]++
		is.Equal(runs(f), before)
	}
}

// TestStalledEngineIsAvoided stalls the engine that gets most calls: once its
// reports show steps that do not end, it gets no more than one call in thirty.
func TestStalledEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	const calls = 60
	f := startEngines(t, 4, standin.EngineConfig{Slots: 64, TokenTime: time.Millisecond})
	for _, url := range f.EngineURLs { // a stream each, so that all engines step
		response, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(chat(1<<15, true)))
		is.NoErr(err)
		t.Cleanup(func() { _ = response.Body.Close() })
	}
	burst := func() []int {
		before := runs(f)
		var group sync.WaitGroup
		for range calls {
			group.Go(func() {
				send(t.Context(), f, "POST", "/v1/chat/completions", chat(4, true), "Lilackeel-Deadline-Ms", "2000")
			})
		}
		group.Wait()
		after := runs(f)
		for i := range after {
			after[i] -= before[i]
		}
		return after
	}
	counts := burst()
	victim := 0
	for i := range counts {
		if counts[i] > counts[victim] {
			victim = i
		}
	}
	f.Engines[victim].SetFaults(standin.Faults{Stall: true})
	until(t, "the entry has heard of the stall", func() bool { return f.Entry.StepTime(engineName(victim)) > 300*time.Millisecond })
	stalled := burst()
	t.Logf("calls before the stall %v, after %v", counts, stalled)
	is.True(counts[victim] >= calls/4)
	is.True(stalled[victim] <= calls/30)
}

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

// startEngines starts a fleet of separate engines with short polling and report intervals.
func startEngines(t *testing.T, count int, cfg standin.EngineConfig) *overhead.Fleet {
	return start(t, overhead.FleetConfig{
		Engine: cfg, Endpoints: count, SeparateEngines: true, PollInterval: 10 * time.Millisecond,
		ConfigureEntry: func(c *entry.Config) { c.ReportInterval = 10 * time.Millisecond },
	})
}

func waitUntil(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(waitTimeout); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting until %s", condition)
		}
	}
}

func engineName(i int) string { return fmt.Sprint("engine-", i+1) }

// runs returns the number of calls that each engine has started.
func runs(f *overhead.Fleet) []int {
	counts := make([]int, len(f.Engines))
	for i, engine := range f.Engines {
		counts[i], _ = engine.Counts()
	}
	return counts
}

// TestPromptIsSentToCachedPrefix fills the cache of one engine after another with requests that
// bypass the entry, so that the entry learns of it only by cache events. Each time, the next prompt
// with the same prefix must be sent to that engine.
func TestPromptIsSentToCachedPrefix(t *testing.T) {
	is := is.New(t)
	const length, blockTime = 3800, 2 * time.Millisecond
	const prefillTime = length / standin.BlockBytes * blockTime
	f := startEngines(t, 4, standin.EngineConfig{Slots: 8, CacheBlocks: 1000, PrefillTime: blockTime})
	for round := range 8 {
		cachedAt := round % len(f.Engines)
		prefix := strings.Repeat(fmt.Sprintf("duties of night %d; ", round), length/19)
		body := func(question string) string {
			return fmt.Sprintf(`{"model":"draft","stream":true,"max_tokens":1,"prompt":%q}`, prefix+question)
		}
		response, err := http.Post(f.EngineURLs[cachedAt]+"/v1/completions", "application/json", strings.NewReader(body("first")))
		is.NoErr(err)
		is.NoErr(response.Body.Close())
		blocks := standin.PromptBlocks(prefix)
		waitUntil(t, "the entry knows of the prefix", func() bool { return f.Entry.MatchedBlocks(engineName(cachedAt), blocks) == len(blocks) })
		waitUntil(t, "the entry knows that the prefix is computed", func() bool { return f.Entry.Wait(engineName(cachedAt)) < prefillTime/10 })
		before := runs(f)
		is.Equal(send(t.Context(), f, "POST", "/v1/completions", body("second")).status, 200)
		before[cachedAt]++
		is.Equal(runs(f), before)
	}
}

// TestStalledEngineIsAvoided stalls the engine that gets most calls. Once its reports show a step
// that does not end, it gets at most one call in thirty.
func TestStalledEngineIsAvoided(t *testing.T) {
	is := is.New(t)
	const calls = 60
	f := startEngines(t, 4, standin.EngineConfig{Slots: 64, TokenTime: time.Millisecond})
	for _, url := range f.EngineURLs { // one stream each, so that all engines run steps
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
	busiest := 0
	for i := range counts {
		if counts[i] > counts[busiest] {
			busiest = i
		}
	}
	f.Engines[busiest].SetFaults(standin.Faults{Stall: true})
	waitUntil(t, "the entry knows of the stall", func() bool { return f.Entry.StepTime(engineName(busiest)) > 300*time.Millisecond })
	stalled := burst()
	t.Logf("calls before the stall %v, after %v", counts, stalled)
	is.True(counts[busiest] >= calls/4)
	is.True(stalled[busiest] <= calls/30)
}

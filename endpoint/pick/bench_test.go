package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
)

func BenchmarkPick(b *testing.B) {
	for _, size := range []int{16, 250, 2500} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkPick(b, size) })
	}
}

func benchmarkPick(b *testing.B, size int) {
	f := newFleet(size)
	rng := rand.New(rand.NewPCG(1, 1))
	prompts := make([][]uint64, 512)
	for i := range prompts {
		prompts[i] = chain(uint64(i), 64)
		f.index.Sent(0, f.ids[i%size], prompts[i][:40])
		f.loads.Report(0, f.ids[i%size], load.Report{Running: i % 9, PrefillTokens: 40 * (i % 7), PrefillRate: 9000, StepTime: 5 * time.Millisecond})
	}
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		i++
		r := Request{Pool: "pool", Model: "m", Workspace: workspaceNames[i%len(workspaceNames)], Prompt: prompts[i%len(prompts)], PromptTokens: 4096, MaxTokens: 200}
		if _, _, err := f.picker.Pick(time.Second, rng, &r); err != nil {
			b.Fatal(err)
		}
	}
}

var workspaceNames = []string{"crew", "roster", "legality", "guests", "owners", "cleaners"}

// fleet is a picker and its tables, filled with identical endpoints.
type fleet struct {
	ids      []string
	table    *endpoint.Table
	loads    *load.Tracker
	index    *prefix.Index
	outliers *outlier.Detector
	picker   *Picker
}

func newFleet(size int) *fleet {
	f := &fleet{table: endpoint.NewTable(), index: prefix.New(prefix.Config{}), outliers: outlier.New(outlier.Config{})}
	var all []endpoint.Endpoint
	for i := range size {
		e := endpoint.Endpoint{ID: fmt.Sprintf("engine-%04d", i), Pool: "pool", Model: "m", Group: fmt.Sprint("group-", i/64), Rank: i % 64, Slots: 32, Revision: 1}
		all = append(all, e)
		f.ids = append(f.ids, e.ID)
	}
	f.table.Replace(all)
	f.loads = load.New(load.Config{}, f.table)
	f.picker = New(Config{}, f.table, f.loads, f.index, f.outliers)
	return f
}

// chain returns n block hashes of a prompt; prompts of different seeds share no block.
func chain(seed uint64, n int) []uint64 {
	blocks := make([]uint64, n)
	for i := range blocks {
		blocks[i] = (seed+1)<<32 | uint64(i+1)
	}
	return blocks
}

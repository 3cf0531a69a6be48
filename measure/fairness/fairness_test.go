package fairness

import (
	"bytes"
	"os"
	"testing"

	"github.com/matryer/is"
)

func TestSameSeedGivesSameResults(t *testing.T) {
	is := is.New(t)
	for _, scenario := range []func(uint64) *table{measureOverload, measureDeadlines, measureRetries} {
		var first, second, other bytes.Buffer
		is.NoErr(scenario(7).writeMarkdown(&first))
		is.NoErr(scenario(7).writeMarkdown(&second))
		is.NoErr(scenario(8).writeMarkdown(&other))
		is.Equal(first.String(), second.String())
		is.True(first.String() != other.String())
		t.Log(first.String())
	}
}

// BenchmarkScenarios prints the results of all scenarios for seed 1.
func BenchmarkScenarios(b *testing.B) {
	for b.Loop() {
		if err := Run(os.Stdout, 1, b.TempDir()); err != nil {
			b.Fatal(err)
		}
	}
}

package overhead

import (
	"io"
	"os"
	"testing"

	"github.com/lilackeel/lilackeel/standin"
)

// BenchmarkRun makes all measurements and prints them.
func BenchmarkRun(b *testing.B) {
	for range b.N {
		if err := Run(os.Stdout, 1, b.TempDir()); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkPath compares calls through entry and agent with direct calls.
func BenchmarkPath(b *testing.B) {
	f, err := StartFleet(FleetConfig{Engine: standin.EngineConfig{Slots: slots}})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	for name, call := range map[string]func() error{
		"completion/direct": func() error { return f.Complete(f.EngineURL, 1) },
		"completion/path":   func() error { return f.Complete(f.EntryURL, 1) },
		"read/direct":       func() error { return f.CallIdempotent(f.ServiceURL) },
		"read/path":         func() error { return f.CallIdempotent(f.EntryURL) },
		"claimed/direct":    func() error { return f.CallNonIdempotentAt(f.ServiceURL) },
		"claimed/path":      f.CallNonIdempotent,
	} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				if err := call(); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// TestComparison checks that a comparison makes all direct calls and all calls through
// the entry, and stops at the first error.
func TestComparison(t *testing.T) {
	var c Comparison
	calls := 0
	count := func() error { calls++; return nil }
	if err := c.measure(count, count); err != nil || calls != 2*(warmupCalls+measuredCalls) {
		t.Fatal(calls, err)
	}
	if err := c.measure(count, func() error { return io.EOF }); err != io.EOF {
		t.Fatal("a failed call was counted")
	}
}

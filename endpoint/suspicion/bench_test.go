package suspicion

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkOut is what the choice of an endpoint costs while so many endpoints are suspected.
func BenchmarkOut(b *testing.B) {
	for _, suspected := range []int{0, 10, 250} {
		b.Run(fmt.Sprint(suspected), func(b *testing.B) {
			t := NewTracker(1)
			for i := range suspected {
				t.Failed(0, name(i))
				t.Merge(0, []Report{{Endpoint: name(i), Reporter: 2}})
			}
			all := func(string) bool { return true }
			for b.Loop() {
				t.Excluded(time.Millisecond, all, 2500)
			}
		})
	}
}

// BenchmarkMerge is what one report of another entry costs.
func BenchmarkMerge(b *testing.B) {
	t := NewTracker(1)
	reports := make([]Report, 1)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		reports[0] = Report{Endpoint: name(int(now/time.Millisecond) % 250), Reporter: 2, At: now}
		t.Merge(now, reports)
	}
}

package suspicion

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkExcluded measures the cost of Excluded, which is paid for each endpoint selection, by the
// number of suspected endpoints.
func BenchmarkExcluded(b *testing.B) {
	for _, suspected := range []int{0, 10, 250} {
		b.Run(fmt.Sprint(suspected), func(b *testing.B) {
			t := NewTracker(1)
			for i := range suspected {
				t.Failed(0, endpointID(i))
				t.Merge(0, []Report{{Endpoint: endpointID(i), Reporter: 2}})
			}
			all := func(string) bool { return true }
			for b.Loop() {
				t.Excluded(time.Millisecond, all, 2500)
			}
		})
	}
}

// BenchmarkMerge measures the cost of one report of another entry.
func BenchmarkMerge(b *testing.B) {
	t := NewTracker(1)
	reports := make([]Report, 1)
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		reports[0] = Report{Endpoint: endpointID(int(now/time.Millisecond) % 250), Reporter: 2, At: now}
		t.Merge(now, reports)
	}
}

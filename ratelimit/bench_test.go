package ratelimit

import (
	"strconv"
	"testing"
	"time"
)

// BenchmarkAcquire measures the cost of one permit request at a host.
func BenchmarkAcquire(b *testing.B) {
	a := NewArbiter()
	now := time.Duration(0)
	for b.Loop() {
		now += time.Millisecond
		a.Acquire(now, EndpointLimit{"e/1", Limit{Rate: 1, ReceivedAt: 1}}, 0)
	}
}

// BenchmarkBlocked measures the cost of listing the blocked endpoints, which an entry does for each
// choice of an endpoint, with different numbers of limited endpoints.
func BenchmarkBlocked(b *testing.B) {
	for _, limited := range []int{0, 10, 250} {
		b.Run(strconv.Itoa(limited), func(b *testing.B) {
			table := NewTable()
			for i := range limited {
				id := "e" + strconv.Itoa(i)
				table.Update(id, Limit{Rate: 1, ReceivedAt: 1})
				table.FinishPermit(id, time.Hour)
			}
			for b.Loop() {
				table.Blocked(time.Second)
			}
		})
	}
}

package eventqueue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEqualTimesKeepInsertionOrder checks that events are returned by time, then in
// the order in which they were added, also if an event is added between two calls
// of Take.
func TestEqualTimesKeepInsertionOrder(t *testing.T) {
	is := is.New(t)
	var q Queue[int]
	for i := range 100 {
		q.Add(time.Duration(i%2), i)
	}
	var taken []int
	for at, ok := q.NextTime(); ok; at, ok = q.NextTime() {
		takenAt, event := q.Take()
		is.Equal(takenAt, at)
		if event == 0 {
			q.Add(1, 101) // returned after all earlier events with the same time
		}
		taken = append(taken, event)
	}
	is.Equal(len(taken), 101)
	for i, event := range taken[:50] {
		is.Equal(event, 2*i)
	}
	for i, event := range taken[50:] {
		is.Equal(event, 2*i+1)
	}
}

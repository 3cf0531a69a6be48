package eventqueue

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEventsOfOneTimeKeepTheirOrder demands order by time, then by addition, also
// when events are added between takes.
func TestEventsOfOneTimeKeepTheirOrder(t *testing.T) {
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
			q.Add(1, 101) // after all that are there for that time
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

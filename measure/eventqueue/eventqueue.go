// Package eventqueue implements the event queue of a discrete-event simulation.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue is a priority queue of events ordered by virtual time. Events with the same
// time are returned in the order in which they were added, so that a simulation is
// deterministic for a given seed. The zero value is an empty queue. A Queue is not
// safe for concurrent use.
type Queue[E any] struct {
	items items[E]
	added uint64
}

// Add adds an event that happens at the given virtual time.
func (q *Queue[E]) Add(at time.Duration, event E) {
	q.added++
	heap.Push(&q.items, item[E]{at: at, order: q.added, event: event})
}

// NextTime returns the time of the earliest event; ok is false if the queue is empty.
func (q *Queue[E]) NextTime() (at time.Duration, ok bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// Take removes the earliest event and returns it with its time. It panics if the
// queue is empty, which NextTime reports.
func (q *Queue[E]) Take() (at time.Duration, event E) {
	first := heap.Pop(&q.items).(item[E])
	return first.at, first.event
}

// item is an event with its sort key: the time, then the order of addition.
type item[E any] struct {
	at    time.Duration
	order uint64
	event E
}

// items implements heap.Interface.
type items[E any] []item[E]

// Len implements heap.Interface.
func (s items[E]) Len() int { return len(s) }

// Less implements heap.Interface.
func (s items[E]) Less(i, j int) bool {
	if s[i].at != s[j].at {
		return s[i].at < s[j].at
	}
	return s[i].order < s[j].order
}

// Swap implements heap.Interface.
func (s items[E]) Swap(i, j int) { s[i], s[j] = s[j], s[i] }

// Push implements heap.Interface.
func (s *items[E]) Push(v any) { *s = append(*s, v.(item[E])) }

// Pop implements heap.Interface.
func (s *items[E]) Pop() any {
	last := len(*s) - 1
	v := (*s)[last]
	(*s)[last] = item[E]{}
	*s = (*s)[:last]
	return v
}

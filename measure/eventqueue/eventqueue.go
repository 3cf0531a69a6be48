// Package eventqueue holds the events of a discrete-event simulation, ordered by
// virtual time.
package eventqueue

import (
	"container/heap"
	"time"
)

// Queue gives out events by time; events of the same time come in the order in
// which they were added, so that a run depends on its seed alone. The zero value
// is empty. It is not safe for concurrent use.
type Queue[E any] struct {
	items items[E]
	added uint64
}

// Add puts in an event that happens at the given virtual time.
func (q *Queue[E]) Add(at time.Duration, event E) {
	q.added++
	heap.Push(&q.items, item[E]{at: at, order: q.added, event: event})
}

// Next returns the time of the first event; false if there is none.
func (q *Queue[E]) NextTime() (at time.Duration, ok bool) {
	if len(q.items) == 0 {
		return 0, false
	}
	return q.items[0].at, true
}

// Take removes the first event and returns it with its time. It panics if there
// is none; Next tells.
func (q *Queue[E]) Take() (at time.Duration, event E) {
	first := heap.Pop(&q.items).(item[E])
	return first.at, first.event
}

// item is an event in its place.
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

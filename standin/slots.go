package standin

import (
	"container/heap"
	"context"
	"sync"
)

// slots limits the number of calls in the running batch. Waiting calls get a slot by priority,
// then in order of arrival.
type slots struct {
	mu           sync.Mutex
	free         int
	total        int
	arrivalCount int
	queue        waiters
}

type waiter struct {
	priority, arrival int
	ready             chan struct{}
	index             int
}

func newSlots(total int) *slots { return &slots{free: total, total: total} }

// acquire waits for a slot. It returns false if ctx ended first.
func (s *slots) acquire(ctx context.Context, priority int) bool {
	s.mu.Lock()
	if s.free > 0 {
		s.free--
		s.mu.Unlock()
		return true
	}
	s.arrivalCount++
	w := &waiter{priority: priority, arrival: s.arrivalCount, ready: make(chan struct{})}
	heap.Push(&s.queue, w)
	s.mu.Unlock()
	select {
	case <-w.ready:
		return true
	case <-ctx.Done():
		s.abandon(w)
		return false
	}
}

func (s *slots) abandon(w *waiter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.index >= 0 {
		heap.Remove(&s.queue, w.index)
		return
	}
	s.grantNext()
}

func (s *slots) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grantNext()
}

func (s *slots) grantNext() {
	if len(s.queue) == 0 {
		s.free++
		return
	}
	close(heap.Pop(&s.queue).(*waiter).ready)
}

func (s *slots) counts() (running, waiting int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total - s.free, len(s.queue)
}

// waiters is a heap ordered by descending priority, then by arrival.
type waiters []*waiter

func (q waiters) Len() int { return len(q) }
func (q waiters) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].arrival < q[j].arrival
}
func (q waiters) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}
func (q *waiters) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}
func (q *waiters) Pop() any {
	last := len(*q) - 1
	w := (*q)[last]
	w.index = -1
	*q = (*q)[:last]
	return w
}

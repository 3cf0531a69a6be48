package standin

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

// A group runs a step only when every rank has a permit. The step takes as long as the slowest
// rank, and the record shows which map each rank used.
func TestGroupStepsWhenAllRanksHavePermits(t *testing.T) {
	is := is.New(t)
	denied := true
	permit := func(rank int, step uint64) (uint64, bool) { return step, !denied || rank != 1 }
	cost := func(rank int, _, _ uint64) time.Duration { return time.Duration(rank+1) * time.Millisecond }
	g := NewGroup(3, permit, cost)
	_, ran := g.Advance()
	is.True(!ran)
	denied = false
	elapsed, ran := g.Advance()
	is.True(ran)
	is.Equal(elapsed, 3*time.Millisecond)
	records, blocked := g.Records()
	is.Equal(records, []StepRecord{{From: 1, To: 1, Epochs: []uint64{1, 1, 1}, Time: 3 * time.Millisecond}})
	is.Equal(blocked, 1)
}

// A freed slot goes to the waiting call with the highest priority; a call whose context was
// cancelled takes none.
func TestFreedSlotGoesToHighestPriority(t *testing.T) {
	is := is.New(t)
	s := newSlots(1)
	is.True(s.acquire(t.Context(), 0))
	got := make(chan int)
	for i, priority := range []int{1, 9, 5} {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() {
			if s.acquire(ctx, priority) {
				got <- priority
			}
		}()
		for _, waiting := s.counts(); waiting != i+1; _, waiting = s.counts() {
			time.Sleep(time.Millisecond)
		}
	}
	s.release()
	is.Equal(<-got, 9)
	s.release()
	is.Equal(<-got, 5)
}

// The cache evicts the least recently used block. Its events become visible after the delay,
// and dropped events leave gaps in the sequence numbers.
func TestCacheEventsAreDelayedAndDropped(t *testing.T) {
	is := is.New(t)
	c := newCache(2, time.Hour, 2)
	is.Equal(c.lookup([]uint64{1, 2}), 0)
	is.Equal(c.lookup([]uint64{1, 3}), 1) // dropped
	is.Equal(c.lookup([]uint64{4}), 0)
	now := time.Now()
	is.Equal(len(c.eventsAfter(0, now).Events), 0)
	due := c.eventsAfter(0, now.Add(time.Hour)).Events
	is.Equal(len(due), 2)
	is.Equal(due[1].Seq, uint64(3))
	is.Equal(due[1].Removed, []uint64{1})
}

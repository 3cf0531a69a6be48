package standin

import (
	"slices"
	"sync"
	"time"
)

// Permit reports whether a rank may begin a step, and the epoch of the map to use in it.
type Permit func(rank int, step uint64) (epoch uint64, ok bool)

// StepRecord records which map each rank used in a run of consecutive steps, and the total time
// of these steps. Consecutive steps with the same epochs share a record.
type StepRecord struct {
	// From and To are the first and the last step.
	From uint64 `json:"from"`
	To   uint64 `json:"to"`
	// Epochs holds the epoch of each rank's map, by rank.
	Epochs []uint64 `json:"epochs"`
	// Time is the total time of the steps, in nanoseconds in JSON.
	Time time.Duration `json:"time_ns"`
}

// Group simulates ranks that run in lockstep, with a barrier after every step: no rank begins a
// step before all ranks have finished the previous one, and the slowest rank determines the
// step time.
type Group struct {
	ranks  int
	permit Permit
	// cost returns the compute time of a rank in a step with an epoch's map.
	cost func(rank int, step, epoch uint64) time.Duration

	mu      sync.Mutex
	step    uint64
	blocked int
	records []StepRecord
}

// NewGroup returns a group whose next step is 1.
func NewGroup(ranks int, permit Permit, cost func(rank int, step, epoch uint64) time.Duration) *Group {
	return &Group{ranks: ranks, permit: permit, cost: cost, step: 1}
}

// Step returns the next step.
func (g *Group) Step() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

// SetStep sets the next step.
func (g *Group) SetStep(step uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.step = step
}

// Advance requests every rank's permit and runs one step if all are given. It returns the time
// of the step without waiting for it; the caller waits. If a permit is missing, ran is false.
func (g *Group) Advance() (elapsed time.Duration, ran bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	epochs := make([]uint64, g.ranks)
	ran = true
	for rank := range epochs {
		epoch, ok := g.permit(rank, g.step)
		epochs[rank] = epoch
		ran = ran && ok
	}
	if !ran {
		g.blocked++
		return 0, false
	}
	for rank, epoch := range epochs {
		elapsed = max(elapsed, g.cost(rank, g.step, epoch))
	}
	g.record(epochs, elapsed)
	g.step++
	return elapsed, true
}

func (g *Group) record(epochs []uint64, elapsed time.Duration) {
	if n := len(g.records); n > 0 {
		last := &g.records[n-1]
		if last.To+1 == g.step && slices.Equal(last.Epochs, epochs) {
			last.To = g.step
			last.Time += elapsed
			return
		}
	}
	g.records = append(g.records, StepRecord{From: g.step, To: g.step, Epochs: epochs, Time: elapsed})
}

// Records returns the steps so far and the number of attempts that were blocked.
func (g *Group) Records() (records []StepRecord, blocked int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]StepRecord{}, g.records...), g.blocked
}

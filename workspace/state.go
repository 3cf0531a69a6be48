package workspace

import (
	"math"
	"time"
)

// idleRetention is how long the state of an idle workspace is kept, so that a workspace
// cannot reset its virtual time by pausing briefly.
const idleRetention = 10 * time.Second

// workspaceState is the state of one active workspace.
type workspaceState struct {
	name   string
	limits Limits

	// queue holds the queued requests, the next to start on top.
	queue indexedHeap[*entry]
	// queuedTokens is the sum of ExpectedTokens over queue.
	queuedTokens int
	inFlight     int
	// startTimeSum is the sum of the start times of the requests in flight, for their
	// mean age.
	startTimeSum time.Duration

	// shareSlots is the guaranteed share in slots, reserved its whole slots.
	shareSlots float64
	reserved   int
	// expectedReturns is the number of borrowed slots that are expected back within
	// ReclaimWithin.
	expectedReturns slotEstimate
	// virtualTime is the virtual time of weighted fair queueing in seconds: slot-seconds
	// used per slot of the entitlement. It advances at the rate of real time for a
	// workspace that uses exactly its entitlement.
	virtualTime float64
	// lastGrant breaks ties: the workspace that was served least recently goes first.
	lastGrant uint64

	holdTime    holdTimeEstimate
	requestRate bucket
	tokenRate   bucket
	// lastRetryAt is the latest time at which a refused request was told to retry.
	lastRetryAt time.Duration
	// wakeAt is when updateHeaps must run again; valid while s is in the timer heap.
	wakeAt time.Duration

	deficitIndex     int
	virtualTimeIndex int
	queueLengthIndex int
	timerIndex       int
}

func newWorkspaceState(name string, limits Limits) *workspaceState {
	s := &workspaceState{
		name:             name,
		limits:           limits,
		deficitIndex:     notInHeap,
		virtualTimeIndex: notInHeap,
		queueLengthIndex: notInHeap,
		timerIndex:       notInHeap,
	}
	s.queue = indexedHeap[*entry]{
		less:  (*entry).before,
		index: func(e *entry) *int { return &e.queueIndex },
	}
	return s
}

// level returns the level of the next request to start; there must be a queued one.
func (s *workspaceState) level() int { return s.queue.top().level }

// belowReserved reports whether the next slot is one of the reserved slots. The
// fractional part of the guaranteed share counts through the entitlement instead: rounded
// up, many small shares would add up to more than all slots.
func (s *workspaceState) belowReserved() bool { return s.inFlight < s.reserved }

// reservedInUse returns how many of the reserved slots are in use.
func (s *workspaceState) reservedInUse() int { return min(s.reserved, s.inFlight) }

// excess returns how far the next slot would exceed shareSlots, relative to the weight.
func (s *workspaceState) excess() float64 {
	return (float64(s.inFlight+1) - s.shareSlots) / s.limits.weight()
}

// weightedQueueLength returns the length of the queue relative to the weight.
func (s *workspaceState) weightedQueueLength() float64 {
	return float64(s.queue.len()) / s.limits.weight()
}

// slotEstimate is an expected number of slots and its variance.
type slotEstimate struct {
	mean, variance float64
}

func (r slotEstimate) plus(other slotEstimate) slotEstimate {
	return slotEstimate{r.mean + other.mean, r.variance + other.variance}
}

func (r slotEstimate) minus(other slotEstimate) slotEstimate {
	return slotEstimate{r.mean - other.mean, r.variance - other.variance}
}

// lowerBoundSigmas is the number of standard deviations between the mean and lowerBound.
const lowerBoundSigmas = 2

// lowerBound returns a number of slots that the actual number is unlikely to fall below.
func (r slotEstimate) lowerBound() float64 {
	return max(r.mean-lowerBoundSigmas*math.Sqrt(max(r.variance, 0)), 0)
}

// idle reports whether no request is queued or in flight.
func (s *workspaceState) idle() bool { return s.inFlight == 0 && s.queue.len() == 0 }

// atConcurrencyLimit reports whether MaxConcurrent is reached.
func (s *workspaceState) atConcurrencyLimit() bool {
	return s.limits.MaxConcurrent > 0 && s.inFlight >= s.limits.MaxConcurrent
}

// rateLimitDelay returns how long the rate limits delay the start of a request with the
// given number of tokens. A request with more tokens than the bucket can hold starts when
// the bucket is full.
func (s *workspaceState) rateLimitDelay(now time.Duration, cost int) time.Duration {
	tokens := min(float64(cost), s.tokenRate.capacity())
	return max(s.requestRate.until(now, 1), s.tokenRate.until(now, tokens))
}

// retention returns how long the state of an idle workspace must be kept.
func (s *workspaceState) retention(now time.Duration) time.Duration {
	return max(idleRetention,
		s.requestRate.until(now, s.requestRate.capacity()),
		s.tokenRate.until(now, s.tokenRate.capacity()))
}

// lessDeficit orders workspaces by the level of their next request, and within a level by
// how far they are below their entitlement: first those that have reserved slots left, by
// the used fraction of these, then the others by weighted excess.
func lessDeficit(a, b *workspaceState) bool {
	if levelA, levelB := a.level(), b.level(); levelA != levelB {
		return levelA < levelB
	}
	if a.belowReserved() != b.belowReserved() {
		return a.belowReserved()
	}
	keyA, keyB := a.excess(), b.excess()
	if a.belowReserved() {
		keyA = float64(a.inFlight) / float64(a.reserved)
		keyB = float64(b.inFlight) / float64(b.reserved)
	}
	if keyA != keyB {
		return keyA < keyB
	}
	return a.lastGrant < b.lastGrant
}

// lessVirtualTime orders workspaces by the level of their next request, and within a level
// by virtual time.
func lessVirtualTime(a, b *workspaceState) bool {
	if levelA, levelB := a.level(), b.level(); levelA != levelB {
		return levelA < levelB
	}
	if a.virtualTime != b.virtualTime {
		return a.virtualTime < b.virtualTime
	}
	return a.lastGrant < b.lastGrant
}

// longerQueue orders workspaces by weighted queue length, the longest first.
func longerQueue(a, b *workspaceState) bool { return a.weightedQueueLength() > b.weightedQueueLength() }

// lessWakeTime orders workspaces by wakeAt.
func lessWakeTime(a, b *workspaceState) bool { return a.wakeAt < b.wakeAt }

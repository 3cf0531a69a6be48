package workspace

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// Request asks for one slot.
type Request struct {
	// ID is unique among the requests that wait or are in flight.
	ID string
	// Workspace is the workspace that pays for the request.
	Workspace string
	// Priority orders the requests of one workspace; higher goes first. It has no
	// effect on other workspaces.
	Priority int
	// Patience bounds the wait for a slot of this request; zero leaves it to
	// Config.MaxWait alone.
	MaxWait time.Duration
	// Deadline is when the answer must be complete; 0 means none.
	Deadline time.Duration
	// Cost is the expected number of tokens, for Limits.TokensPerSecond.
	ExpectedTokens int
	// Expected is the expected run time; 0 means as measured for the workspace.
	ExpectedHoldTime time.Duration
}

// Verdict is the answer to a request that was not refused.
type Decision int

// The verdicts. The zero value belongs to refusals.
const (
	// Refused means the request has not run and never will.
	Refused Decision = iota
	// Admitted means the request holds a slot until Done.
	Admitted
	// Queued means a Grant or a Refusal follows.
	Queued
)

// Grant gives a slot to a request that was queued.
type Grant struct {
	// ID is the request.
	ID string
	// Workspace is its workspace.
	Workspace string
	// Waited is how long it was queued.
	Waited time.Duration
}

// Refusal ends a request that was queued; it has not run.
type Refusal struct {
	// ID is the request.
	ID string
	// Workspace is its workspace.
	Workspace string
	// Fault says why, and when asking again makes sense.
	Fault *fault.Error
}

// entry is a request that waits or is in flight.
type entry struct {
	request     Request
	owner       *state
	sequence    uint64
	arrived     time.Duration
	latestStart time.Duration
	// started is when the slot was granted, valid if running.
	started time.Duration
	running bool
	// charged is the expected run time that was added to the owner's virtual time
	// at the start, multiplied by chargeRate; the end corrects it.
	charged    time.Duration
	chargeRate float64
	// queueIndex and deadlineIndex are places in heaps, or notInHeap.
	queueIndex    int
	deadlineIndex int
}

// before reports whether e is to start before other, both of one workspace.
func (e *entry) before(other *entry) bool {
	if e.request.Priority != other.request.Priority {
		return e.request.Priority > other.request.Priority
	}
	return e.sequence < other.sequence
}

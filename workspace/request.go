package workspace

import (
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// Request asks for one slot.
type Request struct {
	// ID is unique among the requests that are queued or in flight.
	ID string
	// Workspace is the workspace that the request is charged to.
	Workspace string
	// Priority orders the requests of one workspace; higher goes first. It has no effect
	// on other workspaces.
	Priority int
	// Level is the priority over the requests of all workspaces where Config.Levels is set; lower
	// goes first, whatever the Priority. Without Config.Levels it has no effect.
	Level int
	// Refused is true if the request has been refused before and asks for other capacity. It is for
	// the caller of Admission, which ignores it.
	Refused bool
	// MaxWait bounds the time that this request may be queued; 0 means Config.MaxWait,
	// which is the upper bound in any case.
	MaxWait time.Duration
	// Deadline is when the response must be complete; 0 means none.
	Deadline time.Duration
	// ExpectedTokens is the expected number of tokens, charged to Limits.TokensPerSecond.
	ExpectedTokens int
	// ExpectedHoldTime is the expected time that the request holds its slot; 0 means as
	// measured for the workspace.
	ExpectedHoldTime time.Duration
}

// Decision is the result of Admission.Arrive.
type Decision int

// The decisions. Refused is the zero value.
const (
	// Refused means that the request has not run and never will.
	Refused Decision = iota
	// Admitted means that the request holds a slot until Done.
	Admitted
	// Queued means that a Grant or a Refusal follows.
	Queued
)

// Grant assigns a slot to a request that was queued.
type Grant struct {
	// ID is the request.
	ID string
	// Workspace is its workspace.
	Workspace string
	// Waited is how long it was queued.
	Waited time.Duration
}

// Refusal rejects a request that was queued; it has not run.
type Refusal struct {
	// ID is the request.
	ID string
	// Workspace is its workspace.
	Workspace string
	// Fault says why the request was refused and when a retry makes sense.
	Fault *fault.Error
}

// entry is a request that is queued or in flight.
type entry struct {
	request   Request
	workspace *workspaceState
	// level is Request.Level if Config.Levels is set, otherwise 0.
	level       int
	sequence    uint64
	arrived     time.Duration
	latestStart time.Duration
	// started is when the slot was granted; valid if running.
	started time.Duration
	running bool
	// chargedTime is the expected hold time that was added, multiplied by chargeRate, to
	// the virtual time of the workspace at the start. It is corrected by the actual hold
	// time at the end.
	chargedTime time.Duration
	chargeRate  float64
	// queueIndex and deadlineIndex are indices in heaps, or notInHeap.
	queueIndex    int
	deadlineIndex int
}

// before reports whether e starts before other, a request of the same workspace.
func (e *entry) before(other *entry) bool {
	if e.level != other.level {
		return e.level < other.level
	}
	if e.request.Priority != other.request.Priority {
		return e.request.Priority > other.request.Priority
	}
	return e.sequence < other.sequence
}

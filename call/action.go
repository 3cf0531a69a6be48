package call

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
)

// Kind says what the driver has to do next, and how it reports the result.
type ActionKind int

// The kinds of action.
const (
	// Pick: choose an endpoint; report by Picked or PickFailed.
	Pick ActionKind = iota + 1
	// Claim: ask the control replicas for Claim; report by Claimed.
	Claim
	// Dispatch: send one attempt to Target; report by Response or Cut.
	Dispatch
	// Receive: wait for the next response of the attempt; report by Response
	// or Cut.
	Receive
	// Revoke: ask the agent at Target what became of ClaimID; report by Revoked.
	Revoke
	// Settle: record State and Answer for ClaimID; report by Settled.
	Settle
	// Finish: nothing more will be tried.
	Finish
)

// String returns the name of the kind.
func (k ActionKind) String() string {
	names := [...]string{"none", "pick", "claim", "dispatch", "receive", "revoke", "settle", "finish"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Target is the endpoint of an attempt and the agent that gates it.
type Target struct {
	// Endpoint is the endpoint's id.
	Endpoint string
	// Agent is the name of the agent, AgentAddr its address.
	Agent, AgentAddr string
	// Incarnation is the agent's incarnation that the attempt is meant for.
	Incarnation uint64
	// TicketNS is a ticket that this incarnation issued before the target was
	// picked. Only a Single needs it.
	TicketNS int64
}

// Action is one step of a call. The driver first writes Head and Data to the
// caller, then the final answer if Verdict is set and not yet written, then
// waits for Delay and carries out Kind.
type Action struct {
	// Kind is what has to be done.
	Kind ActionKind
	// Delay is the wait before it.
	Delay time.Duration

	// Head, when set, opens the answer to the caller.
	Head *agentv1.Head
	// Data is the next part of the answer's body.
	Data [][]byte
	// Verdict, when set, is final. Finish always carries it; Settle may carry it
	// so that the caller need not wait for the record.
	Verdict *Verdict

	// Attempt numbers the attempt of a Dispatch, from 1.
	Attempt uint32
	// Target is where a Dispatch, a Claim or a Revoke is directed.
	Target Target
	// Exclude lists the endpoints that a Pick should avoid.
	Exclude []string
	// Offset is where a Dispatch resumes the answer's body.
	Offset uint64
	// ReceiveTimeout bounds the wait for the next response; zero is the
	// caller's deadline.
	ReceiveTimeout time.Duration

	// ClaimID is the claim of a Claim, Dispatch, Revoke or Settle.
	ClaimID string
	// State and Answer are what a Settle records.
	State  controlv1.ClaimState
	Answer *controlv1.Answer
}

// Policy bounds what is tried for a call. The zero value is not useful; start
// from DefaultPolicy.
type Policy struct {
	// MaxAttempts is the number of attempts of a call, resumes not counted.
	MaxAttempts int
	// MaxResumes is the number of times a cut stream is resumed.
	MaxResumes int
	// HoldBytes is how much of an answer that is not streamed is held back
	// until it is whole, so that a cut answer can still be repeated.
	MaxBufferedBytes int
	// RecordBytes is the largest answer body that is recorded for a claim.
	MaxRecordedBodyBytes int
	// Backoff is the wait before a retry.
	Backoff Backoff
	// FirstByteTimeout bounds the wait for the head of a streamed answer.
	FirstByteTimeout time.Duration
	// IdleTimeout bounds the wait for the next part of a streamed answer.
	IdleTimeout time.Duration
	// ClaimTimeout is how long a claim is asked for while no quorum answers.
	ClaimTimeout time.Duration
	// RevokeAfter is how long another request's claim is waited for before its
	// agent is asked.
	RevokeAfter time.Duration
	// RevokeTimeout is how long an agent that does not answer is asked.
	RevokeTimeout time.Duration
	// SettleTimeout is how long the record of an ended call is tried.
	SettleTimeout time.Duration
	// Poll is the wait between two questions about a claim.
	Poll Backoff
	// RetryAfter is the Retry-After when nothing better is known.
	RetryAfter time.Duration
}

// DefaultPolicy suits zones a few milliseconds apart.
var DefaultPolicy = Policy{
	MaxAttempts:          3,
	MaxResumes:           3,
	MaxBufferedBytes:     1 << 20,
	MaxRecordedBodyBytes: 64 << 10,
	Backoff:              Backoff{Base: 10 * time.Millisecond, Max: time.Second},
	FirstByteTimeout:     30 * time.Second,
	IdleTimeout:          30 * time.Second,
	ClaimTimeout:         3 * time.Second,
	RevokeAfter:          time.Second,
	RevokeTimeout:        3 * time.Second,
	SettleTimeout:        10 * time.Second,
	Poll:                 Backoff{Base: 20 * time.Millisecond, Max: 500 * time.Millisecond},
	RetryAfter:           DefaultRetryAfter,
}

// Counts says what a call met on its way.
type Counts struct {
	// Attempts is the number of dispatches, Resumes the resumed ones of them.
	Attempts, Resumes int
	// Foreign is the number of responses that belonged to another attempt.
	Foreign int
	// Duplicates is the number of responses that repeated what was known.
	Duplicates int
}

package call

import (
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
)

// ActionKind is the kind of step that the driver has to perform next. It determines how
// the driver reports the result.
type ActionKind int

// The kinds of action.
const (
	// Pick: choose an endpoint; report by Picked or PickFailed.
	Pick ActionKind = iota + 1
	// Claim: request the claim ClaimID from the control replicas; report by Claimed.
	Claim
	// Dispatch: send one attempt to Target; report by Response or Interrupted.
	Dispatch
	// Receive: wait for the next response of the attempt; report by Response or
	// Interrupted.
	Receive
	// Revoke: ask the agent at Target to revoke ClaimID or to report its result; report
	// by Revoked.
	Revoke
	// Settle: record State and Answer for ClaimID; report by Settled.
	Settle
	// Finish: the call has ended.
	Finish
)

func (k ActionKind) String() string {
	names := [...]string{"none", "pick", "claim", "dispatch", "receive", "revoke", "settle", "finish"}
	if k < 0 || int(k) >= len(names) {
		return "invalid"
	}
	return names[k]
}

// Target is the endpoint of an attempt and the agent in front of it.
type Target struct {
	// Endpoint is the id of the endpoint.
	Endpoint string
	// Agent is the name of the agent, AgentAddr its address.
	Agent, AgentAddr string
	// Incarnation is the incarnation of the agent that the attempt is intended for.
	Incarnation uint64
	// TicketNS is a ticket that this incarnation issued before the target was picked.
	// Only an AtMostOnce needs it.
	TicketNS int64
}

// Action is one step of a call. The driver first writes Head and Data to the caller, then
// the final answer if Verdict is set and not yet written, then waits for Delay and
// performs the step of the given Kind.
type Action struct {
	Kind ActionKind
	// Delay is the wait before the step.
	Delay time.Duration

	// Head, if set, is the head of the answer to the caller.
	Head *agentv1.Head
	// Data is the next part of the body of the answer.
	Data [][]byte
	// Verdict, if set, is final. Finish always carries it; Settle may carry it so that
	// the caller need not wait for the record.
	Verdict *Verdict

	// Attempt numbers the attempt of a Dispatch, from 1.
	Attempt uint32
	// Target is the destination of a Dispatch or Revoke, and the endpoint of a Claim.
	Target Target
	// Exclude lists the endpoints that a Pick should avoid.
	Exclude []string
	// Offset is the body offset at which a Dispatch resumes the answer.
	Offset uint64
	// ReceiveTimeout bounds the wait for the next response; zero means until the deadline
	// of the caller.
	ReceiveTimeout time.Duration

	// ClaimID is the claim of a Claim, Dispatch, Revoke or Settle.
	ClaimID string
	// State and Answer are what a Settle records.
	State  controlv1.ClaimState
	Answer *controlv1.Answer
}

// Policy bounds the attempts, waits and buffers of a call. The zero value is not usable;
// start from DefaultPolicy.
type Policy struct {
	// MaxAttempts is the maximum number of attempts of a call, not counting resumes.
	MaxAttempts int
	// MaxResumes is the maximum number of times an interrupted stream is resumed.
	MaxResumes int
	// MaxBufferedBytes is how much of an answer that is not streamed is buffered until it
	// is complete, so that the call can still be retried if the answer is interrupted.
	MaxBufferedBytes int
	// MaxRecordedBodyBytes is the largest answer body that is recorded for a claim.
	MaxRecordedBodyBytes int
	// Backoff is the wait before a retry.
	Backoff Backoff
	// FirstByteTimeout bounds the wait for the head of a streamed answer.
	FirstByteTimeout time.Duration
	// IdleTimeout bounds the wait for the next part of a streamed answer.
	IdleTimeout time.Duration
	// ClaimTimeout is how long a claim is requested while no quorum responds.
	ClaimTimeout time.Duration
	// RevokeAfter is how long to wait for another request that holds the key before its
	// agent is asked to revoke its claim.
	RevokeAfter time.Duration
	// RevokeTimeout is how long an agent that does not respond is asked.
	RevokeTimeout time.Duration
	// SettleTimeout is how long writing the record of an ended call is retried.
	SettleTimeout time.Duration
	// Poll is the delay between two requests about a claim.
	Poll Backoff
	// RetryAfter is the Retry-After of verdicts whose fault does not set one.
	RetryAfter time.Duration
}

// DefaultPolicy is intended for zones that are a few milliseconds apart.
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

// Counts holds statistics of a call.
type Counts struct {
	// Attempts is the number of dispatches, Resumes how many of them resumed a stream.
	Attempts, Resumes int
	// Foreign is the number of responses that belonged to another attempt and were
	// dropped.
	Foreign int
	// Duplicates is the number of responses that contained nothing new.
	Duplicates int
}

package call

import (
	"net/http"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// Outcome is the final outcome of a request.
type Outcome int

// The outcomes.
const (
	// Answered means that the caller has the complete answer of the endpoint.
	Answered Outcome = iota + 1
	// NotRun means that no endpoint has run the request or ever will.
	NotRun
	// Unknown means that the request may have run. It is not run again.
	Unknown
)

// String returns the outcome as sent in HeaderOutcome.
func (o Outcome) String() string {
	switch o {
	case Answered:
		return "answered"
	case NotRun:
		return "not-run"
	case Unknown:
		return "unknown"
	}
	return "undecided"
}

// The headers of a final answer.
const (
	// HeaderOutcome carries the Outcome of every final answer.
	HeaderOutcome = "Lilackeel-Outcome"
	// HeaderRequestID identifies the request in logs and traces.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey carries the key of a call that must run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "true" on an answer that an earlier request recorded.
	HeaderReplayed = "Idempotent-Replayed"
)

// DefaultRetryAfter is the Retry-After of refusals whose fault does not set one.
const DefaultRetryAfter = time.Second

// Verdict is the final result of a request.
type Verdict struct {
	Outcome Outcome
	// Fault says why the request has no answer; nil if it was answered.
	Fault *fault.Error
	// Status overrides the HTTP status that the outcome and the fault imply; zero means
	// no override.
	Status int
	// Replayed is true for an answer that was recorded by an earlier request.
	Replayed bool
}

// Refuse returns the verdict on a request that has not run.
func Refuse(f *fault.Error) *Verdict { return &Verdict{Outcome: NotRun, Fault: f} }

// RefuseWithStatus is Refuse with an explicit HTTP status.
func RefuseWithStatus(status int, f *fault.Error) *Verdict {
	return &Verdict{Outcome: NotRun, Fault: f, Status: status}
}

// StatusUnknown is the default HTTP status of answers whose outcome is unknown.
const StatusUnknown = http.StatusBadGateway

// notRunStatus maps a fault kind to the HTTP status of a refusal. A kind that is missing
// here is a bug and yields status 500.
var notRunStatus = map[fault.Kind]int{
	fault.Invalid:          http.StatusBadRequest,
	fault.Unauthenticated:  http.StatusUnauthorized,
	fault.NotFound:         http.StatusNotFound,
	fault.Conflict:         http.StatusConflict,
	fault.KeyReused:        http.StatusUnprocessableEntity,
	fault.Overloaded:       http.StatusTooManyRequests,
	fault.RateLimited:      http.StatusServiceUnavailable,
	fault.DeadlineTooShort: http.StatusGatewayTimeout,
	fault.Leaving:          http.StatusServiceUnavailable,
	fault.Stale:            http.StatusServiceUnavailable,
	fault.Fenced:           http.StatusServiceUnavailable,
	fault.NotLeader:        http.StatusServiceUnavailable,
	fault.NoQuorum:         http.StatusServiceUnavailable,
	fault.Unavailable:      http.StatusServiceUnavailable,
	fault.Quarantined:      http.StatusServiceUnavailable,
}

// HTTPStatus returns the status of a verdict that carries a fault.
func (v *Verdict) HTTPStatus() int {
	if v.Status != 0 {
		return v.Status
	}
	if v.Outcome == Unknown {
		return StatusUnknown
	}
	if status, ok := notRunStatus[v.Fault.Kind]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// RetryAfterSeconds returns the value of the Retry-After header, rounded up to whole
// seconds, or zero if the fault sets none.
func (v *Verdict) RetryAfterSeconds() int64 {
	if v.Fault == nil || v.Fault.RetryAfter <= 0 {
		return 0
	}
	return int64((v.Fault.RetryAfter + time.Second - 1) / time.Second)
}

// ErrorBody is the JSON body of an error, in the format that OpenAI clients parse.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail is the error in an ErrorBody.
type ErrorDetail struct {
	// Type is the fault kind.
	Type fault.Kind `json:"type"`
	// Message describes the error.
	Message string `json:"message"`
	// Remedy tells the caller how to proceed.
	Remedy string `json:"remedy"`
	// Outcome is not-run or unknown.
	Outcome string `json:"outcome"`
	// RequestID identifies the request.
	RequestID string `json:"request_id"`
	// RetryAfterMS is the time after which a retry makes sense, in milliseconds.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}

// Body returns the JSON body of a verdict that carries a fault.
func (v *Verdict) Body(requestID string) ErrorBody {
	return ErrorBody{Error: ErrorDetail{
		Type:         v.Fault.Kind,
		Message:      v.Fault.Message,
		Remedy:       v.Fault.Remedy,
		Outcome:      v.Outcome.String(),
		RequestID:    requestID,
		RetryAfterMS: v.Fault.RetryAfter.Milliseconds(),
	}}
}

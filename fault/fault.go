// Package fault defines the typed errors of lilackeel.
//
// Every error that reaches a caller, an operator or a log has a Kind, which programs can
// switch on, a message that describes what happened, and a Remedy that describes what the
// reader should do next. A fault that is worth retrying can also state when (RetryAfter).
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the stable, machine-readable class of a fault.
type Kind string

// The kinds of fault. Their values are part of the JSON error format and must not change.
const (
	// Invalid means that the input itself is wrong; an unchanged retry fails again.
	Invalid Kind = "invalid"
	// Unauthenticated means that the credentials are missing or unknown.
	Unauthenticated Kind = "unauthenticated"
	// NotFound means that the named object does not exist.
	NotFound Kind = "not_found"
	// Conflict means that the state has changed since the client last read it.
	Conflict Kind = "conflict"
	// KeyReused means that an idempotency key was reused with a different body.
	KeyReused Kind = "key_reused"
	// Overloaded means that the request was rejected for lack of capacity.
	Overloaded Kind = "overloaded"
	// RateLimited means that the endpoint currently accepts no more requests and did not run
	// this one.
	RateLimited Kind = "rate_limited"
	// DeadlineTooShort means that the request could not finish before its deadline.
	DeadlineTooShort Kind = "deadline_too_short"
	// Leaving means that the endpoint or daemon is leaving and accepts no new requests.
	Leaving Kind = "leaving"
	// Stale means that the sender acted on data older than the allowed bound.
	Stale Kind = "stale"
	// Fenced means that the fencing token, term or incarnation has been superseded.
	Fenced Kind = "fenced"
	// NotLeader means that this control replica is not the leader; another one may be.
	NotLeader Kind = "not_leader"
	// NoQuorum means that a majority of the control replicas could not be reached.
	NoQuorum Kind = "no_quorum"
	// Unavailable means that the peer could not be reached and ran nothing.
	Unavailable Kind = "unavailable"
	// Quarantined means that the request is not sent to endpoints because endpoints that ran
	// it crashed.
	Quarantined Kind = "quarantined"
	// Unknown means that the request may have run; it is never retried silently.
	Unknown Kind = "unknown"
	// Corrupt means that stored data failed its checksum.
	Corrupt Kind = "corrupt"
	// Internal means a defect in lilackeel.
	Internal Kind = "internal"
)

// Error is a typed fault.
type Error struct {
	// Kind is the class of the fault.
	Kind Kind
	// Message describes what happened.
	Message string
	// Remedy describes what the reader should do next.
	Remedy string
	// RetryAfter is the delay after which a retry makes sense; zero means unspecified.
	RetryAfter time.Duration
	// Cause is the underlying error, if any.
	Cause error
}

// New returns a fault of the given kind.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Newf is like New, with a formatted message.
func Newf(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Error implements error. It returns the message, the cause and the remedy on one line.
func (e *Error) Error() string {
	text := string(e.Kind) + ": " + e.Message
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	if e.Remedy != "" {
		text += " (" + e.Remedy + ")"
	}
	return text
}

// Unwrap returns the cause, for errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// RetryIn returns a copy of e that asks for a retry after d.
func (e *Error) RetryIn(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// WithCause returns a copy of e with the given cause.
func (e *Error) WithCause(cause error) *Error {
	copied := *e
	copied.Cause = cause
	return &copied
}

// As returns the first *Error in err's chain, or nil if there is none.
func As(err error) *Error {
	var fault *Error
	if errors.As(err, &fault) {
		return fault
	}
	return nil
}

// From returns the fault in err's chain, or wraps err in a fault of kind Internal.
func From(err error) *Error {
	if fault := As(err); fault != nil {
		return fault
	}
	return New(Internal, "unexpected error", "report the defect with the log of the daemon").WithCause(err)
}

// KindOf returns the kind of err: Internal for an error that is not a fault, and the empty
// kind for nil.
func KindOf(err error) Kind {
	if err == nil {
		return ""
	}
	if fault := As(err); fault != nil {
		return fault.Kind
	}
	return Internal
}

// Is reports whether err is a fault of the given kind.
func Is(err error, kind Kind) bool { return err != nil && KindOf(err) == kind }

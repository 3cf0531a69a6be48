// Package fault defines the typed errors of lilackeel.
//
// Every error that reaches a caller, an operator or a log line has a Kind,
// which a program can switch on, a message that says what happened, and a
// Remedy that says what the reader should do next. A fault that is worth
// repeating also says when (RetryAfter).
package fault

import (
	"errors"
	"fmt"
	"time"
)

// Kind is the stable, machine-readable class of a fault.
type Kind string

// The kinds of fault. Their values appear in JSON errors and must not change.
const (
	// Invalid means the input itself is wrong; repeating it unchanged fails again.
	Invalid Kind = "invalid"
	// Unauthenticated means the credentials are missing or unknown.
	Unauthenticated Kind = "unauthenticated"
	// NotFound means the named object does not exist.
	NotFound Kind = "not_found"
	// Conflict means the state has moved since the reader last saw it.
	Conflict Kind = "conflict"
	// KeyReused means an idempotency key was sent with another body.
	KeyReused Kind = "key_reused"
	// Overloaded means the work was refused for lack of capacity.
	Overloaded Kind = "overloaded"
	// RateLimited means the endpoint takes no more requests for the moment, and ran nothing.
	RateLimited Kind = "rate_limited"
	// DeadlineTooShort means the work could not finish before its deadline.
	DeadlineTooShort Kind = "deadline_too_short"
	// Leaving means the endpoint or daemon takes no new work.
	Leaving Kind = "leaving"
	// Stale means the sender acted on knowledge older than the allowed bound.
	Stale Kind = "stale"
	// Fenced means the fencing token, term or incarnation is superseded.
	Fenced Kind = "fenced"
	// NotLeader means this control replica cannot decide; another one may.
	NotLeader Kind = "not_leader"
	// NoQuorum means a majority of control replicas could not be reached.
	NoQuorum Kind = "no_quorum"
	// Unavailable means the peer could not be reached and ran nothing.
	Unavailable Kind = "unavailable"
	// Quarantined means the work is kept from endpoints, since those that ran it ended.
	Quarantined Kind = "quarantined"
	// Unknown means the work may have run; it is never repeated silently.
	Unknown Kind = "unknown"
	// Corrupt means stored data failed its checksum.
	Corrupt Kind = "corrupt"
	// Internal means a defect in lilackeel.
	Internal Kind = "internal"
)

// Error is a typed fault.
type Error struct {
	// Kind is the class of the fault.
	Kind Kind
	// Message says what happened.
	Message string
	// Remedy says what the reader should do next.
	Remedy string
	// RetryAfter says when asking again makes sense; zero means not said.
	RetryAfter time.Duration
	// Cause is the underlying error, if any.
	Cause error
}

// New returns a fault of the given kind.
func New(kind Kind, message, remedy string) *Error {
	return &Error{Kind: kind, Message: message, Remedy: remedy}
}

// Newf is New with a formatted message.
func Newf(kind Kind, remedy, format string, args ...any) *Error {
	return &Error{Kind: kind, Message: fmt.Sprintf(format, args...), Remedy: remedy}
}

// Error implements error: the message, its cause and the remedy on one line.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// After returns a copy of e that tells the reader to ask again after d.
func (e *Error) RetryIn(d time.Duration) *Error {
	copied := *e
	copied.RetryAfter = d
	return &copied
}

// Because returns a copy of e with the given cause.
func (e *Error) WithCause(cause error) *Error {
	copied := *e
	copied.Cause = cause
	return &copied
}

// As returns the first *Error in err's chain, or nil.
func As(err error) *Error {
	var fault *Error
	if errors.As(err, &fault) {
		return fault
	}
	return nil
}

// From returns the fault in err's chain, or one of kind Internal because of it.
func From(err error) *Error {
	if fault := As(err); fault != nil {
		return fault
	}
	return New(Internal, "an unexpected error", "report the defect with the log of the daemon").WithCause(err)
}

// KindOf returns the kind of err; Internal for an error that is not a fault,
// and the empty kind for nil.
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

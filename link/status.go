package link

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/types/known/durationpb"

	"github.com/lilackeel/lilackeel/fault"
)

// domain identifies error details that were written by ToStatus.
const domain = "lilackeel"

// Keys of the error details.
const (
	detailMessage = "message"
	detailRemedy  = "remedy"
)

// codeByKind maps each kind to its gRPC code; other kinds map to Internal.
var codeByKind = map[fault.Kind]codes.Code{
	fault.Invalid:          codes.InvalidArgument,
	fault.Unauthenticated:  codes.Unauthenticated,
	fault.NotFound:         codes.NotFound,
	fault.Conflict:         codes.Aborted,
	fault.KeyReused:        codes.AlreadyExists,
	fault.Overloaded:       codes.ResourceExhausted,
	fault.RateLimited:      codes.ResourceExhausted,
	fault.DeadlineTooShort: codes.DeadlineExceeded,
	fault.Leaving:          codes.Unavailable,
	fault.Stale:            codes.FailedPrecondition,
	fault.Fenced:           codes.FailedPrecondition,
	fault.NotLeader:        codes.FailedPrecondition,
	fault.NoQuorum:         codes.Unavailable,
	fault.Unavailable:      codes.Unavailable,
	fault.Unknown:          codes.Unknown,
	fault.Corrupt:          codes.DataLoss,
	fault.Internal:         codes.Internal,
}

// ToStatus converts an error to a gRPC status error. A fault keeps its kind,
// message, remedy and retry-after; the text of its cause is appended to the
// message, but the cause itself is not transferred. Nil, io.EOF and status errors
// are returned unchanged.
func ToStatus(err error) error {
	if err == nil || errors.Is(err, io.EOF) {
		return err
	}
	typed := fault.As(err)
	if typed == nil {
		if _, isStatus := status.FromError(err); isStatus {
			return err
		}
		if errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded) {
			return status.FromContextError(err).Err()
		}
		typed = fault.New(fault.Internal, err.Error(), "report the defect with the log of the daemon")
	}
	return faultStatus(typed).Err()
}

// faultStatus builds the status of a fault with its details.
func faultStatus(typed *fault.Error) *status.Status {
	code, known := codeByKind[typed.Kind]
	if !known {
		code = codes.Internal
	}
	message := typed.Message
	if typed.Cause != nil {
		message += ": " + typed.Cause.Error()
	}
	plain := status.New(code, message)
	info := &errdetails.ErrorInfo{
		Reason:   string(typed.Kind),
		Domain:   domain,
		Metadata: map[string]string{detailMessage: message, detailRemedy: typed.Remedy},
	}
	detailed, err := plain.WithDetails(info, &errdetails.RetryInfo{RetryDelay: durationpb.New(typed.RetryAfter)})
	if err != nil {
		return plain
	}
	return detailed
}

// FromStatus converts the error of a call whose request was or may have been sent
// to a fault. It restores a fault from the details written by ToStatus. Any other
// failure is of kind Unknown, because the peer may have run the call, except that
// a call which the peer does not implement is Invalid. Nil, io.EOF and faults are
// returned unchanged.
func FromStatus(err error) error {
	return fromStatus(context.Background(), err, true)
}

// fromStatus is FromStatus for a call with the given context. sent reports whether
// the request was sent. errors.Is finds the error of the context in the result.
func fromStatus(ctx context.Context, err error, sent bool) error {
	if err == nil || errors.Is(err, io.EOF) || fault.As(err) != nil {
		return err
	}
	got, isStatus := status.FromError(err)
	if !isStatus {
		got = status.FromContextError(err)
	}
	if restored := faultFromDetails(got); restored != nil {
		return restored
	}
	cause := err
	if ctx.Err() != nil {
		cause = fmt.Errorf("%w: %w", ctx.Err(), err)
	}
	return faultFromCode(got.Code(), sent).WithCause(cause)
}

// faultFromDetails returns the fault in the details of a status, or nil.
func faultFromDetails(got *status.Status) *fault.Error {
	var restored *fault.Error
	var retryAfter time.Duration
	for _, detail := range got.Details() {
		switch typed := detail.(type) {
		case *errdetails.ErrorInfo:
			if typed.GetDomain() == domain {
				metadata := typed.GetMetadata()
				restored = fault.New(fault.Kind(typed.GetReason()), metadata[detailMessage], metadata[detailRemedy])
			}
		case *errdetails.RetryInfo:
			retryAfter = typed.GetRetryDelay().AsDuration()
		}
	}
	if restored == nil || retryAfter <= 0 {
		return restored
	}
	return restored.RetryIn(retryAfter)
}

// faultFromCode returns the fault for a status without the details of ToStatus.
func faultFromCode(code codes.Code, sent bool) *fault.Error {
	switch {
	case code == codes.Unimplemented:
		return fault.New(fault.Invalid, "the peer does not implement this call", "upgrade the peer to this version")
	case sent:
		return fault.New(fault.Unknown, "the call failed after it was sent; it may have run",
			"read the resulting state before retrying the call")
	case code == codes.DeadlineExceeded:
		return fault.New(fault.DeadlineTooShort, "the deadline passed before the call was sent", "use a longer deadline")
	case code == codes.Unavailable, code == codes.Canceled:
		return fault.New(fault.Unavailable, "the call was not sent to the peer", "retry with another peer, or with this one later")
	}
	return fault.New(fault.Internal, "the call failed before it was sent", "report the defect with the log of the daemon")
}

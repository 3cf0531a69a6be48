package call

import (
	"strings"
	"time"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// faultFromRefusal returns the fault that a refusal carries.
func faultFromRefusal(r *agentv1.Refused) *fault.Error {
	kind := fault.Kind(r.GetKind())
	if kind == "" {
		kind = fault.Unavailable
	}
	f := fault.New(kind, r.GetMessage(), r.GetRemedy())
	f.RetryAfter = time.Duration(r.GetRetryAfterMs()) * time.Millisecond
	return f
}

func errIncomplete(text string) *fault.Error {
	return fault.Newf(fault.Unknown, "retry the request; unless it is a model call, retry it only with the same idempotency key",
		"the response is incomplete: %s", text)
}

func errDeadlinePassed() *fault.Error {
	return fault.New(fault.DeadlineTooShort, "the deadline passed", "retry with a longer deadline")
}

// isTransient reports whether a retry of the same request may succeed.
func isTransient(kind fault.Kind) bool {
	switch kind {
	case fault.Invalid, fault.Unauthenticated, fault.NotFound, fault.KeyReused, fault.Corrupt, fault.Internal:
		return false
	}
	return true
}

// isEventStream reports whether an answer is a stream of server-sent events, which is
// forwarded as it arrives.
func isEventStream(head *agentv1.Head) bool {
	for _, h := range head.GetHeaders() {
		if strings.EqualFold(h.GetName(), "Content-Type") {
			return strings.HasPrefix(strings.ToLower(h.GetValue()), "text/event-stream")
		}
	}
	return false
}

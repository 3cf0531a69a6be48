package operator

import "github.com/lilackeel/lilackeel/fault"

// Exit codes of lilackeelctl.
const (
	// ExitOK means that the command succeeded, now or earlier by the same request.
	ExitOK = 0
	// ExitUsage means that the command line or the settings are invalid.
	ExitUsage = 1
	// ExitInvalid means that the input is invalid; a retry fails again.
	ExitInvalid = 2
	// ExitConflict means that the state has changed; check it and plan again.
	ExitConflict = 3
	// ExitUnavailable means that nothing was done and a later retry may succeed.
	ExitUnavailable = 4
	// ExitUnknown means that the command may have taken effect; run it again.
	ExitUnknown = 5
)

// ExitCode returns the exit code for err.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	switch fault.KindOf(err) {
	case fault.Invalid, fault.NotFound, fault.KeyReused, fault.Unauthenticated:
		return ExitInvalid
	case fault.Conflict, fault.Fenced, fault.Stale:
		return ExitConflict
	case fault.NotLeader, fault.NoQuorum, fault.Unavailable, fault.Overloaded, fault.Leaving, fault.DeadlineTooShort:
		return ExitUnavailable
	}
	return ExitUnknown
}

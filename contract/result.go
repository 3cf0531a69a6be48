package contract

import (
	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
)

// Result is the result of applying one command. Fields that do not apply to the kind of
// command are zero.
type Result struct {
	// Err is the reason why the command was refused, or nil if it was accepted. A
	// refused command changes nothing but log time.
	Err *fault.Error
	// Revision is the revision that a confirmed intent created, also for a repeated
	// Confirm; for other commands it is the revision after the command.
	Revision uint64
	// Plan is the plan of the intent after a Plan command.
	Plan *controlv1.Plan
	// Claim is the claim that holds the key after a Claim or Settle command.
	Claim *controlv1.Claim
	// Granted is set when the claim id of the command holds the key; its call may be
	// dispatched.
	Granted bool
	// Fence is the fencing token that an IssueFence command issued.
	Fence uint64
	// Map is the group's expert map record after a MapBegin or MapDecide command.
	Map *fleetv1.MapRecord
	// Refused has one error for each announced endpoint whose lease another agent
	// holds; the rest of the announcement was accepted.
	Refused []*fault.Error
}

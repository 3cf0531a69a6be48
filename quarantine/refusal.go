package quarantine

import (
	"time"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

// Refusal returns the error for a request that is held now, nil for one that may run.
func (t *Tracker) Refusal(now time.Duration, f call.Fingerprint) *fault.Error {
	hold := t.HoldRemaining(now, f)
	if hold <= 0 {
		return nil
	}
	return fault.New(fault.Quarantined, "the request is quarantined: endpoint processes crashed while running it",
		"change the request, or retry after the given time").RetryIn(hold)
}

// PartRefusal is the error for a request with a part that is held.
type PartRefusal struct {
	Part  Part
	Fault *fault.Error
}

func newPartRefusal(part Part, retry time.Duration) *PartRefusal {
	return &PartRefusal{Part: part, Fault: fault.Newf(fault.Quarantined, "leave out this part of the prompt, or retry after the given time",
		"the prompt part %.64q is quarantined: endpoint processes crashed while running requests with it", part.ID).RetryIn(retry)}
}

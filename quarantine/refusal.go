package quarantine

import (
	"time"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

// Refusal returns the fault of a request that is held now, nil for one that may run.
func (t *Tracker) Refusal(now time.Duration, f call.Fingerprint) *fault.Error {
	hold := t.Held(now, f)
	if hold <= 0 {
		return nil
	}
	return fault.New(fault.Quarantined, "the endpoints that ran this request ended under it",
		"change the request; the same one may run again after the time given").RetryIn(hold)
}

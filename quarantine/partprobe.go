package quarantine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lilackeel/lilackeel/call"
)

const (
	// probeSpacing separates the first probes that different entries make after a hold, so that most
	// learn from the first one.
	probeSpacing = 500 * time.Millisecond
	// probeRetryAfter is the delay before a retry that callers are told during a probe.
	probeRetryAfter = time.Second
)

// Refusal returns the error for a request with a part that is held, nil if it may run.
func (t *PartTracker) Refusal(now time.Duration, parts Parts) *PartRefusal {
	if t.suspectCount.Load() == 0 || len(parts) == 0 {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.refusal(now, parts)
}

// refusal is Refusal; the caller must hold the lock.
func (t *PartTracker) refusal(now time.Duration, parts Parts) *PartRefusal {
	for _, part := range parts {
		r := t.implicated(part.Fingerprint, parts)
		if r == nil {
			continue
		}
		r.id = part.ID
		if hold := r.heldUntil + t.probeDelay(part.Fingerprint) - now; hold > 0 {
			return newPartRefusal(part, hold)
		}
		if r.probes > 0 {
			return newPartRefusal(part, probeRetryAfter)
		}
	}
	return nil
}

// probeDelay returns how long after the end of a hold this entry makes its first probe.
func (t *PartTracker) probeDelay(f call.Fingerprint) time.Duration {
	spread := uint64(probeSpacing) * uint64(max(t.entries.Load()-1, 0))
	if spread == 0 {
		return 0
	}
	return time.Duration((xxhash.Sum64(f[:]) ^ t.seed) % spread)
}

// BeginAttempt checks a request again at the moment at which it is sent. A suspect whose hold has
// ended is tested by one request at a time. Unless the request is refused, end must be called when
// the attempt has ended.
func (t *PartTracker) BeginAttempt(now time.Duration, parts Parts) (end func(), refusal *PartRefusal) {
	if t.suspectCount.Load() == 0 || len(parts) == 0 {
		return func() {}, nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if refusal := t.refusal(now, parts); refusal != nil {
		return func() {}, refusal
	}
	var tested []*partRecord
	for _, part := range parts {
		if r := t.implicated(part.Fingerprint, parts); r != nil {
			r.probes++
			tested = append(tested, r)
		}
	}
	return func() { t.endProbes(tested) }, nil
}

func (t *PartTracker) endProbes(tested []*partRecord) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range tested {
		r.probes--
	}
}

// Proven reports whether requests with each of the parts but the last, which belongs to the request
// or its session, have recently run without a crash.
func (t *PartTracker) Proven(parts Parts) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for i := range len(parts) - 1 {
		if t.credits.get(parts[i].Fingerprint) < 1 {
			return false
		}
	}
	return true
}

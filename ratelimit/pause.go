package ratelimit

import "time"

// probeInterval is the time between two requests to an endpoint whose pause has ended, until it
// accepts one. Without it all waiting requests would be sent at once and be rejected together.
const probeInterval = 250 * time.Millisecond

// Pause is the time for which an endpoint that has rejected a request asks its sender to send
// nothing more. After it the endpoint is probed with single requests, probeInterval apart, until it
// accepts one. The zero value is no pause. It is not safe for concurrent use.
type Pause struct {
	// until is the end of the pause, nextProbe the earliest time of the next probe.
	until, nextProbe time.Duration
	// probing is true from the start of a pause until the endpoint has accepted a request.
	probing bool
}

// Extend starts a pause or extends it. The latest end that any rejection asked for counts.
func (p *Pause) Extend(now, pause time.Duration) {
	p.until = max(p.until, now+pause)
	p.probing = true
}

// Active reports whether the endpoint has asked for a pause and has not accepted a request since.
func (p *Pause) Active() bool { return p.probing }

// BlockedUntil returns the time from which a request may be sent, zero if one may be sent now.
func (p *Pause) BlockedUntil(now time.Duration) time.Duration {
	until := p.until
	if p.probing {
		until = max(until, p.nextProbe)
	}
	if until <= now {
		return 0
	}
	return until
}

// Take reports whether a request may be sent now. While the endpoint is probed, it counts the
// request as the probe.
func (p *Pause) Take(now time.Duration) bool {
	if p.BlockedUntil(now) > 0 {
		return false
	}
	if p.probing {
		p.nextProbe = now + probeInterval
	}
	return true
}

// RecordAccepted records that the endpoint did not reject a request sent at the given time. A
// request sent before the end of the pause does not show that the endpoint accepts requests again.
func (p *Pause) RecordAccepted(sent time.Duration) {
	if sent >= p.until {
		p.probing = false
	}
}

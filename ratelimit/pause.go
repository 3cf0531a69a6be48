package ratelimit

import "time"

// probeInterval is the time between two requests to an endpoint whose pause has ended, until it
// takes one: all that wait for the end would otherwise come at once, and be rejected together.
const probeInterval = 250 * time.Millisecond

// Pause is the time for which an endpoint that has rejected a request wants nothing more from its
// sender. After its end the endpoint gets one request at a time until it takes one. The zero
// value is no pause; it is not safe for concurrent use.
type Pause struct {
	// until is the end of the pause, next the time before which no further probe is sent.
	until, next time.Duration
	// probing is true from the beginning of a pause until the endpoint has taken a request.
	probing bool
}

// Extend begins a pause, or prolongs it: each rejection counts by itself.
func (p *Pause) Extend(now, pause time.Duration) {
	p.until = max(p.until, now+pause)
	p.probing = true
}

// Active reports whether the endpoint has not taken a request since it asked for the pause.
func (p *Pause) Active() bool { return p.probing }

// Opens returns when a request may be sent, zero if one may be now.
func (p *Pause) BlockedUntil(now time.Duration) time.Duration {
	opens := p.until
	if p.probing {
		opens = max(opens, p.next)
	}
	if opens <= now {
		return 0
	}
	return opens
}

// Take lets a request pass if one may be sent now.
func (p *Pause) Take(now time.Duration) bool {
	if p.BlockedUntil(now) > 0 {
		return false
	}
	if p.probing {
		p.next = now + probeInterval
	}
	return true
}

// Taken notes that the endpoint has not rejected a request that was sent at a time. One that was
// sent before the pause ended says nothing of what it takes now.
func (p *Pause) RecordAccepted(sent time.Duration) {
	if sent >= p.until {
		p.probing = false
	}
}

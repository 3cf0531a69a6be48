package workspace

import (
	"math"
	"time"
)

// bucket is a token bucket that holds one second of its rate. A rate of 0 means
// no limit.
type bucket struct {
	rate       float64
	tokens     float64
	refilledAt time.Duration
}

// capacity returns the maximum number of tokens: one second of the rate, and at least one
// so that a rate below one per second still admits requests.
func (b *bucket) capacity() float64 { return math.Max(b.rate, 1) }

// setRate changes the rate at time now. A bucket that was unlimited starts full.
func (b *bucket) setRate(now time.Duration, rate float64) {
	unlimited := b.rate == 0
	b.refill(now)
	b.rate = rate
	if unlimited {
		b.tokens = b.capacity()
	}
	b.tokens = math.Min(b.tokens, b.capacity())
}

// refill adds the tokens that have accrued until now.
func (b *bucket) refill(now time.Duration) {
	b.tokens = math.Min(b.tokens+(now-b.refilledAt).Seconds()*b.rate, b.capacity())
	b.refilledAt = now
}

// take removes amount; the number of tokens may become negative, which delays later
// requests.
func (b *bucket) take(now time.Duration, amount float64) {
	if b.rate == 0 {
		return
	}
	b.refill(now)
	b.tokens -= amount
}

// until returns the time until the bucket holds want tokens.
func (b *bucket) until(now time.Duration, want float64) time.Duration {
	if b.rate == 0 {
		return 0
	}
	b.refill(now)
	missing := want - b.tokens
	if missing <= 0 {
		return 0
	}
	return seconds(missing / b.rate)
}

// seconds converts to a duration, rounded up to a nanosecond and limited to 100 years so
// that a tiny rate cannot overflow it.
func seconds(s float64) time.Duration {
	const bound = 100 * 365 * 24 * time.Hour
	nanoseconds := math.Ceil(s * float64(time.Second))
	if nanoseconds >= float64(bound) {
		return bound
	}
	return time.Duration(nanoseconds)
}

package ratelimit

import (
	"time"
)

const (
	// baseBurst is the number of tokens that a bucket accumulates in addition to those of
	// burstTime, since a sender that is given a turn sends its request somewhat later.
	baseBurst = 2
	burstTime = 250 * time.Millisecond
	// minRate is the minimum rate, in requests per second, even for an endpoint that accepts no
	// requests: only its responses show when it accepts requests again.
	minRate = 1.0 / 30
	// maxWait bounds the time after which a refused sender asks again, unless minQueuedTurns
	// requests take longer at the current rate.
	maxWait        = 8 * time.Second
	minQueuedTurns = 2
)

// Bucket is a token bucket. It gives refused senders successive turns, so that few of them are
// refused again. The zero value allows nothing.
type Bucket struct {
	rate, tokens float64
	// refilledAt is the time for which tokens is valid.
	refilledAt time.Duration
	// nextTurn is the earliest turn not yet given to a sender.
	nextTurn time.Duration
}

// SetRate sets the rate, in requests per second. A bucket starts empty, since its endpoint may have
// received requests that the bucket does not know of.
func (b *Bucket) SetRate(now time.Duration, rate float64) {
	rate = max(rate, minRate)
	if rate == b.rate {
		return
	}
	b.refill(now)
	b.rate, b.nextTurn = rate, now
	b.tokens = min(b.tokens, b.capacity())
}

// Take takes a token for one request, or returns the time after which to ask again.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.rate <= 0 {
		return false, maxWait
	}
	interval := time.Duration(float64(time.Second) / b.rate)
	turn := max(b.nextTurn, now+time.Duration((1-b.tokens)*float64(interval)))
	turn = min(turn, now+max(maxWait, minQueuedTurns*interval))
	b.nextTurn = turn + interval
	return false, turn - now
}

// capacity returns the maximum number of tokens.
func (b *Bucket) capacity() float64 { return baseBurst + b.rate*burstTime.Seconds() }

func (b *Bucket) refill(now time.Duration) {
	b.tokens = min(b.tokens+b.rate*max(now-b.refilledAt, 0).Seconds(), b.capacity())
	b.refilledAt = max(b.refilledAt, now)
}

package ratelimit

import (
	"time"
)

const (
	// burst is how many requests a bucket saves up, besides those of burstTime: a sender that is
	// given a turn has a request to send somewhat later.
	burst     = 2
	burstTime = 250 * time.Millisecond
	// leastRate is kept up, in requests a second, at an endpoint that takes none: only its
	// answers show that it takes some again.
	leastRate = 1.0 / 30
	// longestWait bounds the time after which a refused sender is to ask again, unless the next
	// leastTurns requests take longer.
	longestWait = 8 * time.Second
	leastTurns  = 2
)

// Bucket lets as many requests pass as its rate allows. Senders that are refused are given
// turns, one after the other, so that few of them ask in vain. The zero value allows nothing.
type Bucket struct {
	rate, tokens float64
	// at is the time of tokens.
	at time.Duration
	// turn is the first time that has been given to no sender.
	turn time.Duration
}

// SetRate puts another rate in force, in requests a second. A bucket begins empty: its
// endpoint may have got requests that it does not know of.
func (b *Bucket) SetRate(now time.Duration, rate float64) {
	rate = max(rate, leastRate)
	if rate == b.rate {
		return
	}
	b.refill(now)
	b.rate, b.turn = rate, now
	b.tokens = min(b.tokens, b.most())
}

// Take lets one request pass, or says after which time to ask again.
func (b *Bucket) Take(now time.Duration) (ok bool, wait time.Duration) {
	b.refill(now)
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	if b.rate <= 0 {
		return false, longestWait
	}
	interval := time.Duration(float64(time.Second) / b.rate)
	next := max(b.turn, now+time.Duration((1-b.tokens)*float64(interval)))
	next = min(next, now+max(longestWait, leastTurns*interval))
	b.turn = next + interval
	return false, next - now
}

// most is how many requests may pass at once.
func (b *Bucket) most() float64 { return burst + b.rate*burstTime.Seconds() }

func (b *Bucket) refill(now time.Duration) {
	b.tokens = min(b.tokens+b.rate*max(now-b.at, 0).Seconds(), b.most())
	b.at = max(b.at, now)
}

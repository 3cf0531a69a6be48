package ratelimit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Unlimited is the rate of an endpoint that names no limit.
var Unlimited = math.Inf(1)

// Parse reads the limit that an answer names, in requests a second; the empty text is
// Unlimited. ok is false for what is no limit.
func Parse(text string) (rate float64, ok bool) {
	text = strings.TrimSpace(text)
	if text == "" {
		return Unlimited, true
	}
	rate, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(rate) || math.IsInf(rate, 0) || rate < 0 {
		return 0, false
	}
	return rate, true
}

// Feedback is what an answer says of the requests that its endpoint takes.
type Feedback struct {
	// Sent is when the request was sent.
	Sent time.Duration
	// Rate is the limit that the answer names, as it stands there; empty for none.
	Rate string
	// Pause is for how long the endpoint wants nothing more from this sender; zero for no pause.
	Pause time.Duration
	// Leaving is true if the endpoint says that it is about to stop.
	Leaving bool
	// Rejected is true if the endpoint has not taken the request.
	Rejected bool
}

// Limit is the rate that an endpoint named at some time between Since, when the request was
// sent, and At, when its answer came.
type Limit struct {
	// Rate is in requests a second.
	Rate               float64
	SentAt, ReceivedAt time.Duration
}

// Limited reports whether the endpoint names a limit.
func (l Limit) Limited() bool { return !math.IsInf(l.Rate, 1) }

// String returns the rate, or "none".
func (l Limit) String() string {
	if !l.Limited() {
		return "none"
	}
	return strconv.FormatFloat(l.Rate, 'g', -1, 64)
}

// Supersedes reports whether l is newer than known and says something else. Answers overtake
// each other: of two whose order is not certain the stricter one counts.
func (l Limit) Supersedes(known Limit) bool {
	switch {
	case l.Rate == known.Rate:
		return false
	case l.Rate < known.Rate:
		return l.ReceivedAt > known.ReceivedAt
	}
	return l.SentAt > known.ReceivedAt
}

package ratelimit

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// Unlimited is the rate of an endpoint that advertises no limit.
var Unlimited = math.Inf(1)

// Parse parses the limit that a response advertises, in requests per second. The empty text is
// Unlimited. ok is false for an invalid limit.
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

// Feedback is what a response says about the requests that its endpoint accepts.
type Feedback struct {
	// SentAt is when the request was sent.
	SentAt time.Duration
	// Rate is the advertised limit as it stands in the response, unparsed; empty for none.
	Rate string
	// Pause is the time for which the endpoint asks this sender to send nothing more, zero for
	// none.
	Pause time.Duration
	// Leaving is true if the endpoint announces that it is about to stop.
	Leaving bool
	// Rejected is true if the endpoint did not accept the request.
	Rejected bool
}

// Limit is a rate that an endpoint advertised in a response. The endpoint chose it at some time
// between SentAt, when the request was sent, and ReceivedAt, when the response was received.
type Limit struct {
	// Rate is in requests per second.
	Rate               float64
	SentAt, ReceivedAt time.Duration
	// Cold is true for the rate of a cold endpoint, which its announcement implies. No response
	// changes it.
	Cold bool
}

// coldSuffix distinguishes the cold rate of an endpoint from the limit that it advertises.
const coldSuffix = "#cold"

// For returns the limit of an endpoint as arbiters know it. An endpoint's cold rate and its
// advertised limit are separate limits.
func (l Limit) For(endpoint string) EndpointLimit {
	if l.Cold {
		endpoint += coldSuffix
	}
	return EndpointLimit{Endpoint: endpoint, Limit: l}
}

// Limited reports whether the rate is limited.
func (l Limit) Limited() bool { return !math.IsInf(l.Rate, 1) }

// String returns the rate, or "none".
func (l Limit) String() string {
	if !l.Limited() {
		return "none"
	}
	return strconv.FormatFloat(l.Rate, 'g', -1, 64)
}

// Supersedes reports whether l has another rate than known and replaces it. Responses may be
// reordered: of two limits whose order is uncertain, the stricter one counts.
func (l Limit) Supersedes(known Limit) bool {
	switch {
	case l.Rate == known.Rate:
		return false
	case l.Rate < known.Rate:
		return l.ReceivedAt > known.ReceivedAt
	}
	return l.SentAt > known.ReceivedAt
}

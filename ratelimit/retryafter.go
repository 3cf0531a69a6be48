package ratelimit

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxPushback bounds what an endpoint may ask for, against overflow.
const maxPushback = time.Hour

// RetryAfter reads for how long the endpoint that gave an answer wants nothing more from its
// sender: the Retry-After of a 503 (RFC 9110, section 10.2.3), in seconds, which may be a
// fraction, or as a date, which counts from the answer's own Date. ok is false for any other
// answer.
func RetryAfter(status int, header http.Header) (pause time.Duration, ok bool) {
	text := strings.TrimSpace(header.Get("Retry-After"))
	if status != http.StatusServiceUnavailable || text == "" {
		return 0, false
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		return bounded(seconds)
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	sent, err := http.ParseTime(header.Get("Date"))
	if err != nil {
		return 0, false
	}
	return bounded(until.Sub(sent).Seconds())
}

func bounded(seconds float64) (pause time.Duration, ok bool) {
	if math.IsNaN(seconds) || seconds <= 0 {
		return 0, false
	}
	return time.Duration(min(seconds, maxPushback.Seconds()) * float64(time.Second)), true
}

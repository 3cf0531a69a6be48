package ratelimit

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxPause bounds the pause that an endpoint can ask for, to avoid overflow.
const maxPause = time.Hour

// RetryAfter returns the pause that a response asks its sender for: the Retry-After of a 503 (RFC
// 9110, section 10.2.3), in seconds, which may be fractional, or as a date, relative to the
// response's own Date. ok is false for any other response.
func RetryAfter(status int, header http.Header) (pause time.Duration, ok bool) {
	text := strings.TrimSpace(header.Get("Retry-After"))
	if status != http.StatusServiceUnavailable || text == "" {
		return 0, false
	}
	if seconds, err := strconv.ParseFloat(text, 64); err == nil {
		return clampPause(seconds)
	}
	until, err := http.ParseTime(text)
	if err != nil {
		return 0, false
	}
	sent, err := http.ParseTime(header.Get("Date"))
	if err != nil {
		return 0, false
	}
	return clampPause(until.Sub(sent).Seconds())
}

func clampPause(seconds float64) (pause time.Duration, ok bool) {
	if math.IsNaN(seconds) || seconds <= 0 {
		return 0, false
	}
	return time.Duration(min(seconds, maxPause.Seconds()) * float64(time.Second)), true
}

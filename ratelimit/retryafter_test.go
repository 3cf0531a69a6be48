package ratelimit

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestRetryAfter(t *testing.T) {
	const date = "Thu, 03 Dec 2026 10:00:00 GMT"
	for _, c := range []struct {
		status     int
		text, date string
		want       time.Duration
	}{
		{503, "3", "", 3 * time.Second},
		{503, " 0.25 ", "", 250 * time.Millisecond},
		{503, "Thu, 03 Dec 2026 10:00:07 GMT", date, 7 * time.Second},
		{503, "1e30", "", time.Hour},
		{503, "", "", 0},
		{503, "0", "", 0},
		{503, "-1", "", 0},
		{503, "NaN", "", 0},
		{503, "soon", "", 0},
		{503, "Thu, 03 Dec 2026 10:00:07 GMT", "", 0},
		{503, date, "Thu, 03 Dec 2026 10:00:07 GMT", 0},
		{429, "3", "", 0},
		{200, "3", "", 0},
	} {
		header := http.Header{}
		header.Set("Retry-After", c.text)
		header.Set("Date", c.date)
		pause, ok := RetryAfter(c.status, header)
		is := is.New(t)
		is.Equal(pause, c.want)
		is.Equal(ok, c.want > 0)
	}
}

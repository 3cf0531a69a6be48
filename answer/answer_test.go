package answer

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

func TestRetryAfterFormat(t *testing.T) {
	full := fault.New(fault.Overloaded, "full", "retry later")
	for _, c := range []struct {
		after  time.Duration
		format RetryAfterFormat
		want   string
	}{
		{0, WholeSeconds, ""}, {300 * time.Millisecond, WholeSeconds, "1"}, {300 * time.Millisecond, FractionalSeconds, "0.3"},
		{1500*time.Millisecond + 400*time.Microsecond, FractionalSeconds, "1.5"}, {time.Microsecond, FractionalSeconds, "0.001"},
	} {
		is := is.New(t)
		w := httptest.NewRecorder()
		is.NoErr(WriteVerdict(w, "r1", call.Refuse(full.RetryIn(c.after)), c.format))
		is.Equal(w.Code, http.StatusTooManyRequests)
		is.Equal(w.Header().Get(RetryAfter), c.want)
		is.Equal(w.Header().Get(call.HeaderOutcome), "not-run")
	}
}

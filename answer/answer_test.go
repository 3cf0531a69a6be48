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

func TestARefusalSaysWhenToComeBack(t *testing.T) {
	full := fault.New(fault.Overloaded, "full", "ask again")
	for _, c := range []struct {
		after time.Duration
		style Style
		want  string
	}{
		{0, WholeSeconds, ""}, {300 * time.Millisecond, WholeSeconds, "1"}, {300 * time.Millisecond, Fractions, "0.3"},
		{1500*time.Millisecond + 400*time.Microsecond, Fractions, "1.5"}, {time.Microsecond, Fractions, "0.001"},
	} {
		is := is.New(t)
		w := httptest.NewRecorder()
		is.NoErr(Refuse(w, "r1", call.Refuse(full.After(c.after)), c.style))
		is.Equal(w.Code, http.StatusTooManyRequests)
		is.Equal(w.Header().Get(RetryAfter), c.want)
		is.Equal(w.Header().Get(call.HeaderOutcome), "not-run")
	}
}

// Package answer writes the final word on a request that gets no whole answer
// from an endpoint.
package answer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

// RetryAfter is the header that says when to come back.
const RetryAfter = "Retry-After"

// Style is how Retry-After is written.
type RetryAfterFormat int

// The styles.
const (
	// WholeSeconds rounds up to whole seconds, as RFC 9110 has it.
	WholeSeconds RetryAfterFormat = iota
	// Fractions writes seconds with milliseconds, for callers that read them:
	// they come back as soon as there is room.
	FractionalSeconds
)

// Refuse writes a verdict as the whole answer: its status, when to come back,
// and a typed error as the body.
func WriteVerdict(w http.ResponseWriter, requestID string, v *call.Verdict, style RetryAfterFormat) error {
	text, err := json.Marshal(v.Body(requestID))
	if err != nil {
		return err
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	header.Set(call.HeaderOutcome, v.Outcome.String())
	if after := retryAfter(v, style); after != "" {
		header.Set(RetryAfter, after)
	}
	if v.Fault.Kind == fault.Unauthenticated {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(v.HTTPStatus())
	_, err = w.Write(text)
	return err
}

// retryAfter is the value of the header, empty where asking again does not help.
func retryAfter(v *call.Verdict, style RetryAfterFormat) string {
	if seconds := v.RetryAfterSeconds(); seconds <= 0 {
		return ""
	} else if style == WholeSeconds {
		return strconv.FormatInt(seconds, 10)
	}
	rounded := v.Fault.RetryAfter.Round(time.Millisecond)
	return strconv.FormatFloat(max(rounded, time.Millisecond).Seconds(), 'f', -1, 64)
}

// Package answer writes the error response for a request that got no complete response from an
// endpoint.
package answer

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
)

// RetryAfter is the header that states the delay before a retry.
const RetryAfter = "Retry-After"

// RetryAfterFormat is the format of the Retry-After value.
type RetryAfterFormat int

// The formats of Retry-After.
const (
	// WholeSeconds rounds up to whole seconds, as required by RFC 9110.
	WholeSeconds RetryAfterFormat = iota
	// FractionalSeconds writes seconds with millisecond precision. Callers that parse it can
	// retry as soon as capacity is available.
	FractionalSeconds
)

// WriteVerdict writes a verdict as the complete response: its status, Retry-After and a typed
// error as the body.
func WriteVerdict(w http.ResponseWriter, requestID string, v *call.Verdict, format RetryAfterFormat) error {
	text, err := json.Marshal(v.Body(requestID))
	if err != nil {
		return err
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set("Content-Length", strconv.Itoa(len(text)))
	header.Set(call.HeaderOutcome, v.Outcome.String())
	if after := retryAfterValue(v, format); after != "" {
		header.Set(RetryAfter, after)
	}
	if v.Fault.Kind == fault.Unauthenticated {
		header.Set("WWW-Authenticate", "Bearer")
	}
	w.WriteHeader(v.HTTPStatus())
	_, err = w.Write(text)
	return err
}

// retryAfterValue returns the value of the header, or an empty string if the verdict's fault
// sets none.
func retryAfterValue(v *call.Verdict, format RetryAfterFormat) string {
	if seconds := v.RetryAfterSeconds(); seconds <= 0 {
		return ""
	} else if format == WholeSeconds {
		return strconv.FormatInt(seconds, 10)
	}
	rounded := v.Fault.RetryAfter.Round(time.Millisecond)
	return strconv.FormatFloat(max(rounded, time.Millisecond).Seconds(), 'f', -1, 64)
}

package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
)

// Faults configures the faults that a stand-in injects. The zero value injects none.
type Faults struct {
	// Stall blocks every response, before its first byte or midway, and the steps of a rank.
	Stall bool `json:"stall,omitempty"`
	// SlowFactor multiplies the time of each token and of prefill; no effect if zero.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// AbortAfterBytes aborts the connection after this many bytes of the response body; never
	// if zero.
	AbortAfterBytes int `json:"cut_after,omitempty"`
	// Status answers every call with this HTTP status instead of running it.
	Status int `json:"status,omitempty"`
	// OverrideLoad reports ReportedRunning instead of the actual number of running calls, and
	// no waiting calls.
	OverrideLoad bool `json:"lie_about_load,omitempty"`
	// ReportedRunning is the number of running calls that OverrideLoad reports.
	ReportedRunning int `json:"lie_load,omitempty"`
	// HoldMaps blocks orders to load an expert map until it is cleared.
	HoldMaps bool `json:"hold_maps,omitempty"`
	// IgnoreFencing makes the engine carry out orders with a stale fencing token.
	IgnoreFencing bool `json:"ignore_fencing,omitempty"`
	// RateLimit is sent in every response as the rate limit of the stand-in, in requests per
	// second; none if empty.
	RateLimit string `json:"rate_limit,omitempty"`
	// RetryAfter rejects every request, polls and orders included, with status 503 and this
	// Retry-After value. Nothing is run.
	RetryAfter string `json:"retry_after,omitempty"`
	// Refuse closes the connection of every request without a response.
	Refuse bool `json:"refuse,omitempty"`
	// RawResponse is written in place of the response to every call, after which the connection is
	// closed.
	RawResponse string `json:"raw_response,omitempty"`
	// RawRepeated is written after RawResponse, again and again until the client closes the
	// connection.
	RawRepeated string `json:"raw_repeated,omitempty"`
	// Leaving announces in every response that the stand-in is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// stallPollInterval is the interval at which a blocked response checks whether the fault has
// been cleared.
const stallPollInterval = 5 * time.Millisecond

// faultState holds the faults that are currently injected.
type faultState struct {
	mu      sync.Mutex
	current Faults
	// raw is the number of raw responses that are being written.
	raw    int
	pauses pauseTracker
}

func (f *faultState) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

func (f *faultState) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.current = faults
}

func (f *faultState) serve(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.set(faults)
}

// setHeaders adds the headers of RateLimit and Leaving to the response.
func (f *faultState) setHeaders(w http.ResponseWriter) {
	faults := f.get()
	if faults.RateLimit != "" {
		w.Header().Set(engineapi.HeaderRateLimit, faults.RateLimit)
	}
	if faults.Leaving {
		w.Header().Set(engineapi.HeaderLeaving, "1")
	}
}

// reject responds to a request that Refuse or RetryAfter applies to, and reports whether one
// did.
func (f *faultState) reject(w http.ResponseWriter, r *http.Request) bool {
	faults := f.get()
	if isAdminRequest(r) {
		return false
	}
	if faults.Refuse {
		panic(http.ErrAbortHandler)
	}
	pause := faults.RetryAfter
	if pause == "" {
		return false
	}
	f.pauses.recordRejection(pause)
	w.Header().Set(engineapi.HeaderNotRun, "1")
	w.Header().Set("Retry-After", pause)
	http.Error(w, "injected rejection", http.StatusServiceUnavailable)
	return true
}

// respondRaw writes RawResponse and RawRepeated if they are set, and reports whether one is.
func (f *faultState) respondRaw(w http.ResponseWriter) bool {
	faults := f.get()
	if faults.RawResponse == "" && faults.RawRepeated == "" {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	f.addRaw(1)
	defer f.addRaw(-1)
	_, err = io.WriteString(conn, faults.RawResponse)
	for err == nil && faults.RawRepeated != "" {
		_, err = io.WriteString(conn, faults.RawRepeated)
	}
	return true
}

func (f *faultState) addRaw(change int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.raw += change
}

// rawResponses returns the number of raw responses that are being written.
func (f *faultState) rawResponses() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.raw
}

// waitStall blocks while Stall is set. It returns false if the caller disconnected.
func (f *faultState) waitStall(r *http.Request) bool {
	for f.get().Stall {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(stallPollInterval):
		}
	}
	return true
}

// abortingWriter writes a response body and aborts the connection after Faults.AbortAfterBytes.
type abortingWriter struct {
	http.ResponseWriter
	faults  *faultState
	written int
}

// Write writes p, or the part of it that AbortAfterBytes allows. It then panics with
// http.ErrAbortHandler, on which the HTTP server aborts the connection.
func (c *abortingWriter) Write(p []byte) (int, error) {
	cut := c.faults.get().AbortAfterBytes
	if cut == 0 || c.written+len(p) <= cut {
		n, err := c.ResponseWriter.Write(p)
		c.written += n
		return n, err
	}
	_, _ = c.ResponseWriter.Write(p[:max(cut-c.written, 0)])
	_ = http.NewResponseController(c.ResponseWriter).Flush()
	panic(http.ErrAbortHandler)
}

// Unwrap gives http.ResponseController access to the connection.
func (c *abortingWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

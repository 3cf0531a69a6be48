package standin

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
)

// Faults are the faults that a stand-in brings about. The zero value is none.
type Faults struct {
	// Stall stops every answer, before its first byte or in the middle, and the
	// steps of a rank.
	Stall bool `json:"stall,omitempty"`
	// SlowFactor multiplies the time of each token.
	SlowFactor float64 `json:"slow_factor,omitempty"`
	// CutAfter cuts the connection after so many bytes of the body.
	AbortAfterBytes int `json:"cut_after,omitempty"`
	// Status answers every call with this HTTP status instead of running it.
	Status int `json:"status,omitempty"`
	// LieAboutLoad reports LieLoad in place of the number of running calls.
	OverrideLoad bool `json:"lie_about_load,omitempty"`
	// LieLoad is the number of running calls that LieAboutLoad reports.
	ReportedRunning int `json:"lie_load,omitempty"`
	// HoldMaps keeps orders to load an expert map from ending.
	HoldMaps bool `json:"hold_maps,omitempty"`
	// IgnoreFencing carries out orders with an old token all the same.
	IgnoreFencing bool `json:"ignore_fencing,omitempty"`
	// RateLimit is named in every answer as the requests a second that the stand-in takes;
	// none if empty.
	RateLimit string `json:"rate_limit,omitempty"`
	// RetryAfter rejects every request, polls and orders included, with 503 and this
	// Retry-After; nothing runs.
	RetryAfter string `json:"retry_after,omitempty"`
	// Refuse ends the connection of every request without an answer.
	Refuse bool `json:"refuse,omitempty"`
	// Leaving says in every answer that the stand-in is about to stop.
	Leaving bool `json:"leaving,omitempty"`
}

// stallPoll is how often a stalled answer looks whether the stall is over.
const stallPoll = 5 * time.Millisecond

// faultSwitch holds the present faults.
type faultSwitch struct {
	mu     sync.Mutex
	now    Faults
	pauses pauses
}

func (f *faultSwitch) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

func (f *faultSwitch) set(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = faults
}

func (f *faultSwitch) serve(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.set(faults)
}

// name puts what every answer says of the stand-in into the answer that w begins.
func (f *faultSwitch) name(w http.ResponseWriter) {
	faults := f.get()
	if faults.RateLimit != "" {
		w.Header().Set(engineapi.HeaderRateLimit, faults.RateLimit)
	}
	if faults.Leaving {
		w.Header().Set(engineapi.HeaderLeaving, "1")
	}
}

// rejects answers a request that the faults reject, and reports whether they do.
func (f *faultSwitch) rejects(w http.ResponseWriter, r *http.Request) bool {
	faults := f.get()
	if isOwnAPI(r) {
		return false
	}
	if faults.Refuse {
		panic(http.ErrAbortHandler)
	}
	pause := faults.RetryAfter
	if pause == "" {
		return false
	}
	f.pauses.rejected(pause)
	w.Header().Set(engineapi.HeaderNotRun, "1")
	w.Header().Set("Retry-After", pause)
	http.Error(w, "switched rejection", http.StatusServiceUnavailable)
	return true
}

// waitStall returns when no stall is on or the caller is gone.
func (f *faultSwitch) waitStall(r *http.Request) bool {
	for f.get().Stall {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(stallPoll):
		}
	}
	return true
}

// cutWriter writes a body and cuts the connection where the faults say so.
type cutWriter struct {
	http.ResponseWriter
	faults  *faultSwitch
	written int
}

// Write writes p, or a part of it before cutting the connection by panicking
// with http.ErrAbortHandler, which the HTTP server turns into a reset.
func (c *cutWriter) Write(p []byte) (int, error) {
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

// Unwrap lets http.ResponseController reach the connection.
func (c *cutWriter) Unwrap() http.ResponseWriter { return c.ResponseWriter }

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

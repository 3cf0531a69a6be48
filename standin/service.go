package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// HeaderIdempotencyKey names the header with the idempotency key of a service call.
const HeaderIdempotencyKey = "Idempotency-Key"

// Effect is one execution of a call that changes state.
type Effect struct {
	Path string `json:"path"`
	// Key is the idempotency key, empty if the call had none.
	Key  string `json:"key"`
	Body string `json:"body"`
}

// Service is a stand-in for a plain service. Every POST or PUT, on any path, is an effect,
// which is recorded each time it runs. A GET of the same path lists the effects. Service
// implements http.Handler.
type Service struct {
	http.ServeMux
	delay    time.Duration
	faults   faultState
	arrivals arrivals

	mu      sync.Mutex
	effects []Effect
}

// NewService returns a service whose calls take the given time.
func NewService(delay time.Duration) *Service {
	s := &Service{delay: delay}
	s.HandleFunc("POST /standin/faults", s.faults.serve)
	s.HandleFunc("GET /standin/arrivals", s.arrivals.serveMax)
	s.HandleFunc("GET /standin/paused", s.faults.pauses.serve)
	s.HandleFunc("GET /", s.list)
	s.HandleFunc("POST /", s.handleCall)
	s.HandleFunc("PUT /", s.handleCall)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.arrivals.record(r)
	s.faults.setHeaders(w)
	if s.faults.reject(w, r) {
		return
	}
	s.ServeMux.ServeHTTP(w, r)
}

// MaxArrivals returns the largest number of requests that arrived within any window of the
// given length since a time.
func (s *Service) MaxArrivals(since time.Time, window time.Duration) int {
	return s.arrivals.maxInWindow(since, window)
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) { s.faults.set(f) }

// RawResponses returns the number of raw responses (Faults.RawResponse) that are being written.
func (s *Service) RawResponses() int { return s.faults.rawResponses() }

// Faults returns the faults that are currently injected.
func (s *Service) Faults() Faults { return s.faults.get() }

// Effects returns the effects in the order in which they ran.
func (s *Service) Effects() []Effect {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Effect{}, s.effects...)
}

func (s *Service) list(w http.ResponseWriter, r *http.Request) {
	matching := []Effect{}
	for _, effect := range s.Effects() {
		if effect.Path == r.URL.Path {
			matching = append(matching, effect)
		}
	}
	writeJSON(w, http.StatusOK, matching)
}

func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if s.faults.respondRaw(w) {
		return
	}
	if f := s.faults.get(); f.Status != 0 {
		http.Error(w, "injected fault", f.Status)
		return
	}
	number := s.record(Effect{Path: r.URL.Path, Key: r.Header.Get(HeaderIdempotencyKey), Body: string(body)})
	time.Sleep(s.delay)
	if !s.faults.waitStall(r) {
		return
	}
	response := encode(map[string]any{"done": string(body), "number": number})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(response)))
	_, _ = (&abortingWriter{ResponseWriter: w, faults: &s.faults}).Write(response)
}

func (s *Service) record(effect Effect) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects = append(s.effects, effect)
	return len(s.effects)
}

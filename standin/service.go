package standin

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// HeaderKey names the idempotency key that a call of a service carries.
const HeaderIdempotencyKey = "Idempotency-Key"

// Effect is one run of a call that changes something.
type Effect struct {
	// Path is the path of the URL.
	Path string `json:"path"`
	// Key is the idempotency key, empty if the call had none.
	Key string `json:"key"`
	// Body is the body of the call.
	Body string `json:"body"`
}

// Service is a stand-in for a plain service. Every POST or PUT below any path is
// an effect, which is recorded each time it runs; GET of the same path lists
// the effects. It is an http.Handler.
type Service struct {
	http.ServeMux
	delay    time.Duration
	faults   faultSwitch
	arrivals arrivals

	mu      sync.Mutex
	effects []Effect
}

// NewService returns a service whose calls take the given time.
func NewService(delay time.Duration) *Service {
	s := &Service{delay: delay}
	s.HandleFunc("POST /standin/faults", s.faults.serve)
	s.HandleFunc("GET /standin/arrivals", s.arrivals.serve)
	s.HandleFunc("GET /standin/paused", s.faults.pauses.serve)
	s.HandleFunc("GET /", s.list)
	s.HandleFunc("POST /", s.act)
	s.HandleFunc("PUT /", s.act)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.arrivals.note(r)
	s.faults.name(w)
	if s.faults.rejects(w, r) {
		return
	}
	s.ServeMux.ServeHTTP(w, r)
}

// MostArrivals returns the greatest number of requests that came within any window since a
// time.
func (s *Service) MaxArrivals(since time.Time, window time.Duration) int {
	return s.arrivals.most(since, window)
}

// SetFaults switches faults on or off.
func (s *Service) SetFaults(f Faults) { s.faults.set(f) }

// Faults returns the present faults.
func (s *Service) Faults() Faults { return s.faults.get() }

// Effects returns what has run, in order.
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

func (s *Service) act(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f := s.faults.get(); f.Status != 0 {
		http.Error(w, "switched fault", f.Status)
		return
	}
	number := s.record(Effect{Path: r.URL.Path, Key: r.Header.Get(HeaderIdempotencyKey), Body: string(body)})
	time.Sleep(s.delay)
	if !s.faults.waitStall(r) {
		return
	}
	answer := encode(map[string]any{"done": string(body), "number": number})
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = (&cutWriter{ResponseWriter: w, faults: &s.faults}).Write(answer)
}

func (s *Service) record(effect Effect) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.effects = append(s.effects, effect)
	return len(s.effects)
}

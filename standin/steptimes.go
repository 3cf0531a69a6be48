package standin

import (
	"sync"
	"time"
)

const (
	// stepWeight is the weight of a new step in the moving averages that are reported.
	stepWeight = 0.25
	// stepTimeTTL is how long after its last step an idle engine reports step times.
	stepTimeTTL = 2 * time.Second
)

// stepTimes holds moving averages of an engine's step times. For an engine in a rank group,
// step is the time of the group's steps and own that of its own part; otherwise both are the
// time per token.
type stepTimes struct {
	mu        sync.Mutex
	step, own time.Duration
	// lastEnd is when the last step ended, currentStart when the current one started.
	lastEnd, currentStart time.Time
	// calls is the number of calls in flight.
	calls int
}

// callStarted records the start of a call. If the engine was idle, a step starts with it.
func (s *stepTimes) callStarted() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls == 0 {
		s.currentStart = time.Now()
	}
	s.calls++
}

func (s *stepTimes) callEnded() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls--
}

// record adds a step that has just ended.
func (s *stepTimes) record(step, own time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lastEnd.IsZero() {
		s.step, s.own = step, own
	}
	s.step += time.Duration(stepWeight * float64(step-s.step))
	s.own += time.Duration(stepWeight * float64(own-s.own))
	s.lastEnd = time.Now()
	s.currentStart = s.lastEnd
}

// recent returns the averages, or zero if an idle engine has had no step within stepTimeTTL. If
// the elapsed time of the running step exceeds the average, it is returned instead; for a
// rank's own time, only if the rank itself is stalled.
func (s *stepTimes) recent(ranked, stalled bool) (step, own time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.calls > 0 || ranked && !s.currentStart.IsZero() {
		elapsed := time.Since(s.currentStart)
		step = max(s.step, elapsed)
		if ranked && !stalled {
			return step, s.own
		}
		return step, max(s.own, elapsed)
	}
	if time.Since(s.lastEnd) > stepTimeTTL {
		return 0, 0
	}
	return s.step, s.own
}

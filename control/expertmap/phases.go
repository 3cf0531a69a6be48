package expertmap

import (
	"log/slog"
	"time"

	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// phaseTimes records how long the phases of one switch take.
type phaseTimes struct {
	phase mapswitch.Phase
	// since is when the current phase began.
	since time.Duration
	// took is the time spent in each phase.
	took map[mapswitch.Phase]time.Duration
	// last is the rank whose answer ended each phase.
	last map[mapswitch.Phase]int
}

func newPhaseTimes(now time.Duration) *phaseTimes {
	return &phaseTimes{phase: mapswitch.PhaseBeginning, since: now, took: map[mapswitch.Phase]time.Duration{}, last: map[mapswitch.Phase]int{}}
}

// record records the phase after the answer of a rank, or after another event if rank is
// negative.
func (s *phaseTimes) record(now time.Duration, phase mapswitch.Phase, rank int) {
	if phase == s.phase {
		return
	}
	s.took[s.phase] += now - s.since
	if rank >= 0 {
		s.last[s.phase] = rank
	}
	s.phase, s.since = phase, now
}

// LogValue implements slog.LogValuer. It returns the duration of each phase and the ranks that
// answered last, or an empty group for a switch that another leader began.
func (s *phaseTimes) LogValue() slog.Value {
	if s == nil {
		return slog.GroupValue()
	}
	attributes := []slog.Attr{
		slog.Duration("beginning", s.took[mapswitch.PhaseBeginning]), slog.Duration("preparing", s.took[mapswitch.PhasePreparing]),
		slog.Duration("promising", s.took[mapswitch.PhasePromising]), slog.Duration("deciding", s.took[mapswitch.PhaseDeciding]),
	}
	if rank, ok := s.last[mapswitch.PhasePreparing]; ok {
		attributes = append(attributes, slog.Int("last_prepared", rank))
	}
	if rank, ok := s.last[mapswitch.PhasePromising]; ok {
		attributes = append(attributes, slog.Int("last_promised", rank))
	}
	return slog.GroupValue(attributes...)
}

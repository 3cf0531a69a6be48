package expertmap

import (
	"log/slog"
	"time"

	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// stages says where the time of one switch goes.
type stages struct {
	phase mapswitch.Phase
	// since is when the present phase began.
	since time.Duration
	// took is the time in each phase.
	took map[mapswitch.Phase]time.Duration
	// last is the rank whose answer ended a phase.
	last map[mapswitch.Phase]int
}

func newStages(now time.Duration) *stages {
	return &stages{phase: mapswitch.PhaseBeginning, since: now, took: map[mapswitch.Phase]time.Duration{}, last: map[mapswitch.Phase]int{}}
}

// note takes in the phase after a message of a rank, or after something else if rank is
// negative.
func (s *stages) note(now time.Duration, phase mapswitch.Phase, rank int) {
	if phase == s.phase {
		return
	}
	s.took[s.phase] += now - s.since
	if rank >= 0 {
		s.last[s.phase] = rank
	}
	s.phase, s.since = phase, now
}

// LogValue implements slog.LogValuer: the time of each stage, and the ranks that were last. It is
// empty for a switch that another leader began.
func (s *stages) LogValue() slog.Value {
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

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
func (p *phaseTimes) record(now time.Duration, phase mapswitch.Phase, rank int) {
	if phase == p.phase {
		return
	}
	p.took[p.phase] += now - p.since
	if rank >= 0 {
		p.last[p.phase] = rank
	}
	p.phase, p.since = phase, now
}

// LogValue implements slog.LogValuer. It returns the duration of each phase and the ranks that
// answered last, or an empty group for a switch that another leader began.
func (p *phaseTimes) LogValue() slog.Value {
	if p == nil {
		return slog.GroupValue()
	}
	attributes := []slog.Attr{
		slog.Duration("beginning", p.took[mapswitch.PhaseBeginning]), slog.Duration("preparing", p.took[mapswitch.PhasePreparing]),
		slog.Duration("promising", p.took[mapswitch.PhasePromising]), slog.Duration("deciding", p.took[mapswitch.PhaseDeciding]),
	}
	if rank, ok := p.last[mapswitch.PhasePreparing]; ok {
		attributes = append(attributes, slog.Int("last_prepared", rank))
	}
	if rank, ok := p.last[mapswitch.PhasePromising]; ok {
		attributes = append(attributes, slog.Int("last_promised", rank))
	}
	return slog.GroupValue(attributes...)
}

package rankhost

import (
	"log/slog"
	"math"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
)

// Values of Settings.ReportSlowdown.
const (
	// SlowdownAuto reports the slowdown if the engine states when it started. Without that, a value
	// cannot be attributed to one run of the engine, and its successor would inherit it.
	SlowdownAuto = "auto"
	// SlowdownOn always reports the slowdown, SlowdownOff never.
	SlowdownOn  = "on"
	SlowdownOff = "off"
)

const (
	// minSlowdown and maxSlowdown bound the slowdowns that are reported. Values beyond them are
	// more likely a fault of the report than the speed of an engine.
	minSlowdown = 0.25
	maxSlowdown = 64
	// minNominal and maxNominal bound the slowdowns at which an engine counts as nominal.
	minNominal = 0.9
	maxNominal = 1.1
)

// reportedSlowdown returns the slowdown to report for a status under a mode, or zero if none is
// known.
func reportedSlowdown(s Status, mode string) float64 {
	if mode == SlowdownOff || mode != SlowdownOn && s.Started == 0 {
		return 0
	}
	if !validSlowdown(s.Slowdown) {
		return 0
	}
	return min(max(s.Slowdown, minSlowdown), maxSlowdown)
}

// validSlowdown reports whether an engine can work slower by a factor.
func validSlowdown(factor float64) bool { return factor > 0 && !math.IsInf(factor, 1) }

// isNominal reports whether an engine with a slowdown counts as nominal.
func isNominal(slowdown float64) bool {
	return slowdown == 0 || slowdown >= minNominal && slowdown <= maxNominal
}

// addSlowdown adds the rank's slowdown to its loads. The caller must hold the lock.
func (h *Host) addSlowdown(loads []*agentv1.ExpertLoad) {
	slowdown := reportedSlowdown(h.status, h.cfg.ReportSlowdown)
	if isNominal(slowdown) {
		return
	}
	for _, load := range loads {
		load.Slowdowns = []*agentv1.RankSlowdown{{Rank: load.GetRank(), Slowdown: slowdown}}
	}
}

// logSlowdown logs that the engine has become slow or nominal. The caller must hold the lock.
func (h *Host) logSlowdown(previous, current Status) {
	before, now := reportedSlowdown(previous, h.cfg.ReportSlowdown), reportedSlowdown(current, h.cfg.ReportSlowdown)
	if isNominal(before) != isNominal(now) {
		h.cfg.Logger.Info("the engine's speed changed", slog.Float64("slowdown", now))
	}
	if previous.Slowdown != current.Slowdown && current.Slowdown != 0 && !validSlowdown(current.Slowdown) && (previous.Slowdown == 0 || validSlowdown(previous.Slowdown)) {
		h.cfg.Logger.Warn("the engine states an invalid slowdown, which counts as none", slog.Float64("slowdown", current.Slowdown))
	}
}

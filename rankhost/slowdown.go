package rankhost

import (
	"log/slog"

	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/endpoint/speed"
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

// reportedSlowdown returns the slowdown to report for a status under a mode, or zero if none is
// known.
func reportedSlowdown(s Status, mode string) float64 {
	if mode == SlowdownOff || mode != SlowdownOn && s.Started == 0 {
		return 0
	}
	slowdown, valid := speed.Normalize(s.Slowdown)
	if !valid {
		return 0
	}
	return slowdown
}

// isNominal reports whether a reported slowdown is nominal or not known.
func isNominal(slowdown float64) bool { return slowdown == 0 || slowdown == speed.Nominal }

// isInvalid reports whether an engine states a slowdown that it cannot have.
func isInvalid(s Status) bool {
	_, valid := speed.Normalize(s.Slowdown)
	return s.Slowdown != 0 && !valid
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
	if isInvalid(current) && !isInvalid(previous) {
		h.cfg.Logger.Warn("the engine states an invalid slowdown, which counts as none", slog.Float64("slowdown", current.Slowdown))
	}
}

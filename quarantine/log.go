package quarantine

import (
	"fmt"
	"log/slog"
)

// LogHeldPart logs that a part of prompts is held, and the evidence for and against it.
func LogHeldPart(logger *slog.Logger, s *PartState) {
	logger.Info("quarantined a prompt part", append(s.attributes(), slog.Duration("hold", s.Hold))...)
}

// LogReleasedPart logs that a part of prompts is held no longer because a request with it has run.
func LogReleasedPart(logger *slog.Logger, requestID string, s *PartState) {
	logger.Info("released a prompt part", append(s.attributes(), slog.String("request_id", requestID))...)
}

func (s *PartState) attributes() []any {
	runs := make([]string, 0, len(s.Runs))
	for _, run := range s.Runs {
		runs = append(runs, fmt.Sprintf("%016x", run))
	}
	return []any{
		slog.String("part", s.Part.ID), slog.Any("fingerprint", s.Part.Fingerprint), slog.Int("ends", s.Crashes), slog.Int("events", s.Events),
		slog.Any("runs", runs), slog.Int("cleared", s.Cleared), slog.Int("survived", s.Survived), slog.Int("companions", s.Companions),
	}
}

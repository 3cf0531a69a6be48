package rankhost

import (
	"log/slog"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// recordPushback records the pause that the engine has requested by rejecting a call, and reports
// whether it has requested one.
func (h *Host) recordPushback(err error) bool {
	if err == nil {
		return false
	}
	pause := fault.From(err).RetryAfter
	if pause <= 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pausedUntil = time.Now().Add(pause)
	h.cfg.Logger.Info("the engine asked for a pause", slog.Duration("pause", pause))
	return true
}

// pauseRemaining returns how long the engine must not be polled. During a switch it returns zero:
// all ranks of the group may be waiting for the switch.
func (h *Host) pauseRemaining() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.controller != nil && h.controller.SwitchInProgress() {
		return 0
	}
	return time.Until(h.pausedUntil)
}

package rankhost

import (
	"log/slog"
	"time"

	"github.com/lilackeel/lilackeel/fault"
)

// pushedBack notes the pause that an engine has asked for with a rejection, and reports whether
// it has.
func (h *Host) pushedBack(err error) bool {
	if err == nil {
		return false
	}
	pause := fault.From(err).RetryAfter
	if pause <= 0 {
		return false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.quietUntil = time.Now().Add(pause)
	h.cfg.Logger.Info("the engine asked for a pause", slog.Duration("pause", pause))
	return true
}

// quiet is how long the engine is not to be read. What a switch of maps needs goes on: all ranks
// of the group may stand still for it.
func (h *Host) quiet() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder != nil && h.holder.SwitchInProgress() {
		return 0
	}
	return time.Until(h.quietUntil)
}

package rankhost

import (
	"context"
	"log/slog"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
)

// readCounts reads the engine's expert counts, unless they were read less than CountInterval ago.
// The leader asks all ranks at once, so their counts cover the same period.
func (h *Host) readCounts(ctx context.Context) {
	h.mu.Lock()
	controller, due := h.controller, time.Since(h.countsReadAt) >= h.cfg.CountInterval
	if due {
		h.countsReadAt = time.Now()
	}
	h.mu.Unlock()
	if controller == nil || !due || h.pauseRemaining() > 0 {
		return
	}
	callCtx, cancel := context.WithTimeout(ctx, maxReplyWait)
	defer cancel()
	counts, err := h.cfg.Engine.Counts(callCtx)
	h.recordPushback(err)
	if err != nil {
		h.cfg.Logger.Debug("cannot read the expert counts", slog.Any("error", err))
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.controller == controller && counts.Formation == controller.formation && sameEngineStart(counts.Started, h.status.Started) {
		h.expertCounts.Record(counts.toExpertCounts(controller.group))
	}
}

// sameEngineStart reports whether two start times can belong to the same start of the engine. Zero
// means that the engine does not report one.
func sameEngineStart(a, b uint64) bool { return a == 0 || b == 0 || a == b }

// toExpertCounts converts the counts to the form that a tally takes, with all layers flattened into
// one: the engine does not report how many experts a layer has.
func (c Counts) toExpertCounts(group string) engineapi.ExpertCounts {
	return engineapi.ExpertCounts{Run: group, Steps: c.Step, Tokens: [][]uint64{c.Selections}}
}

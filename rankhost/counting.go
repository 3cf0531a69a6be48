package rankhost

import (
	"context"
	"log/slog"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
)

// count reads what the rank's requests have chosen, unless that was done a moment ago.
// The leader asks all ranks at once, so that their counts are of the same time.
func (h *Host) count(ctx context.Context) {
	h.mu.Lock()
	holder, due := h.holder, time.Since(h.countedAt) >= h.cfg.CountInterval
	if due {
		h.countedAt = time.Now()
	}
	h.mu.Unlock()
	if holder == nil || !due || h.quiet() > 0 {
		return
	}
	limited, cancel := context.WithTimeout(ctx, answerWait)
	defer cancel()
	counts, err := h.cfg.Engine.Counts(limited)
	h.pushedBack(err)
	if err != nil {
		h.cfg.Logger.Debug("cannot read the experts' counts", slog.Any("error", err))
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder == holder && counts.Formation == holder.formation && sameStart(counts.Started, h.status.Started) {
		h.counts.Record(counts.experts(holder.group))
	}
}

// sameStart reports whether two answers can be of one start of the engine.
func sameStart(a, b uint64) bool { return a == 0 || b == 0 || a == b }

// experts returns the counts as a tally takes them, with all layers as one: the
// engine does not say how many experts a layer has.
func (c Counts) experts(group string) engineapi.ExpertCounts {
	return engineapi.ExpertCounts{Run: group, Steps: c.Step, Tokens: [][]uint64{c.Chosen}}
}

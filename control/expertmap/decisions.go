package expertmap

import (
	"log/slog"

	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// logDecision logs the outcome of a switch once it has been decided. For an aborted switch it
// also logs the ranks whose answers were missing.
func (d *Driver) logDecision(g *groupState, before, after mapswitch.Record) {
	if before.PendingEpoch == 0 || after.PendingEpoch != 0 {
		return
	}
	if after.Epoch == before.PendingEpoch {
		d.cfg.Logger.Info("expert map switch committed", slog.String("group", g.name), slog.Uint64("epoch", after.Epoch),
			slog.Uint64("step", after.FromStep), slog.Duration("took", d.now()-g.pendingSince), slog.Any("stages", g.phases))
		return
	}
	phase, ranks := g.coordinator.LastAbort()
	d.cfg.Logger.Warn("expert map switch aborted", slog.String("group", g.name), slog.Uint64("epoch", before.PendingEpoch),
		slog.String("waited_for", phase.String()), slog.Any("ranks", ranks), slog.Duration("took", d.now()-g.pendingSince), slog.Any("stages", g.phases))
}

package expertmap

import (
	"log/slog"

	"github.com/lilackeel/lilackeel/group/mapswitch"
)

// logDecision writes one line when a switch has been decided: what came of it and,
// of one that was given up, which ranks' answers the coordinator was waiting for.
func (d *Driver) logDecision(g *groupState, before, after mapswitch.Record) {
	if before.PendingEpoch == 0 || after.PendingEpoch != 0 {
		return
	}
	if after.Epoch == before.PendingEpoch {
		d.cfg.Logger.Info("decided a map switch", slog.String("group", g.name), slog.Uint64("epoch", after.Epoch),
			slog.Uint64("step", after.FromStep), slog.Duration("took", d.now()-g.began), slog.Any("stages", g.stages))
		return
	}
	phase, ranks := g.coordinator.LastAbort()
	d.cfg.Logger.Warn("gave a map switch up", slog.String("group", g.name), slog.Uint64("epoch", before.PendingEpoch),
		slog.String("waited_for", phase.String()), slog.Any("ranks", ranks), slog.Duration("took", d.now()-g.began), slog.Any("stages", g.stages))
}

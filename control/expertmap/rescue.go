package expertmap

import (
	"context"
	"log/slog"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
	"github.com/lilackeel/lilackeel/rankhost"
)

const (
	// rescueAfter is how long a host may leave a call unanswered before its engine is
	// looked at: several times what a call takes, and longer than a late packet.
	rescueAfter = 400 * time.Millisecond
	// rescueEvery is the time between two looks at the engine of a silent rank, which
	// shows an order only some hundred milliseconds later.
	rescueEvery = 400 * time.Millisecond
	// rescueTimeout bounds one look with the order that follows.
	rescueTimeout = time.Second
)

// Rescue lets a Driver act for the hosts of ranks that are silent while their
// engines hold a step, for which the whole group waits.
type Rescue struct {
	// Engine returns the engine of a rank by the id of the rank's record; nil if it
	// cannot be reached without its host.
	Engine func(id string) rankhost.Engine
	// Read reads the record of a group through a quorum, and the fencing token of
	// the coordinator that wrote it last.
	ReadRecord func(ctx context.Context, group string) (*fleetv1.MapRecord, uint64, error)
}

// rescue looks at the engines of a group's silent hosts. They take part in no
// switch, so one that is being prepared is given up: nothing can be done for a host
// while a switch is pending.
func (d *Driver) rescue(ctx context.Context, g *groupState, shape group.Shape, out *outbox) {
	if d.cfg.Rescue.Engine == nil {
		return
	}
	silent := d.silent(g.name, shape)
	if len(silent) == 0 {
		clear(g.rescued)
		return
	}
	d.effects(ctx, g, g.coordinator.Cancel(d.now()), out)
	if g.coordinator.Phase() != mapswitch.PhaseIdle || d.now()-g.rescuedAt < rescueEvery {
		return
	}
	g.rescuedAt = d.now()
	ids := d.rankIDs()
	for _, rank := range silent {
		engine := d.cfg.Rescue.Engine(ids[rankName{g.name, rank}])
		if engine != nil {
			go d.rescueRank(ctx, g.name, rank, engine, !g.rescued[rank])
			g.rescued[rank] = true
		}
	}
}

// silent returns the ranks of a group whose hosts have left calls unanswered.
func (d *Driver) silent(name string, shape group.Shape) []int {
	after := max(rescueAfter, 2*d.pollInterval(name))
	var ranks []int
	for rank := range shape.Ranks {
		addr := d.ranks[rankName{name, rank}]
		if _, known := d.answered[addr]; !known {
			d.answered[addr] = d.now()
		}
		if d.now()-d.answered[addr] > after {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// rankIDs returns the ids of the records of all live ranks.
func (d *Driver) rankIDs() map[rankName]string {
	ids := map[rankName]string{}
	for _, e := range d.cfg.State.Configuration().GetEndpoints() {
		if e.GetGroup() != "" && e.GetLive() {
			ids[rankName{e.GetGroup(), int(e.GetRank())}] = e.GetId()
		}
	}
	return ids
}

// rescueRank gives the engine of one rank the order that its host would give. The
// record is read after the engine's status: see rankhost.Rescue. Only the first look
// of a silence logs that it was in vain.
func (d *Driver) rescueRank(ctx context.Context, name string, rank int, engine rankhost.Engine, first bool) {
	ctx, cancel := context.WithTimeout(ctx, rescueTimeout)
	defer cancel()
	status, err := engine.Status(ctx)
	if err != nil && !first {
		return // logged before
	}
	if err != nil {
		d.cfg.Logger.Info("the engine of a silent host is silent too", "group", name, "rank", rank, "error", err)
		return
	}
	if status.Name() != name || status.Rank != rank {
		return // it has left the formation, of which nothing is known any more
	}
	stored, fence, err := d.cfg.Rescue.ReadRecord(ctx, name)
	if err != nil && !first {
		return // logged before
	}
	if err != nil {
		d.cfg.Logger.Info("no quorum says what is decided for a silent host", "group", name, "rank", rank, "error", err)
		return
	}
	record, err := mapwire.RecordOf(stored, fence)
	if err != nil {
		d.cfg.Logger.Error("the record of an expert map cannot be read", "group", name, "error", err)
		return
	}
	order, ok := rankhost.Rescue(status, record)
	if !ok {
		return
	}
	err = engine.Give(ctx, order) // a conflict if it was done since the status was read
	d.cfg.Logger.Warn("acted for the silent host of a rank", slog.String("group", name), slog.Int("rank", rank),
		slog.String("order", order.Kind.String()), slog.Uint64("version", order.Version), slog.Uint64("step", order.Step), slog.Any("error", err))
}

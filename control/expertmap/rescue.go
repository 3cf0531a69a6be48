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
	// rescueAfter is how long a host may leave calls unanswered before its engine is checked.
	// It is several times the duration of a call and longer than the delay of a late packet.
	rescueAfter = 400 * time.Millisecond
	// rescueInterval is the time between two checks of the engine of an unresponsive host. The
	// engine's status reflects an order only after some hundred milliseconds.
	rescueInterval = 400 * time.Millisecond
	// rescueTimeout bounds one check and the order that follows it.
	rescueTimeout = time.Second
)

// RescueConfig lets a Driver act for unresponsive hosts of ranks whose engines hold a step, because
// the whole group waits for them.
type RescueConfig struct {
	// Engine returns a client for the engine of a rank, by the endpoint ID of the rank; nil if
	// the engine cannot be reached without its host.
	Engine func(id string) rankhost.Engine
	// ReadRecord reads the record of a group through a quorum, with the fencing token of the
	// coordinator that last wrote it.
	ReadRecord func(ctx context.Context, group string) (*fleetv1.MapRecord, uint64, error)
}

// rescue checks the engines of a group's unresponsive hosts. These hosts cannot take part in a
// switch, and while a switch is pending nothing can be done for them, so a switch that is still
// being prepared is cancelled.
func (d *Driver) rescue(ctx context.Context, g *groupState, shape group.Shape, out *outbox) {
	if d.cfg.Rescue.Engine == nil {
		return
	}
	unresponsive := d.unresponsive(g.name, shape)
	if len(unresponsive) == 0 {
		clear(g.rescueTried)
		return
	}
	d.applyEffects(ctx, g, g.coordinator.Cancel(d.now()), out)
	if g.coordinator.Phase() != mapswitch.PhaseIdle || d.now()-g.lastRescue < rescueInterval {
		return
	}
	g.lastRescue = d.now()
	ids := d.endpointIDs()
	for _, rank := range unresponsive {
		engine := d.cfg.Rescue.Engine(ids[rankID{g.name, rank}])
		if engine != nil {
			go d.rescueRank(ctx, g.name, rank, engine, !g.rescueTried[rank])
			g.rescueTried[rank] = true
		}
	}
}

// unresponsive returns the ranks of a group whose hosts have left calls unanswered for too
// long.
func (d *Driver) unresponsive(name string, shape group.Shape) []int {
	timeout := max(rescueAfter, 2*d.pollInterval(name))
	var ranks []int
	for rank := range shape.Ranks {
		addr := d.ranks[rankID{name, rank}]
		if _, known := d.lastAnswer[addr]; !known {
			d.lastAnswer[addr] = d.now()
		}
		if d.now()-d.lastAnswer[addr] > timeout {
			ranks = append(ranks, rank)
		}
	}
	return ranks
}

// endpointIDs returns the endpoint IDs of all live ranks.
func (d *Driver) endpointIDs() map[rankID]string {
	ids := map[rankID]string{}
	for _, e := range d.cfg.State.Configuration().GetEndpoints() {
		if e.GetGroup() != "" && e.GetLive() {
			ids[rankID{e.GetGroup(), int(e.GetRank())}] = e.GetId()
		}
	}
	return ids
}

// rescueRank gives the engine of one rank the order that its host would give. The record must
// be read after the engine's status: see rankhost.RescueOrder. Failures are logged only on the first
// attempt since the host became unresponsive.
func (d *Driver) rescueRank(ctx context.Context, name string, rank int, engine rankhost.Engine, firstAttempt bool) {
	ctx, cancel := context.WithTimeout(ctx, rescueTimeout)
	defer cancel()
	status, err := engine.Status(ctx)
	if err != nil && !firstAttempt {
		return // logged on the first attempt
	}
	if err != nil {
		d.cfg.Logger.Info("the engine of an unresponsive host does not respond either", "group", name, "rank", rank, "error", err)
		return
	}
	if status.FormationName() != name || status.Rank != rank {
		return // it has left the formation, and its present state is unknown
	}
	stored, fence, err := d.cfg.Rescue.ReadRecord(ctx, name)
	if err != nil && !firstAttempt {
		return // logged on the first attempt
	}
	if err != nil {
		d.cfg.Logger.Info("quorum read of the map record for an unresponsive host failed", "group", name, "rank", rank, "error", err)
		return
	}
	record, err := mapwire.RecordOf(stored, fence)
	if err != nil {
		d.cfg.Logger.Error("the record of an expert map cannot be read", "group", name, "error", err)
		return
	}
	order, ok := rankhost.RescueOrder(status, record)
	if !ok {
		return
	}
	err = engine.SendOrder(ctx, order) // returns a conflict if the order was carried out after the status was read
	d.cfg.Logger.Warn("sent an order in place of a rank's unresponsive host", slog.String("group", name), slog.Int("rank", rank),
		slog.String("order", order.Kind.String()), slog.Uint64("version", order.Version), slog.Uint64("step", order.Step), slog.Any("error", err))
}

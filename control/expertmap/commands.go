package expertmap

import (
	"context"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
)

// commit proposes an entry, unless a proposal is in progress; the coordinator then retries.
func (d *Driver) commit(ctx context.Context, g *groupState, entry mapswitch.Entry) {
	if g.committing {
		return
	}
	data, err := d.encodeEntry(g, entry)
	if err != nil {
		d.cfg.Logger.Error("cannot encode a log entry of an expert map switch", "group", g.name, "error", err)
		return
	}
	d.proposeAll(ctx, g, [][]byte{data}, entry.Epoch)
}

// ensureFirstMap commits the first map of a group, in force from step 0, because no rank runs a
// step without a map. It reports whether the group still lacks a map. A first map that an
// earlier leader has begun is committed unchanged.
func (d *Driver) ensureFirstMap(ctx context.Context, g *groupState, shape group.Shape) bool {
	stored := d.cfg.State.MapRecord(g.name)
	decided := stored.GetState() == fleetv1.MapState_MAP_STATE_COMMITTED
	if stored.GetBaseEpoch() > 0 || decided {
		return false
	}
	if g.committing {
		return true
	}
	epoch, first := stored.GetEpoch()+1, mapwire.StoredMap{Map: group.RoundRobin(shape)}.Encode()
	if stored.GetState() == fleetv1.MapState_MAP_STATE_PREPARING {
		epoch, first = stored.GetEpoch(), stored.GetMap()
	}
	begin, err := contract.EncodeMapBegin(d.cfg.LogTime(), g.name, epoch, d.cfg.Token, first)
	if err != nil {
		return true
	}
	decide, err := contract.EncodeMapDecide(d.cfg.LogTime(), g.name, epoch, d.cfg.Token, true, 0)
	if err != nil {
		return true
	}
	d.proposeAll(ctx, g, [][]byte{begin, decide}, epoch)
	return true
}

// proposeAll proposes commands one after another in the background and posts the result to Run.
func (d *Driver) proposeAll(ctx context.Context, g *groupState, commands [][]byte, epoch uint64) {
	g.committing = true
	go func() {
		var stored *fleetv1.MapRecord
		var err error
		for _, data := range commands {
			if stored, err = d.proposeOne(ctx, data); err != nil {
				break
			}
		}
		d.post(ctx, func() { d.proposalDone(ctx, g, stored, epoch, err) })
	}()
}

func (d *Driver) proposeOne(ctx context.Context, data []byte) (*fleetv1.MapRecord, error) {
	applied, err := d.cfg.Log.Propose(ctx, data)
	if err != nil {
		return nil, err
	}
	result, ok := applied.(*contract.Result)
	if !ok {
		return nil, fault.New(fault.Internal, "the log returned no result", "report this as a defect")
	}
	if result.Err != nil {
		return nil, result.Err
	}
	return result.Map, nil
}

// proposalDone handles the result of a proposal.
func (d *Driver) proposalDone(ctx context.Context, g *groupState, stored *fleetv1.MapRecord, epoch uint64, err error) {
	g.committing = false
	if fault.Is(err, fault.Fenced) {
		g.fenced = true
		d.cfg.Logger.Warn("another coordinator has taken over a group", "group", g.name)
		return
	}
	if err != nil {
		d.cfg.Logger.Info("log entry of an expert map switch was not committed", "group", g.name, "error", err)
		return
	}
	g.ownedEpoch = epoch
	out := newOutbox(d.rankAgents())
	d.applyRecord(ctx, g, stored, out)
	d.send(ctx, out)
}

// encodeEntry returns the command for an entry.
func (d *Driver) encodeEntry(g *groupState, entry mapswitch.Entry) ([]byte, error) {
	logTime, token := d.cfg.LogTime(), d.cfg.Token
	switch entry.Kind {
	case mapswitch.EntryBegin:
		record := g.coordinator.Record()
		stored := mapwire.StoredMap{
			Map:            g.proposed,
			BaseFromStep:   record.FromStep,
			PreviousEpoch:  record.PreviousEpoch,
			PreviousDigest: record.PreviousDigest,
		}
		return contract.EncodeMapBegin(logTime, g.name, entry.Epoch, token, stored.Encode())
	case mapswitch.EntryAdopt:
		// Beginning the pending epoch again with a higher token transfers it to this
		// coordinator.
		return contract.EncodeMapBegin(logTime, g.name, entry.Epoch, token, d.cfg.State.MapRecord(g.name).GetMap())
	case mapswitch.EntryCommit:
		return contract.EncodeMapDecide(logTime, g.name, entry.Epoch, token, true, entry.Step)
	case mapswitch.EntryAbort:
		return contract.EncodeMapDecide(logTime, g.name, entry.Epoch, token, false, 0)
	}
	return nil, fault.Newf(fault.Internal, "report this as a defect", "unknown entry %d", entry.Kind)
}

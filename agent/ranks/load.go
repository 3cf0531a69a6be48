package ranks

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/lilackeel/lilackeel/agent/engineapi"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/wait"
)

// loadRetry is the pause after an order to load a map that was not carried out.
const loadRetry = 200 * time.Millisecond

// load gives the engine of a rank the order to load a map, unless the engine has
// it or that order is under way; the lock is held.
func (r *Ranks) load(m mapswitch.Message) {
	machine := r.machines[rankName{m.Group, m.Rank}]
	if slices.Contains(machine.inPlace, engineapi.LoadedMap{Epoch: m.Epoch, Digest: m.Digest}) {
		r.emit(machine.step(r.now(), machine.loaded(m.Epoch, m.Digest)))
		return
	}
	if machine.loading[m.Epoch] {
		return
	}
	machine.loading[m.Epoch] = true
	record := machine.rank.Record()
	order := engineapi.Order{
		Kind:   engineapi.OrderLoadMap,
		Fence:  m.Token,
		Epoch:  m.Epoch,
		Digest: m.Digest,
		Keep:   []uint64{record.PreviousEpoch, record.Epoch, record.PendingEpoch},
	}
	go r.carryOut(machine, machine.rank, order)
}

// carryOut gives the order and reports its outcome to the rank, if the engine is
// still in the run that it was in.
func (r *Ranks) carryOut(m *machine, rank *mapswitch.Rank, order engineapi.Order) {
	err := r.send(r.background, m.member, order)
	if err != nil {
		r.cfg.Logger.Warn("an expert map was not loaded", slog.String("endpoint", m.member.Endpoint),
			slog.Uint64("epoch", order.Epoch), slog.Any("error", err))
		wait.For(r.background, loadRetry)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if m.rank != rank {
		return
	}
	delete(m.loading, order.Epoch)
	switch {
	case err == nil:
		r.emit(m.step(r.now(), m.loaded(order.Epoch, order.Digest)))
	case fault.Is(err, fault.Fenced):
		r.emit(m.step(r.now(), m.fenced(order.Fence+1)))
	}
}

func (r *Ranks) send(ctx context.Context, member Member, order engineapi.Order) error {
	found, err := r.readers[member.Group].mapOf(ctx, order.Epoch, order.Digest)
	if err != nil {
		return err
	}
	order.Map = &engineapi.ExpertMap{
		Layers:       found.Layers,
		Ranks:        found.Ranks,
		SlotsPerRank: found.SlotsPerRank,
		Slots:        found.Slots,
	}
	return r.cfg.Engines.LoadMap(ctx, member.Endpoint, order)
}

// fenced returns the engine's answer that it has seen a higher token.
func (m *machine) fenced(token uint64) mapswitch.Message {
	return mapswitch.Message{
		Kind:  mapswitch.KindFenced,
		Group: m.member.Group,
		Rank:  m.member.Rank,
		Token: token,
	}
}

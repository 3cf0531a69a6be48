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

// loadRetryPause is the pause after an order to load a map has failed.
const loadRetryPause = 200 * time.Millisecond

// loadMap orders the engine of a rank to load a map, unless it has loaded the map or the order is in
// progress. The caller holds the mutex.
func (r *Ranks) loadMap(m mapswitch.Message) {
	driver := r.drivers[rankKey{m.Group, m.Rank}]
	if slices.Contains(driver.loadedMaps, engineapi.LoadedMap{Epoch: m.Epoch, Digest: m.Digest}) {
		r.deliver(driver.step(r.now(), driver.loadedMessage(m.Epoch, m.Digest)))
		return
	}
	if driver.loading[m.Epoch] {
		return
	}
	driver.loading[m.Epoch] = true
	record := driver.rank.Record()
	order := engineapi.Order{
		Kind:   engineapi.OrderLoadMap,
		Fence:  m.Token,
		Epoch:  m.Epoch,
		Digest: m.Digest,
		Keep:   []uint64{record.PreviousEpoch, record.Epoch, record.PendingEpoch},
	}
	go r.executeLoad(driver, driver.rank, order)
}

// executeLoad sends the order and reports its outcome to the rank, unless the engine has restarted in
// the meantime.
func (r *Ranks) executeLoad(d *rankDriver, rank *mapswitch.Rank, order engineapi.Order) {
	err := r.sendOrder(r.background, d.member, order)
	if err != nil {
		r.cfg.Logger.Warn("cannot load an expert map", slog.String("endpoint", d.member.Endpoint),
			slog.Uint64("epoch", order.Epoch), slog.Any("error", err))
		wait.For(r.background, loadRetryPause)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if d.rank != rank {
		return
	}
	delete(d.loading, order.Epoch)
	switch {
	case err == nil:
		r.deliver(d.step(r.now(), d.loadedMessage(order.Epoch, order.Digest)))
	case fault.Is(err, fault.Fenced):
		r.deliver(d.step(r.now(), d.fencedMessage(order.Fence+1)))
	}
}

func (r *Ranks) sendOrder(ctx context.Context, member Member, order engineapi.Order) error {
	found, err := r.readers[member.Group].findMap(ctx, order.Epoch, order.Digest)
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

// fencedMessage returns the message that the engine has rejected an order because of a higher token.
func (d *rankDriver) fencedMessage(token uint64) mapswitch.Message {
	return mapswitch.Message{
		Kind:  mapswitch.KindFenced,
		Group: d.member.Group,
		Rank:  d.member.Rank,
		Token: token,
	}
}

package ranks

import (
	"context"
	"log/slog"
	"time"

	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/group"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
	"github.com/lilackeel/lilackeel/wait"
)

// The pause after a read of a group's record doubles from the least to the most
// while the record stays the same. Decisions are sent to ranks by the
// coordinator as well; a read finds only those that were lost.
const (
	minPause = 20 * time.Millisecond
	maxPause = 500 * time.Millisecond
)

// reader reads the record of one group for all ranks that ask. Its fields are
// guarded by the lock of Ranks.
type reader struct {
	ranks   *Ranks
	group   string
	waiting []mapswitch.Message
	reading bool
	pause   time.Duration
	// record is what was read last.
	record *fleetv1.MapRecord
}

// add puts a rank's request on the list; the lock is held.
func (r *reader) add(m mapswitch.Message) {
	for i := range r.waiting {
		if r.waiting[i].Rank == m.Rank {
			r.waiting[i] = m
			return
		}
	}
	r.waiting = append(r.waiting, m)
	if !r.reading {
		r.reading = true
		go r.run()
	}
}

// run reads until no rank waits. Each read begins after the requests that it
// answers.
func (r *reader) run() {
	for {
		batch := r.take()
		if len(batch) == 0 {
			return
		}
		ctx := r.ranks.background
		record, fence, err := r.ranks.cfg.Control.ReadMap(ctx, r.group)
		if err == nil {
			err = r.answer(batch, record, fence)
		}
		if err != nil {
			r.ranks.cfg.Logger.DebugContext(ctx, "cannot read the record of an expert map", slog.String("group", r.group), slog.Any("error", err))
		}
		wait.For(ctx, r.nextPause(record))
	}
}

func (r *reader) take() []mapswitch.Message {
	r.ranks.mu.Lock()
	defer r.ranks.mu.Unlock()
	batch := r.waiting
	r.waiting = nil
	r.reading = len(batch) > 0
	return batch
}

func (r *reader) answer(batch []mapswitch.Message, stored *fleetv1.MapRecord, fence uint64) error {
	record, err := mapwire.RecordOf(stored, fence)
	if err != nil {
		return err
	}
	r.ranks.mu.Lock()
	defer r.ranks.mu.Unlock()
	for _, m := range batch {
		machine := r.ranks.machines[rankName{m.Group, m.Rank}]
		r.ranks.emit(machine.step(r.ranks.now(), mapswitch.AnswerRead(m, record, true)))
	}
	return nil
}

func (r *reader) nextPause(read *fleetv1.MapRecord) time.Duration {
	r.ranks.mu.Lock()
	defer r.ranks.mu.Unlock()
	if read.GetEpoch() != r.record.GetEpoch() || read.GetState() != r.record.GetState() {
		r.pause = minPause
	}
	if read != nil {
		r.record = read
	}
	pause := r.pause
	r.pause = min(2*r.pause, maxPause)
	return pause
}

// mapOf returns the map of an epoch as the last record read names it, or as a
// new reading does.
func (r *reader) mapOf(ctx context.Context, epoch, digest uint64) (group.Map, error) {
	r.ranks.mu.Lock()
	record := r.record
	r.ranks.mu.Unlock()
	if found, ok := mapwire.FindMap(record, epoch, digest); ok {
		return found, nil
	}
	record, _, err := r.ranks.cfg.Control.ReadMap(ctx, r.group)
	if err != nil {
		return group.Map{}, err
	}
	r.ranks.mu.Lock()
	r.record = record
	r.ranks.mu.Unlock()
	if found, ok := mapwire.FindMap(record, epoch, digest); ok {
		return found, nil
	}
	return group.Map{}, fault.Newf(fault.NotFound, "wait for the next decision on the group's map",
		"the record of group %s has no map of epoch %d", r.group, epoch)
}

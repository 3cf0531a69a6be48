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

// The interval between reads of a group's record doubles from the minimum to the maximum while the
// record does not change. The coordinator also sends its decisions to the ranks, so a read only finds
// those whose messages were lost.
const (
	minReadInterval = 20 * time.Millisecond
	maxReadInterval = 500 * time.Millisecond
)

// recordReader reads the record of one group for all ranks that request it. Its fields are guarded by
// the mutex of Ranks.
type recordReader struct {
	ranks *Ranks
	group string
	// waiting holds the request of each rank that waits for a read.
	waiting  []mapswitch.Message
	reading  bool
	interval time.Duration
	// record is the record that was read last.
	record *fleetv1.MapRecord
}

// enqueue adds a rank's request, or replaces the one that is waiting, and starts run if it is not
// running. The caller holds the mutex.
func (r *recordReader) enqueue(m mapswitch.Message) {
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

// run reads the record until no rank waits. Each read starts after the requests that it answers were
// queued, so that its result is not older than they are.
func (r *recordReader) run() {
	for {
		batch := r.takeBatch()
		if len(batch) == 0 {
			return
		}
		ctx := r.ranks.background
		record, fence, err := r.ranks.cfg.Control.ReadMap(ctx, r.group)
		if err == nil {
			err = r.deliverRecord(batch, record, fence)
		}
		if err != nil {
			r.ranks.cfg.Logger.DebugContext(ctx, "cannot read the record of an expert map", slog.String("group", r.group), slog.Any("error", err))
		}
		wait.For(ctx, r.nextInterval(record))
	}
}

func (r *recordReader) takeBatch() []mapswitch.Message {
	r.ranks.mu.Lock()
	defer r.ranks.mu.Unlock()
	batch := r.waiting
	r.waiting = nil
	r.reading = len(batch) > 0
	return batch
}

func (r *recordReader) deliverRecord(batch []mapswitch.Message, stored *fleetv1.MapRecord, fence uint64) error {
	record, err := mapwire.RecordOf(stored, fence)
	if err != nil {
		return err
	}
	r.ranks.mu.Lock()
	defer r.ranks.mu.Unlock()
	for _, m := range batch {
		driver := r.ranks.drivers[rankKey{m.Group, m.Rank}]
		r.ranks.deliver(driver.step(r.ranks.now(), mapswitch.AnswerRead(m, record, true)))
	}
	return nil
}

func (r *recordReader) nextInterval(read *fleetv1.MapRecord) time.Duration {
	r.ranks.mu.Lock()
	defer r.ranks.mu.Unlock()
	if read.GetEpoch() != r.record.GetEpoch() || read.GetState() != r.record.GetState() {
		r.interval = minReadInterval
	}
	if read != nil {
		r.record = read
	}
	pause := r.interval
	r.interval = min(2*r.interval, maxReadInterval)
	return pause
}

// findMap returns the map of an epoch from the record that was read last, or else from a new read.
func (r *recordReader) findMap(ctx context.Context, epoch, digest uint64) (group.Map, error) {
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
	return group.Map{}, fault.Newf(fault.NotFound, "wait for the next decision about the group's expert map",
		"the record of group %s contains no map of epoch %d", r.group, epoch)
}

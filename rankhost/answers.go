package rankhost

import (
	"context"
	"log/slog"
	"time"

	"github.com/lilackeel/lilackeel/agent/tally"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/group/mapswitch"
	"github.com/lilackeel/lilackeel/group/mapwire"
)

// Group hands the coordinator's messages to the rank and returns its answers and
// what else it has for the coordinator.
func (h *Host) Group(ctx context.Context, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	filled, err := h.take(ctx, request)
	if err != nil {
		return nil, err
	}
	if filled != nil {
		h.await(ctx, filled)
	}
	if !request.GetWithoutLoads() {
		h.count(ctx)
	}
	return h.response(!request.GetWithoutLoads()), nil
}

// take hands messages to the rank. It returns a channel that closes with the next
// answer if there is none yet.
func (h *Host) take(ctx context.Context, request *agentv1.GroupRequest) (filled <-chan struct{}, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.holder == nil || len(request.GetMessages()) == 0 {
		return nil, nil
	}
	for _, change := range request.GetMaps() {
		h.learn(change)
	}
	for _, message := range request.GetMessages() {
		m, err := mapwire.FromProto(message)
		if err != nil {
			return nil, err
		}
		if m.Kind.Destination() == mapswitch.ToRank {
			h.emit(context.WithoutCancel(ctx), h.holder.Step(h.now(), m))
		}
	}
	h.wakeUp()
	if len(h.outbox) > 0 {
		return nil, nil
	}
	return h.filled, nil
}

// await waits a moment for an answer.
func (h *Host) await(ctx context.Context, filled <-chan struct{}) {
	timer := time.NewTimer(answerWait)
	defer timer.Stop()
	select {
	case <-filled:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// learn takes in a map that the leader tells by what it changes; the lock is held. One
// that cannot be made out is read from the control replicas when it is needed.
func (h *Host) learn(change *agentv1.MapChange) {
	if change.GetGroup() != h.holder.Group() {
		return
	}
	if err := h.holder.Changed(change); err != nil {
		h.cfg.Logger.Info("cannot make out the change of an expert map", slog.Uint64("epoch", change.GetEpoch()), slog.Any("error", err))
	}
}

// response is what there is for the coordinator now.
func (h *Host) response(loads bool) *agentv1.GroupResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	response := &agentv1.GroupResponse{}
	if h.holder == nil {
		return response
	}
	for kind, m := range h.outbox {
		response.Messages = append(response.Messages, mapwire.ToProto(m))
		delete(h.outbox, kind)
	}
	if !loads {
		return response
	}
	response.Loads = h.counts.Take(h.holder.Group(), h.holder.number)
	for _, load := range response.Loads {
		load.Layer = tally.AllLayers
	}
	return response
}

// emit passes on what the holder asks for; the lock is held.
func (h *Host) emit(ctx context.Context, messages []mapswitch.Message) {
	for _, m := range messages {
		switch m.Kind.Destination() {
		case mapswitch.ToCoordinator:
			h.outbox[m.Kind] = m
			close(h.filled)
			h.filled = make(chan struct{})
		case mapswitch.ToControl:
			h.readRecord(ctx, m)
		}
	}
	if epoch, digest, ok := h.holder.Needs(); ok {
		h.fetchMap(ctx, epoch, digest)
	}
}

// readRecord reads the group's record for the holder, one reading at a time; the
// lock is held.
func (h *Host) readRecord(ctx context.Context, m mapswitch.Message) {
	if h.reading {
		return
	}
	h.reading = true
	holder := h.holder
	go func() {
		stored, fence, err := h.cfg.Control.ReadMap(ctx, m.Group)
		record, malformed := mapwire.RecordOf(stored, fence)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.reading = false
		if err != nil || malformed != nil {
			h.cfg.Logger.Debug("cannot read the record of an expert map", slog.Any("error", err), slog.Any("malformed", malformed))
			return
		}
		if h.holder == holder {
			h.emit(ctx, holder.Step(h.now(), mapswitch.AnswerRead(m, record, true)))
			h.wakeUp()
		}
	}()
}

// fetchMap reads a map that has to be prepared; the lock is held.
func (h *Host) fetchMap(ctx context.Context, epoch, digest uint64) {
	if h.fetching {
		return
	}
	h.fetching = true
	holder := h.holder
	go func() {
		stored, _, err := h.cfg.Control.ReadMap(ctx, holder.Group())
		found, ok := mapwire.FindMap(stored, epoch, digest)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.fetching = false
		if err != nil || !ok {
			h.cfg.Logger.Info("cannot read an expert map yet", slog.Uint64("epoch", epoch), slog.Any("error", err))
			return
		}
		holder.Fetched(epoch, found)
		h.wakeUp()
	}()
}

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

// Group delivers the coordinator's messages to the rank and returns the rank's replies, together
// with its expert counts unless the request excludes them.
func (h *Host) Group(ctx context.Context, request *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	outboxFilled, err := h.handleMessages(ctx, request)
	if err != nil {
		return nil, err
	}
	if outboxFilled != nil {
		h.waitForReply(ctx, outboxFilled)
	}
	if !request.GetWithoutLoads() {
		h.readCounts(ctx)
	}
	return h.buildResponse(!request.GetWithoutLoads()), nil
}

// handleMessages delivers messages to the rank's controller. If this produces no reply at once, it
// returns a channel that is closed when the next reply is queued.
func (h *Host) handleMessages(ctx context.Context, request *agentv1.GroupRequest) (outboxFilled <-chan struct{}, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.controller == nil || len(request.GetMessages()) == 0 {
		return nil, nil
	}
	for _, change := range request.GetMaps() {
		h.applyMapChange(change)
	}
	for _, message := range request.GetMessages() {
		m, err := mapwire.FromProto(message)
		if err != nil {
			return nil, err
		}
		if m.Kind.Destination() == mapswitch.ToRank {
			h.dispatch(context.WithoutCancel(ctx), h.controller.Step(h.now(), m))
		}
	}
	h.wakeUp()
	if len(h.outbox) > 0 {
		return nil, nil
	}
	return h.outboxFilled, nil
}

// waitForReply waits until a reply is queued, for at most maxReplyWait.
func (h *Host) waitForReply(ctx context.Context, outboxFilled <-chan struct{}) {
	timer := time.NewTimer(maxReplyWait)
	defer timer.Stop()
	select {
	case <-outboxFilled:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// applyMapChange passes a map that the leader sends as a change of an earlier one to the
// controller. A map whose change cannot be applied is read from the control replicas when it is
// needed. The caller must hold the lock.
func (h *Host) applyMapChange(change *agentv1.MapChange) {
	if change.GetGroup() != h.controller.Group() {
		return
	}
	if err := h.controller.ApplyChange(change); err != nil {
		h.cfg.Logger.Info("cannot apply the change of an expert map", slog.Uint64("epoch", change.GetEpoch()), slog.Any("error", err))
	}
}

// buildResponse returns the queued messages for the coordinator and, with includeLoads, the expert
// counts since the last response.
func (h *Host) buildResponse(includeLoads bool) *agentv1.GroupResponse {
	h.mu.Lock()
	defer h.mu.Unlock()
	response := &agentv1.GroupResponse{}
	if h.controller == nil {
		return response
	}
	for kind, m := range h.outbox {
		response.Messages = append(response.Messages, mapwire.ToProto(m))
		delete(h.outbox, kind)
	}
	if !includeLoads {
		return response
	}
	response.Loads = h.expertCounts.Take(h.controller.Group(), h.controller.rankNumber)
	for _, load := range response.Loads {
		load.Layer = tally.AllLayers
	}
	h.addSlowdown(response.Loads)
	return response
}

// dispatch queues messages for the coordinator, and starts the reads from the control replicas that
// the controller needs. The caller must hold the lock.
func (h *Host) dispatch(ctx context.Context, messages []mapswitch.Message) {
	for _, m := range messages {
		switch m.Kind.Destination() {
		case mapswitch.ToCoordinator:
			h.outbox[m.Kind] = m
			close(h.outboxFilled)
			h.outboxFilled = make(chan struct{})
		case mapswitch.ToControl:
			h.readRecord(ctx, m)
		}
	}
	if epoch, digest, ok := h.controller.MissingMap(); ok {
		h.fetchMap(ctx, epoch, digest)
	}
}

// readRecord reads the group's record for the controller in the background, one read at a time. The
// caller must hold the lock.
func (h *Host) readRecord(ctx context.Context, m mapswitch.Message) {
	if h.readingRecord {
		return
	}
	h.readingRecord = true
	controller := h.controller
	go func() {
		stored, fence, err := h.cfg.MapReader.ReadMap(ctx, m.Group)
		record, malformed := mapwire.RecordOf(stored, fence)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.readingRecord = false
		if err != nil || malformed != nil {
			h.cfg.Logger.Debug("cannot read the record of an expert map", slog.Any("error", err), slog.Any("malformed", malformed))
			return
		}
		if h.controller == controller {
			h.dispatch(ctx, controller.Step(h.now(), mapswitch.AnswerRead(m, record, true)))
			h.wakeUp()
		}
	}()
}

// fetchMap reads a map that is to be prepared, in the background, one read at a time. The caller
// must hold the lock.
func (h *Host) fetchMap(ctx context.Context, epoch, digest uint64) {
	if h.fetchingMap {
		return
	}
	h.fetchingMap = true
	controller := h.controller
	go func() {
		stored, _, err := h.cfg.MapReader.ReadMap(ctx, controller.Group())
		found, ok := mapwire.FindMap(stored, epoch, digest)
		h.mu.Lock()
		defer h.mu.Unlock()
		h.fetchingMap = false
		if err != nil || !ok {
			h.cfg.Logger.Info("cannot read the expert map to prepare", slog.Uint64("epoch", epoch), slog.Any("error", err))
			return
		}
		controller.AddMap(epoch, found)
		h.wakeUp()
	}()
}

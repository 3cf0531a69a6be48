package control

import (
	"context"
	"slices"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
)

// announce handles one announcement. Only announcements that change the state go through the
// log; renewing a lease updates the leader's memory only. Concurrent announcements that change
// the state share one sync of the log.
func (l *leadership) announce(ctx context.Context, request *controlv1.AnnounceRequest) (*controlv1.AnnounceResponse, error) {
	request = l.completeWithdrawal(request)
	ref := contract.AgentRef{Name: request.GetAgent(), Incarnation: request.GetIncarnation()}
	if l.outOfOrder(ref, request.GetSeq()) {
		return l.announceResponse(true), nil
	}
	known, err := l.register(ctx, ref, request)
	if err != nil {
		return nil, err
	}
	if known {
		l.renew(ref)
		l.recordInFlight(request.GetInFlight())
		if err := l.recordDrained(ctx, ref, request.GetDrained()); err != nil {
			return nil, err
		}
	}
	return l.announceResponse(known), nil
}

// announceResponse returns the response to an announcement.
func (l *leadership) announceResponse(known bool) *controlv1.AnnounceResponse {
	lease, interval := l.leaseTimes()
	return &controlv1.AnnounceResponse{
		LeaseMs:  lease.Milliseconds(),
		RenewMs:  interval.Milliseconds(),
		SendFull: !known,
		Revision: l.state.Revision(),
		Fence:    l.state.Fence(),
	}
}

// completeWithdrawal fills in the last announcement of an endpoint that announces itself, which
// states only that the endpoint is leaving.
func (l *leadership) completeWithdrawal(request *controlv1.AnnounceRequest) *controlv1.AnnounceRequest {
	if request.GetFull() || !request.GetStopping() || request.GetAddr() != "" {
		return request
	}
	known := l.state.Endpoint(request.GetAgent())
	if known == nil || known.GetAgent() != request.GetAgent() {
		return request
	}
	incarnation := request.GetIncarnation()
	if incarnation == 0 {
		incarnation = known.GetIncarnation()
	}
	return &controlv1.AnnounceRequest{
		Agent: request.GetAgent(), Incarnation: incarnation, Seq: request.GetSeq(),
		Host: known.GetHost(), Zone: known.GetZone(), Region: known.GetRegion(),
		Endpoints: []*fleetv1.Endpoint{known}, Full: true, Stopping: true,
	}
}

// outOfOrder reports whether a later announcement of the same incarnation has arrived before
// this one. A new leader cannot tell, but the log then already records that the endpoint is
// leaving.
func (l *leadership) outOfOrder(ref contract.AgentRef, seq uint64) bool {
	if seq == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if seq < l.lastSeq[ref] {
		return true
	}
	l.lastSeq[ref] = seq
	return false
}

// register applies a full announcement to the state. It reports whether the state has this
// incarnation as live.
func (l *leadership) register(ctx context.Context, ref contract.AgentRef, request *controlv1.AnnounceRequest) (known bool, err error) {
	if !request.GetFull() {
		agent, ok := l.state.Agent(ref.Name)
		return ok && agent.Live && agent.AgentRef == ref, nil
	}
	changes, refused, err := l.state.AnnounceChanges(request)
	if err != nil {
		return false, err
	}
	if changes {
		data, err := contract.EncodeAnnounce(l.logTime(), request)
		result, err := propose(ctx, l.log, data, err)
		if err != nil {
			return false, err
		}
		refused = result.Refused
	}
	for _, refusal := range refused {
		l.logger.Warn("refused an announced endpoint", "agent", ref.Name, "error", refusal)
	}
	return true, nil
}

// recordDrained records the leaving endpoints that have finished all their requests.
func (l *leadership) recordDrained(ctx context.Context, ref contract.AgentRef, endpoints []string) error {
	if len(endpoints) == 0 {
		return nil
	}
	var finished []string
	for _, drain := range l.state.Draining() {
		if drain.Agent == ref && slices.Contains(endpoints, drain.Endpoint) {
			finished = append(finished, drain.Endpoint)
		}
	}
	if len(finished) == 0 {
		return nil
	}
	data, err := contract.EncodeDrained(l.logTime(), ref, finished...)
	_, err = propose(ctx, l.log, data, err)
	return err
}

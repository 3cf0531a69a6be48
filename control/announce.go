package control

import (
	"context"
	"slices"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
)

// announce handles one announcement. Only announcements that change the state go through the
// log; renewing a lease updates the leader's memory only. Concurrent announcements that change
// the state share one sync of the log.
func (l *leadership) announce(ctx context.Context, request *controlv1.AnnounceRequest) (*controlv1.AnnounceResponse, error) {
	if isWithdrawal(request) {
		return l.withdraw(ctx, request)
	}
	return l.handleAnnouncement(ctx, request)
}

// handleAnnouncement handles an announcement other than a withdrawal.
func (l *leadership) handleAnnouncement(ctx context.Context, request *controlv1.AnnounceRequest) (*controlv1.AnnounceResponse, error) {
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

// isWithdrawal reports whether a request is the last announcement of an endpoint that announces
// itself, which states only that the endpoint is leaving.
func isWithdrawal(request *controlv1.AnnounceRequest) bool {
	return request.GetStopping() && !request.GetFull() && request.GetAddr() == ""
}

// withdraw handles a withdrawal. It is recorded before it is confirmed, also if no announcement
// of the endpoint has arrived yet: one may still be under way.
func (l *leadership) withdraw(ctx context.Context, request *controlv1.AnnounceRequest) (*controlv1.AnnounceResponse, error) {
	known := l.state.Endpoint(request.GetAgent())
	switch agent := known.GetAgent(); {
	case agent == "":
		return l.withdrawUnannounced(ctx, contract.AgentRef{Name: request.GetAgent(), Incarnation: request.GetIncarnation()})
	case agent != request.GetAgent():
		return nil, fault.Newf(fault.Conflict, "stop the agent, or set the endpoint leaving by an intent",
			"endpoint %s does not announce itself; agent %s does", request.GetAgent(), agent)
	}
	incarnation := request.GetIncarnation()
	if incarnation == 0 {
		incarnation = known.GetIncarnation()
	}
	return l.handleAnnouncement(ctx, &controlv1.AnnounceRequest{
		Agent: request.GetAgent(), Incarnation: incarnation, Seq: request.GetSeq(),
		Host: known.GetHost(), Zone: known.GetZone(), Region: known.GetRegion(),
		Endpoints: []*fleetv1.Endpoint{known}, Full: true, Stopping: true,
	})
}

// withdrawUnannounced records the withdrawal of an endpoint that is not announced.
func (l *leadership) withdrawUnannounced(ctx context.Context, endpoint contract.AgentRef) (*controlv1.AnnounceResponse, error) {
	if !l.state.Withdrawn(endpoint) {
		data, err := contract.EncodeWithdraw(l.logTime(), endpoint)
		if _, err := propose(ctx, l.log, data, err); err != nil {
			return nil, err
		}
		l.logger.Info("an endpoint withdrew before it was announced", "endpoint", endpoint.Name, "incarnation", endpoint.Incarnation)
	}
	return l.announceResponse(true), nil
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

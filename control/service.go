package control

import (
	"context"
	"time"

	"google.golang.org/grpc/metadata"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/link"
)

// decideTimeout bounds a call to the leader for which the caller has set no deadline.
const decideTimeout = 10 * time.Second

// leadershipSource provides the current leadership of this replica.
type leadershipSource interface {
	// current returns the leadership of the term that this replica leads, or nil while it does
	// not lead or is not yet ready to decide.
	current() *leadership
}

// service implements the Control service. Calls that change the state are decided by the
// leadership of the term; a replica that does not lead forwards them once. Read-only calls are
// answered by any replica after a quorum read.
type service struct {
	controlv1.UnimplementedControlServer
	log        Log
	state      *contract.State
	leadership leadershipSource
	pool       *link.Pool
	members    membershipService
	status     *statusCollector
	feedSource *feedSource
	// zones are the configured availability zones; empty if they are not configured.
	zones []string
}

// Plan implements controlv1.ControlServer.
func (s *service) Plan(ctx context.Context, request *controlv1.PlanRequest) (*controlv1.PlanResponse, error) {
	return decide(ctx, s, request, controlv1.ControlClient.Plan, func(ctx context.Context, l *leadership) (*controlv1.PlanResponse, error) {
		data, err := contract.EncodePlan(l.logTime(), request.GetIntent())
		result, err := propose(ctx, s.log, data, err)
		if err != nil {
			return nil, err
		}
		return &controlv1.PlanResponse{Plan: result.Plan}, nil
	})
}

// Confirm implements controlv1.ControlServer.
func (s *service) Confirm(ctx context.Context, request *controlv1.ConfirmRequest) (*controlv1.ConfirmResponse, error) {
	return decide(ctx, s, request, controlv1.ControlClient.Confirm, func(ctx context.Context, l *leadership) (*controlv1.ConfirmResponse, error) {
		data, err := contract.EncodeConfirm(l.logTime(), request)
		result, err := propose(ctx, s.log, data, err)
		if err != nil {
			return nil, err
		}
		return &controlv1.ConfirmResponse{Revision: result.Revision}, nil
	})
}

// Cancel implements controlv1.ControlServer.
func (s *service) Cancel(ctx context.Context, request *controlv1.CancelRequest) (*controlv1.CancelResponse, error) {
	return decide(ctx, s, request, controlv1.ControlClient.Cancel, func(ctx context.Context, l *leadership) (*controlv1.CancelResponse, error) {
		data, err := contract.EncodeCancel(l.logTime(), request)
		if _, err = propose(ctx, s.log, data, err); err != nil {
			return nil, err
		}
		return &controlv1.CancelResponse{}, nil
	})
}

// Announce implements controlv1.ControlServer.
func (s *service) Announce(ctx context.Context, request *controlv1.AnnounceRequest) (*controlv1.AnnounceResponse, error) {
	c := leaderCall[controlv1.AnnounceRequest, controlv1.AnnounceResponse]{
		service: s,
		request: request,
		local: func(ctx context.Context, l *leadership) (*controlv1.AnnounceResponse, error) {
			return l.announce(ctx, request)
		},
		remote: controlv1.ControlClient.Announce,
		// Agents are redirected to the leader. An endpoint that announces itself does not look
		// for the leader, so its call is forwarded.
		redirect: request.GetAddr() != "",
	}
	response, err := c.run(ctx)
	if err == nil && s.feedSource != nil {
		response.Replicas = s.feedSource.Replicas()
	}
	return response, err
}

// Publish implements controlv1.ControlServer.
func (s *service) Publish(ctx context.Context, request *controlv1.PublishRequest) (*controlv1.PublishResponse, error) {
	if err := contract.ValidateSite(request.GetSite()); err != nil {
		return nil, err
	}
	return decide(ctx, s, request, controlv1.ControlClient.Publish, func(ctx context.Context, l *leadership) (*controlv1.PublishResponse, error) {
		return l.publish(ctx, request.GetSite())
	})
}

// GetSite implements controlv1.ControlServer.
func (s *service) GetSite(ctx context.Context, _ *controlv1.GetSiteRequest) (*controlv1.GetSiteResponse, error) {
	if _, err := s.log.ReadIndex(ctx); err != nil {
		return nil, err
	}
	return &controlv1.GetSiteResponse{Site: s.state.Site()}, nil
}

// Claim implements controlv1.ControlServer.
func (s *service) Claim(ctx context.Context, request *controlv1.ClaimRequest) (*controlv1.ClaimResponse, error) {
	return decide(ctx, s, request, controlv1.ControlClient.Claim, func(ctx context.Context, l *leadership) (*controlv1.ClaimResponse, error) {
		data, err := contract.EncodeClaim(l.logTime(), request)
		result, err := propose(ctx, s.log, data, err)
		if err != nil {
			return nil, err
		}
		return &controlv1.ClaimResponse{Granted: result.Granted, Claim: result.Claim}, nil
	})
}

// Settle implements controlv1.ControlServer.
func (s *service) Settle(ctx context.Context, request *controlv1.SettleRequest) (*controlv1.SettleResponse, error) {
	return decide(ctx, s, request, controlv1.ControlClient.Settle, func(ctx context.Context, l *leadership) (*controlv1.SettleResponse, error) {
		data, err := contract.EncodeSettle(l.logTime(), request)
		result, err := propose(ctx, s.log, data, err)
		if err != nil {
			return nil, err
		}
		return &controlv1.SettleResponse{Claim: result.Claim}, nil
	})
}

// History implements controlv1.ControlServer.
func (s *service) History(ctx context.Context, request *controlv1.HistoryRequest) (*controlv1.HistoryResponse, error) {
	if _, err := s.log.ReadIndex(ctx); err != nil {
		return nil, err
	}
	entries := s.state.History(int(request.GetLimit()), request.GetIntentId())
	return &controlv1.HistoryResponse{Entries: entries}, nil
}

// GetConfiguration implements controlv1.ControlServer.
func (s *service) GetConfiguration(ctx context.Context, _ *controlv1.GetConfigurationRequest) (*controlv1.GetConfigurationResponse, error) {
	if _, err := s.log.ReadIndex(ctx); err != nil {
		return nil, err
	}
	return &controlv1.GetConfigurationResponse{Configuration: s.state.Configuration()}, nil
}

// ReadMap implements controlv1.ControlServer.
func (s *service) ReadMap(ctx context.Context, request *controlv1.ReadMapRequest) (*controlv1.ReadMapResponse, error) {
	if _, err := s.log.ReadIndex(ctx); err != nil {
		return nil, err
	}
	record, fence := s.state.FencedMapRecord(request.GetGroup())
	return &controlv1.ReadMapResponse{Record: record, Fence: fence}, nil
}

// ReadFence implements controlv1.ControlServer.
func (s *service) ReadFence(ctx context.Context, _ *controlv1.ReadFenceRequest) (*controlv1.ReadFenceResponse, error) {
	if _, err := s.log.ReadIndex(ctx); err != nil {
		return nil, err
	}
	return &controlv1.ReadFenceResponse{Fence: s.state.Fence()}, nil
}

// Members implements controlv1.ControlServer.
func (s *service) Members(ctx context.Context, request *controlv1.MembersRequest) (*controlv1.MembersResponse, error) {
	c := leaderCall[controlv1.MembersRequest, controlv1.MembersResponse]{
		service: s,
		request: request,
		remote:  controlv1.ControlClient.Members,
		local: func(ctx context.Context, _ *leadership) (*controlv1.MembersResponse, error) {
			return s.members.change(ctx, request)
		},
		atMostOnce: true,
	}
	return c.run(ctx)
}

// Status implements controlv1.ControlServer. The leader's view is the most complete, so a
// replica that does not lead asks the leader first and answers itself only if the leader cannot
// be reached.
func (s *service) Status(ctx context.Context, request *controlv1.StatusRequest) (*controlv1.StatusResponse, error) {
	if s.leadership.current() == nil && !hasMetadata(ctx, localKey) && !hasMetadata(ctx, forwardedKey) {
		if response, err := s.leaderStatus(ctx, request); err == nil {
			return response, nil
		}
	}
	return s.status.status(ctx, s.leadership.current()), nil
}

func (s *service) leaderStatus(ctx context.Context, request *controlv1.StatusRequest) (*controlv1.StatusResponse, error) {
	id, addr, _, self := s.log.Leader()
	if id == 0 || self {
		return nil, notLeading(s.log)
	}
	conn, err := s.pool.Get(addr)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(metadata.AppendToOutgoingContext(ctx, forwardedKey, metadataSet), 2*statusTimeout)
	defer cancel()
	return controlv1.NewControlClient(conn).Status(ctx, request)
}

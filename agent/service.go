package agent

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"github.com/lilackeel/lilackeel/agent/ranks"
	agentv1 "github.com/lilackeel/lilackeel/api/agent/v1"
	"github.com/lilackeel/lilackeel/sharing"
)

// Limits and default of the interval between reports.
const (
	minReportInterval     = 20 * time.Millisecond
	maxReportInterval     = 10 * time.Second
	defaultReportInterval = 250 * time.Millisecond
)

// service is the gRPC service of the agent.
type service struct {
	agentv1.UnimplementedAgentServer
	lockedGate   *lockedGate
	dispatcher   *dispatcher
	orderer      *orderer
	reportBuffer *reportBuffer
	ranks        *ranks.Ranks
	// drained is closed when a planned stop has waited for the calls in flight.
	drained chan struct{}
	// sharingHost holds the data that entries share through this host.
	sharingHost *sharing.Host
}

// PublishCrashReports implements agentv1.AgentServer.
func (s *service) PublishCrashReports(_ context.Context, r *agentv1.PublishCrashReportsRequest) (*agentv1.PublishCrashReportsResponse, error) {
	s.sharingHost.PublishCrashReports(r)
	return &agentv1.PublishCrashReportsResponse{}, nil
}

// PublishSuspicions implements agentv1.AgentServer.
func (s *service) PublishSuspicions(_ context.Context, r *agentv1.PublishSuspicionsRequest) (*agentv1.PublishSuspicionsResponse, error) {
	s.sharingHost.PublishSuspicions(r)
	return &agentv1.PublishSuspicionsResponse{}, nil
}

// PublishDemand implements agentv1.AgentServer.
func (s *service) PublishDemand(_ context.Context, r *agentv1.PublishDemandRequest) (*agentv1.PublishDemandResponse, error) {
	return s.sharingHost.PublishDemand(r), nil
}

// Permit implements agentv1.AgentServer.
func (s *service) Permit(_ context.Context, r *agentv1.PermitRequest) (*agentv1.PermitResponse, error) {
	return s.sharingHost.Permit(r), nil
}

func newService(g *lockedGate, p *dispatcher, o *orderer, b *reportBuffer, r *ranks.Ranks) *service {
	return &service{lockedGate: g, dispatcher: p, orderer: o, reportBuffer: b, ranks: r, drained: make(chan struct{}), sharingHost: sharing.NewHost(g.clock.now, g.rateLimits())}
}

// Dispatch implements agentv1.AgentServer.
func (s *service) Dispatch(d *agentv1.DispatchRequest, stream grpc.ServerStreamingServer[agentv1.DispatchResponse]) error {
	return s.dispatcher.dispatch(d, stream)
}

// Revoke implements agentv1.AgentServer.
func (s *service) Revoke(_ context.Context, r *agentv1.RevokeRequest) (*agentv1.RevokeResponse, error) {
	return s.lockedGate.revoke(r), nil
}

// Order implements agentv1.AgentServer.
func (s *service) Order(ctx context.Context, o *agentv1.OrderRequest) (*agentv1.OrderResponse, error) {
	return s.orderer.order(ctx, o)
}

// Group implements agentv1.AgentServer.
func (s *service) Group(_ context.Context, r *agentv1.GroupRequest) (*agentv1.GroupResponse, error) {
	return s.ranks.Group(r)
}

// Reports implements agentv1.AgentServer. The stream ends when the reader disconnects or the agent has
// drained.
func (s *service) Reports(r *agentv1.ReportsRequest, stream grpc.ServerStreamingServer[agentv1.Report]) error {
	ticker := time.NewTicker(reportInterval(r))
	defer ticker.Stop()
	reader := s.sharingHost.NewReader(r)
	var read position
	for {
		report, next := s.reportBuffer.report(read, time.Now())
		read = next
		report.Incarnation = s.lockedGate.incarnation()
		report.TicketNs = s.lockedGate.ticket()
		reader.Fill(report)
		if err := stream.Send(report); err != nil {
			return err
		}
		select {
		case <-ticker.C:
		case <-stream.Context().Done():
			return stream.Context().Err()
		case <-s.drained:
			return nil
		}
	}
}

func reportInterval(r *agentv1.ReportsRequest) time.Duration {
	if r.GetIntervalMs() <= 0 {
		return defaultReportInterval
	}
	requested := time.Duration(min(r.GetIntervalMs(), maxReportInterval.Milliseconds())) * time.Millisecond
	return max(requested, minReportInterval)
}

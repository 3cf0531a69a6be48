package control

import (
	"context"
	"log/slog"
	"slices"
	"strings"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	"github.com/lilackeel/lilackeel/contract"
	"github.com/lilackeel/lilackeel/fault"
)

// EvacuateZone implements controlv1.ControlServer.
func (s *service) EvacuateZone(ctx context.Context, request *controlv1.EvacuateZoneRequest) (*controlv1.EvacuateZoneResponse, error) {
	return decide(ctx, s, request, controlv1.ControlClient.EvacuateZone, func(ctx context.Context, l *leadership) (*controlv1.EvacuateZoneResponse, error) {
		if err := s.checkZone(request.GetZone()); err != nil {
			return nil, err
		}
		return l.evacuateZone(ctx, request)
	})
}

// checkZone refuses a zone that is neither among the configured zones nor known from an
// announcement.
func (s *service) checkZone(zone string) error {
	if slices.Contains(s.zones, zone) || s.state.KnowsZone(zone) {
		return nil
	}
	remedy := "use the zone of an announced endpoint"
	if len(s.zones) > 0 {
		remedy = "use one of " + strings.Join(s.zones, ", ")
	}
	return fault.Newf(fault.Invalid, remedy, "there is no availability zone %.60q", zone)
}

// evacuateZone puts the state of a zone in force.
func (l *leadership) evacuateZone(ctx context.Context, request *controlv1.EvacuateZoneRequest) (*controlv1.EvacuateZoneResponse, error) {
	data, err := contract.EncodeEvacuateZone(l.logTime(), request)
	result, err := propose(ctx, l.log, data, err)
	if err != nil {
		return nil, err
	}
	l.logger.Info("changed the evacuation of a zone", slog.String("zone", request.GetZone()),
		slog.Bool("evacuated", request.GetEvacuated()), slog.Uint64("revision", result.Revision))
	return &controlv1.EvacuateZoneResponse{Revision: result.Revision}, nil
}

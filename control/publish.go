package control

import (
	"context"
	"log/slog"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/contract"
)

// publish puts a site in force. A site that the committed state has already superseded needs no
// log entry. If the leader's own state lags behind, the only effect is a redundant log entry.
func (l *leadership) publish(ctx context.Context, site *fleetv1.Site) (*controlv1.PublishResponse, error) {
	if l.state.SiteSuperseded(site.GetVersion()) {
		return &controlv1.PublishResponse{Version: l.state.Site().GetVersion()}, nil
	}
	data, err := contract.EncodePublish(l.logTime(), site)
	result, err := propose(ctx, l.log, data, err)
	if err != nil {
		return nil, err
	}
	l.logger.Info("published a site",
		slog.Uint64("version", site.GetVersion()), slog.Uint64("revision", result.Revision),
		slog.Int("routes", len(site.GetRoutes())), slog.Int("pools", len(site.GetPools())))
	return &controlv1.PublishResponse{Version: l.state.Site().GetVersion()}, nil
}

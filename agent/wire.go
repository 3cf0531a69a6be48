//go:build wireinject

package agent

import (
	"log/slog"

	"github.com/google/wire"

	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/telemetry"
)

// New assembles an agent from its settings.
func New(settings *Settings, logger *slog.Logger) (*Daemon, error) {
	wire.Build(
		newIncarnation,
		newClock,
		newFeed,
		wire.Bind(new(freshnessSource), new(*feed.Client)),
		newLockedGate,
		newEndpointClient,
		newDispatcher,
		newOrderer,
		newReportBuffer,
		newLoadedState,
		newHealth,
		newPollers,
		newRanks,
		newService,
		newServer,
		newPool,
		newResources,
		newControls,
		newAnnouncer,
		telemetry.NewReady,
		wire.Struct(new(Daemon), "settings", "logger", "ready", "lockedGate", "service", "server",
			"feed", "announcer", "controls", "client", "pool", "pollers", "ranks", "resources"),
	)
	return nil, nil
}

//go:build wireinject

package control

import (
	"log/slog"

	"github.com/google/wire"

	"github.com/lilackeel/lilackeel/replica/server"
	"github.com/lilackeel/lilackeel/telemetry"
)

// New assembles a control replica from its settings and opens its log.
func New(settings *Settings, logger *slog.Logger) (*Daemon, error) {
	wire.Build(
		newStateMachine,
		newState,
		newFeedSource,
		newDialOptions,
		newPool,
		newLog,
		wire.Bind(new(Log), new(*server.Server)),
		newFeed,
		newStatusCollector,
		newDrivers,
		newTermManager,
		newService,
		newCallTracker,
		newResources,
		newServer,
		telemetry.NewReady,
		wire.Struct(new(Daemon), "settings", "logger", "ready", "log", "source", "feed",
			"service", "terms", "server", "calls", "pool", "resources"),
	)
	return nil, nil
}

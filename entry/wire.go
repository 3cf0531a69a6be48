//go:build wireinject

package entry

import (
	"log/slog"

	"github.com/google/wire"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/quarantine"
)

// New assembles an entry, which does nothing before Run.
func New(cfg Config, logger *slog.Logger) (*Daemon, error) {
	wire.Build(
		newDialOptions, NewPool, newFeed, NewDirectory, endpoint.NewTable, newTracker, newIndex, newDetector, newPicker,
		NewAgents, NewClaims, NewReports, NewAdmissions, NewServer, newReady, newRelay, listen,
		newReach, newGroups, newDirectClient, newRouted, quarantine.NewTracker, NewRateLimits, NewPermits, newSuspects,
		wire.Bind(new(Admitter), new(*Admissions)),
		wire.Bind(new(Picker), new(*pick.Picker)),
		wire.Bind(new(Knowledge), new(*Reports)),
		wire.Bind(new(FreshnessSource), new(*feed.Client)),
		wire.Struct(new(Parts), "*"),
		wire.Struct(new(configurer), "*"),
		wire.Struct(new(Daemon), "*"),
	)
	return nil, nil
}

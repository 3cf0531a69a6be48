//go:build wireinject

package entry

import (
	"log/slog"

	"github.com/google/wire"

	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/speed"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/quarantine"
)

// New assembles the daemon of an entry. It is started by Run.
func New(cfg Config, logger *slog.Logger) (*Daemon, error) {
	wire.Build(
		newDialOptions, NewPool, newFeed, NewDirectory, endpoint.NewTable, newTracker, newIndex, newDetector, newPicker,
		NewAgents, NewClaims, NewReportSubscriber, NewAdmissionController, NewServer, newReady, newRelay, listen,
		newReach, newGroups, newBodyBudget, newResources, newDirectClient, newRouted, quarantine.NewTracker, NewRateLimits, NewPermitClient, NewDemandExchange, newSuspects, speed.New,
		wire.Bind(new(Admitter), new(*AdmissionController)),
		wire.Bind(new(Picker), new(*pick.Picker)),
		wire.Bind(new(TargetResolver), new(*ReportSubscriber)),
		wire.Bind(new(FreshnessSource), new(*feed.Client)),
		wire.Struct(new(Dependencies), "*"),
		wire.Struct(new(configurer), "*"),
		wire.Struct(new(Daemon), "*"),
	)
	return nil, nil
}

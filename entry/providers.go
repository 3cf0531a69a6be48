package entry

import (
	"log/slog"
	"math/rand/v2"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"google.golang.org/grpc"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/direct"
	"github.com/lilackeel/lilackeel/endpoint"
	"github.com/lilackeel/lilackeel/endpoint/load"
	"github.com/lilackeel/lilackeel/endpoint/lockstep"
	"github.com/lilackeel/lilackeel/endpoint/outlier"
	"github.com/lilackeel/lilackeel/endpoint/pick"
	"github.com/lilackeel/lilackeel/endpoint/prefix"
	"github.com/lilackeel/lilackeel/endpoint/reach"
	"github.com/lilackeel/lilackeel/endpoint/speed"
	"github.com/lilackeel/lilackeel/endpoint/suspicion"
	"github.com/lilackeel/lilackeel/feed"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/memory"
	"github.com/lilackeel/lilackeel/quarantine"
	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/telemetry"
)

func newDialOptions(cfg Config) ([]grpc.DialOption, error) { return link.DialOptions(cfg.Link) }

func newFeed(cfg Config, options []grpc.DialOption, logger *slog.Logger) *feed.Client {
	return feed.NewClient(feed.Config{
		Sources: cfg.Feed, Daemon: cfg.Name, Role: "entry", Zone: cfg.Zone,
		Incarnation: rand.Uint64() | 1, DialOptions: options, Logger: logger,
	})
}

func newTracker(cfg Config, table *endpoint.Table, speeds *speed.Tracker) *load.Tracker {
	return load.New(load.Config{Peers: cfg.Peers, Speeds: speeds}, table)
}

func newIndex() *prefix.Index { return prefix.New(prefix.Config{}) }

func newDetector() *outlier.Detector { return outlier.New(outlier.Config{}) }

func newPicker(cfg Config, table *endpoint.Table, loads *load.Tracker, index *prefix.Index, outliers *outlier.Detector, speeds *speed.Tracker) *pick.Picker {
	settings := pick.Config{}
	if cfg.Routed {
		settings = pick.DirectConfig()
	}
	settings.Speeds = speeds
	return pick.New(settings, table, loads, index, outliers)
}

func newDirectClient() *direct.Client { return direct.NewClient(direct.Config{}) }

// newRouted returns the server that answers requests by the routes of the published site.
func newRouted(
	cfg Config, table *endpoint.Table, loads *load.Tracker, outliers *outlier.Detector, picker *pick.Picker,
	admissions *AdmissionController, reached *reach.Tracker, groups *lockstep.Tracker, client *direct.Client, crashes *quarantine.Tracker, permits *PermitClient, suspects *suspicion.Tracker, speeds *speed.Tracker, bodies *memory.Budget, resources *inbound.Resources, logger *slog.Logger,
) *routed.Server {
	policy := cfg.policy()
	headers := cfg.Headers
	if headers.Endpoint == "" {
		headers = routed.DefaultHeaders
	}
	settings := routed.Config{
		Name: cfg.Name, Zone: cfg.Zone, Headers: headers, RetryAfterFormat: cfg.RetryAfterFormat,
		MaxHeaderBytes: cfg.MaxHeaderBytes, MaxBodyBytes: cfg.MaxBodyBytes,
		BodyTimeout: cfg.BodyTimeout, WriteTimeout: cfg.WriteTimeout, MaxBufferedBytes: policy.MaxBufferedBytes,
		Backoff: policy.Backoff, RetryAfter: cfg.RetryAfter, AccessLog: cfg.AccessLog, MaxKeptConnections: resources.Share(keptShare), MeasureSpeed: cfg.MeasureSpeed,
	}
	dependencies := routed.Dependencies{
		Admitter: admissions, Picker: picker, Endpoints: table, Loads: loads, Outliers: outliers,
		Reach: reached, Groups: groups, Client: client, Quarantine: crashes, RateLimits: permits, Suspects: suspects, Speeds: speeds, Budget: call.NewBudget(cfg.budget()), Bodies: bodies, Logger: logger,
	}
	return routed.NewServer(settings, dependencies, func() time.Duration { return time.Since(processStart) })
}

// newSuspects returns the tracker of endpoints that are suspected of not answering. The seed is
// derived from the entry's name.
func newSuspects(cfg Config) *suspicion.Tracker {
	suspects := suspicion.NewTracker(xxhash.Sum64String(cfg.Name))
	metrics.GetOrCreateGauge(`lilackeel_entry_suspected_endpoints`, func() float64 { return float64(suspects.ConfirmedCount()) })
	return suspects
}

// newBodyBudget returns the budget of the bodies of all requests, on both interfaces.
func newBodyBudget(cfg Config) *memory.Budget {
	bodies := memory.NewBudget(memory.WithinHost(cfg.BodyMemory))
	metrics.GetOrCreateGauge(`lilackeel_entry_body_memory_bytes`, func() float64 { return float64(bodies.Held()) })
	return bodies
}

// newResources returns what the HTTP listeners of the entry share. The budget is that of the bodies.
func newResources(cfg Config, budget *memory.Budget) *inbound.Resources {
	return inbound.NewResources(budget, cfg.MaxFiles)
}

func newReady() *telemetry.Ready { return telemetry.NewReady() }

func newReach() *reach.Tracker { return reach.New() }

func newGroups() *lockstep.Tracker { return lockstep.New() }

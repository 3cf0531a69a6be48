package rankhost

import (
	"time"

	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/setting"
	"github.com/lilackeel/lilackeel/telemetry"
)

// Settings are the validated settings of the daemon.
type Settings struct {
	// Name is the daemon's name, unique in the fleet; Zone is its availability zone.
	Name, Zone string
	// Listen is the address for control replicas and entries.
	Listen string
	// Control lists the addresses of the control replicas.
	Control []string
	// Endpoint is the engine's own address, Pool the pool that it belongs to.
	Endpoint, Pool string
	// PollInterval is the poll interval while no switch is in progress, CountInterval the least
	// time between two reads of the engine's expert counts.
	PollInterval, CountInterval time.Duration
	// HeartbeatInterval is the average interval between announcements.
	HeartbeatInterval time.Duration
	// ReportSlowdown is when the engine's slowdown is reported: SlowdownAuto, SlowdownOn or
	// SlowdownOff.
	ReportSlowdown string
	// Inbound limits what the clients of the HTTP and gRPC listeners may hold.
	Inbound inbound.ResourceConfig
	// Link configures the security of connections, Telemetry logs, metrics and traces.
	Link      link.Config
	Telemetry telemetry.Config
}

// defaultAdminListen differs from that of the other daemons, so that all of them can run on one
// host.
const defaultAdminListen = "127.0.0.1:9094"

// Register registers the settings with their defaults and checks.
func (s *Settings) Register(set *setting.Set) {
	millisecond := setting.Min(time.Millisecond)
	set.String(&s.Name, "name", "", "name of this daemon, unique in the fleet", setting.Required, setting.Name)
	set.String(&s.Zone, "zone", "", "availability zone of the host", setting.Required, setting.Name)
	set.String(&s.Listen, "listen", "127.0.0.1:7400", "address for control replicas and entries", setting.Required, setting.HostPort)
	set.List(&s.Control, "control", nil, "control replicas", setting.Required, setting.HostPort)
	set.String(&s.Endpoint, "endpoint", "", "the engine's own address", setting.Required, setting.HostPort)
	set.String(&s.Pool, "pool", "", "pool that the engine belongs to", setting.Required, setting.Name)
	set.Duration(&s.PollInterval, "poll-interval", 100*time.Millisecond, "poll interval of the engine while no switch of maps is in progress", millisecond)
	set.Duration(&s.CountInterval, "count-interval", 50*time.Millisecond, "least time between two reads of the expert counts, which the control leader requests", millisecond)
	set.Duration(&s.HeartbeatInterval, "heartbeat-interval", time.Second, "average interval between announcements", millisecond)
	set.String(&s.ReportSlowdown, "report-slowdown", SlowdownAuto, "whether entries and the control leader learn how much slower than nominal the engine works; auto: if the engine states when it started",
		setting.OneOf(SlowdownAuto, SlowdownOn, SlowdownOff))
	s.Telemetry.AdminListen = defaultAdminListen
	inbound.RegisterSettings(set, &s.Inbound)
	link.Settings(set, &s.Link)
	telemetry.RegisterSettings(set, &s.Telemetry)
	set.Check(func() error { return s.Link.CheckListen(s.Listen) })
	set.Check(func() error {
		s.Telemetry.Host = s.Name
		return nil
	})
}

package agent

import (
	"net"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/gate"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/setting"
	"github.com/lilackeel/lilackeel/telemetry"
)

// Settings are the checked settings of the daemon.
type Settings struct {
	// Name is unique among the agents of the fleet.
	Name string
	// Host, Zone and Region say where the agent runs; Host is Name by default.
	Host, Zone, Region string
	// Listen is the address of the gRPC service; Advertise the one that others
	// reach it by.
	Listen, Advertise string
	// StepsListen is the address where engines that are ranks ask for steps; it
	// is opened if there are any.
	StepsListen string
	// StepsAhead is the number of steps granted ahead.
	StepsAhead int
	// Control lists the control replicas, Feed the sources of the
	// configuration.
	Control, Feed []string
	// EndpointsFile is the path of the endpoints file, Endpoints its content.
	EndpointsFile string
	Endpoints     []Endpoint

	// Limits bound what the gate admits and remembers.
	Limits gate.Limits
	// MaxMessage is the largest message that the service takes, in bytes.
	MaxMessage int64
	// HeartbeatInterval is the time between two announcements.
	HeartbeatInterval time.Duration
	// PollInterval is the time between two looks at an endpoint's load.
	PollInterval time.Duration
	// ClaimLimit is how long a claimed call may run after its caller has left.
	ClaimLimit time.Duration
	// OrderLimit is how long an endpoint may take for an order.
	OrderLimit time.Duration
	// StopLimit is how long a planned stop waits for work in flight; zero for
	// no limit.
	StopLimit time.Duration

	// Link and Telemetry are shared by all daemons.
	Link      link.Config
	Telemetry telemetry.Config
}

// defaultAdminListen differs from the other daemons' so that all can share a
// host.
const defaultAdminListen = "127.0.0.1:9092"

// Register registers the settings with their defaults and checks.
func (s *Settings) Register(set *setting.Set) {
	set.String(&s.Name, "name", "", "name of this agent, unique in the fleet", setting.Required, setting.Name)
	set.String(&s.Host, "host", "", "name of the host; the agent's name if empty", setting.Name)
	set.String(&s.Zone, "zone", "", "availability zone of the host", setting.Required, setting.Name)
	set.String(&s.Region, "region", "", "region of the zone", setting.Name)
	set.String(&s.Listen, "listen", "127.0.0.1:7400", "address of the service for entries and control replicas", setting.Required, setting.HostPort)
	set.String(&s.Advertise, "advertise", "", "address that others reach this agent by; the address of -listen if empty", setting.HostPort)
	set.String(&s.StepsListen, "steps-listen", "127.0.0.1:7401", "address where engines that are ranks of a group ask for steps", setting.HostPort)
	set.Int(&s.StepsAhead, "steps-ahead", 16, "steps granted to a rank ahead; a switch of maps comes as many steps later", setting.Min(1), setting.Max(10000))
	set.List(&s.Control, "control", nil, "control replicas", setting.Required, setting.HostPort)
	set.List(&s.Feed, "feed", nil, "relays or control replicas that the configuration is read from; -control if empty", setting.HostPort)
	set.String(&s.EndpointsFile, "endpoints", "", "YAML file that describes the endpoints of the host", setting.Required)
	s.registerLimits(set)
	s.Telemetry.AdminListen = defaultAdminListen
	link.Settings(set, &s.Link)
	telemetry.RegisterSettings(set, &s.Telemetry)
	set.Check(func() error { return s.Link.CheckListen(s.Listen) })
	set.Check(s.checkAdvertise)
	set.Check(s.complete)
}

func (s *Settings) registerLimits(set *setting.Set) {
	limits := gate.DefaultLimits()
	millisecond := setting.Min(time.Millisecond)
	set.Duration(&s.Limits.Freshness, "freshness", limits.Freshness, "greatest age of knowledge on which a call is admitted", millisecond)
	set.Duration(&s.Limits.AdmissionWindow, "admission-window", limits.AdmissionWindow, "greatest age of the ticket of a claimed call", millisecond)
	set.Int(&s.Limits.Claims, "claims", limits.Claims, "claimed calls that are remembered", setting.Min(1))
	answers := int64(limits.AnswerBytes)
	set.Bytes(&answers, "answer-memory", answers, "memory for the recorded answers of claimed calls", setting.Min(int64(gate.AnswerLimit)))
	set.Check(func() error { s.Limits.AnswerBytes = int(answers); return nil })
	set.Bytes(&s.MaxMessage, "max-message", 16<<20, "largest message that is taken; above the entries' -max-body and -max-headers together", setting.Min(int64(64<<10)), setting.Max(int64(1<<30)))
	set.Int(&s.Limits.Overcommit, "overcommit", limits.Overcommit, "calls in flight at an endpoint, as a multiple of its slots; 0 for no limit", setting.Min(0))
	set.Duration(&s.HeartbeatInterval, "heartbeat-interval", 500*time.Millisecond, "time between two announcements", millisecond)
	set.Duration(&s.PollInterval, "poll-interval", 100*time.Millisecond, "time between two looks at an endpoint's load", millisecond)
	set.Duration(&s.ClaimLimit, "claim-limit", 10*time.Minute, "how long a claimed call may run", millisecond)
	set.Duration(&s.OrderLimit, "order-limit", 5*time.Minute, "how long an endpoint may take for an order", millisecond)
	set.Duration(&s.StopLimit, "stop-limit", 0, "how long a planned stop waits for work in flight; 0 for no limit", setting.Min(time.Duration(0)))
}

func (s *Settings) checkAdvertise() error {
	if s.Advertise != "" {
		return nil
	}
	host, _, err := net.SplitHostPort(s.Listen)
	if err != nil {
		return nil
	}
	if ip := net.ParseIP(host); host == "" || ip != nil && ip.IsUnspecified() {
		return fault.New(fault.Invalid, "-listen names every address of the host, which others cannot reach this agent by",
			"set -advertise to the host's own address and port")
	}
	return nil
}

// complete reads the endpoints file and fills in what other settings imply.
func (s *Settings) complete() error {
	if s.Host == "" {
		s.Host = s.Name
	}
	s.Telemetry.Host = s.Host
	if len(s.Feed) == 0 {
		s.Feed = s.Control
	}
	if s.EndpointsFile == "" {
		return nil
	}
	endpoints, err := ReadEndpoints(s.EndpointsFile)
	s.Endpoints = endpoints
	return err
}

package agent

import (
	"net"
	"time"

	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/gate"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/setting"
	"github.com/lilackeel/lilackeel/telemetry"
)

// Settings are the validated settings of the daemon.
type Settings struct {
	// Name identifies the agent; it is unique in the fleet.
	Name string
	// Host, Zone and Region are the location of the agent; Host defaults to Name.
	Host, Zone, Region string
	// Listen is the listen address of the gRPC service, Advertise the address at which other daemons
	// reach it.
	Listen, Advertise string
	// StepsListen is the listen address of the HTTP server at which engines that are ranks request
	// steps. It is only opened if the host has such engines.
	StepsListen string
	// StepsAhead is the maximum number of steps that are granted in advance.
	StepsAhead int
	// Control lists the addresses of the control replicas, Feed those that the configuration is read
	// from.
	Control, Feed []string
	// EndpointsFile is the path of the endpoints file, Endpoints its contents.
	EndpointsFile string
	Endpoints     []Endpoint

	// Limits are the limits of what the gate admits and remembers.
	Limits gate.Limits
	// MaxMessage is the maximum size of a gRPC message that the service accepts, in bytes.
	MaxMessage int64
	// HeartbeatInterval is the interval between announcements.
	HeartbeatInterval time.Duration
	// PollInterval is the interval at which the load of an endpoint is polled.
	PollInterval time.Duration
	// ClaimLimit is the maximum duration of a claimed call, which goes on when its caller disconnects.
	ClaimLimit time.Duration
	// OrderLimit is the time limit for carrying out an order.
	OrderLimit time.Duration
	// StopLimit is the maximum time for which a planned stop waits for calls in flight; zero means no
	// limit.
	StopLimit time.Duration

	// Inbound limits what the clients of the HTTP and gRPC listeners may hold.
	Inbound inbound.ResourceConfig
	// Link and Telemetry are the settings that all daemons have in common.
	Link      link.Config
	Telemetry telemetry.Config
}

// defaultAdminListen differs from the defaults of the other daemons, so that all of them can run on
// one host.
const defaultAdminListen = "127.0.0.1:9092"

// Register registers the settings with their defaults and validation.
func (s *Settings) Register(set *setting.Set) {
	set.String(&s.Name, "name", "", "name of this agent, unique in the fleet", setting.Required, setting.Name)
	set.String(&s.Host, "host", "", "name of the host; the agent's name if empty", setting.Name)
	set.String(&s.Zone, "zone", "", "availability zone of the host", setting.Required, setting.Name)
	set.String(&s.Region, "region", "", "region of the zone", setting.Name)
	set.String(&s.Listen, "listen", "127.0.0.1:7400", "listen address of the service for entries and control replicas", setting.Required, setting.HostPort)
	set.String(&s.Advertise, "advertise", "", "address at which entries and control replicas reach this agent; the address of -listen if empty", setting.HostPort)
	set.String(&s.StepsListen, "steps-listen", "127.0.0.1:7401", "listen address at which engines that are ranks of a group request steps", setting.HostPort)
	set.Int(&s.StepsAhead, "steps-ahead", 16, "steps granted to a rank in advance; a switch of expert maps is delayed by as many steps", setting.Min(1), setting.Max(10000))
	set.List(&s.Control, "control", nil, "addresses of the control replicas", setting.Required, setting.HostPort)
	set.List(&s.Feed, "feed", nil, "addresses of the relays or control replicas that the configuration is read from; -control if empty", setting.HostPort)
	set.String(&s.EndpointsFile, "endpoints", "", "YAML file that describes the endpoints of the host", setting.Required)
	s.registerLimits(set)
	s.Telemetry.AdminListen = defaultAdminListen
	inbound.RegisterSettings(set, &s.Inbound)
	link.Settings(set, &s.Link)
	telemetry.RegisterSettings(set, &s.Telemetry)
	set.Check(func() error { return s.Link.CheckListen(s.Listen) })
	set.Check(s.checkAdvertise)
	set.Check(s.resolve)
}

func (s *Settings) registerLimits(set *setting.Set) {
	limits := gate.DefaultLimits()
	millisecond := setting.Min(time.Millisecond)
	set.Duration(&s.Limits.Freshness, "freshness", limits.Freshness, "maximum age of the configuration's last confirmation by a quorum for calls to be admitted", millisecond)
	set.Duration(&s.Limits.AdmissionWindow, "admission-window", limits.AdmissionWindow, "maximum age of the ticket of a claimed call", millisecond)
	set.Int(&s.Limits.Claims, "claims", limits.Claims, "maximum number of claimed calls that are remembered", setting.Min(1))
	answers := int64(limits.AnswerBytes)
	set.Bytes(&answers, "answer-memory", answers, "memory for the recorded answers of claimed calls", setting.Min(int64(gate.AnswerLimit)))
	set.Check(func() error { s.Limits.AnswerBytes = int(answers); return nil })
	set.Bytes(&s.MaxMessage, "max-message", 16<<20, "maximum size of a message; must exceed the sum of the entries' -max-body and -max-headers", setting.Min(int64(64<<10)), setting.Max(int64(1<<30)))
	set.Int(&s.Limits.Overcommit, "overcommit", limits.Overcommit, "maximum number of calls in flight at an endpoint, as a multiple of its slots; 0 for no limit", setting.Min(0))
	set.Duration(&s.HeartbeatInterval, "heartbeat-interval", 500*time.Millisecond, "interval between announcements to the control replicas", millisecond)
	set.Duration(&s.PollInterval, "poll-interval", 100*time.Millisecond, "interval at which the load of an endpoint is polled", millisecond)
	set.Duration(&s.ClaimLimit, "claim-limit", 10*time.Minute, "maximum duration of a claimed call", millisecond)
	set.Duration(&s.OrderLimit, "order-limit", 5*time.Minute, "time limit for an endpoint to carry out an order", millisecond)
	set.Duration(&s.StopLimit, "stop-limit", 0, "maximum time for which a planned stop waits for calls in flight; 0 for no limit", setting.Min(time.Duration(0)))
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
		return fault.New(fault.Invalid, "-listen is a wildcard address, at which other hosts cannot reach this agent",
			"set -advertise to an address and port of this host")
	}
	return nil
}

// resolve reads the endpoints file and sets the defaults that depend on other settings.
func (s *Settings) resolve() error {
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

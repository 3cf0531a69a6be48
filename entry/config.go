package entry

import (
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/answer"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/inbound"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/overload"
	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/setting"
	"github.com/lilackeel/lilackeel/telemetry"
)

// Config is the configuration of an entry.
type Config struct {
	// Name is the name of this entry, unique in the fleet.
	Name string
	// Zone is the availability zone that the entry runs in.
	Zone string
	// Listen is the address for callers, host:port.
	Listen string
	// Feed lists the relays or control replicas that serve the configuration, in order of
	// preference.
	Feed []string
	// RelayListen is the address, host:port, at which this entry relays the configuration to the
	// daemons of its zone; empty for no relay.
	RelayListen string
	// Control lists the control replicas, which store the claims.
	Control []string

	// DefaultDeadline is the deadline of requests that state none, MaxDeadline the longest allowed.
	DefaultDeadline, MaxDeadline time.Duration
	// MaxBodyBytes and MaxHeaderBytes limit the size of a request.
	MaxBodyBytes, MaxHeaderBytes int64
	// BodyMemory limits the memory for the connections, heads and bodies of all requests together; each is
	// charged twice, as the buffers of its connections may hold it again. Zero is no limit.
	BodyMemory int64
	// BodyTimeout is the time in which a caller must send the body, WriteTimeout the time in which it
	// must read one chunk of the answer.
	BodyTimeout, WriteTimeout time.Duration
	// AnonymousWorkspace is the workspace of requests without credentials; empty refuses them.
	AnonymousWorkspace string
	// AccessLog enables a log line for every answered request. Failed requests are always logged.
	AccessLog bool

	// MaxAttempts limits the attempts of one request; RetryRatio and RetryBurst limit the retries of
	// all requests together.
	MaxAttempts int
	RetryRatio  float64
	RetryBurst  float64
	// MaxBufferedBytes is the size up to which an answer is buffered until it is complete.
	MaxBufferedBytes int64
	// FirstByteTimeout is the longest wait for the head of a streamed answer, IdleTimeout the longest
	// gap within it.
	FirstByteTimeout, IdleTimeout time.Duration

	// ReportInterval is the interval of the reports of an agent.
	ReportInterval time.Duration
	// Peers is the number of entries of the fleet, including this one.
	Peers int
	// Routed answers requests by the routes of the published site, instead of by the completions API
	// and the services.
	Routed bool
	// Headers are the names of the headers that are exchanged with callers and endpoints if Routed is
	// set, RetryAfterFormat the format of the Retry-After header.
	Headers          routed.Headers
	RetryAfterFormat answer.RetryAfterFormat
	// RetryAfter is the default Retry-After if Routed is set.
	RetryAfter time.Duration
	// MaxWait is the longest wait of a request of a route for a free slot, MaxRetryAfter the longest
	// delay after which a refused one is asked to retry.
	MaxWait, MaxRetryAfter time.Duration
	// MeasureSpeed is routed.Config.MeasureSpeed.
	MeasureSpeed bool
	// LeastShare is the share of a pool's capacity that each level of priority gets whatever the
	// demand of higher-priority levels.
	LeastShare float64
	// HeaderTimeout is the time in which a caller must send the head of a request.
	HeaderTimeout time.Duration
	// CallerIdle is how long an idle connection of a caller is kept open.
	CallerIdle time.Duration
	// MaxFiles is the number of descriptors that the process may open; zero means the limit of the
	// operating system.
	MaxFiles int
	// DrainDelay is how long a stopping entry still accepts new requests after it has become
	// unready, so that the load balancer in front of it can stop sending them.
	DrainDelay time.Duration
	// StopLimit is the longest duration of a planned stop if Routed is set.
	StopLimit time.Duration

	// Telemetry and Link are shared by all daemons.
	Telemetry telemetry.Config
	Link      link.Config
}

// Default address and lower limits of the settings.
const (
	defaultListen  = "127.0.0.1:8080"
	minDeadline    = time.Millisecond
	minBodyBytes   = int64(1 << 10)
	minHeaderBytes = int64(4 << 10)
)

// Settings registers the settings of cfg.
func Settings(s *setting.Set, cfg *Config) {
	s.String(&cfg.Name, "name", "", "name of this entry, unique in the fleet", setting.Required, setting.Name)
	s.String(&cfg.Zone, "zone", "", "availability zone of this entry", setting.Required, setting.Name)
	s.String(&cfg.Listen, "listen", defaultListen, "address for callers", setting.HostPort)
	s.List(&cfg.Feed, "feed", nil, "relays or control replicas that serve the configuration, in order of preference", setting.Required, setting.HostPort)
	s.List(&cfg.Control, "control", nil, "control replicas, which store the claims of calls that are not idempotent", setting.Required, setting.HostPort)
	s.String(&cfg.RelayListen, "relay-listen", "", "address at which this entry relays the configuration to the daemons of its zone; empty for no relay", setting.HostPort)
	cfg.requestSettings(s)
	cfg.retrySettings(s)
	s.Duration(&cfg.ReportInterval, "report-interval", 200*time.Millisecond, "time between two load reports of an agent", setting.Min(10*time.Millisecond))
	s.Int(&cfg.Peers, "entries", 1, "number of entries of the fleet", setting.Min(1))
	s.Bool(&cfg.Routed, "routed", false, "answer callers by the routes of the published site, instead of by the completions API")
	s.Duration(&cfg.RetryAfter, "retry-after", call.DefaultRetryAfter, "default delay after which a refused caller of a route is asked to retry", setting.Min(time.Millisecond))
	s.Duration(&cfg.MaxWait, "max-wait", 300*time.Millisecond, "longest wait of a request of a route for a free slot", setting.Min(time.Millisecond))
	s.Duration(&cfg.MaxRetryAfter, "max-retry-after", 2500*time.Millisecond, "longest delay after which a refused caller of a route is asked to retry", setting.Min(time.Millisecond))
	s.Bool(&cfg.MeasureSpeed, "measure-speed", false, "judge the endpoints of all pools that report no slowdown by their response times, instead of only those of pools with a cold start")
	s.Float(&cfg.LeastShare, "least-share", overload.DefaultLeastShare, "share of a pool's capacity that each level of priority gets whatever the demand of higher-priority ones; half the capacity for all levels together at most", setting.Min(0.0), setting.Max(0.5))
	s.Duration(&cfg.CallerIdle, "caller-idle", inbound.DefaultIdleTimeout, "how long an idle connection of a caller is kept open", setting.Min(time.Second))
	s.Duration(&cfg.HeaderTimeout, "header-timeout", inbound.DefaultHeadTimeout, "time in which a caller must send the head of a request", setting.Min(minDeadline))
	s.Int(&cfg.MaxFiles, "max-files", 0, "descriptors that the process may open; above half as many connections of callers, an entry with -routed closes each after its response, and above five eighths it closes idle ones to accept others; 0 for the limit of the operating system", setting.Min(0))
	s.Duration(&cfg.DrainDelay, "drain-delay", 2*time.Second, "how long a stopping entry that is no longer ready still accepts requests", setting.Min(time.Duration(0)))
	s.Duration(&cfg.StopLimit, "stop-limit", 30*time.Second, "longest planned stop of an entry with -routed; requests still in flight are aborted", setting.Min(time.Second))
	telemetry.RegisterSettings(s, &cfg.Telemetry)
	link.Settings(s, &cfg.Link)
	s.Check(cfg.check)
	s.Check(cfg.checkRelay)
}

func (cfg *Config) requestSettings(s *setting.Set) {
	s.Duration(&cfg.DefaultDeadline, "deadline", 2*time.Minute, "deadline of requests that state none", setting.Min(minDeadline))
	s.Duration(&cfg.MaxDeadline, "max-deadline", 15*time.Minute, "longest deadline that a request may state", setting.Min(minDeadline))
	s.Bytes(&cfg.MaxBodyBytes, "max-body", 8<<20, "largest body of a request", setting.Min(minBodyBytes))
	s.Bytes(&cfg.BodyMemory, "body-memory", 128<<20, "memory for the connections of callers, the heads and bodies of their requests, and the long responses that are held, together, each charged twice; what exceeds it is refused; never more than half of the host's memory; 0 for no limit", setting.Min(int64(0)))
	s.Bytes(&cfg.MaxHeaderBytes, "max-headers", 64<<10, "largest headers of a request", setting.Min(minHeaderBytes), setting.Max(int64(1<<20)))
	s.Duration(&cfg.BodyTimeout, "body-timeout", 30*time.Second, "time in which a caller must send the body", setting.Min(minDeadline))
	s.Duration(&cfg.WriteTimeout, "write-timeout", time.Minute, "time in which a caller must read one chunk of the answer", setting.Min(minDeadline))
	s.String(&cfg.AnonymousWorkspace, "anonymous-workspace", "", "workspace of requests without credentials; empty refuses them", setting.Name)
	s.Bool(&cfg.AccessLog, "access-log", true, "write a log line for every answered request")
}

func (cfg *Config) retrySettings(s *setting.Set) {
	policy, budget := call.DefaultPolicy, call.DefaultBudget
	s.Int(&cfg.MaxAttempts, "max-attempts", policy.MaxAttempts, "maximum number of attempts of one request", setting.Min(1), setting.Max(10))
	s.Float(&cfg.RetryRatio, "retry-ratio", budget.Ratio, "retries allowed as a share of live traffic", setting.Min(0.0), setting.Max(1.0))
	s.Float(&cfg.RetryBurst, "retry-burst", budget.Burst, "largest burst of retries", setting.Min(1.0))
	s.Bytes(&cfg.MaxBufferedBytes, "hold-body", int64(policy.MaxBufferedBytes), "size up to which an answer is buffered until it is complete", setting.Min(int64(policy.MaxRecordedBodyBytes)))
	s.Duration(&cfg.FirstByteTimeout, "first-byte-timeout", policy.FirstByteTimeout, "longest wait for the head of a streamed answer", setting.Min(minDeadline))
	s.Duration(&cfg.IdleTimeout, "idle-timeout", policy.IdleTimeout, "longest gap in a streamed answer", setting.Min(minDeadline))
}

// check reports contradictions between the settings, and sets the host name of the telemetry.
func (cfg *Config) check() error {
	cfg.Telemetry.Host = cfg.Name
	if cfg.DefaultDeadline > cfg.MaxDeadline {
		return fault.Newf(fault.Invalid, "lower -deadline or raise -max-deadline",
			"-deadline=%v is longer than -max-deadline=%v", cfg.DefaultDeadline, cfg.MaxDeadline)
	}
	if strings.TrimSpace(cfg.Listen) != "" && cfg.Listen == cfg.Telemetry.AdminListen {
		return fault.Newf(fault.Invalid, "choose another -admin-listen", "-listen and -admin-listen are both %s", cfg.Listen)
	}
	return nil
}

// checkRelay refuses a relay without TLS on an address that is not a loopback address.
func (cfg *Config) checkRelay() error {
	if cfg.RelayListen == "" {
		return nil
	}
	return cfg.Link.CheckListen(cfg.RelayListen)
}

// policy returns the retry policy of one request.
func (cfg *Config) policy() *call.Policy {
	policy := call.DefaultPolicy
	policy.MaxAttempts = cfg.MaxAttempts
	policy.MaxBufferedBytes = int(cfg.MaxBufferedBytes)
	policy.FirstByteTimeout = cfg.FirstByteTimeout
	policy.IdleTimeout = cfg.IdleTimeout
	return &policy
}

// budget returns the retry budget shared by all requests.
func (cfg *Config) budget() call.BudgetConfig {
	return call.BudgetConfig{Ratio: cfg.RetryRatio, MinPerSecond: call.DefaultBudget.MinPerSecond, Burst: cfg.RetryBurst}
}

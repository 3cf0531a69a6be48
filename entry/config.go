package entry

import (
	"strings"
	"time"

	"github.com/lilackeel/lilackeel/answer"

	"github.com/lilackeel/lilackeel/call"
	"github.com/lilackeel/lilackeel/fault"
	"github.com/lilackeel/lilackeel/link"
	"github.com/lilackeel/lilackeel/routed"
	"github.com/lilackeel/lilackeel/setting"
	"github.com/lilackeel/lilackeel/telemetry"
)

// Config is how an entry runs.
type Config struct {
	// Name names this entry uniquely in the fleet.
	Name string
	// Zone is the availability zone that the entry runs in.
	Zone string
	// Listen is host:port for callers.
	Listen string
	// Feed lists relays or control replicas that serve the configuration, in
	// order of preference.
	Feed []string
	// RelayListen is host:port at which this entry passes the configuration on to
	// the daemons of its zone; empty for no relay.
	RelayListen string
	// Control lists the control replicas, which keep the claims.
	Control []string

	// DefaultDeadline holds for requests that state none; MaxDeadline bounds all.
	DefaultDeadline, MaxDeadline time.Duration
	// MaxBodyBytes and MaxHeaderBytes bound a request.
	MaxBodyBytes, MaxHeaderBytes int64
	// BodyTimeout bounds the time in which a caller sends the body, WriteTimeout
	// the time in which it takes one part of the answer.
	BodyTimeout, WriteTimeout time.Duration
	// AnonymousWorkspace is the workspace of requests without credentials;
	// empty refuses them.
	AnonymousWorkspace string
	// AccessLog writes a line for every answered request, too.
	AccessLog bool

	// MaxAttempts, RetryRatio and RetryBurst bound what is tried again.
	MaxAttempts int
	RetryRatio  float64
	RetryBurst  float64
	// HoldBytes is how much of an answer is held back until it is whole.
	HoldBytes int64
	// FirstByteTimeout and IdleTimeout bound the silence of a stream.
	FirstByteTimeout, IdleTimeout time.Duration

	// ReportInterval is the time between two reports of an agent.
	ReportInterval time.Duration
	// Peers is the number of entries of the fleet.
	Peers int
	// Routed answers callers by the routes of the published site, instead of by
	// the completions API and the services.
	Routed bool
	// Headers and RetryStyle are how callers and endpoints are spoken to then.
	Headers    routed.Headers
	RetryStyle answer.RetryAfterFormat
	// RetryAfter is the Retry-After then when nothing better is known.
	RetryAfter time.Duration
	// MaxWait is how long a request of a route waits for a place at most, and
	// MaxRetryAfter the latest time at which a refused one is asked to come back.
	MaxWait, MaxRetryAfter time.Duration
	// CallerIdle is how long an unused connection of a caller is kept.
	CallerIdle time.Duration
	// DrainDelay is how long a stopping entry goes on taking new requests while
	// it is no longer ready, so that the balancer in front can turn away.
	DrainDelay time.Duration
	// StopLimit bounds the planned stop of an entry that answers by routes.
	StopLimit time.Duration

	// Telemetry and Link are shared by all daemons.
	Telemetry telemetry.Config
	Link      link.Config
}

// Limits of the settings.
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
	s.List(&cfg.Control, "control", nil, "control replicas, which keep the claims of calls that are not idempotent", setting.Required, setting.HostPort)
	s.String(&cfg.RelayListen, "relay-listen", "", "address at which this entry relays the configuration to the daemons of its zone; empty for no relay", setting.HostPort)
	cfg.requestSettings(s)
	cfg.retrySettings(s)
	s.Duration(&cfg.ReportInterval, "report-interval", 200*time.Millisecond, "time between two load reports of an agent", setting.Min(10*time.Millisecond))
	s.Int(&cfg.Peers, "entries", 1, "number of entries of the fleet", setting.Min(1))
	s.Bool(&cfg.Routed, "routed", false, "answer callers by the routes of the published site, instead of by the completions API")
	s.Duration(&cfg.RetryAfter, "retry-after", call.DefaultRetryAfter, "when a refused caller of a route is asked to come back if nothing better is known", setting.Min(time.Millisecond))
	s.Duration(&cfg.MaxWait, "max-wait", 300*time.Millisecond, "how long a request of a route waits for a place", setting.Min(time.Millisecond))
	s.Duration(&cfg.MaxRetryAfter, "max-retry-after", 2500*time.Millisecond, "latest time at which a refused caller of a route is asked to come back", setting.Min(time.Millisecond))
	s.Duration(&cfg.CallerIdle, "caller-idle", idleTimeout, "how long an unused connection of a caller is kept", setting.Min(time.Second))
	s.Duration(&cfg.DrainDelay, "drain-delay", 2*time.Second, "how long a stopping entry that is not ready still takes requests", setting.Min(time.Duration(0)))
	s.Duration(&cfg.StopLimit, "stop-limit", 30*time.Second, "longest planned stop of an entry with -routed; what is in flight then is cut", setting.Min(time.Second))
	telemetry.Settings(s, &cfg.Telemetry)
	link.Settings(s, &cfg.Link)
	s.Check(cfg.check)
	s.Check(cfg.checkRelay)
}

func (cfg *Config) requestSettings(s *setting.Set) {
	s.Duration(&cfg.DefaultDeadline, "deadline", 2*time.Minute, "deadline of requests that state none", setting.Min(minDeadline))
	s.Duration(&cfg.MaxDeadline, "max-deadline", 15*time.Minute, "longest deadline that a request may state", setting.Min(minDeadline))
	s.Bytes(&cfg.MaxBodyBytes, "max-body", 8<<20, "largest body of a request", setting.Min(minBodyBytes))
	s.Bytes(&cfg.MaxHeaderBytes, "max-headers", 64<<10, "largest headers of a request", setting.Min(minHeaderBytes), setting.Max(int64(1<<20)))
	s.Duration(&cfg.BodyTimeout, "body-timeout", 30*time.Second, "time in which a caller must send the body", setting.Min(minDeadline))
	s.Duration(&cfg.WriteTimeout, "write-timeout", time.Minute, "time in which a caller must take one part of the answer", setting.Min(minDeadline))
	s.String(&cfg.AnonymousWorkspace, "anonymous-workspace", "", "workspace of requests without credentials; empty refuses them", setting.Name)
	s.Bool(&cfg.AccessLog, "access-log", true, "write a log line for every answered request")
}

func (cfg *Config) retrySettings(s *setting.Set) {
	policy, budget := call.DefaultPolicy, call.DefaultBudget
	s.Int(&cfg.MaxAttempts, "max-attempts", policy.MaxAttempts, "attempts of one request", setting.Min(1), setting.Max(10))
	s.Float(&cfg.RetryRatio, "retry-ratio", budget.Ratio, "share of live traffic that may be tried again", setting.Min(0.0), setting.Max(1.0))
	s.Float(&cfg.RetryBurst, "retry-burst", budget.Burst, "retries that can be saved up", setting.Min(1.0))
	s.Bytes(&cfg.HoldBytes, "hold-body", int64(policy.HoldBytes), "part of an answer that is held back until it is whole", setting.Min(int64(policy.RecordBytes)))
	s.Duration(&cfg.FirstByteTimeout, "first-byte-timeout", policy.FirstByteTimeout, "longest wait for the head of a streamed answer", setting.Min(minDeadline))
	s.Duration(&cfg.IdleTimeout, "idle-timeout", policy.IdleTimeout, "longest silence in a streamed answer", setting.Min(minDeadline))
}

// check finds contradictions between the settings.
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

// checkRelay keeps an unprotected relay on loopback addresses.
func (cfg *Config) checkRelay() error {
	if cfg.RelayListen == "" {
		return nil
	}
	return cfg.Link.CheckListen(cfg.RelayListen)
}

// policy returns what package call may try.
func (cfg *Config) policy() *call.Policy {
	policy := call.DefaultPolicy
	policy.MaxAttempts = cfg.MaxAttempts
	policy.HoldBytes = int(cfg.HoldBytes)
	policy.FirstByteTimeout = cfg.FirstByteTimeout
	policy.IdleTimeout = cfg.IdleTimeout
	return &policy
}

// budget returns the bound of all retries together.
func (cfg *Config) budget() call.BudgetConfig {
	return call.BudgetConfig{Ratio: cfg.RetryRatio, MinPerSecond: call.DefaultBudget.MinPerSecond, Burst: cfg.RetryBurst}
}

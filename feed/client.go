package feed

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/gravitational/trace"
	"google.golang.org/grpc"

	controlv1 "github.com/lilackeel/lilackeel/api/control/v1"
	fleetv1 "github.com/lilackeel/lilackeel/api/fleet/v1"
	"github.com/lilackeel/lilackeel/wait"
)

// DefaultPingInterval is the time between two pings of a client.
const DefaultPingInterval = 250 * time.Millisecond

// initialPingInterval is the time between two pings of a client that has no
// configuration yet. It is short because the first configuration is applied only
// once a pong has shown that a quorum confirms it.
const initialPingInterval = 50 * time.Millisecond

// maxMessageBytes bounds one received message. The largest messages are snapshots
// of the complete configuration.
const maxMessageBytes = 256 << 20

// Config sets up a Client.
type Config struct {
	// Sources are relays or control replicas, host:port, in order of preference.
	Sources []string
	// Daemon is the name of this process, unique in the fleet.
	Daemon string
	// Role is entry, agent or relay.
	Role string
	// Zone is the availability zone of this process.
	Zone string
	// Incarnation is different at every start of this process.
	Incarnation uint64
	// PingInterval defaults to DefaultPingInterval.
	PingInterval time.Duration
	// Limits determine when a source is left; zero fields take their defaults.
	Limits Limits
	// DialOptions are used for the connections to the sources.
	DialOptions []grpc.DialOption
	// Logger defaults to slog.Default().
	Logger *slog.Logger
}

// Client keeps a daemon's copy of the accepted configuration. It never goes back
// to a lower revision than it has delivered. Its methods are safe for concurrent
// use.
type Client struct {
	cfg Config
	// downstream, if set, returns the daemons that a relay reports with a ping.
	downstream func(now time.Time) []*controlv1.DaemonStatus

	// mu guards the fields below. It is not held while callbacks run.
	mu                  sync.Mutex
	follower            *Follower
	view                *View
	changed             chan struct{}
	transitionCallbacks []func(*Transition)
	source              string
	// sources are the sources to try, in order of preference.
	sources []string
}

// NewClient returns a client, which does nothing until Run is called.
func NewClient(cfg Config) *Client {
	cfg.PingInterval = orDefault(cfg.PingInterval, DefaultPingInterval)
	cfg.Limits.PongTimeout = orDefault(cfg.Limits.PongTimeout, DefaultPongTimeout)
	cfg.Limits.FirstPongTimeout = orDefault(cfg.Limits.FirstPongTimeout, DefaultFirstPongTimeout)
	cfg.Limits.MaxStaleness = orDefault(cfg.Limits.MaxStaleness, DefaultMaxStaleness)
	cfg.Limits.InitialConfirmTimeout = orDefault(cfg.Limits.InitialConfirmTimeout, min(DefaultInitialConfirmTimeout, cfg.Limits.MaxStaleness))
	if cfg.Logger == nil {
		cfg.Logger = slog.Default()
	}
	return &Client{
		cfg:      cfg,
		follower: NewFollower(cfg.Limits, time.Now(), rand.Uint64()>>1),
		changed:  make(chan struct{}),
		sources:  cfg.Sources,
	}
}

// SetSources replaces the configured sources. The current source is kept until it
// fails. An empty list is ignored.
func (c *Client) SetSources(sources []string) {
	if len(sources) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Sources, c.sources = sources, sources
}

// setDiscoveredReplicas gives the control replicas that a source has reported
// precedence over the configured sources, which may be out of date.
func (c *Client) setDiscoveredReplicas(replicas []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sources := slices.Clone(replicas)
	for _, configured := range c.cfg.Sources {
		if !slices.Contains(sources, configured) {
			sources = append(sources, configured)
		}
	}
	if !slices.Equal(sources, c.sources) {
		c.cfg.Logger.Info("learnt the control replicas", slog.Any("replicas", replicas))
	}
	c.sources = sources
}

func (c *Client) currentSources() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sources
}

// orDefault returns the value if it is positive, otherwise the fallback.
func orDefault(value, fallback time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return fallback
}

// OnApply adds a callback for each new configuration. Callbacks run sequentially
// and in the order of the revisions, before Configuration returns the revision
// and before it is acknowledged. The first call has a nil old view and a delta
// from the empty configuration. OnApply must be called before Run.
func (c *Client) OnApply(callback func(old, new *View, delta *fleetv1.Delta)) {
	c.onTransition(func(transition *Transition) { callback(transition.Old, transition.New, transition.Delta) })
}

func (c *Client) onTransition(callback func(*Transition)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.transitionCallbacks = append(c.transitionCallbacks, callback)
}

// Configuration returns the configuration that the daemon has applied; nil before
// the first one.
func (c *Client) Configuration() *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Changed returns a channel that is closed when the next revision is applied.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Freshness returns a revision and a local monotonic time such that a quorum
// confirmed, at that time or later, that no revision above the one returned had
// been accepted. The daemon has applied that revision or a later one.
func (c *Client) Freshness() (revision uint64, at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Freshness()
}

// Ready reports whether the client has applied a configuration.
func (c *Client) Ready() bool { return c.Configuration() != nil }

// Source returns the address of the current or last watched source; empty before
// the first.
func (c *Client) Source() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source
}

// Counts returns how many messages the client has rejected so far.
func (c *Client) Counts() FollowerCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Counts()
}

// Run watches one source after another until ctx ends and returns the error of
// ctx. It fails immediately if no source is configured.
func (c *Client) Run(ctx context.Context) error {
	if len(c.cfg.Sources) == 0 {
		return trace.BadParameter("a feed client needs at least one source; set the addresses of relays or control replicas")
	}
	connections := newConnections(c.cfg.DialOptions)
	defer connections.close()
	sourceOrder := newRotation(len(c.cfg.Sources))
	for ctx.Err() == nil {
		sources := c.currentSources()
		sourceOrder.resize(len(sources))
		source := sources[sourceOrder.index]
		started := time.Now()
		wasFresh, err := c.watch(ctx, connections, source, sourceOrder.watchLimit())
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			sourceOrder.returnToFirst()
			continue
		}
		c.logSourceLeft(source, started, err)
		wait.For(ctx, sourceOrder.advance(wasFresh))
	}
	return ctx.Err()
}

// logSourceLeft logs why a source was left, how long it was watched, and when the
// applied configuration was last confirmed: requests may have been answered
// according to an outdated one.
func (c *Client) logSourceLeft(source string, started time.Time, reason error) {
	attributes := []any{"source", source, "watched", time.Since(started), "error", reason}
	if revision, confirmed, ok := c.Freshness(); ok {
		attributes = append(attributes, "revision", revision, "confirmed_ago", time.Since(confirmed))
	}
	c.cfg.Logger.Warn("left a source of configuration", attributes...)
}

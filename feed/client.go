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

// blankPingInterval is the time between two pings of a client that has no
// configuration yet: it is shown one as soon as a quorum has confirmed it.
const blankPingInterval = 50 * time.Millisecond

// maxSnapshotBytes bounds one received message: a whole configuration.
const maxSnapshotBytes = 256 << 20

// Config sets up a Client.
type Config struct {
	// Sources are relays or control replicas, host:port, in order of preference.
	Sources []string
	// Daemon names this process uniquely in the fleet.
	Daemon string
	// Role is entry, agent or relay.
	Role string
	// Zone is the availability zone of this process.
	Zone string
	// Incarnation is new at every start of this process.
	Incarnation uint64
	// PingInterval defaults to DefaultPingInterval.
	PingInterval time.Duration
	// Limits say when a source is left; zero fields take their defaults.
	Limits Limits
	// DialOptions reach the sources.
	DialOptions []grpc.DialOption
	// Logger defaults to slog.Default().
	Logger *slog.Logger
}

// Client keeps a daemon's copy of the accepted configuration. It never goes
// back to a lower revision than it has shown. Its methods may be called from
// any goroutine.
type Client struct {
	cfg Config
	// below, if set, returns the daemons that a relay reports with a ping.
	below func(now time.Time) []*controlv1.DaemonStatus

	// mu guards all below. The lock is not held while callbacks run.
	mu       sync.Mutex
	follower *Follower
	view     *View
	changed  chan struct{}
	applied  []func(*Transition)
	source   string
	// sources are those to watch, in order of preference.
	sources []string
}

// NewClient returns a client, which does nothing before Run.
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

// SetSources replaces the sources. The one that is watched stays until it fails.
func (c *Client) SetSources(sources []string) {
	if len(sources) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cfg.Sources, c.sources = sources, sources
}

// learn puts the control replicas that a source has named before the sources of
// the settings: those may be of long ago.
func (c *Client) learn(replicas []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	sources := slices.Clone(replicas)
	for _, set := range c.cfg.Sources {
		if !slices.Contains(sources, set) {
			sources = append(sources, set)
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

// orDefault returns the value if it is set.
func orDefault(value, standard time.Duration) time.Duration {
	if value > 0 {
		return value
	}
	return standard
}

// OnApply adds a callback for each new configuration. Callbacks run one after
// another and in the order of the revisions, before Configuration shows the
// revision and before it is acknowledged. The first call has a nil old view and
// a delta from the empty configuration. OnApply must be called before Run.
func (c *Client) OnApply(callback func(old, new *View, delta *fleetv1.Delta)) {
	c.onStep(func(step *Transition) { callback(step.Old, step.New, step.Delta) })
}

func (c *Client) onStep(callback func(*Transition)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied = append(c.applied, callback)
}

// Configuration returns the configuration that the daemon acts on; nil before
// the first one.
func (c *Client) Configuration() *View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

// Changed returns a channel that is closed at the next new revision.
func (c *Client) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.changed
}

// Freshness returns a revision and a local monotonic time such that a quorum
// had confirmed, at that time or later, that no revision above the one returned
// had been accepted. The daemon acts on that revision or on a later one.
func (c *Client) Freshness() (revision uint64, at time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Freshness()
}

// Ready reports whether the client has shown a configuration.
func (c *Client) Ready() bool { return c.Configuration() != nil }

// Source returns the source that the client watches; empty for none.
func (c *Client) Source() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.source
}

// Counts returns what the client has refused to believe so far.
func (c *Client) Counts() FollowerCounts {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.follower.Counts()
}

// Run watches one source after another until ctx ends, whose error it returns.
// A client without sources is refused at once.
func (c *Client) Run(ctx context.Context) error {
	if len(c.cfg.Sources) == 0 {
		return trace.BadParameter("a feed client needs at least one source; set the addresses of relays or control replicas")
	}
	connections := newConnections(c.cfg.DialOptions)
	defer connections.close()
	order := newRotation(len(c.cfg.Sources))
	for ctx.Err() == nil {
		sources := c.currentSources()
		order.resize(len(sources))
		source := sources[order.index]
		begun := time.Now()
		worked, err := c.watch(ctx, connections, source, order.stay())
		if ctx.Err() != nil {
			break
		}
		if err == nil {
			order.stayed()
			continue
		}
		c.logLeft(source, begun, err)
		wait.For(ctx, order.failed(worked))
	}
	return ctx.Err()
}

// logLeft says why a source was left, how long it was watched, and how old the
// knowledge is that the daemon acts on: a caller may have been answered by it.
func (c *Client) logLeft(source string, begun time.Time, reason error) {
	attributes := []any{"source", source, "watched", time.Since(begun), "error", reason}
	if revision, confirmed, ok := c.Freshness(); ok {
		attributes = append(attributes, "revision", revision, "confirmed_ago", time.Since(confirmed))
	}
	c.cfg.Logger.Warn("left a source of configuration", attributes...)
}

package direct

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/sys/unix"

	"github.com/lilackeel/lilackeel/fault"
)

// Config bounds what a Client does. The zero value takes the defaults.
type Config struct {
	// DialTimeout bounds the setting up of a connection.
	DialTimeout time.Duration
	// SilentTimeout is how long sent bytes, or probes of a quiet connection, may
	// stay unacknowledged before the connection is taken for dead.
	UnackedTimeout time.Duration
	// IdleTimeout is how long a connection is kept whose endpoint has not said
	// how long it keeps it; IdleMargin is how much earlier than an endpoint's own
	// timeout it is given up.
	IdleTimeout, IdleMargin time.Duration
	// MaxIdle is the number of unused connections that are kept to one endpoint.
	MaxIdle int
	// RequestID is the header by which an answer names its request.
	RequestIDHeader string
}

// Defaults of Config, for endpoints a few milliseconds away.
const (
	// DefaultDialTimeout is a hundred round trips within a region; an opening
	// packet that is lost comes again only after a second.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultSilentTimeout outlasts a lost packet that is sent again twice.
	DefaultUnackedTimeout = 2 * time.Second
	// DefaultIdleTimeout is below what servers usually keep.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultIdleMargin outlasts the way of a request.
	DefaultIdleMargin = 500 * time.Millisecond
	// DefaultMaxIdle suits endpoints with a few dozen slots.
	DefaultMaxIdle = 16
	// DefaultRequestID is the usual name.
	DefaultRequestIDHeader = "X-Request-Id"
)

func (c Config) withDefaults() Config {
	setDefault(&c.DialTimeout, DefaultDialTimeout)
	setDefault(&c.UnackedTimeout, DefaultUnackedTimeout)
	setDefault(&c.IdleTimeout, DefaultIdleTimeout)
	setDefault(&c.IdleMargin, DefaultIdleMargin)
	setDefault(&c.MaxIdle, DefaultMaxIdle)
	setDefault(&c.RequestIDHeader, DefaultRequestIDHeader)
	return c
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// Client sends requests to endpoints. It is safe for concurrent use.
type Client struct {
	config Config
	dialer net.Dialer
	// looks are the looks for a listener that are under way, by address.
	looks singleflight.Group

	mu sync.Mutex
	// idle holds the unused connections to each address, the latest used last.
	idle map[string][]*conn
	// dialed counts the connections that were set up.
	dialed uint64
}

// NewClient returns a client without connections.
func NewClient(cfg Config) *Client {
	cfg = cfg.withDefaults()
	probe := cfg.UnackedTimeout / 2
	return &Client{
		config: cfg,
		idle:   map[string][]*conn{},
		dialer: net.Dialer{
			Timeout:         cfg.DialTimeout,
			KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probe, Interval: probe, Count: 1},
			Control:         userTimeout(cfg.UnackedTimeout),
		},
	}
}

// userTimeout ends a connection whose sent bytes are not acknowledged in time.
// Without it a cut link would hold a request for many minutes.
func userTimeout(limit time.Duration) func(network, address string, raw syscall.RawConn) error {
	return func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		if err != nil {
			return err
		}
		return failed
	}
}

// Dialed returns the number of connections set up so far.
func (c *Client) DialCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// Close closes the unused connections. Those in use are closed by their
// requests.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, list := range c.idle {
		for _, each := range list {
			each.close()
		}
		delete(c.idle, addr)
	}
}

// Forget closes the unused connections to an address that is no longer in use.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	list := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, each := range list {
		each.close()
	}
}

// get returns a kept connection that is alive, or a new one.
func (c *Client) get(ctx context.Context, addr string) (*conn, error) {
	for kept := c.take(addr); kept != nil; kept = c.take(addr) {
		if time.Now().Before(kept.expires) && kept.silent() {
			kept.reused = true
			return kept, nil
		}
		kept.close()
	}
	return c.dial(ctx, addr)
}

// take returns the latest used connection, nil for none.
func (c *Client) take(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[addr]
	if len(list) == 0 {
		return nil
	}
	last := list[len(list)-1]
	c.idle[addr] = list[:len(list)-1]
	return last
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the endpoint cannot be reached", "ask again; if it lasts, look at the endpoint").WithCause(err)
	}
	c.mu.Lock()
	c.dialed++
	c.mu.Unlock()
	return newConn(addr, raw), nil
}

// put keeps a connection for the next request.
func (c *Client) put(used *conn, idle time.Duration) {
	now := time.Now()
	used.expires = now.Add(idle)
	c.mu.Lock()
	defer c.mu.Unlock()
	list := c.idle[used.addr]
	for len(list) > 0 && (now.After(list[0].expires) || len(list) >= c.config.MaxIdle) {
		list[0].close()
		list = list[1:]
	}
	c.idle[used.addr] = append(list, used)
}

package direct

import (
	"context"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sync/singleflight"
	"golang.org/x/sys/unix"

	"github.com/lilackeel/lilackeel/fault"
)

// Config configures a Client. Zero fields take the defaults.
type Config struct {
	// DialTimeout limits the time to establish a connection.
	DialTimeout time.Duration
	// UnackedTimeout is how long sent data or keep-alive probes may stay unacknowledged before
	// the connection is considered dead.
	UnackedTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept if the endpoint does not state its
	// own timeout. If it does, the connection is closed IdleMargin before that.
	IdleTimeout, IdleMargin time.Duration
	// MaxIdle is the maximum number of idle connections per endpoint.
	MaxIdle int
	// RequestIDHeader is the response header that contains the id of the request.
	RequestIDHeader string
}

// Defaults of Config, for endpoints a few milliseconds away.
const (
	// DefaultDialTimeout is a hundred round trips within a region. A lost SYN is retransmitted
	// only after a second, so waiting for it is not worthwhile.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultUnackedTimeout allows for a packet that is lost and retransmitted twice.
	DefaultUnackedTimeout = 2 * time.Second
	// DefaultIdleTimeout is below the usual keep-alive timeout of servers.
	DefaultIdleTimeout = 4 * time.Second
	// DefaultIdleMargin exceeds the time that a request takes to reach the endpoint.
	DefaultIdleMargin = 500 * time.Millisecond
	// DefaultMaxIdle suits endpoints with a few dozen slots.
	DefaultMaxIdle = 16
	// DefaultRequestIDHeader is the name that servers commonly use.
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
	// listenChecks deduplicates concurrent calls of CheckListener by address.
	listenChecks singleflight.Group

	mu sync.Mutex
	// idle contains the idle connections by address, the most recently used last.
	idle map[string][]*conn
	// dialed is the number of connections established.
	dialed uint64
	// sweeping is true while a sweep of the idle connections is scheduled.
	sweeping bool
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

// userTimeout sets TCP_USER_TIMEOUT, which closes a connection whose sent data is not
// acknowledged in time. Without it, a broken link would block a request for many minutes.
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

// DialCount returns the number of connections established so far.
func (c *Client) DialCount() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dialed
}

// Close closes the idle connections. Connections in use are closed by their requests.
func (c *Client) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conns := range c.idle {
		for _, idleConn := range conns {
			idleConn.close()
		}
		delete(c.idle, addr)
	}
}

// Forget closes the idle connections to an address that is no longer in use.
func (c *Client) Forget(addr string) {
	c.mu.Lock()
	conns := c.idle[addr]
	delete(c.idle, addr)
	c.mu.Unlock()
	for _, idleConn := range conns {
		idleConn.close()
	}
}

// get returns an idle connection that is still usable, or a new one.
func (c *Client) get(ctx context.Context, addr string) (*conn, error) {
	for kept := c.popIdle(addr); kept != nil; kept = c.popIdle(addr) {
		if time.Now().Before(kept.expires) && kept.stillIdle() {
			kept.reused = true
			return kept, nil
		}
		kept.close()
	}
	return c.dial(ctx, addr)
}

// popIdle removes and returns the most recently used connection; nil if there is none.
func (c *Client) popIdle(addr string) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[addr]
	if len(conns) == 0 {
		return nil
	}
	last := conns[len(conns)-1]
	c.idle[addr] = conns[:len(conns)-1]
	return last
}

func (c *Client) dial(ctx context.Context, addr string) (*conn, error) {
	raw, err := c.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, fault.New(fault.Unavailable, "the endpoint cannot be reached", "retry; if the error persists, check the endpoint").WithCause(err)
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
	used.bodyWrite = nil // an idle connection must not keep the last body in memory
	c.mu.Lock()
	defer c.mu.Unlock()
	conns := c.idle[used.addr]
	for len(conns) > 0 && (now.After(conns[0].expires) || len(conns) >= c.config.MaxIdle) {
		conns[0].close()
		conns = conns[1:]
	}
	c.idle[used.addr] = append(conns, used)
	c.scheduleSweep()
}

// scheduleSweep schedules the closing of expired idle connections: an endpoint that goes on sending
// after its response must not do so until its next request. The caller must hold the lock.
func (c *Client) scheduleSweep() {
	if c.sweeping || len(c.idle) == 0 {
		return
	}
	c.sweeping = true
	time.AfterFunc(c.config.IdleTimeout, c.sweep)
}

// sweep closes the expired idle connections.
func (c *Client) sweep() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for addr, conns := range c.idle {
		kept := slices.DeleteFunc(conns, func(idleConn *conn) bool {
			expired := !now.Before(idleConn.expires)
			if expired {
				idleConn.close()
			}
			return expired
		})
		if len(kept) == 0 {
			delete(c.idle, addr)
			continue
		}
		c.idle[addr] = kept
	}
	c.sweeping = false
	c.scheduleSweep()
}

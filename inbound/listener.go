package inbound

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

const (
	// checkInterval is the interval at which the times of connections are checked and refusals are logged.
	checkInterval = time.Second
	// maxCheckDelay is the delay of a check above which it is left out: the process did not run, and what its
	// clients have sent has not been read.
	maxCheckDelay = 2 * checkInterval
)

// listener bounds the connections of a net.Listener.
type listener struct {
	net.Listener
	config    Config
	resources *Resources

	mu          sync.Mutex
	connections int
	// refused counts refusals by reason since the last log line, which was written at loggedAt; lastAddr is the
	// address of the last of them.
	refused  map[string]int
	lastAddr string
	loggedAt int64
}

func newListener(cfg Config, resources *Resources) *listener {
	l := &listener{config: cfg, resources: resources, refused: map[string]int{}}
	metrics.GetOrCreateGauge(fmt.Sprintf(`lilackeel_inbound_connections{listener=%q}`, cfg.Name), func() float64 { return float64(l.open()) })
	return l
}

func (l *listener) now() int64 { return l.resources.now() }

func (l *listener) open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.connections
}

// Accept implements net.Listener. If descriptors, connections or memory run short, connections without a
// request in progress are closed, or else the new one.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if outOfFiles(err) && l.resources.evict(nil, nil, reasonFiles) {
			continue
		}
		if err != nil {
			return nil, err
		}
		if c := l.admit(accepted); c != nil {
			return c, nil
		}
	}
}

func outOfFiles(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// admit returns the connection to serve, or nil if there is no room for it and it was closed.
func (l *listener) admit(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, listener: l, base: l.resources.memory.Begin(""), since: l.now()}
	for l.open() >= l.config.MaxConnections {
		if !l.resources.evict(l, nil, reasonConnections) {
			return l.reject(c, reasonConnections)
		}
	}
	for c.base.Resize(connectionCost) != nil {
		if !l.resources.evict(nil, nil, reasonMemory) {
			return l.reject(c, reasonMemory)
		}
	}
	l.mu.Lock()
	l.connections++
	l.mu.Unlock()
	l.resources.add(c)
	return c
}

func (l *listener) reject(c *conn, reason string) *conn {
	l.count(reason, c)
	_ = c.Conn.Close()
	return nil
}

// remove ends the use of resources by a connection.
func (l *listener) remove(c *conn) {
	l.resources.remove(c)
	c.base.Release()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.connections--
}

// count counts a refusal or a connection that was closed for a reason.
func (l *listener) count(reason string, c net.Conn) {
	metrics.GetOrCreateCounter(fmt.Sprintf(`lilackeel_inbound_refusals_total{listener=%q,reason=%q}`, l.config.Name, reason)).Inc()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[reason]++
	l.lastAddr = c.RemoteAddr().String()
}

// checkConnections enforces the limits on time, and logs the refusals, until stop is closed.
func (l *listener) checkConnections(stop <-chan struct{}) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	last := l.now()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		now := l.now()
		l.checkTimes(now, last)
		last = now
		l.logRefusals()
	}
}

// checkTimes enforces the limits on time. The last check was at last.
func (l *listener) checkTimes(now, last int64) {
	if time.Duration(now-last) > maxCheckDelay {
		return
	}
	limits := l.config.Limits()
	for _, c := range l.resources.connsOf(l) {
		c.checkTime(now, limits)
	}
}

// logRefusals writes one line for each reason for which clients have been refused since the last lines, unless
// these were written less than checkInterval ago.
func (l *listener) logRefusals() {
	l.mu.Lock()
	now := l.now()
	if len(l.refused) == 0 || now-l.loggedAt < int64(checkInterval)/2 {
		l.mu.Unlock()
		return
	}
	refused, addr := l.refused, l.lastAddr
	l.refused, l.loggedAt = map[string]int{}, now
	l.mu.Unlock()
	for reason, count := range refused {
		if reason == reasonIdle {
			continue
		}
		l.config.Logger.Info("refused clients of a listener", slog.String("listener", l.config.Name), slog.String("reason", reason),
			slog.Int("count", count), slog.String("last_address", addr), slog.Int64("memory", l.resources.memory.Held()))
	}
}

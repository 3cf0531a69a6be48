package inbound

import (
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/lilackeel/lilackeel/memory"
	"github.com/lilackeel/lilackeel/setting"
)

// DefaultMemory is the default of the memory for the requests of a process that is not an entry, in bytes.
const DefaultMemory = 64 << 20

// unlimitedFiles is the number of descriptors that is assumed if the operating system sets no limit.
const unlimitedFiles = 1 << 20

// ResourceConfig limits what all clients of a process may hold together.
type ResourceConfig struct {
	// Memory limits the bytes that requests occupy, as charged by package memory; zero is no limit.
	Memory int64
	// MaxFiles is the number of descriptors that the process may open; zero means the limit of the operating
	// system.
	MaxFiles int
}

// RegisterSettings registers the settings of cfg for a process that is not an entry.
func RegisterSettings(s *setting.Set, cfg *ResourceConfig) {
	s.Bytes(&cfg.Memory, "request-memory", DefaultMemory, "memory for the connections, heads and bodies of the requests of HTTP clients together, each charged twice; what exceeds it is refused; never more than half of the host's memory; 0 for no limit", setting.Min(int64(0)))
	s.Int(&cfg.MaxFiles, "max-files", 0, "descriptors that the process may open, of which each listener accepts connections for its share; 0 for the limit of the operating system", setting.Min(0))
}

// Resources are the memory and the descriptors that the listeners of a process share.
type Resources struct {
	memory  *memory.Budget
	files   int
	started time.Time

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewResources returns the resources of a process, of which nothing is in use. The budget may be nil.
func NewResources(budget *memory.Budget, maxFiles int) *Resources {
	metrics.GetOrCreateGauge(`lilackeel_inbound_memory_bytes`, func() float64 { return float64(budget.Held()) })
	return &Resources{memory: budget, started: time.Now(), files: openFileLimit(maxFiles), conns: map[*conn]struct{}{}}
}

// Resources returns the resources that cfg describes.
func (cfg ResourceConfig) Resources() *Resources {
	return NewResources(memory.NewBudget(memory.WithinHost(cfg.Memory)), cfg.MaxFiles)
}

func openFileLimit(maxFiles int) int {
	if maxFiles > 0 {
		return maxFiles
	}
	var limit syscall.Rlimit
	if syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit) != nil {
		return unlimitedFiles
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// Memory returns the budget of the requests' memory.
func (r *Resources) Memory() *memory.Budget { return r.memory }

// now returns the time since the resources were created, in nanoseconds.
func (r *Resources) now() int64 { return int64(time.Since(r.started)) }

// Share returns a share of the descriptors, as a number of connections. It is at least minConnections.
func (r *Resources) Share(share float64) int { return max(int(share*float64(r.files)), minConnections) }

// minConnections is the least number of connections that a listener accepts.
const minConnections = 8

func (r *Resources) add(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[c] = struct{}{}
}

func (r *Resources) remove(c *conn) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.conns, c)
}

// evict closes the connection that has been without a request in progress for longest, of one listener or, if
// of is nil, of all. It reports whether there was one. The connection keep is not closed.
func (r *Resources) evict(of *listener, keep *conn, reason string) bool {
	if oldest := r.oldest(of, keep); oldest != nil {
		oldest.evict(reason)
		return true
	}
	return false
}

func (r *Resources) oldest(of *listener, keep *conn) *conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var oldest *conn
	var since int64
	for c := range r.conns {
		if c == keep || of != nil && c.listener != of {
			continue
		}
		if waiting, ok := c.waitingSince(); ok && (oldest == nil || waiting < since) {
			oldest, since = c, waiting
		}
	}
	return oldest
}

// connsOf returns the connections of a listener.
func (r *Resources) connsOf(l *listener) []*conn {
	r.mu.Lock()
	defer r.mu.Unlock()
	var conns []*conn
	for c := range r.conns {
		if c.listener == l {
			conns = append(conns, c)
		}
	}
	return conns
}
